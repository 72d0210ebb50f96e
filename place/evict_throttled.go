package place

import (
	"fmt"
	"math"
	"time"
)

// evictLongThrottled evicts a task that has long been throttled beside a service that would not
// tolerate it at full share. It makes little progress there and its capacity is missing to tasks
// that disturb no service; queued, it waits for a worker whose services tolerate it.
func (r *round) evictLongThrottled(h *host) {
	var stuck *Task
	least := math.Inf(1)
	for _, t := range h.Running {
		if throttled := r.throttledFor(h, t); throttled == 0 || throttled < r.weights.maxThrottleTime() || !r.evictable(t) {
			continue
		}
		if cost := r.evictionCost(t); cost < least {
			stuck, least = t, cost
		}
	}
	if stuck == nil || !r.worthEvicting(h, stuck) || !r.p.budget.take() {
		return
	}
	throttled := r.throttledFor(h, stuck).Round(time.Second)
	r.evict(stuck, h, fmt.Sprintf("throttled for %v beside services that do not tolerate it", throttled))
}

// worthEvicting reports whether the capacity freed by an eviction outweighs the lost work. It
// never does if no task is queued or the task would be tolerated at full share.
func (r *round) worthEvicting(h *host, t *Task) bool {
	if len(r.snapshot.Queued) == 0 || r.tolerated(h, t, fullShare) {
		return false
	}
	return r.now.Sub(t.lastSavedAt()) <= r.weights.maxWorkLoss()
}
