package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Limits of preemption.
const (
	// preemptionHoldDuration covers the stop of the victims: throttle, checkpoint and
	// confirmation.
	preemptionHoldDuration = 30 * time.Second
	// maxVictims limits the evictions for one urgent task.
	maxVictims = 8
	// preemptSample limits the workers considered for one urgent task.
	preemptSample = 64
)

// victims is a worker with the batch tasks whose eviction would free enough capacity.
type victims struct {
	host  *host
	tasks []*Task
	cost  float64
}

// preempt evicts the batch tasks with the least cost that free enough capacity for an urgent task,
// and holds the capacity for it. It returns what the task waits for, "" if it evicted none.
func (r *round) preempt(c *candidate) string {
	if r.p.preemption.tokens < 1 {
		return ""
	}
	var best *victims
	n := len(r.hosts)
	start := r.p.rand.Intn(n)
	considered := 0
	for i := 0; i < n && considered < preemptSample; i++ {
		h := r.hosts[(start+i)%n]
		if h.overcommitted || !c.size.Fits(h.allocatable) || r.refusingFilterExcept(c, h, capacityFilter{}) != nil {
			continue
		}
		considered++
		v := r.victimsOn(c, h)
		if v != nil && (best == nil || v.cost < best.cost) {
			best = v
		}
	}
	if best == nil || r.p.preemption.tokens < float64(len(best.tasks)) {
		return ""
	}
	for _, t := range best.tasks {
		r.p.preemption.take()
		r.evict(t, best.host, "preempted by urgent task "+c.ID)
	}
	r.addHold(c, best.host, preemptionHoldDuration)
	return fmt.Sprintf("waits for capacity on %s, evicting %d tasks", best.host.Name, len(best.tasks))
}

// victimsOn selects the tasks with the least eviction cost until the urgent task fits, and returns
// nil if it does not fit after at most maxVictims evictions.
func (r *round) victimsOn(c *candidate, h *host) *victims {
	var tasks []*Task
	for _, t := range h.Running {
		if r.evictable(t) {
			tasks = append(tasks, t)
		}
	}
	costs := make(map[*Task]float64, len(tasks))
	for _, t := range tasks {
		costs[t] = r.evictionCost(t)
	}
	slices.SortStableFunc(tasks, func(a, b *Task) int { return cmp.Compare(costs[a], costs[b]) })
	v := &victims{host: h}
	free := r.freeCapacity(c, h)
	for _, t := range tasks {
		if c.size.Fits(free) || len(v.tasks) == maxVictims {
			break
		}
		sum, ok := free.Add(t.Size)
		if !ok {
			return nil
		}
		free = sum
		v.tasks = append(v.tasks, t)
		v.cost += costs[t]
	}
	if len(v.tasks) == 0 || !c.size.Fits(free) {
		return nil
	}
	return v
}
