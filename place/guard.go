package place

import (
	"fmt"
	"math"
	"time"
)

// Bounds of the guard.
const (
	// throttleGoal is the part of the guard level that throttling aims for.
	throttleGoal = 0.9
	minShare     = 100
	middleShare  = 300
)

// protectServices protects services whose tails are over their objectives, and eases
// throttles where they have been calm.
func (r *round) protectServices() {
	r.repeatThrottles()
	for _, h := range r.hosts {
		if h.state == nil || !h.Alive || len(h.state.protection.latencies) == 0 {
			continue
		}
		r.protectHost(h)
	}
}

func (r *round) protectHost(h *host) {
	g := h.state.protection
	worst := r.worstExceeded(h)
	if worst == nil {
		r.relaxThrottles(h)
		r.evictLongThrottled(h)
		return
	}
	if !g.settled(worst) {
		return
	}
	suspects := r.suspects(h, worst)
	if len(suspects) == 0 {
		return
	}
	if !g.relaxedAt.IsZero() && r.now.Sub(g.relaxedAt) < 2*g.relaxDelay {
		g.relaxDelay = min(2*g.relaxDelay, maxRelaxDelay)
		g.relaxedAt = time.Time{}
	}
	if suspects[0].share > minShare {
		r.throttleSuspects(h, worst, suspects)
		return
	}
	r.evictSuspects(h, worst, suspects)
}

// throttleRepeatInterval is how often throttles in force are ordered again.
const throttleRepeatInterval = 10 * time.Second

// repeatThrottles orders the throttles in force again. An order may be lost with a leader
// that came back a moment later; the task would then run at full share while its
// harm is learnt, and eased, as that of a task held down.
func (r *round) repeatThrottles() {
	if r.now.Sub(r.p.throttlesRepeatedAt) < throttleRepeatInterval {
		return
	}
	r.p.throttlesRepeatedAt = r.now
	for _, h := range r.hosts {
		if h.state == nil || len(h.state.protection.shares) == 0 {
			continue
		}
		for _, t := range h.Running {
			if share := h.state.protection.shareOf(attemptID{t.ID, t.Attempt}); share != fullShare {
				r.plan.Throttles = append(r.plan.Throttles, Throttle{
					Task: t.ID, Attempt: t.Attempt, Worker: h.Name, ShareMilli: share, Reason: ReasonStillInEffect,
				})
			}
		}
	}
}

// worstExceeded returns the service furthest over its objective, nil when none is.
func (r *round) worstExceeded(h *host) *targetLatency {
	var worst *targetLatency
	for _, name := range sortedKeys(h.state.protection.latencies) {
		w := h.state.protection.latencies[name]
		if !w.recent(r.now) || !w.exceeded() {
			continue
		}
		if worst == nil || w.p99/w.threshold > worst.p99/worst.threshold {
			worst = w
		}
	}
	return worst
}

// throttleSuspects holds down as many suspects as it takes to bring the tail
// back, by what is believed of them.
func (r *round) throttleSuspects(h *host, w *targetLatency, suspects []suspect) {
	need := w.smoothed - math.Log(w.threshold*throttleGoal)
	for _, s := range suspects {
		if need <= 0 {
			break
		}
		if s.share <= minShare || s.slowdown < minSuspectFraction*suspects[0].slowdown {
			continue
		}
		next := int32(middleShare)
		if s.share <= middleShare || need > s.slowdown {
			next = minShare
		}
		need -= s.slowdown - r.attributedSlowdown(w.service, s.task.Kind, next, w.bucket)
		reason := fmt.Sprintf("p99 of %s at %.0f ms over %.0f ms", w.service, w.p99, w.threshold)
		r.throttle(h, s.task, next, reason)
		h.state.protection.actedAt = r.now
	}
}

// throttle adds a throttle to the plan and remembers it.
func (r *round) throttle(h *host, t *Task, share int32, reason string) {
	id := attemptID{t.ID, t.Attempt}
	h.state.protection.setShare(id, share, r.now)
	h.state.occupancy.throttle(r.now.Add(actionDelay), id, share)
	r.plan.Throttles = append(r.plan.Throttles, Throttle{
		Task: t.ID, Attempt: t.Attempt, Worker: h.Name, ShareMilli: share, Reason: reason,
	})
}

// evictSuspects ends as many throttled suspects as it takes, first those that
// lose least work for the relief they bring, as far as the budget allows.
func (r *round) evictSuspects(h *host, w *targetLatency, suspects []suspect) {
	need := w.smoothed - math.Log(w.threshold*throttleGoal)
	for need > 0 {
		s := r.cheapestSuspect(suspects)
		if s == nil || !r.p.budget.take() {
			return
		}
		reason := fmt.Sprintf("p99 of %s at %.0f ms over %.0f ms, throttled already", w.service, w.p99, w.threshold)
		r.evict(s.task, h, reason)
		h.state.protection.actedAt = r.now
		need -= s.slowdown
	}
}
