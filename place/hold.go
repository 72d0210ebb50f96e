package place

import (
	"fmt"
	"math"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// hold keeps free capacity on a worker for one task: an urgent task for which others are evicted,
// or a starved task whose capacity smaller tasks would otherwise take as it becomes free.
type hold struct {
	worker string
	size   Resources
	since  time.Time
	until  time.Time
	urgent bool
}

// before orders the holds on a worker: urgent ones first, then by age.
func (hd *hold) before(o *hold) bool {
	if hd.urgent != o.urgent {
		return hd.urgent
	}
	return hd.since.Before(o.since)
}

// Limits of holds.
const (
	starvedHoldDuration = 10 * time.Minute
	// workersPerHold is the number of workers per hold of a starved task.
	workersPerHold = 10
	// workersPerUrgentHold is the number of workers per hold of an urgent task.
	workersPerUrgentHold = 2
)

// applyHolds subtracts the holds in effect from their workers' free capacity and removes those
// that expired or whose task or worker is no longer eligible.
func (r *round) applyHolds() {
	if len(r.p.holds) == 0 {
		return
	}
	queued := make(map[string]bool, len(r.p.holds))
	for _, t := range r.snapshot.Queued {
		if r.p.holds[t.ID] != nil {
			queued[t.ID] = true
		}
	}
	for _, id := range sortedKeys(r.p.holds) {
		hd := r.p.holds[id]
		h := r.hostsByName[hd.worker]
		usable := h != nil && h.Alive && !h.Draining && !h.Cordoned && h.health.isHealthy()
		if !queued[id] || !usable || !r.now.Before(hd.until) {
			delete(r.p.holds, id)
			continue
		}
		h.holdCapacity(hd.size)
	}
}

func (h *host) holdCapacity(size Resources) {
	if sum, ok := h.held.Add(size); ok {
		h.held = sum
	}
}

// freeCapacity returns the capacity that a task may take on a host: what is free and not held for
// other tasks. A task with a hold on the host respects only the holds ordered before its own. If
// it respected all of them, two tasks waiting for the same worker would keep each other from
// capacity that suffices for one, until a hold expires.
func (r *round) freeCapacity(c *candidate, h *host) Resources {
	if h.held.IsZero() {
		return h.free
	}
	own := r.p.holds[c.ID]
	if own == nil || own.worker != h.Name {
		return h.free.Sub(h.held)
	}
	free := h.free
	for id, hd := range r.p.holds {
		if id != c.ID && hd.worker == h.Name && hd.before(own) {
			free = free.Sub(hd.size)
		}
	}
	return free
}

// reclaimCapacity is called if no worker has enough free capacity. It preempts batch tasks for an
// urgent task, or holds capacity for an urgent or starved task where it is expected to become free
// earliest. It returns what the task waits for, "" if it did nothing.
func (r *round) reclaimCapacity(c *candidate) string {
	if r.dryRun || r.p.holds[c.ID] != nil {
		return ""
	}
	urgent := c.Priority == apiv1.Priority_PRIORITY_URGENT
	if urgent {
		if reason := r.preempt(c); reason != "" {
			return reason
		}
	}
	if urgent || r.starved(c.Task) {
		return r.holdEarliest(c)
	}
	return ""
}

// holdEarliest holds capacity on the worker where it is expected to become free earliest.
func (r *round) holdEarliest(c *candidate) string {
	workers := workersPerHold
	if c.Priority == apiv1.Priority_PRIORITY_URGENT {
		workers = workersPerUrgentHold
	}
	if len(r.p.holds) > len(r.hosts)/workers {
		return ""
	}
	var best *host
	earliest := time.Duration(math.MaxInt64)
	for _, h := range r.hosts {
		if h.overcommitted || !c.size.Fits(h.allocatable.Sub(h.held)) || r.refusingFilterExcept(c, h, capacityFilter{}) != nil {
			continue
		}
		if d, ok := r.timeUntilFit(c, h); ok && d < earliest {
			best, earliest = h, d
		}
	}
	if best == nil {
		return ""
	}
	r.addHold(c, best, starvedHoldDuration)
	return fmt.Sprintf("capacity is held on %s, expected to be free in %v", best.Name, earliest.Round(time.Second))
}

// timeUntilFit returns the time until enough tasks on a host are expected to have ended, and false
// if the task does not fit even after all of them.
func (r *round) timeUntilFit(c *candidate, h *host) (time.Duration, bool) {
	type end struct {
		in   time.Duration
		size Resources
	}
	ends := make([]end, 0, len(h.Running))
	for _, t := range h.Running {
		ends = append(ends, end{r.remaining(t), t.Size})
	}
	slices.SortStableFunc(ends, func(a, b end) int { return int(a.in/time.Millisecond - b.in/time.Millisecond) })
	free := r.freeCapacity(c, h)
	in := time.Duration(0)
	for _, e := range ends {
		if c.size.Fits(free) {
			break
		}
		sum, ok := free.Add(e.size)
		if !ok {
			return 0, false
		}
		free, in = sum, e.in
	}
	return in, c.size.Fits(free)
}

// remaining returns how long a task is expected to keep running.
func (r *round) remaining(t *Task) time.Duration {
	expected := r.p.usage.runTime(t.Kind, t.ExpectedRun)
	return time.Duration(float64(expected) * (1 - r.progress(t)))
}

func (r *round) addHold(c *candidate, h *host, length time.Duration) {
	r.p.holds[c.ID] = &hold{
		worker: h.Name, size: c.size, since: r.now, until: r.now.Add(length),
		urgent: c.Priority == apiv1.Priority_PRIORITY_URGENT,
	}
	h.holdCapacity(c.size)
}
