package cli

import (
	"context"
	"encoding/json"
	"runtime/debug"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/admin"
)

func jsonFlag(c *kingpin.CmdClause) *bool {
	return c.Flag("json", "Print JSON, as the API gives it.").Bool()
}

// printResult prints a value as JSON or as text.
func (a *App) printResult(asJSON bool, value any, text func()) error {
	if !asJSON {
		text()
		return nil
	}
	enc := json.NewEncoder(a.Stdout)
	enc.SetIndent("", "  ")
	return errors.Wrap(enc.Encode(value), "the answer can't be printed")
}

func (a *App) addReadCommands() {
	a.Command(a.Root(), "get", "Print the text in force.", a.get)
	a.Command(a.Root(), "status", "Show processes, workers, targets and jobs.", a.status)
	a.Command(a.Root(), "explain", "Show why a job waits and what was tried.", a.explain)
	a.Command(a.Root(), "decisions", "Show recent routing and placement decisions of an entry.", a.decisions)
}

func (a *App) get(c *kingpin.CmdClause) Runner {
	asJSON := jsonFlag(c)
	return a.withClient(func(ctx context.Context, client *admin.Client) error {
		got, err := client.Configuration(ctx)
		if err != nil {
			return err
		}
		return a.printResult(*asJSON, got, func() { a.printf("%s", got.Text) })
	})
}

func (a *App) status(c *kingpin.CmdClause) Runner {
	asJSON := jsonFlag(c)
	sections := c.Flag("section", "Show this section only; repeat it for several.").
		Enums(admin.SectionProcesses, admin.SectionWorkers, admin.SectionTargets, admin.SectionJobs)
	return a.withClient(func(ctx context.Context, client *admin.Client) error {
		got, err := client.Status(ctx, *sections...)
		if err != nil {
			return err
		}
		return a.printResult(*asJSON, got, func() { a.printStatus(got) })
	})
}

func (a *App) explain(c *kingpin.CmdClause) Runner {
	job := c.Arg("job", "Name of the job.").Required().String()
	asJSON := jsonFlag(c)
	return a.withClient(func(ctx context.Context, client *admin.Client) error {
		got, err := client.Explain(ctx, *job)
		if err != nil {
			return err
		}
		return a.printResult(*asJSON, got, func() { a.printExplanation(got) })
	})
}

func (a *App) decisions(c *kingpin.CmdClause) Runner {
	const defaultLimit = "20"
	q := admin.DecisionQuery{}
	c.Flag("part", "Decisions of this part only: route or place.").EnumVar(&q.Part, "route", "place")
	c.Flag("subject", "Decisions about this request id or task only.").StringVar(&q.Subject)
	c.Flag("limit", "Most decisions to show.").Default(defaultLimit).IntVar(&q.Limit)
	asJSON := jsonFlag(c)
	return a.withClient(func(ctx context.Context, client *admin.Client) error {
		got, err := client.Decisions(ctx, q)
		if err != nil {
			return err
		}
		return a.printResult(*asJSON, got, func() { a.printDecisions(got.Decisions) })
	})
}

func (a *App) addWatchCommand() {
	a.Command(a.Root(), "watch", "Print each new configuration version until interrupted.", a.watch)
}

func (a *App) watch(c *kingpin.CmdClause) Runner {
	const wait = 20 * time.Second
	after := c.Flag("after", "Start after this version.").Uint64()
	count := c.Flag("count", "End after this many versions; 0 never ends.").Int()
	asJSON := jsonFlag(c)
	return func(ctx context.Context) error {
		seen := *after
		for n := 0; *count == 0 || n < *count; {
			got, err := a.watchOnce(ctx, seen, wait)
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
				return err
			}
			if !got.Changed {
				continue
			}
			n++
			seen = got.Version
			if err := a.printResult(*asJSON, got, func() { a.printf("version %d, digest %s\n", got.Version, got.Digest) }); err != nil {
				return err
			}
		}
		return nil
	}
}

// watchOnce gives each wait the whole timeout on top.
func (a *App) watchOnce(ctx context.Context, after uint64, wait time.Duration) (*admin.WatchResponse, error) {
	client, _, cancel, err := a.client(ctx)
	if err != nil {
		return nil, err
	}
	cancel()
	ctx, cancel = context.WithTimeout(ctx, wait+a.timeout)
	defer cancel()
	return client.Watch(ctx, after, wait)
}

func (a *App) addVersionCommand() {
	a.Command(a.Root(), "version", "Print the program's version.", func(*kingpin.CmdClause) Runner {
		return func(context.Context) error {
			a.printf("cairnlift %s\n", buildVersion())
			return nil
		}
	})
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(unknown)"
	}
	return info.Main.Version + " " + info.GoVersion
}
