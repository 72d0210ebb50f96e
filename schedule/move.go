package schedule

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// lowPace is the pace, in percent, at or below which a run is moved if another worker would run
	// it at defaultMinSpeed or more. lowPaceDuration is how long the pace must have been that low.
	// It covers two reports, so that a tail latency that is long only briefly causes no move. A
	// move costs the work since the last report and a start, some tenths of a second, and a step
	// ends with its slowest task.
	lowPace         = 40
	lowPaceDuration = time.Second
	// maxMovesPerRound bounds the runs that are moved at once.
	maxMovesPerRound = 4
)

// moveSlowedRuns stops backfill runs that are persistently slowed down because they interfere with
// serving tasks, if another worker would tolerate them. They resume there from their checkpoint.
// Otherwise they would occupy memory and make no progress while the processors of other workers are
// idle.
func (r *round) moveSlowedRuns() {
	slowedSince := map[jobqueue.RunID]time.Time{}
	moves := 0
	for _, s := range r.slots {
		if c := r.planner.pacers[s.worker.Spec.Id]; c == nil || !c.hasLowPace {
			continue
		}
		for _, run := range s.worker.RunsMatching(r.isSlowed) {
			id := run.ID
			since, known := r.planner.lowPaceSince[id]
			if !known {
				since = r.now
			}
			slowedSince[id] = since
			if moves < maxMovesPerRound && r.now.Sub(since) >= lowPaceDuration && r.reserveElsewhere(run, s) {
				r.stop(id, "slowed down, another worker bears it")
				moves++
			}
		}
	}
	r.planner.lowPaceSince = slowedSince
}

// isSlowed reports whether a run may be moved and its pace is at most lowPace.
func (r *round) isSlowed(run *jobqueue.Run) bool {
	if !run.Step.Backfill || !run.Step.Checkpointing || run.Step.Gang || run.Stopping || r.held(run) {
		return false
	}
	percent, set := r.planner.Pace(run.Worker, run.ID)
	return set && percent <= lowPace
}

// reserveElsewhere reports whether another worker would run the task at defaultMinSpeed or more,
// and reserves capacity on that worker for this round.
func (r *round) reserveElsewhere(run *jobqueue.Run, current *slot) bool {
	c, s := r.elsewhere(run, current)
	if s == nil {
		return false
	}
	r.reserveFor(c, s)
	return true
}

// elsewhere returns the best other worker that would run the task at defaultMinSpeed or more, nil
// if there is none.
func (r *round) elsewhere(run *jobqueue.Run, current *slot) (*candidate, *slot) {
	id := run.ID.Task
	j := run.Job()
	c := &candidate{
		job: j, queue: j.Queue, occurrence: int(id.Occurrence), stepIndex: int(id.Step),
		step: j.Occurrences[id.Occurrence].Steps[id.Step], neededSpeed: defaultMinSpeed,
	}
	usable := current.usable
	current.usable = false
	defer func() { current.usable = usable }()
	return c, r.best(c)
}

// reserveFor reserves capacity on a worker for the next run of a task that is moved.
func (r *round) reserveFor(c *candidate, s *slot) {
	s.reserve(c, 1)
	if c.step.Spec.Backfill {
		r.remainingSlack(s).consume(c.step.Spec, s.worker.Spec.CpuMilli, 1)
	}
}

// held reports whether the queue of a run is held. If such a run were stopped to move it, it would not
// start again until the queue is released.
func (r *round) held(run *jobqueue.Run) bool {
	return r.machine.QueueHeld(run.Job().Queue.GetName())
}
