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
		return e.dispatchAndRecord(ctx, r, e.recordDispatch(r, r.choice))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attempt, 2)
	e.dispatchAsync(ctx, r, r.choice, results)
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
	e.logAttempt(r, &second, r.dispatches+1, "hedged")
	e.dispatchAsync(ctx, r, &second, results)
	return firstAnswered(results)
}

// firstAnswered returns the first of two attempts that was answered; failing that,
// the one that says more.
func firstAnswered(results <-chan attempt) attempt {
	a := <-results
	if a.outcome == apiv1.Outcome_OUTCOME_ANSWERED {
		return a
	}
	b := <-results
	if outcomeRank[b.outcome] > outcomeRank[a.outcome] {
		return b
	}
	return a
}

// recordedDispatch is a dispatch that the router has been told of.
type recordedDispatch struct {
	target route.Target
	number uint32
}

// recordDispatch numbers the next dispatch and tells the router of it.
func (e *Entry) recordDispatch(r *request, c *route.Choice) recordedDispatch {
	r.dispatches++
	r.Tried = append(r.Tried, c.Target.ID)
	e.router.RecordSent(e.now(), &r.Request, c.Target.ID)
	return recordedDispatch{target: c.Target, number: r.dispatches}
}

// dispatchAsync dispatches in the background and hands the outcome over.
func (e *Entry) dispatchAsync(ctx context.Context, r *request, c *route.Choice, results chan<- attempt) {
	b := e.recordDispatch(r, c)
	e.background.Go("dispatch", func() { results <- e.dispatchAndRecord(ctx, r, b) })
}

// dispatchAndRecord sends one attempt and tells the router its outcome.
func (e *Entry) dispatchAndRecord(ctx context.Context, r *request, b recordedDispatch) attempt {
	a := e.dispatch(ctx, r, b.target, b.number)
	e.router.RecordOutcome(e.now(), route.AttemptResult{
		Request: &r.Request,
		Target:  b.target.ID,
		Outcome: a.outcome,
		Reason:  a.reason,
		Load:    a.load,
		Latency: a.latency,
	})
	return a
}
