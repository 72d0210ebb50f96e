package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// avoidAfterFailures is how many runs of a worker must fail, without one that succeeds between
	// them, before the worker is avoided. Tasks occasionally fail by themselves but rarely twice in
	// a row, and two failures are enough to detect a broken worker.
	avoidAfterFailures = 2
	// initialAvoidance is the time from the failure that causes a worker to be avoided to the end
	// of its avoidance. Each further failure doubles it, up to maxAvoidance.
	initialAvoidance = 3 * time.Second
	maxAvoidance     = 12 * time.Second
	// incidentWindow is the time after an extension of a worker's avoidance in which further
	// failures don't extend it again. An event that ends many runs of a worker at once indicates no
	// more than one that ends a single run.
	incidentWindow = time.Second
	// failureResetDelay is the time without a failure, on a worker that gets work, after which the
	// next failure is not consecutive to the earlier ones. A long-running task never succeeds, so
	// nothing else would end its sequence of failures.
	failureResetDelay = 15 * time.Second
	// avoidedRetryInterval is the time from one round that gives an avoided worker tasks that find
	// no other worker to the next such round. A worker that fails all of its tasks is thus retried
	// once in that time, and other failures there don't delay waiting tasks meanwhile.
	avoidedRetryInterval = time.Second
	// refusalPause is the time from the refusal of a start by a worker to the next start there. It
	// is long enough for the task to start elsewhere, and most refusing workers are full or
	// unhealthy only briefly.
	refusalPause = time.Second
)

// healthTable tracks which workers fail their tasks.
type healthTable struct {
	byWorker map[string]*health
}

// health is the failure history of a worker.
type health struct {
	failures     int
	failedAt     time.Time
	avoidedUntil time.Time
	avoidance    time.Duration
	// avoidanceExtendedAt is the time at which a failure last extended the avoidance.
	avoidanceExtendedAt time.Time
	// refusedUntil is the end of the pause after the worker's last refusal.
	refusedUntil time.Time
	// retriedAt is the time at which the worker last got a task although it was avoided.
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

// reset ends the sequence of consecutive failures.
func (h *health) reset() { *h = health{refusedUntil: h.refusedUntil, retriedAt: h.retriedAt} }

// recordFailure counts a failed run and avoids the worker after consecutive failures.
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

// markStalled avoids a worker on which tasks make no progress or are not listed.
func (t healthTable) markStalled(worker string, at time.Time) {
	h := t.entry(worker)
	h.failures = max(h.failures, avoidAfterFailures)
	h.failedAt = at
	h.avoidance = max(h.avoidance, initialAvoidance)
	h.avoidedUntil = at.Add(h.avoidance)
}

// recordRefusal records that a worker can currently take no task.
func (t healthTable) recordRefusal(worker string, at time.Time) {
	t.entry(worker).refusedUntil = at.Add(refusalPause)
}

// avoided reports whether a worker should currently get no tasks.
func (h *health) avoided(now time.Time) bool {
	return h != nil && (now.Before(h.avoidedUntil) || now.Before(h.refusedUntil))
}

// mayRetry reports whether an avoided worker may get tasks that find no other worker.
func (h *health) mayRetry(now time.Time) bool {
	return h == nil || now.Sub(h.retriedAt) >= avoidedRetryInterval && !now.Before(h.refusedUntil)
}

// recordRetry records that an avoided worker got a task that found no other worker.
func (t healthTable) recordRetry(worker string, at time.Time) { t.entry(worker).retriedAt = at }

// recentlyFailed reports whether the last run of a worker failed.
func (h *health) recentlyFailed() bool {
	return h != nil && h.failures > 0
}
