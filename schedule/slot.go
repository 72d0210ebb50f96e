package schedule

import (
	"maps"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// slot is a worker with the tasks that this round starts on it.
type slot struct {
	worker *jobqueue.Worker
	// available is initially what may start on the worker and shrinks with this round's starts.
	available jobqueue.Availability
	// use is initially the use of the worker's runs and grows with this round's starts.
	use
	// servingCloned is set once servingByImage is a copy that this round may change.
	servingCloned bool
	// slack is the headroom of the serving tasks that backfill tasks may still take, nil until
	// first needed.
	slack *slack
	// servingStarts are the serving steps of which this round starts tasks here, with their images.
	servingStarts map[jobqueue.StepID]string
	usable        bool
	// cordoned is set if the worker's availability zone is cordoned.
	cordoned bool
	leaving  bool
	avoided  bool
	// mayRetry is set if a task that finds no other worker may start here though the worker is
	// avoided.
	mayRetry       bool
	recentlyFailed bool
	// onProbation is set if a run here is on probation. probationStep is the step whose tasks begin
	// their probation here together in this round.
	onProbation   bool
	probationStep jobqueue.StepID
	// startsByStep counts this round's starts by step of an occurrence, nil before the first start.
	startsByStep map[jobqueue.StepID]int
	// starts is the number of this round's starts.
	starts int
	// rate is the observed rate of the worker, nil if it is not rated.
	rate *WorkerRate
	// backfillStarts are this round's starts of backfill tasks.
	backfillStarts []observedRun
	// keptFor is the candidate that this worker is kept for, nil for most workers.
	keptFor *candidate
}

// use is what tasks are expected to use of a worker.
type use struct {
	// backfillMilli is the processor demand of the backfill runs, otherMilli the expected use of
	// the other runs, both in thousandths of a core.
	backfillMilli int64
	otherMilli    float64
	// servingByImage counts the serving tasks by image.
	servingByImage map[string]int
	// watchesProgress is set if one of the tasks is of a kind that is stopped when it makes no
	// progress.
	watchesProgress bool
	// longRunning is what the long-running tasks reserve.
	longRunning jobqueue.Resources
}

// add adds n tasks of a step.
func (u *use) add(spec *apiv1.JobStep, n int) {
	if spec.LongRunning {
		u.longRunning = u.longRunning.Add(jobqueue.Reserved(spec).Times(n))
	}
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

// cachedUse is the use of a worker's runs at a revision of the runs and of their paces.
type cachedUse struct {
	runsRevision  uint64
	pacer         *pacer
	pacesRevision uint64
	// workloads is the work of the runs by account and queue.
	workloads []keyedWorkload
	use
}

// useOf returns the use of a worker's runs. The caller must not change its map. Most workers have
// the same runs at the same paces from one round to the next, and recomputing the use each time
// took most of a round without changes.
func (p *Planner) useOf(w *jobqueue.Worker) use {
	c := p.pacers[w.Spec.Id]
	known, found := p.cachedUses[w]
	if found && known.runsRevision == w.Revision && known.pacer == c && (c == nil || known.pacesRevision == c.revision) {
		return known.use
	}
	work := known.workloads
	if !found || known.runsRevision != w.Revision {
		p.workloads.add(known.workloads, -1)
		work = workloadsOn(w)
		p.workloads.add(work, 1)
	}
	known = cachedUse{runsRevision: w.Revision, pacer: c, workloads: work, use: p.countUse(w)}
	if c != nil {
		known.pacesRevision = c.revision
	}
	p.cachedUses[w] = known
	return known.use
}

func (p *Planner) countUse(w *jobqueue.Worker) use {
	u := use{servingByImage: map[string]int{}}
	for _, run := range w.Runs {
		u.add(run.Step, 1)
		if run.Step.Backfill {
			u.backfillMilli -= p.paceReduction(run)
		}
	}
	return u
}

// paceReduction returns by how much a run's pace reduces its processor demand.
func (p *Planner) paceReduction(run *jobqueue.Run) int64 {
	percent, set := p.Pace(run.Worker, run.ID)
	if !set {
		return 0
	}
	return run.Step.CpuMilli * (fullPace - int64(percent)) / fullPace
}

// buildSlots creates a slot for each worker and prunes the state of departed workers.
func (r *round) buildSlots() {
	workers := r.machine.Workers()
	r.slots = make([]*slot, 0, len(workers))
	// One allocation for all slots: 3,700 of them took an eighth of a round with 20 starts.
	slots := make([]slot, len(workers))
	for i, w := range workers {
		health := r.planner.health.byWorker[w.Spec.Id]
		slots[i] = slot{
			worker:         w,
			available:      r.fleet.Availability(w),
			use:            r.planner.useOf(w),
			usable:         !w.Spec.Draining && r.fleet.Reachable(w.Spec.Id),
			cordoned:       r.machine.Cordoned(w.Spec.AvailabilityZone),
			leaving:        r.machine.Leaving(w.Spec.Id),
			avoided:        health.avoided(r.now),
			mayRetry:       health.mayRetry(r.now),
			recentlyFailed: health.recentlyFailed(),
			onProbation:    w.HasRunOnProbation(),
			rate:           r.planner.rates.slotRate(w),
		}
		r.slots = append(r.slots, &slots[i])
	}
	r.planner.pruneDeparted(r.machine, r.now)
	if len(r.planner.cachedUses) != len(workers) {
		// What ran on departed workers must not count until the next pruning.
		r.planner.forgetUses(r.machine)
	}
}

// maxRunsPerWorker bounds the runs of tiny tasks on one worker: the leader and the worker's agent hold all of
// them, and each message with its orders or runs contains them.
const maxRunsPerWorker = 2048

func (s *slot) hasMaxRuns() bool { return len(s.worker.Runs)+s.starts >= maxRunsPerWorker }

// isTiny reports whether the capacity of the worker does not bound the number of the step's tasks there to
// maxRunsPerWorker.
func (s *slot) isTiny(spec *apiv1.JobStep) bool {
	return jobqueue.Reserved(spec).Times(maxRunsPerWorker).Fits(s.worker.Capacity())
}

// acceptsStarts reports whether the worker is usable and its availability zone is not cordoned.
func (s *slot) acceptsStarts() bool { return s.usable && !s.cordoned }

// addUse adds n tasks of a step to the expected use of the worker.
func (s *slot) addUse(spec *apiv1.JobStep, n int) {
	if !s.servingCloned {
		s.servingByImage = maps.Clone(s.servingByImage)
		s.servingCloned = true
	}
	s.add(spec, n)
}

// reserve reserves capacity for n tasks of a candidate. With n = -1 it releases the capacity of one
// task.
func (s *slot) reserve(c *candidate, n int) {
	reserved := &s.available.Reserved
	for range max(n, -n) {
		if n > 0 {
			*reserved = reserved.Add(jobqueue.Reserved(c.step.Spec))
		} else {
			*reserved = reserved.Sub(jobqueue.Reserved(c.step.Spec))
		}
	}
	s.addUse(c.step.Spec, n)
	s.starts += n
	if s.startsByStep == nil {
		s.startsByStep = map[jobqueue.StepID]int{}
	}
	s.startsByStep[c.key()] += n
}

// recordServing records that the worker gets a task of a serving step. The remaining slack has to
// be computed again.
func (s *slot) recordServing(c *candidate) {
	if s.servingStarts == nil {
		s.servingStarts = map[jobqueue.StepID]string{}
	}
	s.servingStarts[c.key()] = c.step.Spec.Image
	s.slack = nil
}
