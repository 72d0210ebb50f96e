package fakecmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/fakes"
)

func registerCaller(app *kingpin.Application) (string, action) {
	c := app.Command("caller", "Call a service and record how each call ended. SIGTERM ends the load and waits for the answers.")
	cfg := &fakes.CallerConfig{}
	c.Flag("name", "Prefix of its calls' names; no two callers share one.").Required().StringVar(&cfg.Name)
	entries := c.Flag("entry", "ADDRESS or ADDRESS=READY-URL; several times for several entries.").Required().Strings()
	c.Flag("path", "Path of the service.").Required().StringVar(&cfg.Path)
	c.Flag("in-flight", "Calls kept up at a time.").Default("1").IntVar(&cfg.InFlight)
	c.Flag("rate", "Calls a second, started whatever became of earlier ones.").Float64Var(&cfg.Rate)
	c.Flag("requests", "Calls to make.").IntVar(&cfg.Requests)
	c.Flag("duration", "Time after which no call starts.").DurationVar(&cfg.Duration)
	c.Flag("timeout", "Deadline of the service.").Default("5s").DurationVar(&cfg.Timeout)
	c.Flag("non-idempotent", "Share of calls that must run at most once.").Float64Var(&cfg.NonIdempotent)
	c.Flag("keyed", "Share of those that carry an idempotency key.").Float64Var(&cfg.Keyed)
	c.Flag("resends", "Times a keyed call is sent again when its answer is lost.").IntVar(&cfg.MaxRetries)
	c.Flag("body-bytes", "Length of request bodies.").Default("64").IntVar(&cfg.BodyBytes)
	c.Flag("answer-bytes", "Least length of answers.").Default("256").IntVar(&cfg.AnswerBytes)
	c.Flag("work-ms", "Time each call asks its target to take.").IntVar(&cfg.WorkMS)
	c.Flag("seed", "Seed of the mix of calls.").Default("1").Int64Var(&cfg.Seed)
	c.Flag("no-record", "Record the summary only, for measurements.").BoolVar(&cfg.SummaryOnly)
	path := c.Flag("record", "File to append the record to.").String()
	return c.FullCommand(), func(ctx context.Context) error {
		for _, e := range *entries {
			address, ready, _ := strings.Cut(e, "=")
			cfg.Entries = append(cfg.Entries, fakes.EntryAddress{Address: address, ReadyURL: ready})
		}
		record, err := fakes.NewRecorder[fakes.CallRecord](*path)
		if err != nil {
			return err
		}
		summary := fakes.NewCaller(*cfg, record).Run(ctx)
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
}

func registerJudge(app *kingpin.Application) (string, action) {
	c := app.Command("judge", "Compare records with the promises; exits 1 when one is broken.")
	calls := c.Flag("calls", "Record of a caller.").Strings()
	ran := c.Flag("ran", "Record of a target.").Strings()
	workers := c.Flag("runs", "Record of a worker.").Strings()
	frozen := c.Flag("frozen", "Record of the times for which entries were frozen.").Strings()
	rules := &fakes.Rules{}
	c.Flag("max-lost", "Calls that may have been cut off.").IntVar(&rules.MaxLost)
	c.Flag("max-unknown", "Calls that may have ended unknown.").IntVar(&rules.MaxUnknown)
	c.Flag("all-answered", "Ask that each call was answered.").BoolVar(&rules.AllAnswered)
	c.Flag("min-answered", "Calls that must have been answered.").IntVar(&rules.MinAnswered)
	c.Flag("min-not-run", "Calls that must have been refused.").IntVar(&rules.MinNotRun)
	c.Flag("min-succeeded", "Tasks that must have finished.").IntVar(&rules.MinSucceeded)
	c.Flag("min-resumed", "Runs that must have resumed from a checkpoint.").IntVar(&rules.MinResumed)
	c.Flag("allow-rerun", "Pass over tasks that ran again after they finished.").BoolVar(&rules.AllowRerun)
	return c.FullCommand(), func(context.Context) error {
		evidence, err := readRecords(*calls, *ran, *workers)
		if err != nil {
			return err
		}
		if evidence.Freezes, err = readAll[fakes.Freeze](*frozen); err != nil {
			return err
		}
		return reportViolations(fakes.Check(evidence, *rules))
	}
}

func readRecords(calls, ran, workers []string) (e fakes.Records, err error) {
	if e.Calls, err = readAll[fakes.CallRecord](calls); err != nil {
		return e, err
	}
	if e.Executed, err = readAll[fakes.ExecutedRequest](ran); err != nil {
		return e, err
	}
	e.Workers, err = readAll[fakes.RunEvent](workers)
	return e, err
}

func readAll[T any](paths []string) ([]T, error) {
	var all []T
	for _, p := range paths {
		values, err := fakes.ReadRecord[T](p)
		if err != nil {
			return nil, err
		}
		all = append(all, values...)
	}
	return all, nil
}

// maxPrinted faults are printed; one broken guard can make thousands.
const maxPrinted = 20

func reportViolations(faults []string) error {
	for _, f := range faults[:min(len(faults), maxPrinted)] {
		fmt.Fprintln(os.Stderr, "broken:", f)
	}
	if len(faults) > 0 {
		return errors.Newf("%d promises were broken", len(faults))
	}
	return nil
}
