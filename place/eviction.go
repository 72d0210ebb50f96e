package place

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Factors of the cost of an eviction.
const (
	// restartOverhead is the time that any task loses by stopping, queueing and resuming.
	restartOverhead = 20 * time.Second
	// nearEndWeight raises the cost of a task that is almost finished. A task evicted at 95% was
	// about to free its capacity anyway.
	nearEndWeight = 3.0
)

// evictionCost returns the work lost by evicting a task in processor-seconds since its last
// checkpoint, weighted by its kind's cost, its progress and the number of its previous evictions,
// so that the same task is not evicted every time.
func (r *round) evictionCost(t *Task) float64 {
	lost := max(r.now.Sub(t.lastSavedAt()), 0) + restartOverhead
	const processor = 1000
	processors := max(float64(t.Size.MilliProcessors)/processor, 1)
	cost := lost.Seconds() * processors * float64(max(t.EvictionCost, 1))
	cost *= 1 + nearEndWeight*r.progress(t)*r.progress(t)
	return cost * float64(1+t.Evictions)
}

// lastSavedAt returns the time since which work of a running attempt would be lost: its last
// checkpoint, or its grant if it has made none.
func (t *Task) lastSavedAt() time.Time {
	if t.CheckpointedAt.Before(t.GrantedAt) {
		return t.GrantedAt
	}
	return t.CheckpointedAt
}

// progress returns the completed fraction of the work, from 0 to 1, as reported or estimated from
// the learned run time.
func (r *round) progress(t *Task) float64 {
	const whole = 1000
	if t.ProgressMilli > 0 {
		return min(float64(t.ProgressMilli)/whole, 1)
	}
	expected := r.p.usage.runTime(t.Kind, t.ExpectedRun)
	if expected <= 0 {
		return 0
	}
	return min(float64(r.now.Sub(t.GrantedAt))/float64(expected), 1)
}

// evictable reports whether the planner may evict an attempt: it is running, not urgent, and not
// already evicted in this round.
func (r *round) evictable(t *Task) bool {
	return t.State == apiv1.TaskState_TASK_STATE_GRANTED &&
		t.Priority != apiv1.Priority_PRIORITY_URGENT &&
		!r.evicted[t.ID]
}

// evict adds an eviction to the plan.
func (r *round) evict(t *Task, h *host, reason string) {
	r.evicted[t.ID] = true
	r.plan.Evictions = append(r.plan.Evictions, Eviction{
		Task: t.ID, Attempt: t.Attempt, Worker: h.Name, Reason: reason,
	})
}
