// Command cairnlift-agent runs the agent, the admission control in front of the targets of one host.
package main

import (
	"os"

	"github.com/cairnlift/cairnlift/agent"
)

func main() { os.Exit(agent.Main(os.Args[1:])) }
