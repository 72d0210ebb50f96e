package place

import (
	"fmt"
	"math"
	"time"
)

// evictLongThrottled evicts a task that has been held down for long beside a service that
// would not bear it at full share. It crawls there, and its room is missing to
// tasks that disturb nobody; queued, it waits for a place that bears it.
func (r *round) evictLongThrottled(h *host) {
	var stuck *Task
	least := math.Inf(1)
	for _, t := range h.Running {
		if held := r.throttledFor(h, t); held == 0 || held < r.weights.maxThrottleTime() || !r.evictable(t) {
			continue
		}
		if cost := r.evictionCost(t); cost < least {
			stuck, least = t, cost
		}
	}
	if stuck == nil || !r.worthEvicting(h, stuck) || !r.p.budget.take() {
		return
	}
	held := r.throttledFor(h, stuck).Round(time.Second)
	r.evict(stuck, h, fmt.Sprintf("held down for %v beside services that do not bear it", held))
}

// worthEvicting weighs the work lost by an eviction against what the task's room
// can do meanwhile: nothing when nobody waits for it.
func (r *round) worthEvicting(h *host, t *Task) bool {
	if len(r.snapshot.Queued) == 0 || r.tolerated(h, t, fullShare) {
		return false
	}
	return r.now.Sub(t.lastSavedAt()) <= r.weights.maxWorkLoss()
}
