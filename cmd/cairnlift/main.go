// Command cairnlift is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cairnlift/cairnlift/cli"
	"github.com/cairnlift/cairnlift/dev"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// After the first signal, the next one has its default action and ends the process.
	context.AfterFunc(ctx, stop)
	app := cli.New()
	dev.AddCommand(app)
	return app.Run(ctx, os.Args[1:])
}
