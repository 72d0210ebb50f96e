package schedule

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// stuckAfter is how long a run may report no progress before it is taken to stand
// still. Tasks take seconds and report hundredths, so sound ones advance several
// times a second; a worker that is slow by a factor of ten still advances.
const stuckAfter = 2500 * time.Millisecond

// stopStuck stops runs that stand still, so that they go on elsewhere from their
// checkpoint. What goes wrong without it: a worker that hangs keeps its lease and
// lists no end, and its jobs wait for as long as it hangs.
func (r *round) stopStuck() {
	for _, s := range r.slots {
		if !s.usable || !s.mayStick {
			continue
		}
		for _, run := range s.worker.RunsMatching(r.stuck) {
			r.planner.health.suspect(s.worker.Spec.Id, r.now)
			s.avoided, s.mayTry = true, false
			r.stop(run.ID, "no progress")
		}
	}
}

func (r *round) stuck(run *jobqueue.Run) bool {
	if run.Stopping || run.Step.Backfill || run.Step.LongRunning || run.Step.Gang {
		return false
	}
	o, seen := r.fleet.Observed(run.ID)
	return seen && o.At.Sub(o.ProgressAt) > stuckAfter
}
