package gate

import (
	"context"
	"fmt"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/pipeline"
)

// admission is the value that the filters check and fill in.
type admission struct {
	now      time.Time
	dispatch Dispatch
	target   *target
	verdict  Verdict
	// latestStart is set for an attempt that waits.
	latestStart time.Time
	// wait reports whether the attempt has to wait for a slot.
	wait bool
	// remembered reports whether the attempt needs no entry among the refused attempts.
	remembered bool
}

func (a *admission) notRun(reason apiv1.Reason, message string) pipeline.Status {
	a.verdict = Verdict{Outcome: apiv1.Outcome_OUTCOME_NOT_RUN, Reason: reason, Message: message}
	return pipeline.Rejected(message)
}

// checkIncarnation refuses attempts addressed to another incarnation of the agent. This
// process has no record of what that incarnation ran and could not detect a duplicate.
func (g *Gate) checkIncarnation(_ context.Context, a *admission) pipeline.Status {
	if a.dispatch.Incarnation != g.incarnation {
		a.remembered = true // An incarnation is never reused, so a copy is refused again.
		return a.notRun(apiv1.Reason_REASON_STALE_INCARNATION, "dispatch names another incarnation of the agent")
	}
	return pipeline.Status{}
}

// checkDuplicate refuses attempts that were dispatched, revoked or refused before. It runs
// before every filter whose reply could contradict the outcome of the first dispatch.
func (g *Gate) checkDuplicate(_ context.Context, a *admission) pipeline.Status {
	k := a.dispatch.Key
	if r := g.records.get(a.now, k); r != nil {
		a.remembered = true
		a.verdict = r.duplicateVerdict()
		return pipeline.Rejected("attempt was dispatched before")
	}
	if g.tombstones.has(a.now, k) {
		a.remembered = true
		return a.notRun(apiv1.Reason_REASON_REVOKED, "attempt was revoked")
	}
	if g.refused.has(a.now, k) {
		a.remembered = true
		return a.notRun(apiv1.Reason_REASON_REVOKED, "attempt was refused before")
	}
	return pipeline.Status{}
}

// checkFreshness refuses work while the agent shuts down or has just been paused, and when
// neither the entry nor the agent confirmed within the staleness bound that its
// configuration is in force. One of the two suffices: either the entry routed by a
// confirmed configuration, or the agent itself has the newest one.
func (g *Gate) checkFreshness(_ context.Context, a *admission) pipeline.Status {
	if g.closing {
		return a.notRun(apiv1.Reason_REASON_SHUTTING_DOWN, "agent is shutting down")
	}
	if g.stalled(a.now) {
		return a.notRun(apiv1.Reason_REASON_DEADLINE, "agent was paused; the dispatch may be late")
	}
	if g.entryFresh(a.dispatch) || g.agentFresh(a.now) {
		return pipeline.Status{}
	}
	return a.notRun(apiv1.Reason_REASON_STALE_CONFIGURATION, "configuration was not confirmed within the staleness bound")
}

// stalled reports whether Expire is overdue, which indicates a pause of the agent, or was
// overdue until less than StallGrace ago. Without this check, an agent that resumes would run
// requests whose callers have long timed out.
func (g *Gate) stalled(now time.Time) bool {
	return now.Before(g.stalledUntil) || g.expireOverdue(now)
}

// expireOverdue reports whether the last call of Expire is more than StallBound ago.
func (g *Gate) expireOverdue(now time.Time) bool {
	return !g.lastExpireAt.IsZero() && now.Sub(g.lastExpireAt) > g.limits.StallBound
}

func (g *Gate) entryFresh(d Dispatch) bool {
	if d.ConfirmedAge < 0 || d.ConfirmedAge > g.limits.StalenessBound {
		return false
	}
	return d.ConfigurationVersion > 0 && d.ConfigurationVersion >= g.configurationVersion
}

func (g *Gate) agentFresh(now time.Time) bool {
	return g.configurationVersion > 0 && now.Sub(g.confirmedAt) <= g.limits.StalenessBound
}

// checkTarget looks up the target, and refuses the attempt if the target does not exist, is
// leaving or has too little time left to respond.
func (g *Gate) checkTarget(_ context.Context, a *admission) pipeline.Status {
	t := g.targets[a.dispatch.Target]
	if t == nil || t.Service != a.dispatch.Service {
		return a.notRun(apiv1.Reason_REASON_NO_TARGET, "no such target of that service on this host")
	}
	if g.isLeaving(t, a.now) {
		return a.notRun(apiv1.Reason_REASON_TARGET_LEAVING, "target is leaving")
	}
	a.target = t
	return t.checkDeadline(a)
}

// checkSlot passes an attempt for which a slot is free or that may wait for one, and refuses
// any other.
func (g *Gate) checkSlot(_ context.Context, a *admission) pipeline.Status {
	if !g.records.hasCapacity(a.now) {
		return g.refuseOverloaded(a)
	}
	t := a.target
	g.reviewWaiting(a.now, t) // A new configuration may have raised the number of slots.
	if g.hasFreeSlot(t) {
		return pipeline.Status{}
	}
	if a.wait = g.canWait(a); a.wait {
		return pipeline.Status{}
	}
	return g.refuseFull(a)
}

// refuseFull refuses an attempt for which the target has no free slot or connection.
func (g *Gate) refuseFull(a *admission) pipeline.Status {
	t := a.target
	slots, conns := g.slots(t), g.connections(t)
	reason, message := apiv1.Reason_REASON_SLOTS_FULL, fmt.Sprintf("all %d slots are taken", slots)
	if conns < slots {
		reason, message = apiv1.Reason_REASON_CONNECTIONS_FULL, fmt.Sprintf("all %d connections are taken", conns)
	}
	st := a.notRun(reason, message)
	a.verdict.RetryAfter = t.nextFreeSlot(g.maxInFlight(t))
	return st
}

func (g *Gate) refuseOverloaded(a *admission) pipeline.Status {
	st := a.notRun(apiv1.Reason_REASON_OVERLOADED, "too many attempts are recorded")
	a.verdict.RetryAfter = g.limits.MinRetention
	return st
}

// checkDeadline refuses an attempt whose deadline has passed or is sooner than the fastest
// recent response took.
func (t *target) checkDeadline(a *admission) pipeline.Status {
	left := a.dispatch.Remaining
	if left <= 0 {
		return a.notRun(apiv1.Reason_REASON_DEADLINE, "deadline has passed")
	}
	if fastest := t.stats.fastest(a.now); left < fastest {
		return a.notRun(apiv1.Reason_REASON_DEADLINE,
			fmt.Sprintf("%v left, the fastest recent response took %v", left, fastest))
	}
	return pipeline.Status{}
}
