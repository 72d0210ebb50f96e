package place

import (
	"fmt"
	"math"
	"time"
)

// Limits of the protection.
const (
	// throttleGoal is the fraction of the protection threshold to which throttling aims to reduce
	// the tail.
	throttleGoal = 0.9
	minShare     = 100
	middleShare  = 300
)

// protectServices throttles or evicts tasks beside services that exceed their objectives, and
// relaxes throttles where no service does.
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
	ps := h.state.protection
	worst := r.worstExceeded(h)
	if worst == nil {
		r.relaxThrottles(h)
		r.evictLongThrottled(h)
		return
	}
	if !ps.settled(worst) {
		return
	}
	suspects := r.suspects(h, worst)
	if len(suspects) == 0 {
		return
	}
	if !ps.relaxedAt.IsZero() && r.now.Sub(ps.relaxedAt) < 2*ps.relaxDelay {
		ps.relaxDelay = min(2*ps.relaxDelay, maxRelaxDelay)
		ps.relaxedAt = time.Time{}
	}
	if suspects[0].share > minShare {
		r.throttleSuspects(h, worst, suspects)
		return
	}
	r.evictSuspects(h, worst, suspects)
}

// throttleRepeatInterval is the time between two transmissions of the throttles in effect.
const throttleRepeatInterval = 10 * time.Second

// repeatThrottles sends the throttles in effect again. An order may be lost with a leader that is
// replaced and returns shortly after. The task would then run at full share, while its slowdown is
// learned and its share relaxed as if it were throttled.
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

// worstExceeded returns the measurement that exceeds its threshold by the largest factor, nil if
// none does.
func (r *round) worstExceeded(h *host) *targetLatency {
	var worst *targetLatency
	for _, name := range sortedKeys(h.state.protection.latencies) {
		l := h.state.protection.latencies[name]
		if !l.recent(r.now) || !l.exceeded() {
			continue
		}
		if worst == nil || l.p99/l.threshold > worst.p99/worst.threshold {
			worst = l
		}
	}
	return worst
}

// throttleSuspects throttles as many suspects as are estimated to bring the tail back to its goal.
func (r *round) throttleSuspects(h *host, l *targetLatency, suspects []suspect) {
	need := l.smoothed - math.Log(l.threshold*throttleGoal)
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
		need -= s.slowdown - r.attributedSlowdown(l.service, s.task.Kind, next, l.bucket)
		reason := fmt.Sprintf("p99 of %s is %.0f ms, above %.0f ms", l.service, l.p99, l.threshold)
		r.throttle(h, s.task, next, reason)
		h.state.protection.actedAt = r.now
	}
}

// throttle adds a throttle to the plan and records it.
func (r *round) throttle(h *host, t *Task, share int32, reason string) {
	id := attemptID{t.ID, t.Attempt}
	h.state.protection.setShare(id, share, r.now)
	h.state.occupancy.throttle(r.now.Add(actionDelay), id, share)
	r.plan.Throttles = append(r.plan.Throttles, Throttle{
		Task: t.ID, Attempt: t.Attempt, Worker: h.Name, ShareMilli: share, Reason: reason,
	})
}

// evictSuspects evicts as many throttled suspects as needed, in the order of lost work per
// reduction of the tail, within the eviction budget.
func (r *round) evictSuspects(h *host, l *targetLatency, suspects []suspect) {
	need := l.smoothed - math.Log(l.threshold*throttleGoal)
	for need > 0 {
		s := r.cheapestSuspect(suspects)
		if s == nil || !r.p.budget.take() {
			return
		}
		reason := fmt.Sprintf("p99 of %s is %.0f ms, above %.0f ms, although the task is throttled", l.service, l.p99, l.threshold)
		r.evict(s.task, h, reason)
		h.state.protection.actedAt = r.now
		need -= s.slowdown
	}
}
