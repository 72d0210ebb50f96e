package place

import (
	"fmt"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// protectionFilter gives no new neighbour to a service that is over its objective.
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
			return "the p99 of " + t.service + " is over its objective there"
		}
	}
	return ""
}

// urgentOverdue reports whether an urgent task has waited so long that it is started
// wherever it disturbs least.
func (r *round) urgentOverdue(t *Task) bool {
	return t.Priority == apiv1.Priority_PRIORITY_URGENT && r.now.Sub(t.QueuedAt) >= urgentMaxWait
}

// Patience with the perfect neighbour.
const (
	urgentMaxWait = 3 * time.Second
	// batchMaxWaitFactor is how many times StarveAfter a batch task waits before it
	// goes beside a service that it disturbs, one such task to a worker.
	batchMaxWaitFactor = 3
)

// interferenceFilter refuses a worker where the task is expected to push a
// service's tail over what the policy allows. After batchMaxWaitFactor it passes where
// no other task is held down: waiting for a harmless place that never comes
// would be starvation under another name.
type interferenceFilter struct{}

func (interferenceFilter) Name() string { return "interference" }

func (f interferenceFilter) Allows(r *round, c *candidate, h *host) bool {
	t := f.worst(r, c, h)
	if t == nil || r.urgentOverdue(c.Task) {
		return true
	}
	patient := r.now.Sub(c.QueuedAt) < batchMaxWaitFactor*r.p.cfg.StarveAfter
	return !patient && t.neighbourSlowdown < significantSlowdown
}

// worst returns the first service that would be pushed over.
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
	return fmt.Sprintf("kind %s may bring the p99 of %s to %.0f ms of %.0f ms", c.Kind, t.service, ms, t.objective)
}
