// Package fakecmd implements the command line of the stand-ins.
package fakecmd

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// action runs a subcommand until it is complete or ctx ends.
type action func(ctx context.Context) error

// Main runs the command line and returns the exit code. SIGTERM and SIGINT end every
// subcommand gracefully.
func Main(args []string) int {
	app := kingpin.New("cairnlift-fake", "Stand-ins for workers, targets, callers and network links.")
	actions := map[string]action{}
	for _, register := range []func(*kingpin.Application) (string, action){
		registerWorker, registerTarget, registerCaller, registerLink, registerJudge, registerBench,
	} {
		name, act := register(app)
		actions[name] = act
	}
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cairnlift-fake:", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := actions[name](ctx); err != nil {
		fmt.Fprintln(os.Stderr, "cairnlift-fake "+name+":", err)
		return exitFailed
	}
	return exitOK
}

func listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	return l, errors.Wrap(err, "can't listen")
}
