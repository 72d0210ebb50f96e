package state

import (
	"bytes"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// DefaultClaimWindow holds for claims that name no window.
	DefaultClaimWindow = 24 * time.Hour
	// MaxClaimWindow bounds how long a claim can ask to be remembered.
	MaxClaimWindow = 7 * 24 * time.Hour
	// MaxClaims bounds the claims remembered; a claim above it is refused, which
	// is a truthful "not run". A settled claim takes some 550 bytes beside its
	// response, so the bound keeps claims near 110 MB. Claims come at most at
	// MaxClaims in two windows: a host with more takes a shorter window.
	MaxClaims = 200_000
	// MaxResponseBytes bounds one stored response, headers and body. The outcome
	// of a request with a larger one is stored without it.
	MaxResponseBytes = 256 << 10
	// MaxTotalResponseBytes bounds all stored responses together. The oldest
	// are dropped first; their outcomes stay.
	MaxTotalResponseBytes = 64 << 20
)

func claimWindow(c *apiv1.Claim) time.Duration {
	w := time.Duration(min(c.WindowMs, MaxClaimWindow.Milliseconds())) * time.Millisecond
	if w <= 0 {
		return DefaultClaimWindow
	}
	return w
}

// claim binds a key to one request. Only one attempt per key is ever open, and
// the answer says whether it is the asker's.
func (m *Machine) claim(c *apiv1.Claim) *apiv1.Result {
	if c.GetKey() == "" || c.GetRequestId() == "" || c.GetAttempt() == 0 {
		return refuseClaim(apiv1.Reason_REASON_BAD_REQUEST, nil)
	}
	standing := m.claims.byKey[claimKey{c.Service, c.Key}]
	if standing != nil && standing.deletionTime() <= m.timeMs {
		// Clean-up is behind; the key counts as forgotten already.
		m.claims.remove(standing)
		standing = nil
	}
	if standing == nil {
		return m.claimNewKey(c)
	}
	return m.claimKnownKey(standing.record, c)
}

func (m *Machine) claimNewKey(c *apiv1.Claim) *apiv1.Result {
	window := claimWindow(c).Milliseconds()
	switch {
	case c.KeyTimeMs != 0 && c.KeyTimeMs <= m.timeMs-window:
		// The key may have been used and forgotten since it was made.
		return refuseClaim(apiv1.Reason_REASON_KEY_EXPIRED, nil)
	case c.ReplacesAttempt != 0:
		// The attempt it names is not standing; what became of it is not known.
		return refuseClaim(apiv1.Reason_REASON_KEY_EXPIRED, nil)
	case len(m.claims.byKey) >= MaxClaims:
		return refuseClaim(apiv1.Reason_REASON_OVERLOADED, nil)
	}
	r := &apiv1.ClaimRecord{
		Service:       c.Service,
		Key:           c.Key,
		RequestDigest: c.RequestDigest,
		ExpiresMs:     m.timeMs + window,
		WindowMs:      window,
	}
	m.bindClaim(r, c)
	m.claims.add(r)
	return grantClaim(apiv1.Verdict_VERDICT_ACCEPTED)
}

// bindClaim makes the claimant's dispatch the one that may run.
func (m *Machine) bindClaim(r *apiv1.ClaimRecord, c *apiv1.Claim) {
	r.RequestId = c.RequestId
	r.Entry = c.Entry
	r.Agent = c.Agent
	r.AgentIncarnation = c.AgentIncarnation
	r.Attempt = c.Attempt
	r.Settled = false
	r.Outcome = apiv1.Outcome_OUTCOME_UNSPECIFIED
	r.Reason = apiv1.Reason_REASON_UNSPECIFIED
	r.SettledIndex = 0
	r.ClaimedMs = m.commandTimeMs
	r.ClaimedClockTerm = m.clockTerm
}

// currentAttemptAge returns how long ago the standing attempt was claimed, at least
// one millisecond; 0 when another leader's clock was read then.
func (m *Machine) currentAttemptAge(r *apiv1.ClaimRecord) int64 {
	if r.ClaimedClockTerm == 0 || r.ClaimedClockTerm != m.clockTerm {
		return 0
	}
	return max(0, m.commandTimeMs-r.ClaimedMs) + 1
}

// claimKnownKey judges a claim of a key that stands.
func (m *Machine) claimKnownKey(r *apiv1.ClaimRecord, c *apiv1.Claim) *apiv1.Result {
	switch {
	case !bytes.Equal(r.RequestDigest, c.RequestDigest):
		// The standing answer belongs to another request and is not shown.
		return refuseClaim(apiv1.Reason_REASON_KEY_REUSED, nil)
	case r.ExpiresMs <= m.timeMs:
		return refuseClaim(apiv1.Reason_REASON_KEY_EXPIRED, nil)
	case c.ReplacesAttempt != 0:
		return m.replaceClaim(r, c)
	case r.Settled && r.Outcome == apiv1.Outcome_OUTCOME_NOT_RUN:
		return m.reclaim(r, c)
	case r.Settled:
		return m.conflictingClaim(r, r.Reason)
	case sameClaim(r, c):
		// The claimant's own resend: its first answer was lost.
		return grantClaim(apiv1.Verdict_VERDICT_REPEATED)
	}
	return m.conflictingClaim(r, apiv1.Reason_REASON_KEY_IN_PROGRESS)
}

// replaceClaim opens the next attempt in place of one that was proven not run.
// It must name the request as well as the attempt: attempts of different requests
// under one key are both counted from one, and a replacement that arrived late
// could otherwise take the place of an attempt that is running.
func (m *Machine) replaceClaim(r *apiv1.ClaimRecord, c *apiv1.Claim) *apiv1.Result {
	switch {
	case r.Settled:
		return m.conflictingClaim(r, r.Reason)
	case sameClaim(r, c):
		return grantClaim(apiv1.Verdict_VERDICT_REPEATED)
	case r.RequestId != c.RequestId || r.Attempt != c.ReplacesAttempt || c.Attempt <= r.Attempt:
		return m.conflictingClaim(r, apiv1.Reason_REASON_KEY_IN_PROGRESS)
	}
	m.bindClaim(r, c)
	return grantClaim(apiv1.Verdict_VERDICT_ACCEPTED)
}

// reclaim grants a key whose last request was settled as not run. A late copy of
// an earlier claim is not a new request: nobody waits for its answer any more.
func (m *Machine) reclaim(r *apiv1.ClaimRecord, c *apiv1.Claim) *apiv1.Result {
	if r.RequestId == c.RequestId && c.Attempt <= r.Attempt {
		return m.conflictingClaim(r, r.Reason)
	}
	m.bindClaim(r, c)
	return grantClaim(apiv1.Verdict_VERDICT_ACCEPTED)
}

func sameClaim(r *apiv1.ClaimRecord, c *apiv1.Claim) bool {
	return r.RequestId == c.RequestId &&
		r.Attempt == c.Attempt &&
		r.Entry == c.Entry &&
		r.Agent == c.Agent &&
		r.AgentIncarnation == c.AgentIncarnation
}

func grantClaim(v apiv1.Verdict) *apiv1.Result {
	return &apiv1.Result{Verdict: v, Claim: &apiv1.ClaimResult{Granted: true}}
}

func refuseClaim(reason apiv1.Reason, standing *apiv1.ClaimRecord) *apiv1.Result {
	return &apiv1.Result{
		Verdict: apiv1.Verdict_VERDICT_REFUSED,
		Claim:   &apiv1.ClaimResult{Standing: standing, Reason: reason},
	}
}

// conflictingClaim shows a copy of the record: the result outlives this Apply.
func (m *Machine) conflictingClaim(r *apiv1.ClaimRecord, reason apiv1.Reason) *apiv1.Result {
	return &apiv1.Result{
		Verdict: apiv1.Verdict_VERDICT_CONFLICT,
		Claim:   &apiv1.ClaimResult{Standing: copyClaim(r), Reason: reason, StandingAgeMs: m.currentAttemptAge(r)},
	}
}

// settle stores the outcome of the standing attempt. The first one wins: a caller
// may have been told of it. Only "unknown" gives way, to whatever the agent that
// was asked later can tell; stored for good, it would be the last word on the key
// though the agent has the answer.
func (m *Machine) settle(s *apiv1.Settle) *apiv1.Result {
	c := m.claims.byKey[claimKey{s.GetService(), s.GetKey()}]
	if c == nil || c.record.ExpiresMs <= m.timeMs {
		return conflict("no claim of this key stands")
	}
	r := c.record
	switch {
	case s.Outcome == apiv1.Outcome_OUTCOME_UNSPECIFIED:
		return refused("a settlement needs an outcome")
	case r.RequestId != s.RequestId || r.Attempt != s.Attempt:
		return conflict("another attempt holds the key")
	case r.Settled && r.Outcome == s.Outcome:
		return repeated("")
	case r.Settled && r.Outcome != apiv1.Outcome_OUTCOME_UNKNOWN:
		return m.conflictingClaim(r, r.Reason)
	}
	r.Settled = true
	r.Outcome = s.Outcome
	r.Reason = s.Reason
	r.SettledIndex = m.index
	if s.Outcome == apiv1.Outcome_OUTCOME_ANSWERED || s.Outcome == apiv1.Outcome_OUTCOME_FAILED {
		m.claims.storeResponse(c, s.Response)
	}
	return accepted("")
}

// copyClaim copies what a claimant needs to know of a record; what it refers to
// is never changed in place. When the attempt was claimed stays out: a claimant
// gets the age, which does not depend on whose clock it reads.
func copyClaim(r *apiv1.ClaimRecord) *apiv1.ClaimRecord {
	return &apiv1.ClaimRecord{
		Service:          r.Service,
		Key:              r.Key,
		RequestDigest:    r.RequestDigest,
		RequestId:        r.RequestId,
		Entry:            r.Entry,
		Agent:            r.Agent,
		AgentIncarnation: r.AgentIncarnation,
		Attempt:          r.Attempt,
		ExpiresMs:        r.ExpiresMs,
		Settled:          r.Settled,
		Outcome:          r.Outcome,
		Reason:           r.Reason,
		Response:         r.Response,
		WindowMs:         r.WindowMs,
		SettledIndex:     r.SettledIndex,
	}
}
