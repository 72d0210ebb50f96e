package gate

import (
	"context"
	"fmt"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/pipeline"
)

// admission is the value that passes through the filters.
type admission struct {
	now      time.Time
	dispatch Dispatch
	target   *target
	verdict  Verdict
	// latestStart is that of an attempt which waits.
	latestStart time.Time
	// wait says that the attempt is to wait for a slot.
	wait bool
	// remembered says that the attempt was seen before and is remembered already.
	remembered bool
}

func (a *admission) notRun(reason apiv1.Reason, message string) pipeline.Status {
	a.verdict = Verdict{Outcome: apiv1.Outcome_OUTCOME_NOT_RUN, Reason: reason, Message: message}
	return pipeline.Rejected(message)
}

// checkIncarnation refuses attempts meant for another incarnation of the agent. This process
// has no record of what that one ran, so it could not tell a duplicate.
func (g *Gate) checkIncarnation(_ context.Context, a *admission) pipeline.Status {
	if a.dispatch.Incarnation != g.incarnation {
		a.remembered = true // Refused for good: incarnations never come back.
		return a.notRun(apiv1.Reason_REASON_STALE_INCARNATION, "dispatch names another incarnation of the agent")
	}
	return pipeline.Status{}
}

// checkDuplicate refuses attempts that were seen before. It comes before every filter
// whose reply could differ from what became of the first dispatch.
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

// checkFreshness refuses work when neither side of the hop knows that the configuration is
// still in force. One fresh side suffices: the entry routed by what it confirmed, or the
// agent knows the newest configuration itself.
func (g *Gate) checkFreshness(_ context.Context, a *admission) pipeline.Status {
	if g.closing {
		return a.notRun(apiv1.Reason_REASON_SHUTTING_DOWN, "agent is shutting down")
	}
	if g.stalled(a.now) {
		return a.notRun(apiv1.Reason_REASON_DEADLINE, "agent stood still, the dispatch may be late")
	}
	if g.entryFresh(a.dispatch) || g.agentFresh(a.now) {
		return pipeline.Status{}
	}
	return a.notRun(apiv1.Reason_REASON_STALE_CONFIGURATION, "configuration was not confirmed within the staleness bound")
}

// stalled reports whether the agent stood still until a moment ago. Without it, a
// request whose caller gave up long ago would be run after all when a frozen agent wakes.
func (g *Gate) stalled(now time.Time) bool {
	return now.Before(g.stalledUntil) || g.expireOverdue(now)
}

// expireOverdue reports whether Expire was not called for too long.
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

// checkTarget finds the target, and refuses what it must not or can't answer.
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

// checkSlot takes a slot, lets the attempt wait for one, or refuses it at once.
func (g *Gate) checkSlot(_ context.Context, a *admission) pipeline.Status {
	if !g.records.hasCapacity(a.now) {
		return g.refuseOverloaded(a)
	}
	t := a.target
	g.reviewWaiting(a.now, t) // A new configuration may have granted more slots.
	if g.hasFreeSlot(t) {
		return pipeline.Status{}
	}
	if a.wait = g.canWait(a); a.wait {
		return pipeline.Status{}
	}
	return g.refuseFull(a)
}

// refuseFull refuses for lack of a slot or connection.
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
	st := a.notRun(apiv1.Reason_REASON_OVERLOADED, "no room to remember another attempt")
	a.verdict.RetryAfter = g.limits.MinRetention
	return st
}

// checkDeadline refuses what has no time left, or less than the quickest answer of late took.
func (t *target) checkDeadline(a *admission) pipeline.Status {
	left := a.dispatch.Remaining
	if left <= 0 {
		return a.notRun(apiv1.Reason_REASON_DEADLINE, "deadline has passed")
	}
	if fastest := t.stats.fastest(a.now); left < fastest {
		return a.notRun(apiv1.Reason_REASON_DEADLINE,
			fmt.Sprintf("%v left, the quickest answer of late took %v", left, fastest))
	}
	return pipeline.Status{}
}
