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
		if !s.usable {
			continue
		}
		for _, id := range s.worker.SortedRuns() {
			run := s.worker.Runs[id]
			if run.Stopping || !r.stuck(id, run) {
				continue
			}
			r.planner.health.suspect(s.worker.Spec.Id, r.now)
			s.avoided = true
			r.stop(id, "no progress")
		}
	}
}

func (r *round) stuck(id jobqueue.RunID, run *jobqueue.Run) bool {
	o, seen := r.fleet.Observed(id)
	if !seen || run.Step.Backfill || run.Step.LongRunning || run.Step.Gang {
		return false
	}
	return o.At.Sub(o.ProgressAt) > stuckAfter
}
