package schedule

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// stuckTimeout is the time from the last progress of a run to the report that shows it as stuck.
// Tasks take seconds and report hundredths, so sound ones progress several times a second. A worker
// that is slow by a factor of ten still shows progress.
const stuckTimeout = 2500 * time.Millisecond

// stopStuck stops runs that make no progress, so that they resume elsewhere from their checkpoint.
// Otherwise a worker that hangs would keep its lease and report no end, and its jobs would wait for
// as long as it hangs.
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

// isStuck reports whether a run has made no progress for more than stuckTimeout.
func (r *round) isStuck(run *jobqueue.Run) bool {
	if run.Stopping || run.Step.Backfill || run.Step.LongRunning || run.Step.Gang {
		return false
	}
	o, seen := r.fleet.Observed(run.ID)
	return seen && o.At.Sub(o.ProgressAt) > stuckTimeout
}
