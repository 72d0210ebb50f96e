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
	c := app.Command("caller", "Call a service and record the result of each call. SIGTERM ends the load and waits for outstanding answers.")
	cfg := &fakes.CallerConfig{}
	c.Flag("name", "Prefix of the ids of calls; it must be unique among callers.").Required().StringVar(&cfg.Name)
	entries := c.Flag("entry", "ADDRESS or ADDRESS=READY-URL of an entry; can be repeated.").Required().Strings()
	c.Flag("path", "Path of the service.").Required().StringVar(&cfg.Path)
	c.Flag("in-flight", "Number of calls in flight.").Default("1").IntVar(&cfg.InFlight)
	c.Flag("rate", "Calls started per second, whether or not earlier ones have ended.").Float64Var(&cfg.Rate)
	c.Flag("requests", "Number of calls to make.").IntVar(&cfg.Requests)
	c.Flag("duration", "Time after which no call is started.").DurationVar(&cfg.Duration)
	c.Flag("timeout", "Request timeout of the service.").Default("5s").DurationVar(&cfg.Timeout)
	c.Flag("non-idempotent", "Fraction of calls that must run at most once.").Float64Var(&cfg.NonIdempotent)
	c.Flag("keyed", "Fraction of those calls that carry an idempotency key.").Float64Var(&cfg.Keyed)
	c.Flag("resends", "Maximum number of retries of a keyed call whose answer is lost.").IntVar(&cfg.MaxRetries)
	c.Flag("body-bytes", "Length of request bodies.").Default("64").IntVar(&cfg.BodyBytes)
	c.Flag("answer-bytes", "Minimum length of answers.").Default("256").IntVar(&cfg.AnswerBytes)
	c.Flag("work-ms", "Duration of each request on the target, in milliseconds.").IntVar(&cfg.WorkMS)
	c.Flag("seed", "Seed of the random mix of calls.").Default("1").Int64Var(&cfg.Seed)
	c.Flag("no-record", "Record only the summary, for measurements.").BoolVar(&cfg.SummaryOnly)
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
	c := app.Command("judge", "Check records against the guarantees; exits 1 if one is violated.")
	calls := c.Flag("calls", "Record of a caller.").Strings()
	ran := c.Flag("ran", "Record of a target.").Strings()
	workers := c.Flag("runs", "Record of a worker.").Strings()
	frozen := c.Flag("frozen", "Record of the intervals during which entries were frozen.").Strings()
	rules := &fakes.Rules{}
	c.Flag("max-lost", "Maximum number of lost calls.").IntVar(&rules.MaxLost)
	c.Flag("max-unknown", "Maximum number of calls with unknown outcome.").IntVar(&rules.MaxUnknown)
	c.Flag("all-answered", "Require that every call was answered.").BoolVar(&rules.AllAnswered)
	c.Flag("min-answered", "Minimum number of answered calls.").IntVar(&rules.MinAnswered)
	c.Flag("min-not-run", "Minimum number of refused calls.").IntVar(&rules.MinNotRun)
	c.Flag("min-succeeded", "Minimum number of successful runs.").IntVar(&rules.MinSucceeded)
	c.Flag("min-resumed", "Minimum number of runs resumed from a checkpoint.").IntVar(&rules.MinResumed)
	c.Flag("allow-rerun", "Permit tasks to run again after they finished.").BoolVar(&rules.AllowRerun)
	return c.FullCommand(), func(context.Context) error {
		records, err := readRecords(*calls, *ran, *workers)
		if err != nil {
			return err
		}
		if records.Freezes, err = readAll[fakes.Freeze](*frozen); err != nil {
			return err
		}
		return reportViolations(fakes.Check(records, *rules))
	}
}

func readRecords(calls, ran, workers []string) (r fakes.Records, err error) {
	if r.Calls, err = readAll[fakes.CallRecord](calls); err != nil {
		return r, err
	}
	if r.Executed, err = readAll[fakes.ExecutedRequest](ran); err != nil {
		return r, err
	}
	r.Workers, err = readAll[fakes.RunEvent](workers)
	return r, err
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

// maxPrinted limits the violations printed, since one fault can cause thousands.
const maxPrinted = 20

func reportViolations(violations []string) error {
	for _, v := range violations[:min(len(violations), maxPrinted)] {
		fmt.Fprintln(os.Stderr, "violated:", v)
	}
	if len(violations) > 0 {
		return errors.Newf("%d guarantees were violated", len(violations))
	}
	return nil
}
