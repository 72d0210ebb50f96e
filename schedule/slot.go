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
	// servingCloned is set once the map of serving tasks is this round's own.
	servingCloned bool
	// slack is how much headroom backfilling tasks may still take of the serving ones, nil
	// until it is asked for.
	slack *slack
	// servingStarts are the serving steps that this round has given it tasks of, with their
	// images.
	servingStarts map[jobqueue.StepID]string
	usable        bool
	leaving       bool
	avoided       bool
	// mayRetry is set if a task that finds no other worker may start there though it is avoided.
	mayRetry       bool
	recentlyFailed bool
	// onProbation: a run there is on trial. probationStep is the step whose tasks begin theirs there together
	// in this round.
	onProbation   bool
	probationStep jobqueue.StepID
	// startsByStep counts this round's starts by step of an occurrence, nil before the first.
	startsByStep map[jobqueue.StepID]int
	// backfillStarts are this round's starts of backfilling tasks.
	backfillStarts []observedRun
}

// use is what tasks are expected to use of a worker.
type use struct {
	// backfillMilli is the processor demand of the backfilling runs, others what the rest
	// is expected to use of its reservation, in thousandths of a core.
	backfillMilli int64
	otherMilli    float64
	// servingByImage counts the serving tasks by image.
	servingByImage map[string]int
	// watchesProgress is set if one of the tasks is of a kind that is watched for standing still.
	watchesProgress bool
}

// add adds n tasks of a step.
func (u *use) add(spec *apiv1.JobStep, n int) {
	switch {
	case spec.Backfill:
		u.backfillMilli += int64(n) * spec.CpuMilli
	case spec.LongRunning:
		u.otherMilli += float64(n) * servingUtilization * float64(spec.CpuMilli)
		if spec.TailObjectiveMs > 0 {
			u.servingByImage[spec.Image] += n
		}
	default:
		u.watchesProgress = u.watchesProgress || !spec.Gang
		u.otherMilli += float64(n) * float64(spec.CpuMilli)
	}
}

// cachedUse is what the runs of a worker were found to use, at a revision of its runs and
// of their paces.
type cachedUse struct {
	runsRevision  uint64
	pacer         *pacer
	pacesRevision uint64
	use
}

// useOf returns what a worker's runs use; its map must not be changed. Most workers have
// the same runs at the same paces from one round to the next, and to count them anew each
// time took most of a round without news.
func (r *round) useOf(w *jobqueue.Worker) use {
	c := r.planner.pacers[w.Spec.Id]
	known, found := r.planner.cachedUses[w]
	if found && known.runsRevision == w.Revision && known.pacer == c && (c == nil || known.pacesRevision == c.revision) {
		return known.use
	}
	known = cachedUse{runsRevision: w.Revision, pacer: c, use: r.countUse(w)}
	if c != nil {
		known.pacesRevision = c.revision
	}
	r.planner.cachedUses[w] = known
	return known.use
}

func (r *round) countUse(w *jobqueue.Worker) use {
	u := use{servingByImage: map[string]int{}}
	for _, run := range w.Runs {
		u.add(run.Step, 1)
		if run.Step.Backfill {
			u.backfillMilli -= r.paceReduction(run)
		}
	}
	return u
}

// paceReduction is the processor demand that a run's pace takes from it.
func (r *round) paceReduction(run *jobqueue.Run) int64 {
	percent, set := r.planner.Pace(run.Worker, run.ID)
	if !set {
		return 0
	}
	return run.Step.CpuMilli * (fullPace - int64(percent)) / fullPace
}

func (r *round) buildSlots() {
	workers := r.machine.Workers()
	r.slots = make([]*slot, 0, len(workers))
	for _, w := range workers {
		health := r.planner.health.byWorker[w.Spec.Id]
		r.slots = append(r.slots, &slot{
			worker:         w,
			free:           w.Free(),
			use:            r.useOf(w),
			usable:         !w.Spec.Draining && r.fleet.Reachable(w.Spec.Id),
			leaving:        r.machine.Leaving(w.Spec.Id),
			avoided:        health.avoided(r.now),
			mayRetry:       health.mayRetry(r.now),
			recentlyFailed: health.recentlyFailed(),
			onProbation:    w.HasRunOnProbation(),
		})
	}
	r.planner.pruneDeparted(r.machine, r.now)
}

// addUse adds n tasks of a step to what the worker is expected to use.
func (s *slot) addUse(spec *apiv1.JobStep, n int) {
	if !s.servingCloned {
		s.servingByImage = maps.Clone(s.servingByImage)
		s.servingCloned = true
	}
	s.add(spec, n)
}

// reserve takes n tasks' room from the slot; -1 gives it back.
func (s *slot) reserve(c *candidate, n int) {
	for range max(n, -n) {
		if n > 0 {
			s.free = s.free.Sub(jobqueue.Reserved(c.step.Spec))
		} else {
			s.free = s.free.Add(jobqueue.Reserved(c.step.Spec))
		}
	}
	s.addUse(c.step.Spec, n)
	if s.startsByStep == nil {
		s.startsByStep = map[jobqueue.StepID]int{}
	}
	s.startsByStep[c.key()] += n
}

// recordServing notes that the worker got a task of a serving step: what is left of its slack
// is to be counted anew.
func (s *slot) recordServing(c *candidate) {
	if s.servingStarts == nil {
		s.servingStarts = map[jobqueue.StepID]string{}
	}
	s.servingStarts[c.key()] = c.step.Spec.Image
	s.slack = nil
}
