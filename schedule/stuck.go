package schedule

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// stuckTimeout is how long a run may report no progress before it is taken to stand
// still. Tasks take seconds and report hundredths, so sound ones advance several
// times a second; a worker that is slow by a factor of ten still advances.
const stuckTimeout = 2500 * time.Millisecond

// stopStuck stops runs that stand still, so that they go on elsewhere from their
// checkpoint. What goes wrong without it: a worker that hangs keeps its lease and
// lists no end, and its jobs wait for as long as it hangs.
func (r *round) stopStuck() {
	for _, s := range r.slots {
		if !s.usable || !s.watchesProgress {
			continue
		}
		for _, run := range s.worker.RunsMatching(r.isStuck) {
			r.planner.health.markStalled(s.worker.Spec.Id, r.now)
			s.avoided, s.mayRetry = true, false
			r.stop(run.ID, "no progress")
		}
	}
}

func (r *round) isStuck(run *jobqueue.Run) bool {
	if run.Stopping || run.Step.Backfill || run.Step.LongRunning || run.Step.Gang {
		return false
	}
	o, seen := r.fleet.Observed(run.ID)
	return seen && o.At.Sub(o.ProgressAt) > stuckTimeout
}
