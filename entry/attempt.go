package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/route"
)

const (
	// dialTimeout bounds the connection to an agent: a host cut off in silence
	// must cost a request little, since nothing was sent to it.
	dialTimeout    = 300 * time.Millisecond
	maxIdlePerHost = 512
	// revokeTimeDivisor and maxRevokeTime set aside the last part of a request's time; see
	// workDeadline.
	revokeTimeDivisor = 10
	maxRevokeTime     = 100 * time.Millisecond
	// maxStatus is the highest HTTP status (RFC 9110, 15).
	maxStatus = 599
)

var dialer = &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}

// attempt is one dispatch and what became of it.
type attempt struct {
	target   route.Target
	number   uint32
	outcome  apiv1.Outcome
	reason   apiv1.Reason
	message  string
	response *apiv1.HttpResponse
	load     *apiv1.Load
	// retryAfter is when the agent expects the target to have room again.
	retryAfter time.Duration
	latency    time.Duration
	// running: the target still works on it.
	running bool
}

// dispatch sends one attempt to the target's agent and returns its outcome.
func (e *Entry) dispatch(ctx context.Context, r *request, target route.Target, number uint32) attempt {
	a := attempt{target: target, number: number}
	started := e.now()
	if !started.Before(r.Deadline) {
		a.setNotSent()
		return a
	}
	end := r.workDeadline(started)
	sendCtx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	client := e.agents.client(target.Address)
	resp, err := client.Dispatch(sendCtx, e.dispatchRequest(r, target, number, end.Sub(started)))
	a.latency = e.now().Sub(started)
	if err != nil {
		e.resolveLost(r, &a, client, err)
		return a
	}
	e.validateResponse(r, &a, resp)
	return a
}

// setNotSent is the outcome of an attempt that is not sent, since the deadline passed
// while its claim was made or this process stood still. A call whose time is over fails
// like one that was sent and got no answer: the caller would be told "unknown", and the
// router would count the target as slow.
func (a *attempt) setNotSent() {
	a.outcome = apiv1.Outcome_OUTCOME_NOT_RUN
	a.reason = apiv1.Reason_REASON_DEADLINE
	a.message = "the deadline passed before anything was sent"
}

// workDeadline is when claims and dispatches end, so that the last part of the request's
// time is left to find out what became of an attempt and to answer.
func (r *request) workDeadline(now time.Time) time.Time {
	margin := min(r.Deadline.Sub(now)/revokeTimeDivisor, maxRevokeTime)
	return r.Deadline.Add(-margin)
}

func (e *Entry) dispatchRequest(r *request, target route.Target, number uint32, remaining time.Duration) *apiv1.DispatchRequest {
	return &apiv1.DispatchRequest{
		RequestId:            r.ID,
		Attempt:              number,
		Service:              r.Service,
		Target:               localName(target),
		AgentIncarnation:     target.AgentIncarnation,
		RemainingMs:          remaining.Milliseconds(),
		Request:              r.http,
		ConfigurationVersion: e.services.Load().version,
		ConfirmedAgeMs:       e.confirmedAgeMs(),
		Priority:             r.Priority,
	}
}

// localName is the target's name on its agent.
func localName(t route.Target) string { return t.ID[len(t.Agent)+1:] }

// validateResponse takes an agent's answer if it is whole and belongs to the attempt.
//
// An answer that belongs to another request would disclose it to the wrong caller;
// a truncated one would look complete. Both would be noticed only by the caller.
// Such an answer is dropped and the attempt's outcome is unknown: the target may
// well have run it.
func (e *Entry) validateResponse(r *request, a *attempt, resp *apiv1.DispatchResponse) {
	if resp.GetRequestId() != r.ID || resp.GetAttempt() != a.number {
		e.metrics.wrongAnswers.Inc(1)
		a.outcome = apiv1.Outcome_OUTCOME_UNKNOWN
		a.reason = apiv1.Reason_REASON_WRONG_ANSWER
		a.message = "the answer belongs to another request"
		return
	}
	a.outcome = resp.GetOutcome()
	a.reason = resp.GetReason()
	a.message = resp.GetMessage()
	a.load = resp.GetLoad()
	a.retryAfter = time.Duration(resp.GetRetryAfterMs()) * time.Millisecond
	a.response = resp.GetResponse()
	if a.reason == apiv1.Reason_REASON_DUPLICATE {
		// This copy was refused; the one that came before it may have run.
		a.outcome = apiv1.Outcome_OUTCOME_UNKNOWN
	}
	if provesRun(a.outcome) && !isComplete(a.response) {
		e.metrics.brokenAnswers.Inc(1)
		a.outcome = apiv1.Outcome_OUTCOME_UNKNOWN
		a.reason = apiv1.Reason_REASON_BROKEN_ANSWER
		a.message = "the answer is not whole"
		a.response = nil
	}
}

// isComplete reports whether an answer can be passed on: all of its body, and a final
// HTTP status.
func isComplete(resp *apiv1.HttpResponse) bool {
	status := resp.GetStatus()
	if status < http.StatusOK || status > maxStatus {
		return false
	}
	return xxhash.Sum64(resp.GetBody()) == resp.GetBodyChecksum()
}

// resolveLost finds out what became of an attempt that ended without the agent's
// answer. A connection that was never made sent nothing. Otherwise only the agent
// can tell: a revocation it confirms leaves a tombstone, so that the dispatch,
// should it still be under way, is refused when it arrives.
func (e *Entry) resolveLost(r *request, a *attempt, client apiv1.Agent, err error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.outcome = apiv1.Outcome_OUTCOME_NOT_RUN
		a.reason = apiv1.Reason_REASON_TARGET_UNREACHABLE
		a.message = "the agent can't be reached"
		return
	}
	a.outcome = apiv1.Outcome_OUTCOME_UNKNOWN
	a.reason = apiv1.Reason_REASON_DEADLINE
	a.message = "the agent gave no answer"
	left := r.Deadline.Sub(e.now())
	bound := min(left, maxRevokeTime)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	resp, err := revoke(ctx, client, &apiv1.RevokeRequest{
		RequestId:        r.ID,
		Attempt:          a.number,
		AgentIncarnation: a.target.AgentIncarnation,
		// Also for the last of the tries that revoke makes within bound.
		AgeMs: (a.latency + bound).Milliseconds() + 1,
	})
	if err != nil {
		return
	}
	a.applyRevocation(resp)
}

// applyRevocation takes over what the agent knows of an attempt.
func (a *attempt) applyRevocation(resp *apiv1.RevokeResponse) {
	a.running = resp.GetRunning()
	switch resp.GetOutcome() {
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		a.outcome = apiv1.Outcome_OUTCOME_NOT_RUN
		a.reason = apiv1.Reason_REASON_REVOKED
		a.message = "revoked before it was run"
	case apiv1.Outcome_OUTCOME_ANSWERED, apiv1.Outcome_OUTCOME_FAILED:
		if !isComplete(resp.GetResponse()) {
			a.message = "it ran, and its answer is no longer held"
			return
		}
		a.outcome = resp.GetOutcome()
		a.reason = resp.GetReason()
		a.response = resp.GetResponse()
	}
}
