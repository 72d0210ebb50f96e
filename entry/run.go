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

// requestPipeline returns the stages of a caller's request.
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

// ServeHTTP handles one caller's request.
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
		// A request that ended early must not leave its claim unsettled.
		e.settle(raw.Context(), r)
	}
	e.release(r)
	e.writeAnswer(raw.Context(), w, r)
	e.logDecision(r, st, e.now().Sub(started))
}

// requireConfiguration refuses requests while this entry has no confirmed configuration.
//
// An entry that is disconnected from the control group does not see that a service was moved or a
// target removed; callers would get responses by rules that the operators have replaced. The
// agents make the second half of this check: an agent serves when the entry's configuration or its
// own is fresh, so an entry beyond the staleness bound may still forward requests, and the agents
// decide.
func (e *Entry) requireConfiguration(_ context.Context, r *request) pipeline.Status {
	if e.control.ConfirmedAt().IsZero() {
		r.answer = notRun(apiv1.Reason_REASON_STALE_CONFIGURATION, "this host has no confirmed configuration yet", defaultRetryAfter)
		return pipeline.Rejected("no confirmed configuration")
	}
	return pipeline.Status{}
}

// admit requests admission from the router. The request waits in the router's queue while it can
// still finish in time.
func (e *Entry) admit(ctx context.Context, r *request) pipeline.Status {
	r.Woken = make(chan route.Admission, 1)
	a := e.router.Admit(e.now(), &r.Request)
	if a.Queued {
		a = e.awaitAdmission(ctx, r, a)
	}
	if a.Reason == apiv1.Reason_REASON_NO_TARGET && !a.OK && !e.agentsKnown() {
		a.Reason, a.Text, a.RetryAfter = apiv1.Reason_REASON_NOT_READY, "this host does not know all targets yet", defaultRetryAfter
	}
	if !a.OK {
		r.answer = notRun(a.Reason, a.Text, a.RetryAfter)
		return pipeline.Rejected(a.Text)
	}
	r.admitted = true
	return pipeline.Status{}
}

// awaitAdmission waits until the router wakes the request, its latest start time passes or the
// caller disconnects.
func (e *Entry) awaitAdmission(ctx context.Context, r *request, a route.Admission) route.Admission {
	timer := time.NewTimer(a.LatestStart.Sub(e.now()))
	defer timer.Stop()
	select {
	case woken := <-r.Woken:
		return woken
	case <-timer.C:
	case <-ctx.Done():
	}
	abandoned, ok := e.router.Abandon(e.now(), &r.Request)
	if !ok {
		// The router woke the request concurrently; that admission applies.
		return <-r.Woken
	}
	return abandoned
}

// pick chooses the target of the next dispatch, before the claim that names it.
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

// dispatchWithRetries dispatches the request until it has a final outcome. It dispatches again only
// where the router allows it: after a confirmed "not run", or for an idempotent request within the
// retry budget.
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
			return r.finalStatus("not enough time for another attempt")
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

// finalStatus returns the status of a request that gets no further attempt.
func (r *request) finalStatus(why string) pipeline.Status {
	if provesRun(r.answer.outcome) {
		return pipeline.Status{}
	}
	return pipeline.Rejected(why)
}

// claimNextAttempt moves the claim to the next attempt after one that is confirmed not to have run.
func (e *Entry) claimNextAttempt(ctx context.Context, r *request) pipeline.Status {
	if !r.claimed {
		return pipeline.Status{}
	}
	r.claimed = false
	return e.claim(ctx, r)
}

// recordAttempt makes an attempt's outcome the request's answer, unless an earlier outcome has a
// higher rank.
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

// outcomeRank orders outcomes by how much they imply for the whole request: it ran if any attempt
// ran, and may have run if the outcome of any attempt is unknown.
var outcomeRank = map[apiv1.Outcome]int{
	apiv1.Outcome_OUTCOME_NOT_RUN:  1,
	apiv1.Outcome_OUTCOME_UNKNOWN:  2,
	apiv1.Outcome_OUTCOME_FAILED:   3,
	apiv1.Outcome_OUTCOME_ANSWERED: 4,
}

// keepBest restores an earlier answer whose outcome ranks above the current one: a last attempt
// that did not run must not hide an earlier one that may have run.
func (r *request) keepBest(earlier answer) {
	if outcomeRank[earlier.outcome] > outcomeRank[r.answer.outcome] {
		r.answer = earlier
	}
}

// setRetryAfter sets the longer of the waits given by the agent and the router.
func (r *request) setRetryAfter(agent, router time.Duration) {
	if provesRun(r.answer.outcome) {
		return
	}
	r.answer.retryAfter = max(agent, router, minRetryAfter)
}

// release releases the request's admission in the router; repeated calls have no effect.
func (e *Entry) release(r *request) {
	if !r.admitted {
		return
	}
	r.admitted = false
	route.Deliver(e.router.Release(e.now(), &r.Request, r.answer.outcome))
}

// sleepWithinDeadline waits for d. It returns false if that would exceed the request's deadline or
// if the context ends first.
func (e *Entry) sleepWithinDeadline(ctx context.Context, r *request, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	if e.now().Add(d).After(r.Deadline) {
		return false
	}
	return sleepContext(ctx, d)
}

// logDecision records the request's outcome in the metrics, the decision ring and the log, which
// gets one line per request.
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

// recordDecision keeps the decision for operators' queries.
func (e *Entry) recordDecision(r *request, st pipeline.Status) {
	decision := routeDecision{
		at:      e.now(),
		request: r.ID,
		attempt: r.dispatches,
		target:  r.answer.target,
		reason:  st.Reason,
	}
	if r.choice != nil {
		decision.candidates = r.choice.Candidates
	}
	if st.Passed() {
		decision.reason = outcomeNames[r.answer.outcome]
	}
	e.decisions.add(decision)
}

// logAttempt logs a dispatch after the first; the request's own line covers the first.
func (e *Entry) logAttempt(r *request, c *route.Choice, number uint32, why string) {
	e.routeLog.Info(fmt.Sprintf("attempt %s", why),
		zap.String("request", r.ID),
		zap.String("target", c.Target.ID),
		zap.Uint32("attempt", number),
		zap.Int("candidates", c.Candidates),
		zap.String("choice", c.Reason))
}
