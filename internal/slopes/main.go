// Command slopes measures the cost of each role's state, messages and decisions at several
// sizes and fits a line to each cost. It writes the page of measurements and the capacity page
// that is computed from them. It runs the real cores and encodes the real messages; only their
// content is generated.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("slopes", "Measures slopes and computes the capacity page from them.")
	root := app.Flag("root", "Root folder of the module.").Default(".").String()
	keep := app.Flag("keep", "Only rewrite the pages, from the stored slopes.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	files := pages{root: *root}
	var list []*Slope
	if *keep {
		var err error
		list, err = files.load()
		app.FatalIfError(err, "load slopes")
	} else {
		list = measureAll()
		app.FatalIfError(files.save(list), "save slopes")
	}
	app.FatalIfError(files.write(list), "write pages")
}

// measureAll runs all measurements one after the other.
func measureAll() []*Slope {
	began := time.Now()
	r := &recorder{progress: func(s *Slope) {
		fmt.Printf("%5.1fs %-12s %12.1f %s/%s + %.0f, residual %.1f %%\n",
			time.Since(began).Seconds(), s.Name, s.Slope, s.Unit, s.Per, s.Base, s.Residual*100)
	}}
	r.measureMessages()
	r.measureWire()
	r.measureAgent()
	r.measureEntry()
	r.measureStateMachine()
	r.measureLog()
	r.measureLeader()
	return r.slopes
}
