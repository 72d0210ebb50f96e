package gate

import (
	"cmp"
	"context"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/pipeline"
)

// MaxWaiting is the default number of attempts that may wait for a slot of one target. If an
// attempt is refused, the next free slot stays idle while the entry tries another target; two
// waiting attempts fill it. More would wait longer here than a redirect takes.
const MaxWaiting = 2

// Decision is the decision about an attempt that waited: it runs, or it is refused.
type Decision struct {
	Key       Key
	Admission Admission
}

// waiter is an attempt that waits for a slot.
type waiter struct {
	record   *record
	dispatch Dispatch
	deadline time.Time
	// latestStart is the deadline less the target's mean response time.
	latestStart time.Time
}

// compare orders urgent attempts before batch attempts, and attempts of equal priority by
// deadline. All of them expect the same response time from the target, so this is also the
// order of their slack.
func (w *waiter) compare(other *waiter) int {
	if w.dispatch.Batch != other.dispatch.Batch {
		if other.dispatch.Batch {
			return -1
		}
		return 1
	}
	return w.deadline.Compare(other.deadline)
}

// Decisions returns the decisions about waiting attempts since the last call. Call it after
// every other method: an attempt that may run already occupies a slot.
func (g *Gate) Decisions() []Decision {
	made := g.decisions
	g.decisions = nil
	return made
}

// TimeOut refuses an attempt that waits because its latest start has been reached. It does
// nothing if the attempt has been decided already.
func (g *Gate) TimeOut(now time.Time, k Key) {
	r := g.records.byKey[k]
	if r == nil || !r.waiting() {
		return
	}
	// There may be time for a faster target; the entry decides that.
	g.refuseWaiting(now, r, apiv1.Reason_REASON_SLOTS_FULL, noSlotInTimeMessage)
}

const noSlotInTimeMessage = "no slot became free in time"

// Cancel refuses an attempt that waits because its entry canceled the call or disconnected.
// It does nothing if the attempt has been decided already.
func (g *Gate) Cancel(now time.Time, k Key) {
	if r := g.records.byKey[k]; r != nil && r.waiting() {
		g.refuseWaiting(now, r, apiv1.Reason_REASON_CANCELED, "entry canceled the dispatch while it waited for a slot")
	}
}

// maxInFlight returns the number of attempts that a target may have in progress.
func (g *Gate) maxInFlight(t *target) int { return min(g.slots(t), g.connections(t)) }

// hasFreeSlot reports whether a new attempt may start. It must not overtake waiting ones.
func (g *Gate) hasFreeSlot(t *target) bool {
	return len(t.waiting) == 0 && t.inFlight < g.maxInFlight(t)
}

// canWait reports whether an attempt may wait for a slot. An attempt that would miss its
// deadline by the mean response time is refused now, while its entry can still try another
// target.
func (g *Gate) canWait(a *admission) bool {
	t := a.target
	if len(t.waiting) >= g.limits.MaxWaiting {
		return false
	}
	w := t.newWaiter(nil, a.dispatch, g.attemptDeadline(a.now, a.dispatch))
	ahead := 0
	for _, other := range t.waiting {
		if other.compare(w) <= 0 {
			ahead++
		}
	}
	start := a.now.Add(time.Duration(ahead+1) * t.stats.mean / time.Duration(g.maxInFlight(t)))
	return !start.After(w.latestStart)
}

func (t *target) newWaiter(r *record, d Dispatch, deadline time.Time) *waiter {
	return &waiter{record: r, dispatch: d, deadline: deadline, latestStart: deadline.Add(-t.stats.mean)}
}

// enqueue adds an attempt to the waiting ones of its target.
func (g *Gate) enqueue(r *record, d Dispatch, deadline time.Time) Admission {
	t := r.target
	w := t.newWaiter(r, d, deadline)
	at, _ := slices.BinarySearchFunc(t.waiting, w, func(other, w *waiter) int {
		return cmp.Or(other.compare(w), -1)
	})
	t.waiting = slices.Insert(t.waiting, at, w)
	return Admission{Wait: true, LatestStart: w.latestStart, Load: g.load(t)}
}

// refuseWaiting refuses an attempt that waits. A copy of its dispatch is answered from its
// record, or refused by the filter of refused attempts if the record is dropped early.
func (g *Gate) refuseWaiting(now time.Time, r *record, reason apiv1.Reason, message string) {
	t := r.target
	t.waiting = slices.DeleteFunc(t.waiting, func(w *waiter) bool { return w.record == r })
	v := Verdict{Outcome: apiv1.Outcome_OUTCOME_NOT_RUN, Reason: reason, Message: message}
	v.RetryAfter = t.nextFreeSlot(g.maxInFlight(t))
	g.records.finishUnstarted(now, r, v)
	g.refused.add(now, r.key)
	g.addDecision(r.key, Admission{Verdict: v, Filter: "wait", Load: g.load(t)})
}

func (g *Gate) addDecision(k Key, a Admission) {
	g.decisions = append(g.decisions, Decision{Key: k, Admission: a})
}

func (g *Gate) reviewAllWaiting(now time.Time) {
	for _, t := range g.targets {
		g.reviewWaiting(now, t)
	}
}

// reviewWaiting reviews the attempts that wait for a target: it refuses those that must not
// start any more, and starts the others while there are free slots.
//
// A leaving target, an agent that closes or was paused, or a stale configuration would refuse
// the attempt if it arrived now. If the attempt kept waiting, it would be refused too late
// for the entry to try another target, or be run although it must not.
func (g *Gate) reviewWaiting(now time.Time, t *target) {
	if len(t.waiting) == 0 {
		return
	}
	for _, w := range slices.Clone(t.waiting) {
		a := &admission{now: now, dispatch: w.dispatchAt(now), latestStart: w.latestStart}
		if st := g.startFilters.Run(context.Background(), a); !st.Passed() {
			g.refuseWaiting(now, w.record, a.verdict.Reason, a.verdict.Message)
			continue
		}
		if t.inFlight < g.maxInFlight(t) {
			t.waiting = slices.Delete(t.waiting, 0, 1) // All before it have started or were refused.
			g.addDecision(w.record.key, g.startAttempt(now, w.record, w.deadline))
		}
	}
}

// dispatchAt returns the dispatch with its times as they would be if it arrived now.
func (w *waiter) dispatchAt(now time.Time) Dispatch {
	d := w.dispatch
	d.Remaining = w.deadline.Sub(now)
	if d.ConfirmedAge >= 0 {
		d.ConfirmedAge += now.Sub(w.record.arrivedAt)
	}
	return d
}

// checkLatestStart refuses an attempt that has waited past its latest start.
func (g *Gate) checkLatestStart(_ context.Context, a *admission) pipeline.Status {
	if a.now.After(a.latestStart) {
		return a.notRun(apiv1.Reason_REASON_SLOTS_FULL, noSlotInTimeMessage)
	}
	return pipeline.Status{}
}
