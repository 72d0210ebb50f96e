package gate

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Revocation is a request to report the outcome of an attempt, or to prevent it from running.
type Revocation struct {
	Key         Key
	Incarnation uint64
	// Age is an upper bound of the time from the first dispatch of the attempt to the sending
	// of the revocation; zero if the sender does not know it.
	Age time.Duration
}

// RevokeResult is what the gate knows about a revoked attempt.
type RevokeResult struct {
	Verdict Verdict
	// Running reports whether the attempt is in progress; revoke it again for its outcome.
	Running bool
}

// Revoke returns the outcome of an attempt. An attempt that waits is refused; if the attempt
// did not arrive, a tombstone ensures that it will never run.
func (g *Gate) Revoke(now time.Time, r Revocation) RevokeResult {
	if r.Incarnation != g.incarnation {
		// The records of the process that may have run it are lost.
		return unknownResult(apiv1.Reason_REASON_STALE_INCARNATION, "agent has restarted since the dispatch")
	}
	if rec := g.records.get(now, r.Key); rec != nil {
		g.revokeWaiting(now, rec)
		return rec.revokeResult()
	}
	if !g.recordsCover(now, r.Age) {
		return unknownResult(apiv1.Reason_REASON_UNSPECIFIED, "attempt may be older than the oldest record")
	}
	if !g.tombstones.add(now, r.Key) {
		return unknownResult(apiv1.Reason_REASON_OVERLOADED, "too many tombstones are stored")
	}
	return RevokeResult{Verdict: Verdict{
		Outcome: apiv1.Outcome_OUTCOME_NOT_RUN,
		Reason:  apiv1.Reason_REASON_REVOKED,
		Message: "attempt did not arrive and will be refused",
	}}
}

// recordsCover reports whether an attempt of that age would still have a record if it had
// been admitted. Without this check, an attempt that ran and whose record has been dropped
// would be reported as not run, and be run again.
func (g *Gate) recordsCover(now time.Time, age time.Duration) bool {
	if g.records.horizon.IsZero() {
		return true // No record was ever dropped.
	}
	return age > 0 && now.Add(-age-g.limits.RevokeMargin).After(g.records.horizon)
}

// revokeWaiting refuses an attempt that waits. Its dispatch has arrived; the tombstone is
// for a copy of the dispatch that arrives after the record has been dropped.
func (g *Gate) revokeWaiting(now time.Time, r *record) {
	if !r.waiting() {
		return
	}
	g.tombstones.add(now, r.key)
	g.refuseWaiting(now, r, apiv1.Reason_REASON_REVOKED, "revoked while it waited for a slot")
}

func (r *record) revokeResult() RevokeResult {
	if r.running() {
		return RevokeResult{Running: true, Verdict: Verdict{
			Outcome: apiv1.Outcome_OUTCOME_UNKNOWN,
			Message: "attempt is running",
		}}
	}
	return RevokeResult{Verdict: r.verdict}
}

func unknownResult(reason apiv1.Reason, message string) RevokeResult {
	return RevokeResult{Verdict: Verdict{Outcome: apiv1.Outcome_OUTCOME_UNKNOWN, Reason: reason, Message: message}}
}
