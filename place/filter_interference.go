package place

import (
	"fmt"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// protectionFilter refuses workers on which a service exceeds its objective. Its outer name is
// "guard".
type protectionFilter struct{}

func (protectionFilter) Name() string { return "guard" }

func (protectionFilter) Allows(r *round, c *candidate, h *host) bool {
	if r.urgentOverdue(c.Task) {
		return true
	}
	for _, t := range r.predictedTails(h) {
		if t.exceeded {
			return false
		}
	}
	return true
}

func (protectionFilter) Explain(r *round, _ *candidate, h *host) string {
	for _, t := range r.predictedTails(h) {
		if t.exceeded {
			return "the p99 of " + t.service + " exceeds its objective there"
		}
	}
	return ""
}

// urgentOverdue reports whether an urgent task has waited so long that it starts on any worker
// with free capacity, preferably where it slows services down least.
func (r *round) urgentOverdue(t *Task) bool {
	return t.Priority == apiv1.Priority_PRIORITY_URGENT && r.now.Sub(t.QueuedAt) >= urgentMaxWait
}

// Limits on the wait for a worker without interference.
const (
	urgentMaxWait = 3 * time.Second
	// batchMaxWaitFactor is the multiple of StarveAfter after which a batch task may run beside a
	// service that it slows down, one such task per worker.
	batchMaxWaitFactor = 3
)

// interferenceFilter refuses a worker if the task is expected to raise a service's tail latency
// above placementThreshold. After batchMaxWaitFactor times StarveAfter the task is admitted where
// the present neighbours add no significant slowdown, because otherwise it could wait for a
// suitable worker without end.
type interferenceFilter struct{}

func (interferenceFilter) Name() string { return "interference" }

func (f interferenceFilter) Allows(r *round, c *candidate, h *host) bool {
	t := f.worst(r, c, h)
	if t == nil || r.urgentOverdue(c.Task) {
		return true
	}
	mayWait := r.now.Sub(c.QueuedAt) < batchMaxWaitFactor*r.p.cfg.StarveAfter
	return !mayWait && t.neighbourSlowdown < significantSlowdown
}

// worst returns the first service whose tail latency would exceed the threshold, nil if there is
// none.
func (interferenceFilter) worst(r *round, c *candidate, h *host) *predictedTail {
	for _, t := range r.predictedTails(h) {
		if t.objective == 0 || !t.measured {
			continue
		}
		ms, _ := r.predictWithTask(t, c.Kind)
		if !r.slowdown(t.service, c.Kind, t.bucket).likelyHarmless() && ms > t.objective*placementThreshold {
			return t
		}
	}
	return nil
}

func (f interferenceFilter) Explain(r *round, c *candidate, h *host) string {
	t := f.worst(r, c, h)
	if t == nil {
		return ""
	}
	ms, _ := r.predictWithTask(t, c.Kind)
	return fmt.Sprintf("kind %s may raise the p99 of %s to %.0f ms, its objective is %.0f ms", c.Kind, t.service, ms, t.objective)
}
