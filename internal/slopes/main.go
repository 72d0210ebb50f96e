// Command slopes measures what each role's state, messages and decisions cost at
// several sizes, fits a line to each, and writes the measurements page and the
// capacity page that is worked out from them. It drives the real cores and
// encodes the real messages; stand-ins only make up the content.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("slopes", "Measure slopes and work the capacity page out from them.")
	root := app.Flag("root", "Folder of the module.").Default(".").String()
	keep := app.Flag("keep", "Only write the pages anew, from the slopes measured last.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	files := pages{root: *root}
	var list []*Slope
	if *keep {
		var err error
		list, err = files.load()
		app.FatalIfError(err, "slopes")
	} else {
		list = measureAll()
		app.FatalIfError(files.save(list), "slopes")
	}
	app.FatalIfError(files.write(list), "pages")
}

// measureAll runs every measurement, one after the other.
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
