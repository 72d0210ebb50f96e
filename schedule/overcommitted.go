package schedule

import (
	"slices"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// stopOvercommitted stops runs on workers whose capacity has shrunk below what their runs reserve,
// as far as no report has listed these runs yet. Runs that are already running may continue, but no
// further ones may begin.
func (r *round) stopOvercommitted() {
	for _, s := range r.slots {
		available := s.available
		if !available.Overcommitted() {
			continue
		}
		unobserved := s.worker.RunsMatching(func(run *jobqueue.Run) bool {
			_, seen := r.fleet.Observed(run.ID)
			return !seen && !run.Stopping
		})
		for _, run := range slices.Backward(unobserved) {
			if !available.Overcommitted() {
				break
			}
			r.stop(run.ID, "worker shrank")
			available.Reserved = available.Reserved.Sub(jobqueue.Reserved(run.Step))
		}
	}
}
