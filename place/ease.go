package place

import (
	"math"
	"slices"
	"time"
)

// relaxThrottles gives held-down tasks more processors where no service is over its
// objective: at once to those that turned out to be harmless, and one step to one
// other after the hold time, if its services are expected to bear it.
func (r *round) relaxThrottles(h *host) {
	g := h.state.protection
	if len(g.shares) == 0 || !r.measuredSinceAction(h) {
		return
	}
	var next *Task
	least := math.Inf(1)
	for _, t := range h.Running {
		if g.shareOf(attemptID{t.ID, t.Attempt}) == fullShare || !r.evictable(t) {
			continue
		}
		if r.harmlessOn(h, t) {
			r.throttle(h, t, fullShare, "it turned out to be harmless")
			continue
		}
		if b := r.fullShareSlowdown(h, t); b < least {
			next, least = t, b
		}
	}
	if next == nil || r.now.Sub(g.actedAt) < g.relaxDelay {
		return
	}
	share := nextShare(g.shareOf(attemptID{next.ID, next.Attempt}))
	if !r.tolerated(h, next, share) {
		return
	}
	r.throttle(h, next, share, "the services beside it are expected to bear it")
	g.actedAt, g.relaxedAt = r.now, r.now
}

// shareSteps are the shares that tasks are held down to and eased through.
var shareSteps = [...]int32{minShare, middleShare, fullShare}

func nextShare(share int32) int32 {
	i := slices.IndexFunc(shareSteps[:], func(s int32) bool { return s > share })
	if i < 0 {
		return fullShare
	}
	return shareSteps[i]
}

// measuredSinceAction reports whether every watched service was measured wholly after
// the last action.
func (r *round) measuredSinceAction(h *host) bool {
	for _, w := range h.state.protection.latencies {
		if w.recent(r.now) && !h.state.protection.settled(w) {
			return false
		}
	}
	return true
}

// harmlessOn reports whether a kind is known to disturb none of the services
// that are measured on a host.
func (r *round) harmlessOn(h *host, t *Task) bool {
	for _, w := range h.state.protection.latencies {
		if !r.slowdown(w.service, t.Kind, w.bucket).harmless() {
			return false
		}
	}
	return true
}

// fullShareSlowdown is the largest slowdown that a task at full share is believed to bring.
func (r *round) fullShareSlowdown(h *host, t *Task) float64 {
	worst := 0.0
	for _, w := range h.state.protection.latencies {
		worst = max(worst, r.attributedSlowdown(w.service, t.Kind, fullShare, w.bucket))
	}
	return worst
}

// tolerated reports whether every tail is expected to stay under its level if a
// task goes from its share to a larger one.
func (r *round) tolerated(h *host, t *Task, share int32) bool {
	now := h.state.protection.shareOf(attemptID{t.ID, t.Attempt})
	for _, w := range h.state.protection.latencies {
		if !w.recent(r.now) || w.threshold <= 0 {
			continue
		}
		more := r.attributedSlowdown(w.service, t.Kind, share, w.bucket) - r.attributedSlowdown(w.service, t.Kind, now, w.bucket)
		if w.smoothed+max(more, 0) > math.Log(w.threshold) {
			return false
		}
	}
	return true
}

// throttledFor is how long a task has been held down, 0 when it is not.
func (r *round) throttledFor(h *host, t *Task) time.Duration {
	since, held := h.state.protection.throttledSince[attemptID{t.ID, t.Attempt}]
	if !held {
		return 0
	}
	return r.now.Sub(since)
}
