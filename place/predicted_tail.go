package place

import (
	"math"
	"slices"
)

// predictedTail is the predicted p99 of a service on a worker with its present neighbours and this
// round's reservations.
type predictedTail struct {
	service string
	bucket  int
	// logP99 is the natural logarithm of the p99 in milliseconds.
	logP99 float64
	// measured reports whether any latency of the service was recorded.
	measured bool
	// neighbourSlowdown is the estimated slowdown by the running tasks (log).
	neighbourSlowdown float64
	// objective in milliseconds, 0 for none.
	objective float64
	exceeded  bool
}

// estimate is a belief cached for the round.
type estimate struct{ mean, variance float64 }

// harmlessSlowdown is the slowdown (log) below which a kind counts as harmless.
const harmlessSlowdown = 0.05

// harmless reports whether a kind's slowdown of a service is small with some confidence.
func (e estimate) harmless() bool {
	const doubt = 0.5
	return upperBound(e.mean, e.variance, doubt) < harmlessSlowdown
}

// likelyHarmless is harmless without the confidence margin. That suffices for placement, where the
// probing filter limits uncertain pairs, but not to remove the throttle from a task that was
// throttled for a reason.
func (e estimate) likelyHarmless() bool { return e.mean < harmlessSlowdown }

// slowdown returns the estimate for a kind beside a service, cached for the round.
func (r *round) slowdown(service, kind string, bucket int) estimate {
	return r.slowdownAt(service, kind, fullShare, bucket)
}

// slowdownAt is slowdown for a task at a throttle share.
func (r *round) slowdownAt(service, kind string, share int32, bucket int) estimate {
	key := interferenceKey{service: service, kind: kind, share: share, bucket: bucket}
	if e, ok := r.estimates[key]; ok {
		return e
	}
	mean, variance := r.p.interference.slowdown(r.now, service, kind, share, bucket)
	e := estimate{mean, variance}
	r.estimates[key] = e
	return e
}

// predictedTails returns the predicted tails of the host's services, computed at the first call of
// a round.
func (r *round) predictedTails(h *host) []*predictedTail {
	if h.predictedTails == nil && len(h.Services) > 0 {
		h.predictedTails = make([]*predictedTail, 0, len(h.Services))
		for _, name := range h.Services {
			if !slices.ContainsFunc(h.predictedTails, func(t *predictedTail) bool { return t.service == name }) {
				h.predictedTails = append(h.predictedTails, r.predictTail(h, name))
			}
		}
	}
	return h.predictedTails
}

func (r *round) predictTail(h *host, service string) *predictedTail {
	t := &predictedTail{service: service, objective: float64(r.p.objectives[service])}
	l := r.worstLatency(h, service)
	if l != nil {
		t.bucket = l.bucket
		t.exceeded = l.exceeded()
	} else {
		t.bucket = r.p.buckets[service]
	}
	own, variance := r.p.interference.lookup(r.now, interferenceKey{service: service, bucket: t.bucket})
	t.measured = variance < priorBaselineVariance
	t.logP99 = own
	if l != nil {
		t.logP99 += l.residual
	}
	for _, task := range h.Running {
		t.neighbourSlowdown += r.taskSlowdown(h, t, task)
	}
	t.logP99 += t.neighbourSlowdown
	return t
}

// taskSlowdown returns the estimated slowdown of a service by one running task (log).
func (r *round) taskSlowdown(h *host, t *predictedTail, task *Task) float64 {
	share := int32(fullShare)
	if h.state != nil {
		share = h.state.protection.shareOf(attemptID{task.ID, task.Attempt})
	}
	return r.slowdownAt(t.service, task.Kind, share, t.bucket).mean
}

// worstLatency returns the recent measurement of a service on a host with the highest p99, nil if
// there is none.
func (r *round) worstLatency(h *host, service string) *targetLatency {
	if h.state == nil {
		return nil
	}
	var found *targetLatency
	for _, l := range h.state.protection.latencies {
		if l.service != service || !l.recent(r.now) {
			continue
		}
		if found == nil || l.p99 > found.p99 || l.p99 == found.p99 && l.target < found.target {
			found = l
		}
	}
	return found
}

// predictWithTask returns the predicted p99 in milliseconds with one more task of a kind, at the
// upper confidence bound, and the part of it that the task adds (log).
func (r *round) predictWithTask(t *predictedTail, kind string) (milliseconds, added float64) {
	e := r.slowdown(t.service, kind, t.bucket)
	added = max(upperBound(e.mean, e.variance, r.weights.boundDeviations()), 0)
	return math.Exp(t.logP99 + added), added
}
