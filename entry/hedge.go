package entry

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/route"
)

// dispatchHedged dispatches to the chosen target and, for an idempotent request
// that takes longer than most, to a second one. The first whole answer wins and
// the other attempt is cancelled.
func (e *Entry) dispatchHedged(ctx context.Context, r *request) attempt {
	after, hedge := e.router.HedgeAfter(e.now(), &r.Request)
	if !hedge {
		return e.dispatchOne(ctx, r, e.begin(r, r.choice))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, 2)
	e.launch(ctx, r, r.choice, results)
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case a := <-results:
		return a
	case <-timer.C:
	}
	second, ok := e.router.Pick(e.now(), &r.Request)
	if !ok {
		return <-results
	}
	e.logAttempt(r, &second, r.sends+1, "hedged")
	e.launch(ctx, r, &second, results)
	return firstWhole(results)
}

// firstWhole returns the first of two attempts that was answered; failing that,
// the one that says more.
func firstWhole(results <-chan attempt) attempt {
	a := <-results
	if a.outcome == apiv1.Outcome_OUTCOME_ANSWERED {
		return a
	}
	b := <-results
	if rank[b.outcome] > rank[a.outcome] {
		return b
	}
	return a
}

// begun is a dispatch that the router has been told of.
type begun struct {
	target route.Target
	number uint32
}

// begin numbers the next dispatch and tells the router of it.
func (e *Entry) begin(r *request, c *route.Choice) begun {
	r.sends++
	r.Tried = append(r.Tried, c.Target.ID)
	e.router.RecordSent(e.now(), &r.Request, c.Target.ID)
	return begun{target: c.Target, number: r.sends}
}

// launch dispatches in the background and hands the outcome over.
func (e *Entry) launch(ctx context.Context, r *request, c *route.Choice, results chan<- attempt) {
	b := e.begin(r, c)
	e.background.Go("dispatch", func() { results <- e.dispatchOne(ctx, r, b) })
}

// dispatchOne sends one attempt and tells the router its outcome.
func (e *Entry) dispatchOne(ctx context.Context, r *request, b begun) attempt {
	a := e.dispatch(ctx, r, b.target, b.number)
	e.router.RecordOutcome(e.now(), route.AttemptResult{
		Request: &r.Request,
		Target:  b.target.ID,
		Outcome: a.outcome,
		Reason:  a.reason,
		Load:    a.load,
		Latency: a.took,
	})
	return a
}
