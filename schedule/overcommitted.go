package schedule

import (
	"slices"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// stopOvercommitted stops runs on workers that are overcommitted, because their capacity has shrunk or
// because they have runs that the log does not contain, as far as no report has listed these runs yet.
// Runs that are already running may continue, but no further ones may begin.
func (r *round) stopOvercommitted() {
	for _, s := range r.slots {
		available := s.available
		if !available.Overcommitted() {
			continue
		}
		reason := "worker shrank"
		if (jobqueue.Resources{}).Fits(s.worker.Free()) {
			reason = "worker has unlogged runs"
		}
		unobserved := s.worker.RunsMatching(func(run *jobqueue.Run) bool {
			_, seen := r.fleet.Observed(run.ID)
			return !seen && !run.Stopping
		})
		for _, run := range slices.Backward(unobserved) {
			if !available.Overcommitted() {
				break
			}
			r.stop(run.ID, reason)
			available.Reserved = available.Reserved.Sub(jobqueue.Reserved(run.Step))
		}
	}
}
