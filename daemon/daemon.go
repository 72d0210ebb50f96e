// Package daemon contains what the main functions of all daemons share: flags, signals and exit
// codes.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/logging"
	"github.com/cairnlift/cairnlift/settings"
)

// Exit codes of the daemons.
const (
	ExitOK = 0
	// ExitFailed is returned when the daemon could not start or had to stop.
	ExitFailed = 1
	// ExitUsage is returned when the command line is invalid.
	ExitUsage = 2
	// ExitSettings is returned when the settings file is invalid; every error in it is printed.
	ExitSettings = 3
)

// Program describes a daemon to Main.
type Program[S any] struct {
	Name string
	Help string
	// Load reads and validates the settings file.
	Load func(path string) (S, error)
	// Log returns the log settings.
	Log func(S) settings.Log
	// Run serves until the context ends and then shuts down gracefully.
	Run func(ctx context.Context, s S, log *zap.Logger) error
}

// Main runs a daemon with the command line's arguments, without the program name, and returns its
// exit code.
//
// The first SIGTERM or SIGINT starts a graceful shutdown. A second one terminates the process
// immediately, because an operator who sends it has decided not to wait.
func (p Program[S]) Main(args []string) int {
	app := kingpin.New(p.Name, p.Help)
	app.UsageWriter(os.Stdout)
	file := app.Flag("settings", "Settings file (TOML).").Short('s').Required().String()
	checkOnly := app.Flag("check-settings", "Check the settings file and exit.").Bool()
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return ExitUsage
	}
	s, err := p.Load(*file)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return ExitSettings
	}
	if *checkOnly {
		fmt.Println("settings are valid")
		return ExitOK
	}
	return p.run(s)
}

func (p Program[S]) run(s S) int {
	log, err := logging.New(p.Log(s))
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", p.Name, err)
		return ExitSettings
	}
	defer func() { _ = log.Sync() }() // Not every standard error can be synced.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	// After the first signal, the next one has its default action.
	context.AfterFunc(ctx, stop)
	go tuneGC(ctx)
	if err := p.Run(ctx, s, log); err != nil {
		log.Error("stopped", zap.Error(err))
		return ExitFailed
	}
	return ExitOK
}
