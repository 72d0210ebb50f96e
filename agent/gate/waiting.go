package gate

import (
	"cmp"
	"context"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/pipeline"
)

// MaxWaiting is how many attempts may wait for a slot of one target. A refused attempt
// leaves the slot that comes free next idle while the entry tries elsewhere; two that
// wait fill it. More would wait longer here than a redirect takes.
const MaxWaiting = 2

// Decision is what became of an attempt that waited: it runs, or it was refused.
type Decision struct {
	Key       Key
	Admission Admission
}

// waiter is an attempt that waits for a slot.
type waiter struct {
	record   *record
	dispatch Dispatch
	deadline time.Time
	// latestStart leaves the target's mean response time until the deadline.
	latestStart time.Time
}

// compare orders urgent attempts ahead of batch ones, and those of a kind by deadline. One
// target has one response time, so that is also the order of slack.
func (w *waiter) compare(other *waiter) int {
	if w.dispatch.Batch != other.dispatch.Batch {
		if other.dispatch.Batch {
			return -1
		}
		return 1
	}
	return w.deadline.Compare(other.deadline)
}

// Decisions returns what was decided about waiting attempts since the last call.
// Call it after every other method: an attempt that may run holds a slot already.
func (g *Gate) Decisions() []Decision {
	made := g.decisions
	g.decisions = nil
	return made
}

// TimeOut refuses an attempt that waits, because its latest start has come. It
// changes nothing for an attempt that was decided about before.
func (g *Gate) TimeOut(now time.Time, k Key) {
	r := g.records.byKey[k]
	if r == nil || !r.waiting() {
		return
	}
	// There may be time for a quicker target: the entry judges that.
	g.refuseWaiting(now, r, apiv1.Reason_REASON_SLOTS_FULL, noSlotInTimeMessage)
}

const noSlotInTimeMessage = "no slot came free in time"

// Cancel refuses an attempt that waits, because its entry went away. It changes
// nothing for an attempt that was decided about before.
func (g *Gate) Cancel(now time.Time, k Key) {
	if r := g.records.byKey[k]; r != nil && r.waiting() {
		g.refuseWaiting(now, r, apiv1.Reason_REASON_CANCELED, "entry went away while it waited for a slot")
	}
}

// maxInFlight is how many attempts a target may have in progress.
func (g *Gate) maxInFlight(t *target) int { return min(g.slots(t), g.connections(t)) }

// hasFreeSlot reports whether a new attempt may start: nothing overtakes what waits.
func (g *Gate) hasFreeSlot(t *target) bool {
	return len(t.waiting) == 0 && t.inFlight < g.maxInFlight(t)
}

// canWait reports whether an attempt may join the queue. What can't finish within its
// deadline by the mean response time is refused now, while its entry can still try
// another target.
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

// enqueue lets an attempt wait.
func (g *Gate) enqueue(r *record, d Dispatch, deadline time.Time) Admission {
	t := r.target
	w := t.newWaiter(r, d, deadline)
	at, _ := slices.BinarySearchFunc(t.waiting, w, func(other, w *waiter) int {
		return cmp.Or(other.compare(w), -1)
	})
	t.waiting = slices.Insert(t.waiting, at, w)
	return Admission{Wait: true, LatestStart: w.latestStart, Load: g.load(t)}
}

// refuseWaiting refuses an attempt that waits. Its record answers a copy of it; the filter
// of refused attempts does so when the record has to go early.
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

// reviewWaiting looks at what waits at a target: what must not start any more is refused
// at once, the rest starts as far as there are slots.
//
// A leaving target, an agent that closes or stood still, or a configuration that
// went stale would refuse the attempt if it came now. Held back until its slot it would
// be refused too late to go elsewhere, or be run after all.
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
			t.waiting = slices.Delete(t.waiting, 0, 1) // All before it have started or are gone.
			g.addDecision(w.record.key, g.startAttempt(now, w.record, w.deadline))
		}
	}
}

// dispatchAt is the dispatch as it would read if it came now.
func (w *waiter) dispatchAt(now time.Time) Dispatch {
	d := w.dispatch
	d.Remaining = w.deadline.Sub(now)
	if d.ConfirmedAge >= 0 {
		d.ConfirmedAge += now.Sub(w.record.arrivedAt)
	}
	return d
}

// checkLatestStart refuses an attempt that waited past its latest start.
func (g *Gate) checkLatestStart(_ context.Context, a *admission) pipeline.Status {
	if a.now.After(a.latestStart) {
		return a.notRun(apiv1.Reason_REASON_SLOTS_FULL, noSlotInTimeMessage)
	}
	return pipeline.Status{}
}
