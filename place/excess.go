package place

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// reduceOvercommit evicts from workers that hold more than they have: because they
// announced less than was granted, or because tasks use more than their grants.
func (r *round) reduceOvercommit() {
	for _, h := range r.hosts {
		if h.overcommitted {
			r.evictOvercommitted(h)
			continue
		}
		r.evictMemoryOverrun(h)
	}
}

// evictOvercommitted evicts the least costly tasks until the rest fits. It is not bound by the
// budget: no worker may be left with more than it has.
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
		r.evict(t, h, "the worker has less than it was granted")
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

// overrunEvictionInterval keeps a worker's usage reports, which lag, from being answered twice.
const overrunEvictionInterval = 60 * time.Second

// evictMemoryOverrun evicts one task that uses more memory than its grant when the worker's
// memory runs out. It comes back with a grant of the learnt size: growing in
// place would give away memory that others were granted.
func (r *round) evictMemoryOverrun(h *host) {
	if h.state == nil || r.now.Sub(h.state.overrunEvictedAt) < overrunEvictionInterval {
		return
	}
	used := h.Reserved.MemoryBytes
	var beyond []*Task
	for _, t := range h.Running {
		a := r.p.usage.attempts[attemptID{t.ID, t.Attempt}]
		if a == nil {
			used += t.Size.MemoryBytes
			continue
		}
		used += a.latest.MemoryBytes
		if a.latest.MemoryBytes > t.Size.MemoryBytes && r.evictable(t) {
			beyond = append(beyond, t)
		}
	}
	if used <= h.Capacity.MemoryBytes || len(beyond) == 0 || !r.p.budget.take() {
		return
	}
	r.cheapestFirst(beyond)
	r.evict(beyond[0], h, "uses more memory than its grant and the worker has no more")
	h.state.overrunEvictedAt = r.now
}
