package place

import (
	"math"
	"slices"
)

// predictedTail is what a service's p99 on a worker is believed to be with the present
// neighbours and this round's reservations.
type predictedTail struct {
	service string
	bucket  int
	// logP99 is the natural logarithm of the p99 in milliseconds.
	logP99 float64
	// measured is false as long as nothing was measured for the service.
	measured bool
	// neighbourSlowdown is what running tasks are believed to add (log).
	neighbourSlowdown float64
	// objective in milliseconds, 0 for none.
	objective float64
	exceeded  bool
}

// estimate is a looked-up belief, kept for the round.
type estimate struct{ mean, variance float64 }

// harmlessSlowdown is the slowdown (log) below which a kind counts as disturbing nobody.
const harmlessSlowdown = 0.05

// harmless reports whether a kind is known to disturb a service hardly at all.
func (e estimate) harmless() bool {
	const doubt = 0.5
	return upperBound(e.mean, e.variance, doubt) < harmlessSlowdown
}

// likelyHarmless is harmless without the doubt. It is enough for placing, where the
// probing filter bounds what is not known yet; a task that was held down for a
// reason is not let go on it.
func (e estimate) likelyHarmless() bool { return e.mean < harmlessSlowdown }

// slowdown returns the belief about a kind beside a service, cached per round.
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

// predictedTails returns the host's services with their predicted tails, worked out when
// the round first asks.
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
	w := r.worstLatency(h, service)
	if w != nil {
		t.bucket = w.bucket
		t.exceeded = w.exceeded()
	} else {
		t.bucket = r.p.buckets[service]
	}
	own, variance := r.p.interference.lookup(r.now, interferenceKey{service: service, bucket: t.bucket})
	t.measured = variance < priorBaselineVariance
	t.logP99 = own
	if w != nil {
		t.logP99 += w.residual
	}
	for _, task := range h.Running {
		t.neighbourSlowdown += r.taskSlowdown(h, t, task)
	}
	t.logP99 += t.neighbourSlowdown
	return t
}

// taskSlowdown is what a running task is believed to add to a tail.
func (r *round) taskSlowdown(h *host, t *predictedTail, task *Task) float64 {
	share := int32(fullShare)
	if h.state != nil {
		share = h.state.protection.shareOf(attemptID{task.ID, task.Attempt})
	}
	return r.slowdownAt(t.service, task.Kind, share, t.bucket).mean
}

// worstLatency returns the worst recent watch of a service on a host, or nil.
func (r *round) worstLatency(h *host, service string) *targetLatency {
	if h.state == nil {
		return nil
	}
	var found *targetLatency
	for _, w := range h.state.protection.latencies {
		if w.service != service || !w.recent(r.now) {
			continue
		}
		if found == nil || w.p99 > found.p99 || w.p99 == found.p99 && w.target < found.target {
			found = w
		}
	}
	return found
}

// predictWithTask returns what a tail would be, in milliseconds, with one more task of a
// kind, at the upper confidence bound, and how much of it the task brings (log).
func (r *round) predictWithTask(t *predictedTail, kind string) (milliseconds, added float64) {
	e := r.slowdown(t.service, kind, t.bucket)
	added = max(upperBound(e.mean, e.variance, r.weights.boundDeviations()), 0)
	return math.Exp(t.logP99 + added), added
}
