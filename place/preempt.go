package place

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Bounds of preemption.
const (
	// preemptionHoldDuration covers the stop of the victims: throttle, checkpoint, confirm.
	preemptionHoldDuration = 30 * time.Second
	// maxVictims bounds the evictions for one urgent task.
	maxVictims = 8
	// preemptSample bounds the workers looked at for one urgent task.
	preemptSample = 64
)

// victims is a worker with the batch tasks whose eviction would make room.
type victims struct {
	host  *host
	tasks []*Task
	cost  float64
}

// preempt evicts the least costly batch that makes room for an urgent task, and
// holds the room for it.
func (r *round) preempt(c *candidate) string {
	if r.p.preemption.tokens < 1 {
		return ""
	}
	var best *victims
	n := len(r.hosts)
	start := r.p.rand.Intn(n)
	seen := 0
	for i := 0; i < n && seen < preemptSample; i++ {
		h := r.hosts[(start+i)%n]
		if h.overcommitted || !c.size.Fits(h.allocatable) || r.refusingFilterExcept(c, h, capacityFilter{}) != nil {
			continue
		}
		seen++
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
		r.evict(t, best.host, "makes room for urgent task "+c.ID)
	}
	r.addHold(c, best.host, preemptionHoldDuration)
	return fmt.Sprintf("waits for room on %s, %d tasks are evicted", best.host.Name, len(best.tasks))
}

// victimsOn picks the tasks whose eviction costs least until there is room, and
// returns nil when there never is.
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
	room := r.freeCapacity(c, h)
	for _, t := range tasks {
		if c.size.Fits(room) || len(v.tasks) == maxVictims {
			break
		}
		sum, ok := room.Add(t.Size)
		if !ok {
			return nil
		}
		room = sum
		v.tasks = append(v.tasks, t)
		v.cost += costs[t]
	}
	if len(v.tasks) == 0 || !c.size.Fits(room) {
		return nil
	}
	return v
}
