package place

import (
	"fmt"
	"math"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// hold keeps room on a worker for one task: one that evictions make room for, or
// one that has starved while smaller tasks took every hole that opened.
type hold struct {
	worker string
	size   Resources
	since  time.Time
	until  time.Time
	urgent bool
}

// before orders the holds on a worker: urgent ones first, then the older.
func (hd *hold) before(o *hold) bool {
	if hd.urgent != o.urgent {
		return hd.urgent
	}
	return hd.since.Before(o.since)
}

// Bounds of holds.
const (
	starvedHoldDuration = 10 * time.Minute
	// workersPerHold is the number of workers per starving task that one is held for.
	workersPerHold = 10
	// workersPerUrgentHold is the same for urgent tasks.
	workersPerUrgentHold = 2
)

// applyHolds books the standing holds against their workers' room and drops
// those whose task or worker is gone.
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
		usable := h != nil && h.Alive && !h.Draining && h.health.isHealthy()
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

// freeCapacity is what a task may take on a host: what is free and not held for others.
// A task with a hold there leaves only the holds before its own alone. If it left
// all of them, two tasks that wait for one worker would each keep the other out
// of room that is enough for one, until a hold runs out.
func (r *round) freeCapacity(c *candidate, h *host) Resources {
	if h.held.IsZero() {
		return h.free
	}
	own := r.p.holds[c.ID]
	if own == nil || own.worker != h.Name {
		return h.free.Sub(h.held)
	}
	room := h.free
	for id, hd := range r.p.holds {
		if id != c.ID && hd.worker == h.Name && hd.before(own) {
			room = room.Sub(hd.size)
		}
	}
	return room
}

// reclaimCapacity is tried when no worker has room: an urgent task may have batch
// evicted, and a starved one has the room held that opens soonest.
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

// holdEarliest holds room on the worker where it is expected to open first.
func (r *round) holdEarliest(c *candidate) string {
	per := workersPerHold
	if c.Priority == apiv1.Priority_PRIORITY_URGENT {
		per = workersPerUrgentHold
	}
	if len(r.p.holds) > len(r.hosts)/per {
		return ""
	}
	var best *host
	soonest := time.Duration(math.MaxInt64)
	for _, h := range r.hosts {
		if h.overcommitted || !c.size.Fits(h.allocatable.Sub(h.held)) || r.refusingFilterExcept(c, h, capacityFilter{}) != nil {
			continue
		}
		if d, ok := r.timeUntilFit(c, h); ok && d < soonest {
			best, soonest = h, d
		}
	}
	if best == nil {
		return ""
	}
	r.addHold(c, best, starvedHoldDuration)
	return fmt.Sprintf("room is held on %s, expected in %v", best.Name, soonest.Round(time.Second))
}

// timeUntilFit is when enough tasks on a host are expected to have ended.
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
	room := r.freeCapacity(c, h)
	in := time.Duration(0)
	for _, e := range ends {
		if c.size.Fits(room) {
			break
		}
		sum, ok := room.Add(e.size)
		if !ok {
			return 0, false
		}
		room, in = sum, e.in
	}
	return in, c.size.Fits(room)
}

// remaining is how long a task is expected to run on.
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
