// Package cli implements cairnlift, the operators' command line. Most commands are thin wrappers
// of the clients of the administration API and of the job API.
package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/cairnlift/cairnlift/admin"
)

// AddressVariable is the environment variable with the admin addresses of the entries, separated
// by commas or spaces.
const AddressVariable = "CAIRNLIFT_ADDRESS"

const defaultTimeout = 30 * time.Second

// App is the command-line application. Commands must be added before Run.
type App struct {
	// Stdout and Stderr default to those of the process. They may be changed before Run.
	Stdout, Stderr io.Writer

	kingpin   *kingpin.Application
	addresses []string
	timeout   time.Duration
	operator  string

	ctx context.Context
	err error
}

// Runner runs a command after its arguments have been parsed. Its context is the
// one given to App.Run, which cairnlift cancels at the first signal.
type Runner func(ctx context.Context) error

// Parent is a parent of commands: the App's Root or another command.
type Parent interface {
	Command(name, help string) *kingpin.CmdClause
}

// New returns the application with all commands except dev, which package dev adds because it
// starts a system in this process.
func New() *App {
	a := &App{Stdout: os.Stdout, Stderr: os.Stderr}
	a.kingpin = kingpin.New("cairnlift", "Operates cairnlift, a scheduler for latency-critical and batch work on shared hosts.")
	a.kingpin.HelpFlag.Short('h')
	a.kingpin.Terminate(func(code int) { panic(kingpinExit{code}) })
	a.kingpin.Flag("address", "Admin address of an entry, IP:port; repeat it for several. Also from "+AddressVariable+".").
		Short('a').StringsVar(&a.addresses)
	a.kingpin.Flag("timeout", "How long to keep trying.").Default(defaultTimeout.String()).DurationVar(&a.timeout)
	a.kingpin.Flag("operator", "Operator's name, recorded with each change.").Default(defaultOperator()).StringVar(&a.operator)
	a.addTextCommands()
	a.addReadCommands()
	a.addWatchCommand()
	a.addChangeCommands()
	a.addMemberCommands()
	a.addJobCommands()
	a.addTraceCommand()
	a.addRecordCommand()
	a.addVersionCommand()
	return a
}

func defaultOperator() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "operator"
}

// Root returns the parent of the top-level commands.
func (a *App) Root() Parent { return a.kingpin }

// Command adds a command. The function setup declares its flags and arguments and returns the
// function that runs it.
func (a *App) Command(parent Parent, name, help string, setup func(*kingpin.CmdClause) Runner) {
	clause := parent.Command(name, help)
	run := setup(clause)
	clause.Action(func(*kingpin.ParseContext) error {
		a.err = run(a.ctx)
		return nil
	})
}

// Run executes the command given by the arguments, without the program name, and returns the exit
// code.
func (a *App) Run(ctx context.Context, args []string) int {
	a.ctx = ctx
	a.kingpin.UsageWriter(a.Stdout)
	a.kingpin.ErrorWriter(a.Stderr)
	if code, done := a.parse(args); done {
		return code
	}
	if a.err != nil {
		a.printError("%s", describeError(a.err))
	}
	return exitCode(a.err)
}

// kingpinExit is the panic value that replaces an exit by kingpin, after it has handled --help or
// --version itself. If its terminate function returned instead, kingpin would continue to parse:
// the help would be printed twice, and a command might run.
type kingpinExit struct{ code int }

// parse parses the arguments and runs the command, whose error it stores in a.err. If done is
// true, code is the exit code, and there is no error left to report.
func (a *App) parse(args []string) (code int, done bool) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case kingpinExit:
			code, done = v.code, true
		default:
			panic(v)
		}
	}()
	if _, err := a.kingpin.Parse(args); err != nil {
		a.printError("%v; see cairnlift --help", err)
		return ExitUsage, true
	}
	return ExitOK, false
}

func (a *App) printError(format string, args ...any) {
	_, _ = fmt.Fprintf(a.Stderr, "cairnlift: "+format+"\n", args...) // a failed write can't be reported
}

func (a *App) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.Stdout, format, args...) // as above
}

// entryAddresses returns the admin addresses of the entries, from the flags or else from the
// environment.
func (a *App) entryAddresses() ([]string, error) {
	addresses := a.addresses
	if len(addresses) == 0 {
		addresses = strings.FieldsFunc(os.Getenv(AddressVariable), func(r rune) bool { return r == ',' || r == ' ' })
	}
	if len(addresses) == 0 {
		return nil, &usageError{"no entry address is given: use --address or set " + AddressVariable}
	}
	return addresses, nil
}

// client returns a client and a context that ends after the timeout.
func (a *App) client(ctx context.Context) (*admin.Client, context.Context, context.CancelFunc, error) {
	addresses, err := a.entryAddresses()
	if err != nil {
		return nil, nil, nil, err
	}
	c, err := admin.NewClient(admin.ClientOptions{Addresses: addresses})
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	return c, ctx, cancel, nil
}

// withClient returns a Runner that calls f with a client and a context that ends after the timeout.
func (a *App) withClient(f func(ctx context.Context, c *admin.Client) error) Runner {
	return func(ctx context.Context) error {
		c, ctx, cancel, err := a.client(ctx)
		if err != nil {
			return err
		}
		defer cancel()
		return f(ctx, c)
	}
}
