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
	// dialTimeout bounds the connection to an agent. Nothing was sent to a host that does
	// not accept the connection, so an unresponsive host should cost a request little time.
	dialTimeout    = 300 * time.Millisecond
	maxIdlePerHost = 512
	// revokeTimeDivisor and maxRevokeTime determine the part of a request's time that is
	// reserved for revocations; see workDeadline.
	revokeTimeDivisor = 10
	maxRevokeTime     = 100 * time.Millisecond
	// maxStatus is the highest valid HTTP status (RFC 9110, section 15).
	maxStatus = 599
)

var dialer = &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}

// attempt is one dispatch and its outcome.
type attempt struct {
	target   route.Target
	number   uint32
	outcome  apiv1.Outcome
	reason   apiv1.Reason
	message  string
	response *apiv1.HttpResponse
	load     *apiv1.Load
	// retryAfter is the time until the agent expects the target to have free capacity again.
	retryAfter time.Duration
	latency    time.Duration
	// running is set while the target still runs the attempt.
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

// setNotSent sets the outcome of an attempt that is not sent because the deadline passed while
// its claim was made or while this process was paused. A call with an expired context fails in
// the same way as one that was sent and got no response: without this check the caller would get
// the outcome "unknown", and the router would count the target as slow.
func (a *attempt) setNotSent() {
	a.outcome = apiv1.Outcome_OUTCOME_NOT_RUN
	a.reason = apiv1.Reason_REASON_DEADLINE
	a.message = "the deadline passed before the request was sent"
}

// workDeadline returns when claims and dispatches end. The last part of the request's time
// remains for determining the outcome of an attempt and for answering the caller.
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

// localName returns the target's name on its agent.
func localName(t route.Target) string { return t.ID[len(t.Agent)+1:] }

// validateResponse sets the attempt's outcome from an agent's response if the response is
// complete and belongs to the attempt.
//
// A response that belongs to another request would disclose its content to the wrong caller, and
// a truncated one would look complete; only the caller could notice either. Such a response is
// dropped and the outcome is unknown, since the target may have run the attempt.
func (e *Entry) validateResponse(r *request, a *attempt, resp *apiv1.DispatchResponse) {
	if resp.GetRequestId() != r.ID || resp.GetAttempt() != a.number {
		e.metrics.wrongAnswers.Inc(1)
		a.outcome = apiv1.Outcome_OUTCOME_UNKNOWN
		a.reason = apiv1.Reason_REASON_WRONG_ANSWER
		a.message = "the response belongs to another request"
		return
	}
	a.outcome = resp.GetOutcome()
	a.reason = resp.GetReason()
	a.message = resp.GetMessage()
	a.load = resp.GetLoad()
	a.retryAfter = time.Duration(resp.GetRetryAfterMs()) * time.Millisecond
	a.response = resp.GetResponse()
	if a.reason == apiv1.Reason_REASON_DUPLICATE {
		// The agent refused this copy; the one that arrived before it may have run.
		a.outcome = apiv1.Outcome_OUTCOME_UNKNOWN
	}
	if provesRun(a.outcome) && !isComplete(a.response) {
		e.metrics.brokenAnswers.Inc(1)
		a.outcome = apiv1.Outcome_OUTCOME_UNKNOWN
		a.reason = apiv1.Reason_REASON_BROKEN_ANSWER
		a.message = "the response is incomplete"
		a.response = nil
	}
}

// isComplete reports whether a response can be passed on: its body matches the checksum and its
// HTTP status is a final one.
func isComplete(resp *apiv1.HttpResponse) bool {
	status := resp.GetStatus()
	if status < http.StatusOK || status > maxStatus {
		return false
	}
	return xxhash.Sum64(resp.GetBody()) == resp.GetBodyChecksum()
}

// resolveLost determines the outcome of an attempt that ended without a response of the agent.
// If the connection was never established, nothing was sent. Otherwise only the agent knows the
// outcome: a revocation that it confirms leaves a tombstone, so that it refuses the dispatch if
// that arrives later.
func (e *Entry) resolveLost(r *request, a *attempt, client apiv1.Agent, err error) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		a.outcome = apiv1.Outcome_OUTCOME_NOT_RUN
		a.reason = apiv1.Reason_REASON_TARGET_UNREACHABLE
		a.message = "the agent is unreachable"
		return
	}
	a.outcome = apiv1.Outcome_OUTCOME_UNKNOWN
	a.reason = apiv1.Reason_REASON_DEADLINE
	a.message = "the agent did not respond"
	left := r.Deadline.Sub(e.now())
	bound := min(left, maxRevokeTime)
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	resp, err := revoke(ctx, client, &apiv1.RevokeRequest{
		RequestId:        r.ID,
		Attempt:          a.number,
		AgentIncarnation: a.target.AgentIncarnation,
		// The age must also hold for the last retry that revoke makes within bound.
		AgeMs: (a.latency + bound).Milliseconds() + 1,
	})
	if err != nil {
		return
	}
	a.applyRevocation(resp)
}

// applyRevocation sets the outcome of an attempt from the agent's response to a revocation.
func (a *attempt) applyRevocation(resp *apiv1.RevokeResponse) {
	a.running = resp.GetRunning()
	switch resp.GetOutcome() {
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		a.outcome = apiv1.Outcome_OUTCOME_NOT_RUN
		a.reason = apiv1.Reason_REASON_REVOKED
		a.message = "the attempt was revoked before it ran"
	case apiv1.Outcome_OUTCOME_ANSWERED, apiv1.Outcome_OUTCOME_FAILED:
		if !isComplete(resp.GetResponse()) {
			a.message = "the attempt ran, but its response is no longer stored"
			return
		}
		a.outcome = resp.GetOutcome()
		a.reason = resp.GetReason()
		a.response = resp.GetResponse()
	}
}
