package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// failuresInRow is how many runs of a worker must fail without one that ends
	// well between them before it is avoided: tasks fail by themselves now and then,
	// seldom twice in a row, and a broken worker is found after two.
	failuresInRow = 2
	// firstAvoidance is how long a worker is avoided at first; each further failure
	// doubles it, up to maxAvoidance.
	firstAvoidance = 3 * time.Second
	maxAvoidance   = 12 * time.Second
	// incidentSpan is the time within which failures of a worker lengthen its avoidance
	// once: what ends many of its runs at a time says no more than what ends one.
	incidentSpan = time.Second
	// failuresApart is the time without a failure, on a worker that gets work, after which
	// the next one is not in a row with those before it. A long-running task never ends
	// well, so nothing else would ever end the row.
	failuresApart = 15 * time.Second
	// tryAgainAfter is the time between two rounds that give an avoided worker tasks that find
	// no other: one that fails all it gets is tried once in that time, and what else fails
	// there meanwhile keeps nobody waiting.
	tryAgainAfter = time.Second
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
	// lengthenedAt is when a failure last lengthened the avoidance.
	lengthenedAt time.Time
	// refusedUntil is when the pause after its last refusal is over.
	refusedUntil time.Time
	// triedAt is when it last got a task although it was avoided.
	triedAt time.Time
}

func newHealthTable() healthTable { return healthTable{byWorker: map[string]*health{}} }

func (t healthTable) of(worker string) *health {
	h := t.byWorker[worker]
	if h == nil {
		h = &health{}
		t.byWorker[worker] = h
	}
	return h
}

func (t healthTable) ended(e Ended) {
	h := t.of(e.Worker)
	switch e.Kind {
	case apiv1.RunEndKind_RUN_END_KIND_DONE:
		h.forget()
	case apiv1.RunEndKind_RUN_END_KIND_FAILED:
		h.fail(e.At)
	}
}

// forget ends the row of failures.
func (h *health) forget() { *h = health{refusedUntil: h.refusedUntil, triedAt: h.triedAt} }

func (h *health) fail(at time.Time) {
	if at.Sub(h.failedAt) > failuresApart && at.Sub(h.avoidedUntil) > failuresApart {
		h.forget()
	}
	h.failures++
	h.failedAt = at
	if h.failures < failuresInRow || at.Sub(h.lengthenedAt) < incidentSpan {
		return
	}
	h.lengthenedAt = at
	h.avoidance = min(max(2*h.avoidance, firstAvoidance), maxAvoidance)
	h.avoidedUntil = at.Add(h.avoidance)
}

// suspect marks a worker on which tasks stand still.
func (t healthTable) suspect(worker string, at time.Time) {
	h := t.of(worker)
	h.failures = max(h.failures, failuresInRow)
	h.failedAt = at
	h.avoidance = max(h.avoidance, firstAvoidance)
	h.avoidedUntil = at.Add(h.avoidance)
}

// refused takes in that a worker can take no task for now.
func (t healthTable) refused(worker string, at time.Time) {
	t.of(worker).refusedUntil = at.Add(refusalPause)
}

// avoided reports whether a worker should get no work for now.
func (t healthTable) avoided(worker string, now time.Time) bool {
	h := t.byWorker[worker]
	return h != nil && (now.Before(h.avoidedUntil) || now.Before(h.refusedUntil))
}

// mayTry reports whether an avoided worker may get tasks that find no other.
func (t healthTable) mayTry(worker string, now time.Time) bool {
	h := t.byWorker[worker]
	return h == nil || now.Sub(h.triedAt) >= tryAgainAfter && !now.Before(h.refusedUntil)
}

// tried notes that an avoided worker got a task that found no other.
func (t healthTable) tried(worker string, at time.Time) { t.of(worker).triedAt = at }

// doubtful reports whether a worker failed its last run.
func (t healthTable) doubtful(worker string) bool {
	h := t.byWorker[worker]
	return h != nil && h.failures > 0
}
