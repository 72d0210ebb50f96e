// Command cairnlift-platform runs the roles of cairnlift on the users' platform.
package main

import (
	"os"

	"github.com/cairnlift/cairnlift/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:])) }
