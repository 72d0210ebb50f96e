package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// evacuationTimeout is how long tasks that would lose their work may go on on a
	// worker that is emptied: most end by themselves within it.
	evacuationTimeout = 5 * time.Second
	// maxEvacuationsPerRound bounds the runs that are stopped at once, so that their
	// successors find room one after the other.
	maxEvacuationsPerRound = 8
)

// evacuate stops what runs on workers whose hosts are to go down, so that it goes on
// elsewhere: serving tasks within their availability budget, tasks with checkpoints
// at once, the others when they have had time to end. What goes wrong without it:
// the maintenance ends all of them at once, and a step's users find none of its tasks
// at work.
func (r *round) evacuate() {
	since := map[string]time.Time{}
	stops := 0
	for _, s := range r.slots {
		if !s.leaving {
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

func (r *round) shouldEvacuate(run *jobqueue.Run, s *slot, waited time.Duration) bool {
	step := run.Step
	switch {
	case run.Stopping:
		return false
	case step.LongRunning:
		return r.withinUnavailableBudget(run) && r.reserveElsewhere(run, s)
	case step.Checkpointing && !step.Gang || waited >= evacuationTimeout:
		return r.reserveElsewhere(run, s)
	}
	return false
}

// withinUnavailableBudget reports whether a long-running step can lose one more task by an order of
// ours: those that are not at work count, for whatever reason. Each order that
// ends a sound long-running task asks here.
func (r *round) withinUnavailableBudget(run *jobqueue.Run) bool {
	if !run.Step.HasUnavailableBudget {
		return true
	}
	id := run.ID.Task
	away := uint32(0)
	for i, t := range run.Job().Occurrences[id.Occurrence].Steps[id.Step].Tasks {
		if uint32(i) != id.Index && !r.isRunning(t) {
			away++
		}
	}
	return away < run.Step.UnavailableBudget
}

// isRunning reports whether a long-running task was lately seen at work, on a worker in
// reach, and is not being stopped, by this round neither.
func (r *round) isRunning(t *jobqueue.Task) bool {
	for _, run := range t.Runs {
		o, seen := r.fleet.Observed(run.ID)
		if seen && o.Percent == fullPace && !run.Stopping && !r.stopped[run.ID] && r.fleet.Reachable(run.Worker) {
			return true
		}
	}
	return false
}

// stop decides that a run is stopped.
func (r *round) stop(id jobqueue.RunID, reason string) {
	if r.stopped[id] {
		return
	}
	r.stopped[id] = true
	r.decision.Stops = append(r.decision.Stops, &apiv1.StopRun{Task: id.Task.Ref(), Run: id.Number, Reason: reason})
}
