package place

import (
	"math"
	"slices"
	"time"
)

// relaxThrottles raises the shares of throttled tasks where no service exceeds its objective: at
// once for those found to be harmless, and by one step for one other task after relaxDelay, if its
// services are expected to tolerate it.
func (r *round) relaxThrottles(h *host) {
	ps := h.state.protection
	if len(ps.shares) == 0 || !r.measuredSinceAction(h) {
		return
	}
	var next *Task
	least := math.Inf(1)
	for _, t := range h.Running {
		if ps.shareOf(attemptID{t.ID, t.Attempt}) == fullShare || !r.evictable(t) {
			continue
		}
		if r.harmlessOn(h, t) {
			r.throttle(h, t, fullShare, "the task was found to be harmless")
			continue
		}
		if b := r.fullShareSlowdown(h, t); b < least {
			next, least = t, b
		}
	}
	if next == nil || r.now.Sub(ps.actedAt) < ps.relaxDelay {
		return
	}
	share := nextShare(ps.shareOf(attemptID{next.ID, next.Attempt}))
	if !r.tolerated(h, next, share) {
		return
	}
	r.throttle(h, next, share, "its neighbouring services are expected to tolerate it")
	ps.actedAt, ps.relaxedAt = r.now, r.now
}

// shareSteps are the shares to which tasks are throttled and through which throttles are relaxed.
var shareSteps = [...]int32{minShare, middleShare, fullShare}

func nextShare(share int32) int32 {
	i := slices.IndexFunc(shareSteps[:], func(s int32) bool { return s > share })
	if i < 0 {
		return fullShare
	}
	return shareSteps[i]
}

// measuredSinceAction reports whether every measured service was measured wholly after the last
// action.
func (r *round) measuredSinceAction(h *host) bool {
	for _, l := range h.state.protection.latencies {
		if l.recent(r.now) && !h.state.protection.settled(l) {
			return false
		}
	}
	return true
}

// harmlessOn reports whether a task's kind is known to be harmless to all services measured on a
// host.
func (r *round) harmlessOn(h *host, t *Task) bool {
	for _, l := range h.state.protection.latencies {
		if !r.slowdown(l.service, t.Kind, l.bucket).harmless() {
			return false
		}
	}
	return true
}

// fullShareSlowdown returns the largest estimated slowdown of a service on the host by the task at
// full share.
func (r *round) fullShareSlowdown(h *host, t *Task) float64 {
	worst := 0.0
	for _, l := range h.state.protection.latencies {
		worst = max(worst, r.attributedSlowdown(l.service, t.Kind, fullShare, l.bucket))
	}
	return worst
}

// tolerated reports whether every tail is expected to stay below its threshold if a task's share
// is raised.
func (r *round) tolerated(h *host, t *Task, share int32) bool {
	now := h.state.protection.shareOf(attemptID{t.ID, t.Attempt})
	for _, l := range h.state.protection.latencies {
		if !l.recent(r.now) || l.threshold <= 0 {
			continue
		}
		more := r.attributedSlowdown(l.service, t.Kind, share, l.bucket) - r.attributedSlowdown(l.service, t.Kind, now, l.bucket)
		if l.smoothed+max(more, 0) > math.Log(l.threshold) {
			return false
		}
	}
	return true
}

// throttledFor returns how long a task has been throttled, 0 if it is not.
func (r *round) throttledFor(h *host, t *Task) time.Duration {
	since, throttled := h.state.protection.throttledSince[attemptID{t.ID, t.Attempt}]
	if !throttled {
		return 0
	}
	return r.now.Sub(since)
}
