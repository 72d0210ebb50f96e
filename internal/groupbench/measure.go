package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/admin"
	"github.com/cairnlift/cairnlift/entry"
)

const (
	service      = "bookings"
	pollInterval = 5 * time.Millisecond
	// submissionInterval is the pause before each submission. It is no divisor of the heartbeat
	// interval, so that submissions fall into different phases of the heartbeats.
	submissionInterval = 130 * time.Millisecond
)

// latencies is a histogram of durations in microseconds.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() *latencies {
	return &latencies{hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (t *latencies) add(d time.Duration) { _ = t.histogram.RecordValue(d.Microseconds()) }

// ms returns a percentile (0 to 100) in milliseconds.
func (t *latencies) ms(percentile float64) float64 {
	return float64(t.histogram.ValueAtQuantile(percentile)) / 1000
}

func (t *latencies) row(what string) string {
	return fmt.Sprintf("| %s | %d | %.1f | %.1f | %.1f |\n", what, t.histogram.TotalCount(), t.ms(50), t.ms(99), t.ms(100))
}

// configurationText returns a configuration that declares the service with a timeout that
// depends on n, so that each submission is a change.
func configurationText(n int) string {
	return fmt.Sprintf("[[service]]\nname = %q\npaths = [\"/bookings\"]\nobjective = \"80ms\"\ntimeout = \"%dms\"\nslots = 8\nconnections = 64\nsize = { processors = 1, memory = \"1GB\" }\n", service, 5000+n)
}

// measureSubmissions submits configurations one after the other and measures the time from
// each submission until it is accepted and until it is in effect in every process.
func measureSubmissions(ctx context.Context, client *admin.Client) (inEffect, accepted *latencies, err error) {
	inEffect, accepted = newLatencies(), newLatencies()
	if err := awaitProcesses(ctx, client, 0); err != nil {
		return nil, nil, err
	}
	var version uint64
	for n := range submissions {
		time.Sleep(submissionInterval)
		sent := time.Now()
		resp, err := client.Submit(ctx, admin.SubmitRequest{
			SubmissionID: fmt.Sprint("bench-", n), BaseVersion: version, Text: configurationText(n), Operator: "groupbench",
		})
		if err != nil {
			return nil, nil, err
		}
		version = resp.Version
		accepted.add(time.Since(sent))
		if err := awaitProcesses(ctx, client, version); err != nil {
			return nil, nil, err
		}
		inEffect.add(time.Since(sent))
	}
	return inEffect, accepted, nil
}

// awaitProcesses waits until all processes are ready and have at least the given version in
// effect.
func awaitProcesses(ctx context.Context, client *admin.Client, version uint64) error {
	for ctx.Err() == nil {
		s, err := client.Status(ctx, admin.SectionProcesses)
		if err == nil && allInEffect(s, version) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return errors.Wrapf(ctx.Err(), "wait until version %d is in effect in all processes", version)
}

func allInEffect(s *admin.Status, version uint64) bool {
	n := 0
	for _, p := range s.Processes {
		if p.Ready && p.ConfigurationVersion >= version {
			n++
		}
	}
	return n == entries+agents
}

// awaitTarget waits until every entry routes requests to the target.
func (g *group) awaitTarget(ctx context.Context) error {
	for i := range entries {
		for g.request(ctx, i, "") != nil {
			if ctx.Err() != nil {
				return errors.Wrap(ctx.Err(), "wait until all entries route to the target")
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// measureRequests sends requests one at a time, to the entries in turn.
func (g *group) measureRequests(ctx context.Context, keyed bool) (*latencies, error) {
	t := newLatencies()
	for n := range requests {
		key := ""
		if keyed {
			key = fmt.Sprint("charge-", n)
		}
		sent := time.Now()
		if err := g.request(ctx, n%entries, key); err != nil {
			return nil, err
		}
		t.add(time.Since(sent))
	}
	return t, nil
}

func (g *group) request(ctx context.Context, i int, key string) error {
	url := "http://" + entryHost(i) + ":7000/bookings/pay"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("5 pounds"))
	if err != nil {
		return err
	}
	if key != "" {
		req.Header.Set(entry.HeaderIdempotencyKey, key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d: %s", resp.StatusCode, resp.Header.Get(entry.HeaderReason))
	}
	return nil
}
