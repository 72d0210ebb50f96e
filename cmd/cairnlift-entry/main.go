// Command cairnlift-entry runs an entry, which receives callers' requests and operators'
// configuration texts.
package main

import (
	"os"

	"github.com/cairnlift/cairnlift/entry"
)

func main() { os.Exit(entry.Main(os.Args[1:])) }
