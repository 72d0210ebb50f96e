// Command groupbench measures, on one machine and over loopback, the time from the submission
// of a configuration until it is in effect in every process, and the latency that claiming an
// idempotency key adds to a request. It runs three entries and eleven agents, the size of the
// deployments in the requirements, in one process with real sockets and disks.
//
//	go run ./internal/groupbench > docs/measurements/group.md
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/admin"
)

const (
	entries      = 3
	agents       = 11
	submissions  = 40
	requests     = 400
	benchTimeout = 4 * time.Minute
	// stalenessBound is the default setting; unboundedStaleness is longer than the quorum
	// loss lasts, so it is never reached.
	stalenessBound     = 3 * time.Second
	unboundedStaleness = 3 * lossDuration
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "groupbench:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, cancel := context.WithTimeout(context.Background(), benchTimeout)
	defer cancel()
	var bounded, unbounded *lossResult
	err := withGroup(ctx, stalenessBound, func(g *group, client *admin.Client) (err error) {
		if err := measureGroup(ctx, g, client); err != nil {
			return err
		}
		bounded, err = g.measureQuorumLoss(ctx)
		return errors.Wrap(err, "measure quorum loss")
	})
	if err != nil {
		return err
	}
	err = withGroup(ctx, unboundedStaleness, func(g *group, client *admin.Client) (err error) {
		unbounded, err = measureUnbounded(ctx, g, client)
		return errors.Wrap(err, "measure quorum loss without a staleness bound")
	})
	if err != nil {
		return err
	}
	printLoss(bounded, unbounded)
	return nil
}

// withGroup starts a group with the given staleness bound, calls f with it and stops it.
func withGroup(ctx context.Context, staleness time.Duration, f func(*group, *admin.Client) error) error {
	folder, err := os.MkdirTemp("", "groupbench-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	g, err := startGroup(ctx, folder, staleness)
	if err != nil {
		return err
	}
	defer g.stop()
	client, err := admin.NewClient(admin.ClientOptions{Addresses: g.adminAddresses()})
	if err != nil {
		return err
	}
	return f(g, client)
}

// measureGroup measures submissions and requests and prints the table of results.
func measureGroup(ctx context.Context, g *group, client *admin.Client) error {
	inEffect, accepted, err := measureSubmissions(ctx, client)
	if err != nil {
		return errors.Wrap(err, "measure submissions")
	}
	if err := g.awaitTarget(ctx); err != nil {
		return err
	}
	plain, err := g.measureRequests(ctx, false)
	if err != nil {
		return errors.Wrap(err, "measure requests")
	}
	keyed, err := g.measureRequests(ctx, true)
	if err != nil {
		return errors.Wrap(err, "measure requests with an idempotency key")
	}
	printReport(accepted, inEffect, plain, keyed)
	return nil
}

// measureUnbounded measures the loss of the quorum in a group that serves requests by its
// last configuration, however old that is.
func measureUnbounded(ctx context.Context, g *group, client *admin.Client) (*lossResult, error) {
	r := admin.SubmitRequest{SubmissionID: "only", Text: configurationText(0), Operator: "groupbench"}
	if _, err := client.Submit(ctx, r); err != nil {
		return nil, err
	}
	if err := g.awaitTarget(ctx); err != nil {
		return nil, err
	}
	return g.measureQuorumLoss(ctx)
}

func printReport(accepted, inEffect, plain, keyed *latencies) {
	fmt.Printf(`# Configuration in force, and the cost of a claim

    go run ./internal/groupbench > docs/measurements/group.md

%d entries (all replicas, synced disks) and %d agents in one process, real sockets on
loopback, agents' heartbeat interval %v, default settings otherwise. Times in
milliseconds. The machine was shared with other work; compare rows of one run only.

| what | count | p50 | p99 | max |
|---|---|---|---|---|
%s%s%s%s
The first row ends when the operator has the answer, the second when all %d processes
report the version in force, as one entry sees them; it is polled every %v. A request
with a key costs %.1f ms more at the median than one without: one commit.
`, entries, agents, heartbeatInterval,
		accepted.row("text sent to accepted"),
		inEffect.row("text sent to in force at every process"),
		plain.row("request, not idempotent, no key"),
		keyed.row("request, not idempotent, with a key"),
		entries+agents, pollInterval, keyed.ms(50)-plain.ms(50))
}
