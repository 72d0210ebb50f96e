package place

import (
	"cmp"
	"math"
	"slices"
)

// Thresholds of estimated slowdowns.
const (
	// significantSlowdown is the slowdown (log) of a service by its present neighbours from which
	// the interference filter admits no further task that slows it down.
	significantSlowdown = 0.05
	// minSuspectFraction is the fraction of the first suspect's slowdown below which other
	// suspects are not acted on.
	minSuspectFraction = 0.5
)

// suspect is a task that may cause a service to exceed its objective.
type suspect struct {
	task  *Task
	share int32
	// slowdown is the estimated slowdown (log) plus a fraction of its standard deviation.
	slowdown float64
}

// suspects returns the tasks that were present when the tail was measured, in the order of
// decreasing estimated slowdown.
func (r *round) suspects(h *host, l *targetLatency) []suspect {
	var out []suspect
	for _, t := range h.Running {
		id := attemptID{t.ID, t.Attempt}
		if !r.evictable(t) || !h.state.occupancy.presentInWindow(id, l.from, l.to) {
			continue
		}
		share := h.state.protection.shareOf(id)
		if b := r.attributedSlowdown(l.service, t.Kind, share, l.bucket); b >= r.weights.suspectSlowdown() {
			out = append(out, suspect{t, share, b})
		}
	}
	slices.SortFunc(out, func(a, b suspect) int {
		if c := cmp.Compare(b.slowdown, a.slowdown); c != 0 {
			return c
		}
		return cmp.Compare(a.task.ID, b.task.ID)
	})
	return out
}

func (r *round) attributedSlowdown(service, kind string, share int32, bucket int) float64 {
	const doubt = 0.25
	e := r.slowdownAt(service, kind, share, bucket)
	return upperBound(e.mean, e.variance, doubt)
}

// cheapestSuspect returns the throttled suspect with the least eviction cost per slowdown, nil if
// there is none.
func (r *round) cheapestSuspect(suspects []suspect) *suspect {
	var best *suspect
	least := math.Inf(1)
	for i := range suspects {
		s := &suspects[i]
		if s.share > minShare || s.slowdown < minSuspectFraction*suspects[0].slowdown || r.evicted[s.task.ID] {
			continue
		}
		if cost := r.evictionCost(s.task) / s.slowdown; cost < least {
			best, least = s, cost
		}
	}
	return best
}
