package schedule

import (
	"slices"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// stopOvercommitted takes back starts on workers that have shrunk below what their runs reserve, as far
// as no report has listed them: those that run may go on, but none may begin.
func (r *round) stopOvercommitted() {
	for _, s := range r.slots {
		if (jobqueue.Resources{}).Fits(s.free) {
			continue
		}
		free := s.free
		unseen := s.worker.RunsMatching(func(run *jobqueue.Run) bool {
			_, seen := r.fleet.Observed(run.ID)
			return !seen && !run.Stopping
		})
		for _, run := range slices.Backward(unseen) {
			if (jobqueue.Resources{}).Fits(free) {
				break
			}
			r.stop(run.ID, "worker shrank")
			free = free.Add(jobqueue.Reserved(run.Step))
		}
	}
}
