package place

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Parts of an eviction's cost.
const (
	// restartOverhead is what stopping, queueing and resuming costs any task.
	restartOverhead = 20 * time.Second
	// nearEndWeight weighs a task that is almost done: what is evicted at 95% was
	// about to free its room anyway.
	nearEndWeight = 3.0
)

// evictionCost is the work lost by evicting a task: processor-seconds since its
// last checkpoint, weighed by its kind's cost, by how near its end is, and by
// how often it was evicted before, so that one task does not pay every time.
func (r *round) evictionCost(t *Task) float64 {
	lost := max(r.now.Sub(t.lastSavedAt()), 0) + restartOverhead
	const processor = 1000
	processors := max(float64(t.Size.MilliProcessors)/processor, 1)
	cost := lost.Seconds() * processors * float64(max(t.EvictionCost, 1))
	cost *= 1 + nearEndWeight*r.progress(t)*r.progress(t)
	return cost * float64(1+t.Evictions)
}

// lastSavedAt is since when work of a running attempt would be lost: its last
// checkpoint, or its grant while it has made none.
func (t *Task) lastSavedAt() time.Time {
	if t.CheckpointedAt.Before(t.GrantedAt) {
		return t.GrantedAt
	}
	return t.CheckpointedAt
}

// progress is the share of the work done, 0 to 1: as reported, or from the
// learnt run time.
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

// evictable reports whether the planner may end an attempt: it runs, is not
// urgent, and is not among those this round ends already.
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
