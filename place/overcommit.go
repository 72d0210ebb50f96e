package place

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// reduceOvercommit evicts tasks from workers whose capacity is exceeded, either by the grants
// because the capacity shrank, or because tasks use more memory than their grants.
func (r *round) reduceOvercommit() {
	for _, h := range r.hosts {
		if h.overcommitted {
			r.evictOvercommitted(h)
			continue
		}
		r.evictMemoryOverrun(h)
	}
}

// evictOvercommitted evicts the least costly tasks until the rest fits the capacity. The eviction
// budget does not limit it, because no worker may stay overcommitted.
func (r *round) evictOvercommitted(h *host) {
	var tasks []*Task
	used := h.Reserved
	for _, t := range h.Running {
		if t.State == apiv1.TaskState_TASK_STATE_STOPPING || r.evicted[t.ID] {
			continue
		}
		tasks = append(tasks, t)
		used, _ = used.Add(t.Size)
	}
	r.cheapestFirst(tasks)
	for _, t := range tasks {
		if used.Valid() && used.Fits(h.Capacity) {
			return
		}
		used = used.Sub(t.Size)
		r.evict(t, h, "the worker's capacity shrank below its grants")
	}
}

func (r *round) cheapestFirst(tasks []*Task) {
	slices.SortStableFunc(tasks, func(a, b *Task) int {
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		return cmp.Compare(r.evictionCost(a), r.evictionCost(b))
	})
}

// overrunEvictionInterval is the time after an eviction during which a worker's delayed usage
// reports cause no further one.
const overrunEvictionInterval = 60 * time.Second

// evictMemoryOverrun evicts one task that uses more memory than its grant when the worker's memory
// is exhausted. The task is queued again and granted the learned size. Growing its grant in place
// would give away memory granted to others.
func (r *round) evictMemoryOverrun(h *host) {
	if h.state == nil || r.now.Sub(h.state.overrunEvictedAt) < overrunEvictionInterval {
		return
	}
	used := h.Reserved.MemoryBytes
	var overrunning []*Task
	for _, t := range h.Running {
		a := r.p.usage.attempts[attemptID{t.ID, t.Attempt}]
		if a == nil {
			used += t.Size.MemoryBytes
			continue
		}
		used += a.latest.MemoryBytes
		if a.latest.MemoryBytes > t.Size.MemoryBytes && r.evictable(t) {
			overrunning = append(overrunning, t)
		}
	}
	if used <= h.Capacity.MemoryBytes || len(overrunning) == 0 || !r.p.budget.take() {
		return
	}
	r.cheapestFirst(overrunning)
	r.evict(overrunning[0], h, "uses more memory than its grant and the worker's memory is exhausted")
	h.state.overrunEvictedAt = r.now
}
