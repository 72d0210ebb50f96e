package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// avoidAfterFailures is how many runs of a worker must fail without one that ends
	// well between them before it is avoided: tasks fail by themselves now and then,
	// seldom twice in a row, and a broken worker is found after two.
	avoidAfterFailures = 2
	// initialAvoidance is how long a worker is avoided at first; each further failure
	// doubles it, up to maxAvoidance.
	initialAvoidance = 3 * time.Second
	maxAvoidance     = 12 * time.Second
	// incidentWindow is the time within which failures of a worker lengthen its avoidance
	// once: what ends many of its runs at a time says no more than what ends one.
	incidentWindow = time.Second
	// failureResetDelay is the time without a failure, on a worker that gets work, after which
	// the next one is not in a row with those before it. A long-running task never ends
	// well, so nothing else would ever end the row.
	failureResetDelay = 15 * time.Second
	// avoidedRetryInterval is the time between two rounds that give an avoided worker tasks that find
	// no other: one that fails all it gets is tried once in that time, and what else fails
	// there meanwhile keeps nobody waiting.
	avoidedRetryInterval = time.Second
	// refusalPause is how long a worker that refused a start gets no other one: long enough
	// for the task to go elsewhere, and most workers are full or unhealthy for a moment.
	refusalPause = time.Second
)

// healthTable tells which workers fail what they are given.
type healthTable struct {
	byWorker map[string]*health
}

type health struct {
	failures     int
	failedAt     time.Time
	avoidedUntil time.Time
	avoidance    time.Duration
	// avoidanceExtendedAt is when a failure last lengthened the avoidance.
	avoidanceExtendedAt time.Time
	// refusedUntil is when the pause after its last refusal is over.
	refusedUntil time.Time
	// retriedAt is when it last got a task although it was avoided.
	retriedAt time.Time
}

func newHealthTable() healthTable { return healthTable{byWorker: map[string]*health{}} }

func (t healthTable) entry(worker string) *health {
	h := t.byWorker[worker]
	if h == nil {
		h = &health{}
		t.byWorker[worker] = h
	}
	return h
}

func (t healthTable) recordEnd(e EndedRun) {
	h := t.entry(e.Worker)
	switch e.Kind {
	case apiv1.RunEndKind_RUN_END_KIND_DONE:
		h.reset()
	case apiv1.RunEndKind_RUN_END_KIND_FAILED:
		h.recordFailure(e.At)
	}
}

// reset ends the row of failures.
func (h *health) reset() { *h = health{refusedUntil: h.refusedUntil, retriedAt: h.retriedAt} }

func (h *health) recordFailure(at time.Time) {
	if at.Sub(h.failedAt) > failureResetDelay && at.Sub(h.avoidedUntil) > failureResetDelay {
		h.reset()
	}
	h.failures++
	h.failedAt = at
	if h.failures < avoidAfterFailures || at.Sub(h.avoidanceExtendedAt) < incidentWindow {
		return
	}
	h.avoidanceExtendedAt = at
	h.avoidance = min(max(2*h.avoidance, initialAvoidance), maxAvoidance)
	h.avoidedUntil = at.Add(h.avoidance)
}

// markStalled marks a worker on which tasks stand still.
func (t healthTable) markStalled(worker string, at time.Time) {
	h := t.entry(worker)
	h.failures = max(h.failures, avoidAfterFailures)
	h.failedAt = at
	h.avoidance = max(h.avoidance, initialAvoidance)
	h.avoidedUntil = at.Add(h.avoidance)
}

// recordRefusal takes in that a worker can take no task for now.
func (t healthTable) recordRefusal(worker string, at time.Time) {
	t.entry(worker).refusedUntil = at.Add(refusalPause)
}

// avoided reports whether a worker should get no work for now.
func (h *health) avoided(now time.Time) bool {
	return h != nil && (now.Before(h.avoidedUntil) || now.Before(h.refusedUntil))
}

// mayRetry reports whether an avoided worker may get tasks that find no other.
func (h *health) mayRetry(now time.Time) bool {
	return h == nil || now.Sub(h.retriedAt) >= avoidedRetryInterval && !now.Before(h.refusedUntil)
}

// recordRetry notes that an avoided worker got a task that found no other.
func (t healthTable) recordRetry(worker string, at time.Time) { t.entry(worker).retriedAt = at }

// recentlyFailed reports whether a worker failed its last run.
func (h *health) recentlyFailed() bool {
	return h != nil && h.failures > 0
}
