package schedule

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// lowPace is the pace, in percent, at which a run is moved if another worker would
	// run it at the usual speed or more, and lowPaceDuration how long it must have been
	// that low: two reports, so that a tail that is only long for a moment moves
	// nothing. A move costs the work since the last report and a start, some tenths of
	// a second, and a step ends with its slowest task.
	lowPace         = 40
	lowPaceDuration = time.Second
	// maxMovesPerRound bounds the runs that are moved at once.
	maxMovesPerRound = 4
)

// moveSlowedRuns stops backfilling runs that are slowed down for good beside the
// serving tasks they disturb, if another worker would bear them; they go on there
// from their checkpoint. What goes wrong without it: they hold memory and make no
// progress while the processors of other workers are idle.
func (r *round) moveSlowedRuns() {
	seen := map[jobqueue.RunID]time.Time{}
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
			seen[id] = since
			if moves < maxMovesPerRound && r.now.Sub(since) >= lowPaceDuration && r.reserveElsewhere(run, s) {
				r.stop(id, "slowed down, another worker bears it")
				moves++
			}
		}
	}
	r.planner.lowPaceSince = seen
}

func (r *round) isSlowed(run *jobqueue.Run) bool {
	if !run.Step.Backfill || !run.Step.Checkpointing || run.Step.Gang || run.Stopping {
		return false
	}
	percent, set := r.planner.Pace(run.Worker, run.ID)
	return set && percent <= lowPace
}

// reserveElsewhere reports whether another worker would run the task well, and takes that
// worker's room for this round.
func (r *round) reserveElsewhere(run *jobqueue.Run, own *slot) bool {
	id := run.ID.Task
	j := run.Job()
	c := &candidate{
		job: j, queue: r.machine.QueueOf(j), occurrence: int(id.Occurrence), stepIndex: int(id.Step),
		step: j.Occurrences[id.Occurrence].Steps[id.Step], neededSpeed: defaultMinSpeed,
	}
	usable := own.usable
	own.usable = false
	defer func() { own.usable = usable }()
	s := r.best(c)
	if s == nil {
		return false
	}
	s.reserve(c, 1)
	if run.Step.Backfill {
		r.remainingSlack(s).consume(run.Step, s.worker.Spec.CpuMilli, 1)
	}
	return true
}
