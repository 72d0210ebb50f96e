// Command cairnlift-platform runs cairnlift's roles on the users' platform.
package main

import (
	"os"

	"github.com/cairnlift/cairnlift/platform"
)

func main() { os.Exit(platform.Main(os.Args[1:])) }
