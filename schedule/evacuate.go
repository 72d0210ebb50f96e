package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// evacuationTimeout is the time from the beginning of an evacuation to the stop of tasks that
	// would lose their work. Most tasks end by themselves within it.
	evacuationTimeout = 5 * time.Second
	// maxEvacuationsPerRound bounds the runs that are stopped at once, so that their successors are
	// placed one after the other.
	maxEvacuationsPerRound = 8
)

// evacuate stops the runs on workers that are to end, so that they continue elsewhere. Serving tasks
// are stopped within their unavailable budget. Before maintenance, tasks with checkpoints are stopped
// at once, and the others after they have had time to end. Otherwise the end of the worker would end
// all of them at once, and the users of a step would find none of its tasks running.
func (r *round) evacuate() {
	since := map[string]time.Time{}
	stops := 0
	for _, s := range r.slots {
		if !s.leaving && !s.worker.Spec.Draining {
			continue
		}
		worker := s.worker.Spec.Id
		began, known := r.planner.leavingSince[worker]
		if !known {
			began = r.now
		}
		since[worker] = began
		for _, id := range s.worker.SortedRunIDs() {
			if stops < maxEvacuationsPerRound && r.shouldEvacuate(s.worker.Runs[id], s, r.now.Sub(began)) {
				r.stop(id, "host maintenance or move")
				stops++
			}
		}
	}
	r.planner.leavingSince = since
}

// shouldEvacuate reports whether a run is to be stopped now, after its worker has been evacuated
// for the given time.
func (r *round) shouldEvacuate(run *jobqueue.Run, s *slot, waited time.Duration) bool {
	step := run.Step
	switch {
	case run.Stopping || r.held(run):
		return false
	case step.LongRunning:
		return r.withinUnavailableBudget(run) && r.reserveElsewhere(run, s)
	case !s.leaving:
		// A draining worker runs for an unknown time, in which most batch tasks end. A move would cost
		// them more than the work since their last checkpoint.
		return false
	case step.Checkpointing && !step.Gang || waited >= evacuationTimeout:
		return r.reserveElsewhere(run, s)
	}
	return false
}

// withinUnavailableBudget reports whether the planner may stop one more task of a long-running
// step, which is always so for a step without an unavailable budget. Tasks that are not running
// count against the budget for whatever reason. Each order that ends a sound long-running task
// checks this.
func (r *round) withinUnavailableBudget(run *jobqueue.Run) bool {
	if !run.Step.HasUnavailableBudget {
		return true
	}
	id := run.ID.Task
	unavailable := uint32(0)
	for i, t := range run.Job().Occurrences[id.Occurrence].Steps[id.Step].Tasks {
		if uint32(i) != id.Index && !r.isRunning(t) {
			unavailable++
		}
	}
	return unavailable < run.Step.UnavailableBudget
}

// isRunning reports whether a long-running task was last observed running on a reachable worker and
// is not being stopped, neither by the state nor by this round.
func (r *round) isRunning(t *jobqueue.Task) bool {
	for _, run := range t.Runs {
		o, seen := r.fleet.Observed(run.ID)
		if seen && o.Percent == fullPace && !run.Stopping && !r.stopped[run.ID] && r.fleet.Reachable(run.Worker) {
			return true
		}
	}
	return false
}

// stop adds the stop of a run to the decision.
func (r *round) stop(id jobqueue.RunID, reason string) {
	if r.stopped[id] {
		return
	}
	r.stopped[id] = true
	r.decision.Stops = append(r.decision.Stops, &apiv1.StopRun{Task: id.Task.Ref(), Run: id.Number, Reason: reason})
}
