// Package cli is the operators' command line, cairnlift: thin commands over the
// client of the administration API.
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

// AddressVariable is the environment variable with the entries' admin
// addresses, separated by commas or spaces.
const AddressVariable = "CAIRNLIFT_ADDRESS"

const defaultTimeout = 30 * time.Second

// App is the command line. Commands are added to it before Run.
type App struct {
	// Stdout and Stderr are the process's own unless changed before Run.
	Stdout, Stderr io.Writer

	kingpin   *kingpin.Application
	addresses []string
	timeout   time.Duration
	operator  string

	ctx context.Context
	err error
}

// Runner runs a command once its arguments are known. The context ends with the
// first signal.
type Runner func(ctx context.Context) error

// Parent is what commands can be added to: the App's Root or a command.
type Parent interface {
	Command(name, help string) *kingpin.CmdClause
}

// New returns the command line with all commands that need the system only.
func New() *App {
	a := &App{Stdout: os.Stdout, Stderr: os.Stderr}
	a.kingpin = kingpin.New("cairnlift", "Operates cairnlift, a scheduler for latency-critical and batch work on shared hosts.")
	a.kingpin.HelpFlag.Short('h')
	a.kingpin.Terminate(func(code int) { panic(kingpinExit{code}) })
	a.kingpin.Flag("address", "Admin address of an entry, IP:port; repeat it for several. Also from "+AddressVariable+".").
		Short('a').StringsVar(&a.addresses)
	a.kingpin.Flag("timeout", "How long to go on trying.").Default(defaultTimeout.String()).DurationVar(&a.timeout)
	a.kingpin.Flag("operator", "Name that goes into the log of changes.").Default(defaultOperator()).StringVar(&a.operator)
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

// Root is the parent of commands at the top level.
func (a *App) Root() Parent { return a.kingpin }

// Command adds a command. The setup declares flags and arguments and returns
// what runs the command.
func (a *App) Command(parent Parent, name, help string, setup func(*kingpin.CmdClause) Runner) {
	clause := parent.Command(name, help)
	run := setup(clause)
	clause.Action(func(*kingpin.ParseContext) error {
		a.err = run(a.ctx)
		return nil
	})
}

// Run runs the command line's arguments, program name excluded, and returns the
// exit code.
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

// kingpinExit is the panic that stands for an exit by kingpin, after it has
// answered --help or --version by itself. Without it kingpin goes on parsing: the
// help is printed twice, and a command may run.
type kingpinExit struct{ code int }

// parse reads the arguments and runs the command; done when there is nothing
// more to report.
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
	_, _ = fmt.Fprintf(a.Stderr, "cairnlift: "+format+"\n", args...) // nobody is left to tell
}

func (a *App) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.Stdout, format, args...) // as above
}

// entryAddresses are the entries' admin addresses.
func (a *App) entryAddresses() ([]string, error) {
	addresses := a.addresses
	if len(addresses) == 0 {
		addresses = strings.FieldsFunc(os.Getenv(AddressVariable), func(r rune) bool { return r == ',' || r == ' ' })
	}
	if len(addresses) == 0 {
		return nil, &usageError{"no entry is named: give --address or set " + AddressVariable}
	}
	return addresses, nil
}

// client makes the client and a context that ends with the timeout.
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

// withClient runs f with a client until the timeout.
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
