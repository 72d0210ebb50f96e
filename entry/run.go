package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/pipeline"
	"github.com/cairnlift/cairnlift/route"
)

// requestPipeline is the way of a caller's request.
func (e *Entry) requestPipeline() pipeline.Pipeline[request] {
	return pipeline.Pipeline[request]{
		{Name: "decode", Apply: e.decode},
		{Name: "ready", Apply: e.requireConfiguration},
		{Name: "admit", Apply: e.admit},
		{Name: "pick", Apply: e.pick},
		{Name: "claim", Apply: e.claim},
		{Name: "dispatch", Apply: e.dispatchWithRetries},
		{Name: "settle", Apply: e.settle},
	}
}

// ServeHTTP answers one caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, raw *http.Request) {
	started := e.now()
	e.inProgress.Add(1)
	defer e.inProgress.Add(-1)
	if e.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	r := &request{raw: raw}
	st := e.pipeline.Run(raw.Context(), r)
	if !st.Passed() && r.claimed {
		// The claim must not outlive a request that ended early.
		e.settle(raw.Context(), r)
	}
	e.release(r)
	e.writeAnswer(raw.Context(), w, r)
	e.logDecision(r, st, e.now().Sub(started))
}

// requireConfiguration refuses work that this entry could only route by an old configuration.
//
// An entry that is cut off from the control group does not see that a service
// was moved or a target removed; it would be noticed as answers by rules that
// the operators have replaced. The agent is the other half of this check: it
// serves when either side of the hop is fresh, so an entry past the bound may
// still pass requests on to agents, which then decide.
func (e *Entry) requireConfiguration(_ context.Context, r *request) pipeline.Status {
	if e.control.ConfirmedAt().IsZero() {
		r.answer = notRun(apiv1.Reason_REASON_STALE_CONFIGURATION, "this host has no confirmed configuration yet", defaultRetryAfter)
		return pipeline.Rejected("no confirmed configuration")
	}
	return pipeline.Status{}
}

// admit asks the router for a place among the requests in progress; it waits in
// the router's queue while the request can still finish in time.
func (e *Entry) admit(ctx context.Context, r *request) pipeline.Status {
	r.Woken = make(chan route.Admission, 1)
	a := e.router.Admit(e.now(), &r.Request)
	if a.Queued {
		a = e.awaitAdmission(ctx, r, a)
	}
	if !a.OK {
		r.answer = notRun(a.Reason, a.Text, a.RetryAfter)
		return pipeline.Rejected(a.Text)
	}
	r.admitted = true
	return pipeline.Status{}
}

// awaitAdmission waits until the router wakes the request, its time is up, or the
// caller is gone.
func (e *Entry) awaitAdmission(ctx context.Context, r *request, a route.Admission) route.Admission {
	timer := time.NewTimer(a.LatestStart.Sub(e.now()))
	defer timer.Stop()
	select {
	case woken := <-r.Woken:
		return woken
	case <-timer.C:
	case <-ctx.Done():
	}
	given, ok := e.router.Abandon(e.now(), &r.Request)
	if !ok {
		// The router woke it at the same moment; that admission counts.
		return <-r.Woken
	}
	return given
}

// pick chooses the target of the first dispatch, so that a claim can name it.
func (e *Entry) pick(_ context.Context, r *request) pipeline.Status {
	c, ok := e.router.Pick(e.now(), &r.Request)
	if !ok {
		retryAfter := e.router.RetryAfter(e.now(), r.Service)
		r.answer = notRun(apiv1.Reason_REASON_NO_TARGET, c.Reason, retryAfter)
		return pipeline.Rejected(c.Reason)
	}
	r.choice = &c
	return pipeline.Status{}
}

// dispatchWithRetries dispatches the request until it has a final outcome. Another dispatch
// follows only where the router allows it: after a proven "not run", or for an
// idempotent request within the retry budget.
func (e *Entry) dispatchWithRetries(ctx context.Context, r *request) pipeline.Status {
	for {
		a := e.dispatchHedged(ctx, r)
		r.recordAttempt(&a)
		if a.outcome == apiv1.Outcome_OUTCOME_ANSWERED {
			return pipeline.Status{}
		}
		d := e.router.Retry(e.now(), &r.Request, a.outcome, a.reason)
		if !d.Allowed {
			r.setRetryAfter(a.retryAfter, e.router.RetryAfter(e.now(), r.Service))
			return r.finalStatus(d.Text)
		}
		if !e.sleepWithinDeadline(ctx, r, d.Delay) {
			return r.finalStatus("no time for another attempt")
		}
		best := r.answer
		st := e.pick(ctx, r)
		if st.Passed() {
			st = e.claimNextAttempt(ctx, r)
		}
		if !st.Passed() {
			r.keepBest(best)
			return st
		}
		e.logAttempt(r, r.choice, r.dispatches+1, "retried")
	}
}

// finalStatus is the status of a request that gets no further attempt.
func (r *request) finalStatus(why string) pipeline.Status {
	if provesRun(r.answer.outcome) {
		return pipeline.Status{}
	}
	return pipeline.Rejected(why)
}

// claimNextAttempt moves the claim to the next attempt after one that was proven not run.
func (e *Entry) claimNextAttempt(ctx context.Context, r *request) pipeline.Status {
	if !r.claimed {
		return pipeline.Status{}
	}
	r.claimed = false
	return e.claim(ctx, r)
}

// recordAttempt makes an attempt's outcome the request's answer, unless an earlier one
// says more.
func (r *request) recordAttempt(a *attempt) {
	if r.claimed && a.outcome == apiv1.Outcome_OUTCOME_NOT_RUN {
		r.confirmedNotRun = a.number
	}
	best := r.answer
	r.answer = answer{
		outcome:    a.outcome,
		reason:     a.reason,
		message:    a.message,
		target:     a.target.ID,
		response:   a.response,
		retryAfter: a.retryAfter,
	}
	r.keepBest(best)
}

// outcomeRank orders outcomes by how much they say about the whole request: it was run
// if any attempt was, and may have been run if the outcome of any is unknown.
var outcomeRank = map[apiv1.Outcome]int{
	apiv1.Outcome_OUTCOME_NOT_RUN:  1,
	apiv1.Outcome_OUTCOME_UNKNOWN:  2,
	apiv1.Outcome_OUTCOME_FAILED:   3,
	apiv1.Outcome_OUTCOME_ANSWERED: 4,
}

// keepBest keeps an earlier attempt's answer over a later one that says less: a
// last attempt that did not run must not hide an earlier one that may have.
func (r *request) keepBest(earlier answer) {
	if outcomeRank[earlier.outcome] > outcomeRank[r.answer.outcome] {
		r.answer = earlier
	}
}

// setRetryAfter takes the longer of the waits that the agent and the router ask for.
func (r *request) setRetryAfter(agent, router time.Duration) {
	if provesRun(r.answer.outcome) {
		return
	}
	r.answer.retryAfter = max(agent, router, minRetryAfter)
}

// release gives the request's place back to the router, once.
func (e *Entry) release(r *request) {
	if !r.admitted {
		return
	}
	r.admitted = false
	route.Deliver(e.router.Release(e.now(), &r.Request, r.answer.outcome))
}

// sleepWithinDeadline waits within the request's time; false when that or the caller is gone.
func (e *Entry) sleepWithinDeadline(ctx context.Context, r *request, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	if e.now().Add(d).After(r.Deadline) {
		return false
	}
	return sleepContext(ctx, d)
}

// logDecision leaves the one line per request that tells what was decided.
func (e *Entry) logDecision(r *request, st pipeline.Status, took time.Duration) {
	e.metrics.recordOutcome(r.answer.outcome, took)
	e.recordDecision(r, st)
	fields := []zap.Field{
		zap.String("request", r.ID),
		zap.String("service", r.Service),
		zap.String("caller", r.Caller),
		zap.String("outcome", outcomeNames[r.answer.outcome]),
		zap.String("target", r.answer.target),
		zap.Uint32("attempts", r.dispatches),
		zap.Duration("took", took),
	}
	if r.choice != nil {
		fields = append(fields, zap.Int("candidates", r.choice.Candidates), zap.String("choice", r.choice.Reason))
	}
	if !st.Passed() {
		fields = append(fields, zap.String("filter", st.Filter), zap.String("reason", st.Reason))
	}
	if r.answer.reason != apiv1.Reason_REASON_UNSPECIFIED {
		fields = append(fields, zap.String("cause", reasonName(r.answer.reason)))
	}
	e.routeLog.Info("request decided", fields...)
}

// recordDecision keeps the decision for operators who ask.
func (e *Entry) recordDecision(r *request, st pipeline.Status) {
	one := routeDecision{
		at:      e.now(),
		request: r.ID,
		attempt: r.dispatches,
		target:  r.answer.target,
		reason:  st.Reason,
	}
	if r.choice != nil {
		one.candidates = r.choice.Candidates
	}
	if st.Passed() {
		one.reason = outcomeNames[r.answer.outcome]
	}
	e.decisions.add(one)
}

// logAttempt leaves a line for each further dispatch; the first is told of by
// the request's own line.
func (e *Entry) logAttempt(r *request, c *route.Choice, number uint32, why string) {
	e.routeLog.Info(fmt.Sprintf("attempt %s", why),
		zap.String("request", r.ID),
		zap.String("target", c.Target.ID),
		zap.Uint32("attempt", number),
		zap.Int("candidates", c.Candidates),
		zap.String("choice", c.Reason))
}
