// Command standin-3 holds the stand-ins of the third review: a platform that starts the project's processes
// and ends those that take too much memory, workers, clients and checks. It exits with 1 if a rule was
// broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

// cases are the cases by name. Each returns what was broken.
var cases = map[string]func(rec *record, trouble bool) (broken []string, err error){
	"crashes":   crashes,
	"gang":      gang,
	"images":    images,
	"withdrawn": withdrawn,
	"cancels":   cancels,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	rec := &record{out: out, began: time.Now()}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.add("the case couldn't run: %v", err)
		fmt.Println("the case couldn't run:", err)
		os.Exit(2)
	case len(broken) > 0:
		for _, b := range broken {
			rec.add("broken: %s", b)
			fmt.Println("broken:", b)
		}
		os.Exit(1)
	}
	rec.add("held")
	fmt.Println("held")
}
