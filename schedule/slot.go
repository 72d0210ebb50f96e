package schedule

import (
	"maps"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// slot is a worker with what this round has given it.
type slot struct {
	worker *jobqueue.Worker
	free   jobqueue.Resources
	// use starts as what the worker's runs use, and grows with this round's starts.
	use
	// ownServing is set once the map of serving tasks is this round's own.
	ownServing bool
	// slack is how much headroom backfilling tasks may still take of the serving ones, nil
	// until it is asked for.
	slack *slack
	// servingGiven are the serving steps that this round has given it tasks of, with their
	// images.
	servingGiven map[jobqueue.StepID]string
	usable       bool
	leaving      bool
	avoided      bool
	// mayTry is set if a task that finds no other worker may start there though it is avoided.
	mayTry   bool
	doubtful bool
	// onTrial: a run there is on trial. trialOf is the step whose tasks begin theirs there together
	// in this round.
	onTrial bool
	trialOf jobqueue.StepID
	// given counts this round's starts by step of an occurrence, nil before the first.
	given map[jobqueue.StepID]int
	// started are this round's starts of backfilling tasks.
	started []seenRun
}

// use is what tasks are expected to use of a worker.
type use struct {
	// backfill is the processor demand of the backfilling runs, others what the rest
	// is expected to use of its reservation, in thousandths of a core.
	backfill int64
	others   float64
	// serving counts the serving tasks by image.
	serving map[string]int
	// mayStick is set if one of the tasks is of a kind that is watched for standing still.
	mayStick bool
}

// add adds n tasks of a step.
func (u *use) add(spec *apiv1.JobStep, n int) {
	switch {
	case spec.Backfill:
		u.backfill += int64(n) * spec.CpuMilli
	case spec.LongRunning:
		u.others += float64(n) * servingLoad * float64(spec.CpuMilli)
		if spec.TailObjectiveMs > 0 {
			u.serving[spec.Image] += n
		}
	default:
		u.mayStick = u.mayStick || !spec.Gang
		u.others += float64(n) * float64(spec.CpuMilli)
	}
}

// usedAt is what the runs of a worker were found to use, at a revision of its runs and
// of their paces.
type usedAt struct {
	runs  uint64
	pacer *pacer
	paces uint64
	use
}

// useOf returns what a worker's runs use; its map must not be changed. Most workers have
// the same runs at the same paces from one round to the next, and to count them anew each
// time took most of a round without news.
func (r *round) useOf(w *jobqueue.Worker) use {
	c := r.planner.pacers[w.Spec.Id]
	known, found := r.planner.used[w]
	if found && known.runs == w.Revision && known.pacer == c && (c == nil || known.paces == c.revision) {
		return known.use
	}
	known = usedAt{runs: w.Revision, pacer: c, use: r.countUse(w)}
	if c != nil {
		known.paces = c.revision
	}
	r.planner.used[w] = known
	return known.use
}

func (r *round) countUse(w *jobqueue.Worker) use {
	u := use{serving: map[string]int{}}
	for _, run := range w.Runs {
		u.add(run.Step, 1)
		if run.Step.Backfill {
			u.backfill -= r.heldBack(run)
		}
	}
	return u
}

// heldBack is the processor demand that a run's pace takes from it.
func (r *round) heldBack(run *jobqueue.Run) int64 {
	percent, set := r.planner.Pace(run.Worker, run.ID)
	if !set {
		return 0
	}
	return run.Step.CpuMilli * (fullPace - int64(percent)) / fullPace
}

func (r *round) lookAtWorkers() {
	workers := r.machine.Workers()
	r.slots = make([]*slot, 0, len(workers))
	for _, w := range workers {
		health := r.planner.health.byWorker[w.Spec.Id]
		r.slots = append(r.slots, &slot{
			worker:   w,
			free:     w.Free(),
			use:      r.useOf(w),
			usable:   !w.Spec.Draining && r.fleet.Reachable(w.Spec.Id),
			leaving:  r.machine.Leaving(w.Spec.Id),
			avoided:  health.avoided(r.now),
			mayTry:   health.mayTry(r.now),
			doubtful: health.doubtful(),
			onTrial:  w.HasRunOnProbation(),
		})
	}
	r.planner.forgetGone(r.machine, r.now)
}

// count adds n tasks of a step to what the worker is expected to use.
func (s *slot) count(spec *apiv1.JobStep, n int) {
	if !s.ownServing {
		s.serving = maps.Clone(s.serving)
		s.ownServing = true
	}
	s.add(spec, n)
}

// give takes n tasks' room from the slot; -1 gives it back.
func (s *slot) give(c *candidate, n int) {
	for range max(n, -n) {
		if n > 0 {
			s.free = s.free.Sub(jobqueue.Reserved(c.step.Spec))
		} else {
			s.free = s.free.Add(jobqueue.Reserved(c.step.Spec))
		}
	}
	s.count(c.step.Spec, n)
	if s.given == nil {
		s.given = map[jobqueue.StepID]int{}
	}
	s.given[c.key()] += n
}

// noteServing notes that the worker got a task of a serving step: what is left of its slack
// is to be counted anew.
func (s *slot) noteServing(c *candidate) {
	if s.servingGiven == nil {
		s.servingGiven = map[jobqueue.StepID]string{}
	}
	s.servingGiven[c.key()] = c.step.Spec.Image
	s.slack = nil
}
