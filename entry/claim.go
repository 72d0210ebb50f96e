package entry

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/pipeline"
)

const (
	// claimPollFirst and claimPollMax space the looks at a claim that another
	// request holds.
	claimPollFirst = 20 * time.Millisecond
	claimPollMax   = 500 * time.Millisecond
	// clockRateDivisor raises a leader's times by a hundredth, ten times the bound on
	// the rate error of hosts' clocks in the default settings.
	clockRateDivisor = 100
	// maxStoredAnswer bounds an answer kept in the replicated log for resends.
	maxStoredAnswer = 64 << 10
	// orphanRevokeTimeout bounds the revocation of another entry's request.
	orphanRevokeTimeout = 500 * time.Millisecond
	// claimTimeout bounds one claim: ten election timeouts of the default settings. A
	// caller that would wait longer is told to come back.
	claimTimeout = 5 * time.Second
	// settleTimeout bounds the storing of an outcome.
	settleTimeout = 5 * time.Second
)

// claim binds the request's idempotency key to it in the replicated log before
// the first dispatch, whichever entry the caller reached.
//
// Without it a resend that reaches another entry would run the request twice. The
// claim names the agent and attempt of the dispatch that follows, so that any
// entry can ask that agent for its outcome when this one dies in between.
//
// All claims of a request together end by its deadline. While the control group has no
// leader each waits for one; with a bound of its own the caller would have given up
// before it is told "not run", and never learn that it may safely come back.
func (e *Entry) claim(ctx context.Context, r *request) pipeline.Status {
	if r.key == "" {
		return pipeline.Status{}
	}
	ctx, cancel := context.WithDeadline(ctx, r.workDeadline(e.now()))
	defer cancel()
	poll := claimPollFirst
	held := false
	for {
		asked := e.now()
		res, err := e.proposeClaim(ctx, r)
		switch {
		case err != nil && held:
			return e.claimInDoubt(r, err)
		case err != nil:
			return e.claimFailed(r, err)
		}
		c := res.GetClaim()
		if c.GetGranted() {
			r.claimed = true
			return pipeline.Status{}
		}
		held = held || c.GetStanding() != nil
		st, again := e.resolveExistingClaim(ctx, r, existingClaim{c, asked}, poll < claimPollMax)
		if !again {
			return st
		}
		if !e.sleepWithinDeadline(ctx, r, poll) {
			r.answer = unknown(apiv1.Reason_REASON_KEY_IN_PROGRESS,
				"the request with this key is still running", poll)
			return pipeline.Rejected("key in progress")
		}
		poll = min(2*poll, claimPollMax)
	}
}

func (e *Entry) proposeClaim(ctx context.Context, r *request) (*apiv1.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return e.control.Propose(ctx, e.claimCommand(r))
}

// existingClaim is a claim that another request holds, and when the log was asked.
type existingClaim struct {
	*apiv1.ClaimResult
	requestedAt time.Time
}

// maxAgeMs bounds from above how long ago the claimed attempt can have been sent:
// the age that the log gives, raised by what the leader's clock may run slow, and
// the time since it was asked. 0 when the log can't tell.
func (c existingClaim) maxAgeMs(now time.Time) int64 {
	age := c.GetStandingAgeMs()
	if age == 0 {
		return 0
	}
	return age + age/clockRateDivisor + now.Sub(c.requestedAt).Milliseconds() + 1
}

func (e *Entry) claimCommand(r *request) *apiv1.Command {
	return &apiv1.Command{
		Body: &apiv1.Command_Claim{Claim: &apiv1.Claim{
			Service:          r.Service,
			Key:              r.key,
			RequestDigest:    r.digest,
			RequestId:        r.ID,
			Entry:            e.settings.Name,
			Agent:            r.choice.Target.Agent,
			AgentIncarnation: r.choice.Target.AgentIncarnation,
			Attempt:          r.dispatches + 1,
			WindowMs:         e.claimWindow.Milliseconds(),
			KeyTimeMs:        r.keyTime,
			ReplacesAttempt:  r.confirmedNotRun,
		}},
	}
}

// claimFailed words a claim that could not be made. Nothing was dispatched, so
// "not run" is true even if the claim turns out to be committed: a resend then
// finds it, and the named agent proves that the attempt never ran.
func (e *Entry) claimFailed(r *request, err error) pipeline.Status {
	r.answer = notRun(apiv1.Reason_REASON_NO_QUORUM, "the idempotency key can't be recorded now", claimRetryAfter(err))
	return pipeline.Rejected("no quorum")
}

// claimInDoubt words a claim that could not be looked at again after another request was
// seen to hold the key. That one may have run, so "not run" would be false: a caller who
// believed it and sent the request under a new key would have it run twice.
func (e *Entry) claimInDoubt(r *request, err error) pipeline.Status {
	r.answer = unknown(apiv1.Reason_REASON_KEY_IN_PROGRESS,
		"a request with this key was running, and what became of it can't be learnt now", claimRetryAfter(err))
	return pipeline.Rejected("key in progress, no quorum")
}

func claimRetryAfter(err error) time.Duration {
	var unavailable *control.UnavailableError
	if errors.As(err, &unavailable) && unavailable.RetryAfter > 0 {
		return unavailable.RetryAfter
	}
	return defaultRetryAfter
}

// resolveExistingClaim answers from a claim that another request with the same key holds.
// again means: look once more, the claim may have changed.
//
// While patient, the entry that holds an open claim is left alone when it is alive.
// Past that, and when the outcome was unknown, the agent is asked: the holder may
// have restarted under its name since, or lost the outcome on its way to the log,
// and nobody else would ever settle the claim; callers would be told "in progress"
// forever.
func (e *Entry) resolveExistingClaim(ctx context.Context, r *request, c existingClaim, patient bool) (st pipeline.Status, again bool) {
	held := c.GetStanding()
	switch {
	case c.GetReason() == apiv1.Reason_REASON_KEY_EXPIRED:
		r.answer = badRequest(http.StatusConflict, c.GetReason(), "the idempotency key is older than the window it is kept for")
		return pipeline.Rejected("key expired"), false
	case c.GetReason() == apiv1.Reason_REASON_KEY_REUSED || held != nil && !bytes.Equal(held.GetRequestDigest(), r.digest):
		r.answer = badRequest(http.StatusUnprocessableEntity, apiv1.Reason_REASON_KEY_REUSED, "the idempotency key was used for another request")
		return pipeline.Rejected("key reused"), false
	case held == nil:
		r.answer = notRun(c.GetReason(), "the idempotency key can't be taken now", defaultRetryAfter)
		return pipeline.Rejected("claim refused"), false
	case held.GetSettled() && held.GetOutcome() != apiv1.Outcome_OUTCOME_UNKNOWN:
		r.answer = storedAnswer(held)
		return pipeline.Finished("answered from the claim"), false
	case patient && !held.GetSettled() && (e.peerAlive(held.GetEntry()) || held.GetEntry() == e.settings.Name):
		return pipeline.Status{}, true
	}
	return e.resolveOrphan(ctx, r, c)
}

// storedAnswer repeats the outcome of the request that held the key.
func storedAnswer(held *apiv1.ClaimRecord) answer {
	if provesRun(held.GetOutcome()) && held.GetResponse() == nil {
		return unknown(held.GetReason(), "the request was run; its answer was too large to keep", 0)
	}
	return answer{outcome: held.GetOutcome(), reason: held.GetReason(), response: held.GetResponse()}
}

// resolveOrphan finds the outcome of a claimed request whose entry is gone. The agent that
// the claim names either proves that the attempt never ran, and never will, or
// still has its answer; otherwise the outcome is unknown and the request is not run
// again.
func (e *Entry) resolveOrphan(ctx context.Context, r *request, c existingClaim) (pipeline.Status, bool) {
	held := c.GetStanding()
	address := e.agentAddress(held.GetAgent(), held.GetAgentIncarnation())
	if address == "" {
		r.answer = unknown(apiv1.Reason_REASON_KEY_IN_PROGRESS, "the host that may have run the request is gone", defaultRetryAfter)
		return pipeline.Rejected("fate unknown"), false
	}
	ctx, cancel := context.WithTimeout(ctx, min(r.Deadline.Sub(e.now()), orphanRevokeTimeout))
	defer cancel()
	resp, err := revoke(ctx, e.agents.client(address), &apiv1.RevokeRequest{
		RequestId:        held.GetRequestId(),
		Attempt:          held.GetAttempt(),
		AgentIncarnation: held.GetAgentIncarnation(),
		AgeMs:            c.maxAgeMs(e.now()),
	})
	if err != nil {
		r.answer = unknown(apiv1.Reason_REASON_KEY_IN_PROGRESS, "the host that may have run the request can't be reached", defaultRetryAfter)
		return pipeline.Rejected("fate unknown"), false
	}
	a := attempt{outcome: apiv1.Outcome_OUTCOME_UNKNOWN, number: held.GetAttempt()}
	a.applyRevocation(resp)
	switch {
	case a.outcome == apiv1.Outcome_OUTCOME_NOT_RUN:
		return e.releaseKey(ctx, r, held)
	case provesRun(a.outcome):
		r.answer = answer{outcome: a.outcome, reason: a.reason, response: a.response}
		e.settleAsync(settleCommand(held.GetService(), held.GetKey(), held.GetRequestId(), held.GetAttempt(), &r.answer))
		return pipeline.Finished("answered by the agent of the first request"), false
	case a.running:
		return pipeline.Status{}, true
	}
	r.answer = unknown(apiv1.Reason_REASON_KEY_IN_PROGRESS, "the fate of the first request with this key is not known", defaultRetryAfter)
	return pipeline.Rejected("fate unknown"), false
}

// releaseKey records that the attempt that holds the key never ran, which lets the
// next claim have it. If the log refuses, the claim has moved on in the meantime
// and is looked at again.
func (e *Entry) releaseKey(ctx context.Context, r *request, held *apiv1.ClaimRecord) (pipeline.Status, bool) {
	none := notRun(apiv1.Reason_REASON_REVOKED, "", 0)
	s := settleCommand(held.GetService(), held.GetKey(), held.GetRequestId(), held.GetAttempt(), &none)
	_, err := e.control.Propose(ctx, &apiv1.Command{Body: &apiv1.Command_Settle{Settle: s}})
	if err != nil {
		return e.claimFailed(r, err), false
	}
	return pipeline.Status{}, true
}

// settle stores the outcome of a claimed request for resends. It does not hold
// up the answer: a resend that comes first asks the agent.
func (e *Entry) settle(_ context.Context, r *request) pipeline.Status {
	if r.claimed {
		e.settleAsync(settleCommand(r.Service, r.key, r.ID, r.dispatches, &r.answer))
	}
	return pipeline.Status{}
}

func settleCommand(service, key, requestID string, attempt uint32, a *answer) *apiv1.Settle {
	s := &apiv1.Settle{
		Service:   service,
		Key:       key,
		RequestId: requestID,
		Attempt:   attempt,
		Outcome:   a.outcome,
		Reason:    a.reason,
	}
	if len(a.response.GetBody()) <= maxStoredAnswer {
		s.Response = a.response
	}
	return s
}

// settleAsync proposes the outcome in the background. One that is lost leaves
// the claim unsettled: a resend then gets the agent's answer or "unknown".
func (e *Entry) settleAsync(s *apiv1.Settle) {
	e.background.Go("settle", func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		cmd := &apiv1.Command{Body: &apiv1.Command_Settle{Settle: s}}
		if _, err := e.control.Propose(ctx, cmd); err != nil {
			e.metrics.settlesLost.Inc(1)
			e.log.Warn("outcome not stored", zap.String("request", s.GetRequestId()), zap.Error(err))
		}
	})
}
