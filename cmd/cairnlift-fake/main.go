// Command cairnlift-fake runs the fakes of external systems, for tests and development.
package main

import (
	"os"

	"github.com/cairnlift/cairnlift/fakes/fakecmd"
)

func main() { os.Exit(fakecmd.Main(os.Args[1:])) }
