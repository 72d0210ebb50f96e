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
	// claimPollFirst and claimPollMax are the first and the longest interval between two
	// checks of a claim that another request holds; the interval doubles in between.
	claimPollFirst = 20 * time.Millisecond
	claimPollMax   = 500 * time.Millisecond
	// clockRateDivisor increases durations measured by the leader by one hundredth, ten times
	// the bound on the rate error of hosts' clocks in the default settings.
	clockRateDivisor = 100
	// maxStoredAnswer is the largest response body, in bytes, that the replicated log keeps
	// for resends.
	maxStoredAnswer = 64 << 10
	// orphanRevokeTimeout bounds the revocation of a request of another entry.
	orphanRevokeTimeout = 500 * time.Millisecond
	// claimTimeout bounds one claim: ten election timeouts of the default settings. A
	// caller that would wait longer is refused with a Retry-After.
	claimTimeout = 5 * time.Second
	// settleTimeout bounds the proposal that stores an outcome.
	settleTimeout = 5 * time.Second
)

// claim binds the idempotency key to the request in the replicated log before the first dispatch,
// so that the binding holds for every entry.
//
// Without it, a resend that reaches another entry would run the request twice. The claim names
// the agent and the attempt of the dispatch that follows, so that any entry can query that agent
// for the outcome if this entry fails in between.
//
// All claims of a request together end by its deadline. While the control group has no leader,
// each claim waits for one. If claims had only a timeout of their own, the caller would give up
// before it receives "not run", and would not know that a retry is safe.
func (e *Entry) claim(ctx context.Context, r *request) pipeline.Status {
	if r.key == "" {
		return pipeline.Status{}
	}
	ctx, cancel := context.WithDeadline(ctx, r.workDeadline(e.now()))
	defer cancel()
	poll := claimPollFirst
	keyHeld := false
	for {
		requestedAt := e.now()
		res, err := e.proposeClaim(ctx, r)
		switch {
		case err != nil && keyHeld:
			return e.claimInDoubt(r, err)
		case err != nil:
			return e.claimFailed(r, err)
		}
		c := res.GetClaim()
		if c.GetGranted() {
			r.claimed = true
			return pipeline.Status{}
		}
		keyHeld = keyHeld || c.GetStanding() != nil
		st, again := e.resolveExistingClaim(ctx, r, existingClaim{c, requestedAt}, poll < claimPollMax)
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

// existingClaim is a claim that another request holds, and the time at which this entry queried
// the log.
type existingClaim struct {
	*apiv1.ClaimResult
	requestedAt time.Time
}

// maxAgeMs returns an upper bound on the time since the claimed attempt was sent: the age that the
// log reports, increased by the possible rate error of the leader's clock, plus the time since the
// query. It is 0 when the log does not know the age.
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

// claimFailed answers a request whose claim could not be made. Nothing was dispatched, so
// "not run" is correct even if the claim is committed later: a resend then finds the claim, and
// the agent that it names confirms that the attempt never ran.
func (e *Entry) claimFailed(r *request, err error) pipeline.Status {
	r.answer = notRun(apiv1.Reason_REASON_NO_QUORUM, "the idempotency key cannot be recorded at this time", claimRetryAfter(err))
	return pipeline.Rejected("no quorum")
}

// claimInDoubt answers a request whose claim could not be checked again after another request was
// found to hold the key. That request may have run, so "not run" would be incorrect: a caller that
// then sent the request under a new key would have it run twice.
func (e *Entry) claimInDoubt(r *request, err error) pipeline.Status {
	r.answer = unknown(apiv1.Reason_REASON_KEY_IN_PROGRESS,
		"a request with this key was running; its outcome cannot be determined at this time", claimRetryAfter(err))
	return pipeline.Rejected("key in progress, no quorum")
}

func claimRetryAfter(err error) time.Duration {
	var unavailable *control.UnavailableError
	if errors.As(err, &unavailable) && unavailable.RetryAfter > 0 {
		return unavailable.RetryAfter
	}
	return defaultRetryAfter
}

// resolveExistingClaim answers a request from a claim that another request with the same key holds.
// It returns again when the claim may have changed and must be checked once more.
//
// While patient is set, an unsettled claim is left to its entry as long as that entry is alive.
// After that, and if the outcome was unknown, the agent is queried: the entry may have restarted
// under the same name since, or the outcome may have been lost on its way to the log. No other
// process would settle the claim then, and callers would get "in progress" forever.
func (e *Entry) resolveExistingClaim(ctx context.Context, r *request, c existingClaim, patient bool) (st pipeline.Status, again bool) {
	record := c.GetStanding()
	switch {
	case c.GetReason() == apiv1.Reason_REASON_KEY_EXPIRED:
		r.answer = badRequest(http.StatusConflict, c.GetReason(), "the idempotency key is older than its retention window")
		return pipeline.Rejected("key expired"), false
	case c.GetReason() == apiv1.Reason_REASON_KEY_REUSED || record != nil && !bytes.Equal(record.GetRequestDigest(), r.digest):
		r.answer = badRequest(http.StatusUnprocessableEntity, apiv1.Reason_REASON_KEY_REUSED, "the idempotency key was used for another request")
		return pipeline.Rejected("key reused"), false
	case record == nil:
		r.answer = notRun(c.GetReason(), "the idempotency key cannot be claimed at this time", defaultRetryAfter)
		return pipeline.Rejected("claim refused"), false
	case record.GetSettled() && record.GetOutcome() != apiv1.Outcome_OUTCOME_UNKNOWN:
		r.answer = storedAnswer(record)
		return pipeline.Finished("answered from the stored claim"), false
	case patient && !record.GetSettled() && (e.peerAlive(record.GetEntry()) || record.GetEntry() == e.settings.Name):
		return pipeline.Status{}, true
	}
	return e.resolveOrphan(ctx, r, c)
}

// storedAnswer returns the stored outcome of the request that holds the key.
func storedAnswer(record *apiv1.ClaimRecord) answer {
	if provesRun(record.GetOutcome()) && record.GetResponse() == nil {
		return unknown(record.GetReason(), "the request ran; its response was too large to store", 0)
	}
	return answer{outcome: record.GetOutcome(), reason: record.GetReason(), response: record.GetResponse()}
}

// resolveOrphan determines the outcome of a claimed request whose entry does not settle it. The
// agent that the claim names either confirms that the attempt never ran and never will, or still
// has the response. Otherwise the outcome is unknown and the request is not run again.
func (e *Entry) resolveOrphan(ctx context.Context, r *request, c existingClaim) (pipeline.Status, bool) {
	record := c.GetStanding()
	address := e.agentAddress(record.GetAgent(), record.GetAgentIncarnation())
	if address == "" {
		r.answer = unknown(apiv1.Reason_REASON_KEY_IN_PROGRESS, "the host that may have run the request is no longer available", defaultRetryAfter)
		return pipeline.Rejected("outcome unknown"), false
	}
	ctx, cancel := context.WithTimeout(ctx, min(r.Deadline.Sub(e.now()), orphanRevokeTimeout))
	defer cancel()
	resp, err := revoke(ctx, e.agents.client(address), &apiv1.RevokeRequest{
		RequestId:        record.GetRequestId(),
		Attempt:          record.GetAttempt(),
		AgentIncarnation: record.GetAgentIncarnation(),
		AgeMs:            c.maxAgeMs(e.now()),
	})
	if err != nil {
		r.answer = unknown(apiv1.Reason_REASON_KEY_IN_PROGRESS, "the host that may have run the request is unreachable", defaultRetryAfter)
		return pipeline.Rejected("outcome unknown"), false
	}
	a := attempt{outcome: apiv1.Outcome_OUTCOME_UNKNOWN, number: record.GetAttempt()}
	a.applyRevocation(resp)
	switch {
	case a.outcome == apiv1.Outcome_OUTCOME_NOT_RUN:
		return e.releaseKey(ctx, r, record)
	case provesRun(a.outcome):
		r.answer = answer{outcome: a.outcome, reason: a.reason, response: a.response}
		e.settleAsync(settleCommand(record.GetService(), record.GetKey(), record.GetRequestId(), record.GetAttempt(), &r.answer))
		return pipeline.Finished("answered by the agent of the first request"), false
	case a.running:
		return pipeline.Status{}, true
	}
	r.answer = unknown(apiv1.Reason_REASON_KEY_IN_PROGRESS, "the outcome of the first request with this key is unknown", defaultRetryAfter)
	return pipeline.Rejected("outcome unknown"), false
}

// releaseKey records that the attempt that holds the key never ran, so that the next claim of the
// key is granted. If the log rejects the record, the claim has changed in the meantime, and the
// caller checks it again.
func (e *Entry) releaseKey(ctx context.Context, r *request, record *apiv1.ClaimRecord) (pipeline.Status, bool) {
	outcome := notRun(apiv1.Reason_REASON_REVOKED, "", 0)
	s := settleCommand(record.GetService(), record.GetKey(), record.GetRequestId(), record.GetAttempt(), &outcome)
	_, err := e.control.Propose(ctx, &apiv1.Command{Body: &apiv1.Command_Settle{Settle: s}})
	if err != nil {
		return e.claimFailed(r, err), false
	}
	return pipeline.Status{}, true
}

// settle stores the outcome of a claimed request for resends. It does not delay the answer: a
// resend that arrives before the outcome is stored queries the agent.
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

// settleAsync proposes the outcome in the background. If the proposal fails, the claim remains
// unsettled: a resend then gets the response that the agent stored, or "unknown".
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
