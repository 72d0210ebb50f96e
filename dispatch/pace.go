package dispatch

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/schedule"
)

const (
	// slowDownShare of the objective is where backfilling neighbours are slowed
	// down, speedUpShare where they are let up again. The figures are rough and half
	// a second old, so the first lies well below 1, and the gap keeps the pace from
	// swinging.
	slowDownShare = 0.85
	speedUpShare  = 0.6
	// slowDownFactor and speedUpStep change the pace once an adjustInterval: down
	// fast, up slowly. From 100 it is below 10 after four steps, two seconds, which
	// is half of the time in which a disturbance must end.
	slowDownFactor = 0.5
	speedUpStep    = 10
	minPace        = 5
	fullPace       = 100
	adjustInterval = 500 * time.Millisecond
)

// paceTable holds the pace of the backfilling runs of each worker.
type paceTable struct {
	byWorker map[string]*workerPace
	byRun    map[jobqueue.RunID]uint32
}

type workerPace struct {
	percent    int
	adjustedAt time.Time
	revision   uint64
}

func newPaceTable() *paceTable {
	return &paceTable{byWorker: map[string]*workerPace{}, byRun: map[jobqueue.RunID]uint32{}}
}

func (t *paceTable) of(id jobqueue.RunID) (uint32, bool) {
	percent, set := t.byRun[id]
	return percent, set
}

func (t *paceTable) revision(worker string) uint64 {
	if p := t.byWorker[worker]; p != nil {
		return p.revision
	}
	return 0
}

// adjust sets the pace of a worker's backfilling runs by the tail latency of the
// serving ones beside them.
func (t *paceTable) adjust(w *jobqueue.Worker, observed map[jobqueue.RunID]schedule.Observation, now time.Time) {
	if w == nil {
		return
	}
	p := t.byWorker[w.Spec.Id]
	if p == nil {
		p = &workerPace{percent: fullPace}
		t.byWorker[w.Spec.Id] = p
	}
	if now.Sub(p.adjustedAt) < adjustInterval {
		return
	}
	p.adjustedAt = now
	p.percent = nextPace(p.percent, worstShare(w, observed))
	changed := false
	for id, r := range w.Runs {
		if r.Step.Backfill && t.set(id, uint32(p.percent)) {
			changed = true
		}
	}
	if changed {
		p.revision++
	}
}

func (t *paceTable) set(id jobqueue.RunID, percent uint32) bool {
	before, set := t.byRun[id]
	if !set {
		before = fullPace
	}
	if before == percent {
		return false
	}
	t.byRun[id] = percent
	return true
}

func nextPace(percent int, share float64) int {
	switch {
	case share > slowDownShare:
		return max(minPace, int(float64(percent)*slowDownFactor))
	case share < speedUpShare:
		return min(fullPace, percent+speedUpStep)
	}
	return percent
}

// worstShare is the largest tail latency of the worker's serving runs, as a share
// of the objective.
func worstShare(w *jobqueue.Worker, observed map[jobqueue.RunID]schedule.Observation) float64 {
	worst := 0.0
	for id, r := range w.Runs {
		if r.Step.TailObjectiveMs <= 0 || r.Step.Backfill {
			continue
		}
		worst = max(worst, float64(observed[id].Figure)/float64(r.Step.TailObjectiveMs))
	}
	return worst
}
