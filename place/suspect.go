package place

import (
	"cmp"
	"math"
	"slices"
)

// Bounds of blame.
const (
	// significantSlowdown is the least believed slowdown (log) that makes a suspect.
	significantSlowdown = 0.05
	// minSuspectFraction is the part of the first suspect's blame below which others
	// are left alone.
	minSuspectFraction = 0.5
)

// suspect is a neighbour that may be the cause.
type suspect struct {
	task  *Task
	share int32
	// slowdown is the believed slowdown, log scale, with some of the doubt added.
	slowdown float64
}

// suspects returns the neighbours that were there when the tail was measured,
// the likeliest cause first.
func (r *round) suspects(h *host, w *targetLatency) []suspect {
	var out []suspect
	for _, t := range h.Running {
		id := attemptID{t.ID, t.Attempt}
		if !r.evictable(t) || !h.state.occupancy.presentInWindow(id, w.from, w.to) {
			continue
		}
		share := h.state.protection.shareOf(id)
		if b := r.attributedSlowdown(w.service, t.Kind, share, w.bucket); b >= r.weights.suspectSlowdown() {
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

// cheapestSuspect returns the throttled suspect with the least cost per relief,
// nil when there is none.
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
