package gate

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Revocation asks the gate to end an attempt.
type Revocation struct {
	Key         Key
	Incarnation uint64
	// Age bounds the time since the attempt was first sent from above, when the
	// revocation was sent; zero when the asker can't tell.
	Age time.Duration
}

// RevokeResult is what the gate knows of an attempt that was given up on.
type RevokeResult struct {
	Verdict Verdict
	// Running says that the attempt is in progress; ask again for its outcome.
	Running bool
}

// Revoke tells what became of an attempt, and when it did not arrive, makes sure
// that it will never run.
func (g *Gate) Revoke(now time.Time, r Revocation) RevokeResult {
	if r.Incarnation != g.incarnation {
		// The process that may have run it is gone with its records.
		return unknownResult(apiv1.Reason_REASON_STALE_INCARNATION, "agent was restarted since")
	}
	if rec := g.records.get(now, r.Key); rec != nil {
		g.revokeWaiting(now, rec)
		return rec.revokeResult()
	}
	if !g.recordsCover(now, r.Age) {
		return unknownResult(apiv1.Reason_REASON_UNSPECIFIED, "records do not reach back that far")
	}
	if !g.tombstones.add(now, r.Key) {
		return unknownResult(apiv1.Reason_REASON_OVERLOADED, "no room for another tombstone")
	}
	return RevokeResult{Verdict: Verdict{
		Outcome: apiv1.Outcome_OUTCOME_NOT_RUN,
		Reason:  apiv1.Reason_REASON_REVOKED,
		Message: "attempt did not arrive and will be refused",
	}}
}

// recordsCover reports whether an attempt first sent that long ago would have a
// record if it had been let through. Without this check an attempt that ran and
// whose record was dropped since would be called "not run", and be run again.
func (g *Gate) recordsCover(now time.Time, age time.Duration) bool {
	if g.records.horizon.IsZero() {
		return true // No record was ever dropped.
	}
	return age > 0 && now.Add(-age-g.limits.RevokeMargin).After(g.records.horizon)
}

// revokeWaiting ends an attempt that waits. Its dispatch has arrived; the tombstone
// is for a copy of it that is still under way when the record is gone.
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
