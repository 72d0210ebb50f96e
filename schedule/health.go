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
)

// healthTable tells which workers fail what they are given.
type healthTable struct {
	byWorker map[string]*health
}

type health struct {
	failures     int
	avoidedUntil time.Time
	avoidance    time.Duration
}

func newHealthTable() healthTable { return healthTable{byWorker: map[string]*health{}} }

func (t healthTable) ended(e Ended) {
	h := t.byWorker[e.Worker]
	if h == nil {
		h = &health{}
		t.byWorker[e.Worker] = h
	}
	switch e.Kind {
	case apiv1.RunEndKind_RUN_END_KIND_DONE:
		*h = health{}
	case apiv1.RunEndKind_RUN_END_KIND_FAILED:
		h.fail(e.At)
	}
}

func (h *health) fail(at time.Time) {
	h.failures++
	if h.failures < failuresInRow {
		return
	}
	h.avoidance = min(max(2*h.avoidance, firstAvoidance), maxAvoidance)
	h.avoidedUntil = at.Add(h.avoidance)
}

// suspect marks a worker on which tasks stand still.
func (t healthTable) suspect(worker string, at time.Time) {
	h := t.byWorker[worker]
	if h == nil {
		h = &health{}
		t.byWorker[worker] = h
	}
	h.failures = max(h.failures, failuresInRow)
	h.avoidance = max(h.avoidance, firstAvoidance)
	h.avoidedUntil = at.Add(h.avoidance)
}

// avoided reports whether a worker should get no work for now.
func (t healthTable) avoided(worker string, now time.Time) bool {
	h := t.byWorker[worker]
	return h != nil && now.Before(h.avoidedUntil)
}

// doubtful reports whether a worker failed its last run.
func (t healthTable) doubtful(worker string) bool {
	h := t.byWorker[worker]
	return h != nil && h.failures > 0
}
