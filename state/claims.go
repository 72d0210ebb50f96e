package state

import (
	"bytes"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// DefaultClaimWindow applies to claims that specify no window.
	DefaultClaimWindow = 24 * time.Hour
	// MaxClaimWindow bounds the window that a claim may request, from the claim to
	// the expiry of its key.
	MaxClaimWindow = 7 * 24 * time.Hour
	// MaxClaims bounds the number of retained claims. A claim above it is refused,
	// and the entry can correctly report the request as not run. A settled claim takes
	// about 550 bytes without its response, so this bound limits claims to about
	// 110 MB. A claim is retained for two windows, so at most MaxClaims claims can be
	// made in that time; a host with a higher rate needs a shorter window.
	MaxClaims = 200_000
	// MaxResponseBytes bounds the headers and body of one stored response. For a
	// larger response only the outcome of the request is stored.
	MaxResponseBytes = 256 << 10
	// MaxTotalResponseBytes bounds all stored responses together. The responses that
	// were stored first are dropped first; their outcomes are kept.
	MaxTotalResponseBytes = 64 << 20
)

func claimWindow(c *apiv1.Claim) time.Duration {
	w := time.Duration(min(c.WindowMs, MaxClaimWindow.Milliseconds())) * time.Millisecond
	if w <= 0 {
		return DefaultClaimWindow
	}
	return w
}

// claim binds a key to one request. At most one attempt per key is open at any time,
// and the result reports whether it is the claimant's.
func (m *Machine) claim(c *apiv1.Claim) *apiv1.Result {
	if c.GetKey() == "" || c.GetRequestId() == "" || c.GetAttempt() == 0 {
		return refuseClaim(apiv1.Reason_REASON_BAD_REQUEST, nil)
	}
	existing := m.claims.byKey[claimKey{c.Service, c.Key}]
	if existing != nil && existing.deletionTime() <= m.timeMs {
		// The clean-up has not reached this claim, which is already due for deletion.
		m.claims.remove(existing)
		existing = nil
	}
	if existing == nil {
		return m.claimNewKey(c)
	}
	return m.claimKnownKey(existing.record, c)
}

func (m *Machine) claimNewKey(c *apiv1.Claim) *apiv1.Result {
	window := claimWindow(c).Milliseconds()
	switch {
	case c.KeyTimeMs != 0 && c.KeyTimeMs <= m.timeMs-window:
		// The key may have been used, and its claim deleted, since it was created.
		return refuseClaim(apiv1.Reason_REASON_KEY_EXPIRED, nil)
	case c.ReplacesAttempt != 0:
		// The attempt to replace has no record, so its outcome is unknown.
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

// bindClaim makes the claimant's attempt the only one that may run.
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

// currentAttemptAge returns the time since the current attempt was claimed, at least
// one millisecond. It is 0 if the claim was stamped with another leader's clock, since
// the difference of two hosts' clocks is not an age.
func (m *Machine) currentAttemptAge(r *apiv1.ClaimRecord) int64 {
	if r.ClaimedClockTerm == 0 || r.ClaimedClockTerm != m.clockTerm {
		return 0
	}
	return max(0, m.commandTimeMs-r.ClaimedMs) + 1
}

// claimKnownKey decides on a claim of a key that has a record.
func (m *Machine) claimKnownKey(r *apiv1.ClaimRecord, c *apiv1.Claim) *apiv1.Result {
	switch {
	case !bytes.Equal(r.RequestDigest, c.RequestDigest):
		// The recorded response belongs to another request and is not returned.
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
		// The claimant sends its claim again because the first result was lost.
		return grantClaim(apiv1.Verdict_VERDICT_REPEATED)
	}
	return m.conflictingClaim(r, apiv1.Reason_REASON_KEY_IN_PROGRESS)
}

// replaceClaim opens the next attempt in place of one that is confirmed as not run.
// It must name the request as well as the attempt: the attempts of each request under
// one key are counted from one, so a delayed replacement could otherwise replace a
// running attempt of another request.
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

// reclaim grants a key whose last request was settled as not run. A delayed copy of an
// earlier claim is not a new request, since no caller waits for its response.
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

func refuseClaim(reason apiv1.Reason, existing *apiv1.ClaimRecord) *apiv1.Result {
	return &apiv1.Result{
		Verdict: apiv1.Verdict_VERDICT_REFUSED,
		Claim:   &apiv1.ClaimResult{Standing: existing, Reason: reason},
	}
}

// conflictingClaim returns a conflict with a copy of the record. It must be a copy
// because the result is used after this Apply, when the record may change.
func (m *Machine) conflictingClaim(r *apiv1.ClaimRecord, reason apiv1.Reason) *apiv1.Result {
	return &apiv1.Result{
		Verdict: apiv1.Verdict_VERDICT_CONFLICT,
		Claim:   &apiv1.ClaimResult{Standing: copyClaim(r), Reason: reason, StandingAgeMs: m.currentAttemptAge(r)},
	}
}

// settle stores the outcome of the current attempt. The first outcome is final, since a
// caller may have received it. Only "unknown" may be replaced, by an outcome that the
// agent reports when it is queried later; otherwise the key would stay unknown although
// the agent has the response.
func (m *Machine) settle(s *apiv1.Settle) *apiv1.Result {
	c := m.claims.byKey[claimKey{s.GetService(), s.GetKey()}]
	if c == nil || c.record.ExpiresMs <= m.timeMs {
		return conflict("no claim of this key is in effect")
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

// copyClaim copies the fields of a record that a claimant needs. The copy shares the
// digest and the response, which are never changed in place. The time of the claim is
// left out: a claimant gets its age instead, which does not depend on which host's
// clock the claimant reads.
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
