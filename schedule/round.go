package schedule

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// round is the state of one call of Plan.
type round struct {
	planner *Planner
	machine *jobqueue.Machine
	fleet   Fleet
	now     time.Time
	wallMs  int64
	slots   []*slot
	// probations counts the workers of each pool that have a run on probation.
	probations map[string]int
	// usableByPool counts the usable workers of each pool. It is nil until first needed.
	usableByPool map[string]int
	// undoubtedByPool counts the usable workers of each pool that are not doubtful. It is nil until
	// first needed.
	undoubtedByPool map[string]int
	// stopped are the runs that this round stops.
	stopped  map[jobqueue.RunID]bool
	decision Decision
	// starts is the work that this round starts.
	starts workloads
	// changes lists the slots that got a task, in order.
	changes []*slot
	// turns are the accounts with ready tasks.
	turns map[turnKey]turnState
	// contended is set while several accounts take turns, and mayKeep if a worker may be kept for the
	// account whose turn it is.
	contended, mayKeep bool
	// keptWorkers counts the workers of each pool that are kept for a task.
	keptWorkers map[string]int
	// unplacedByAccount counts the tasks of each account that found no worker.
	unplacedByAccount map[string]int
	// full contains the reasons that rule out all workers for tasks of a shape, and infeasible the shapes
	// that no worker is feasible for as a last resort.
	full       map[taskShape][reasonCount]int
	infeasible map[taskShape]bool
	// unkeepable are the shapes that no worker can be kept for.
	unkeepable map[taskShape]bool
	// poolMilli is the processor capacity of each pool in thousandths. It is nil until first needed.
	poolMilli map[string]int64
	// crowding caches which pools are crowded.
	crowding map[string]poolCrowding
}

// remainingSlack returns the slack of a worker that its current backfill runs leave.
func (r *round) remainingSlack(s *slot) slack {
	if s.slack != nil {
		return *s.slack
	}
	spec := s.worker.Spec
	at := r.now.Add(placementLookahead)
	serving := servingSteps(s.worker)
	maps.Copy(serving, s.servingStarts)
	remaining := r.planner.interference.slackAt(at, serving, r.planner.trust(spec.Id), r.now)
	for _, run := range s.worker.Runs {
		if run.Step.Backfill {
			remaining.consume(run.Step, spec.CpuMilli, 1)
		}
	}
	for _, started := range s.backfillStarts {
		remaining.consume(started.run.Step, spec.CpuMilli, 1)
	}
	s.slack = &remaining
	return remaining
}

// servingSteps returns the steps of a worker's serving runs and their images.
func servingSteps(w *jobqueue.Worker) map[jobqueue.StepID]string {
	steps := map[jobqueue.StepID]string{}
	for id, run := range w.Runs {
		if run.Step.TailObjectiveMs > 0 {
			steps[id.Task.StepID()] = run.Step.Image
		}
	}
	return steps
}

// candidate is a step of an occurrence with tasks that are ready to start.
type candidate struct {
	job        *jobqueue.Job
	queue      *apiv1.JobQueue
	occurrence int
	stepIndex  int
	step       *jobqueue.Step
	tasks      []int
	facts      *occurrenceFacts
	// objectiveMs is the wall time in milliseconds by which the job should end.
	objectiveMs int64
	// urgency and endByMs are the place of the job among those of its priority. endByMs is the objective,
	// and for late jobs later by the time that their work takes on the whole pool.
	urgency urgency
	endByMs int64
	// allowed is the time in which the job should end, and remainingMs the duration in milliseconds of its
	// longest chain of steps that have not ended.
	allowed     time.Duration
	remainingMs int64
	// neededSpeed is the least fraction of full speed at which the tasks may start.
	neededSpeed float64
	// probation is set if the tasks may crash their workers. overdue is set if they have waited for
	// starvationTimeout or longer.
	probation, overdue bool
	// lastResort is set if no worker was found other than avoided ones. The tasks may then start on
	// an avoided worker.
	lastResort bool
	// position is the place in the order by urgency.
	position int
	// ranked is the ranking of the workers while other accounts take their turns.
	ranked *ranking
	// ignoreDoubt is set if the tasks may start on doubtful workers without their limits.
	ignoreDoubt bool
}

// startWaiting starts the waiting tasks on workers with free capacity: by priority, then in turns of the
// accounts, then the most urgent ones first.
func (r *round) startWaiting() {
	candidates := r.withoutHeld(r.candidates())
	r.sortByUrgency(candidates)
	r.trackWaits(candidates)
	r.beginShares(candidates)
	for len(candidates) > 0 {
		n := 1
		for n < len(candidates) && sameGroup(candidates[0], candidates[n]) {
			n++
		}
		r.startGroup(candidates[:n])
		candidates = candidates[n:]
	}
	r.planner.turns = r.turns
	r.recordWaitingAccounts()
}

func sameGroup(a, b *candidate) bool {
	return a.overdue == b.overdue && (a.overdue || a.queue.Priority == b.queue.Priority)
}

// startCandidate starts the tasks of a candidate until yields, if given, returns true after a start. It
// reports whether nothing more is to be tried for the candidate in this round.
func (r *round) startCandidate(c *candidate, yields func() bool) bool {
	if c.step.Spec.Gang {
		r.startGang(c)
		return true
	}
	return r.startTasks(c, yields)
}

func (r *round) candidates() []*candidate {
	var found []*candidate
	for _, j := range r.machine.Active() {
		if !j.Open() {
			continue
		}
		for k, o := range j.Occurrences {
			if !j.Due(k, r.wallMs) {
				continue
			}
			var facts *occurrenceFacts
			for i, s := range o.Steps {
				if s.FullyScheduled() && !s.Spec.AllowDuplicates || s.Succeeded() || !o.StepReady(i) {
					continue
				}
				tasks, suspects := splitSuspects(s, r.waitingTasks(j, k, i))
				if facts == nil && len(tasks)+len(suspects) > 0 {
					facts = r.newFacts(j, o)
				}
				if len(tasks) > 0 {
					found = append(found, r.newCandidate(j, k, i, s, tasks, facts))
				}
				if len(suspects) > 0 {
					c := r.newCandidate(j, k, i, s, suspects, facts)
					c.probation = true
					found = append(found, c)
				}
			}
		}
	}
	return found
}

// waitingTasks returns the tasks of a step that have no run, and those that may have a second run because
// the worker of the first is unreachable. Tasks without attempts left, or held by the crash limit, are
// excluded: the state machine rejects their starts, which would reserve capacity in each round. For a
// gang it returns all tasks or none.
func (r *round) waitingTasks(j *jobqueue.Job, occurrence, stepIndex int) []int {
	s := j.Occurrences[occurrence].Steps[stepIndex]
	var tasks []int
	for i, t := range s.Tasks {
		id := jobqueue.TaskID{Job: j.ID(), Occurrence: uint32(occurrence), Step: uint32(stepIndex), Index: uint32(i)}
		runnable := len(t.Runs) == 0 || r.mayDuplicate(s, t)
		if !t.Done && runnable && r.machine.AttemptsLeft(j, s.Spec, t) && !r.machine.HeldByCrashLimit(id, t) {
			tasks = append(tasks, i)
		}
	}
	if s.Spec.Gang && len(tasks) < len(s.Tasks) {
		return nil
	}
	return tasks
}

// mayDuplicate reports whether a task's only run is on an unreachable worker and a duplicate of it
// may run elsewhere.
func (r *round) mayDuplicate(s *jobqueue.Step, t *jobqueue.Task) bool {
	if !s.Spec.AllowDuplicates || s.Spec.LongRunning || s.Spec.Gang || len(t.Runs) != 1 {
		return false
	}
	return !t.Runs[0].Stopping && !r.fleet.Reachable(t.Runs[0].Worker)
}

// occurrenceFacts are what the candidates of an occurrence have in common. Each takes a look at all steps, so
// that they are computed once.
type occurrenceFacts struct {
	allowed, remaining time.Duration
	// poolTime and begun are set once late is, for an occurrence that may be late.
	late     bool
	poolTime time.Duration
	begun    bool
}

func (r *round) newFacts(j *jobqueue.Job, o *jobqueue.Occurrence) *occurrenceFacts {
	return &occurrenceFacts{allowed: r.planner.AllowedTime(j.Queue, o), remaining: r.planner.criticalPath(o, true)}
}

func (f *occurrenceFacts) setLate(r *round, pool string, o *jobqueue.Occurrence) {
	if !f.late {
		f.late, f.poolTime, f.begun = true, r.poolTime(pool, o), begun(o)
	}
}

func (r *round) newCandidate(j *jobqueue.Job, occurrence, stepIndex int, s *jobqueue.Step, tasks []int, facts *occurrenceFacts) *candidate {
	c := &candidate{
		job: j, queue: j.Queue, occurrence: occurrence, stepIndex: stepIndex, step: s, tasks: tasks,
		objectiveMs: j.DueMs(occurrence) + facts.allowed.Milliseconds(), facts: facts,
		allowed: facts.allowed, remainingMs: facts.remaining.Milliseconds(),
	}
	c.neededSpeed = neededSpeed(c.remainingMs, c.objectiveMs-r.wallMs)
	return c
}

// neededSpeed returns the speed at which work of workMs finishes within leftMs, limited to the
// range from absoluteMinSpeed to defaultMinSpeed. Without the lower speed, tasks of an image that
// causes interference on every worker wait for a better worker until their job is late, though the
// job had time enough to run slowly.
func neededSpeed(workMs, leftMs int64) float64 {
	if leftMs <= workMs {
		return defaultMinSpeed
	}
	return min(defaultMinSpeed, max(absoluteMinSpeed, float64(workMs)/float64(leftMs)))
}

func (r *round) startTasks(c *candidate, yields func() bool) bool {
	ranked := c.ranked
	if ranked == nil {
		ranked = r.rank(c)
	} else {
		ranked.refresh()
	}
	defer func() {
		if c.ranked != ranked {
			ranked.release()
		}
	}()
	c.ranked = nil
	for len(c.tasks) > 0 {
		if r.limited(c, 1) {
			r.recordRuledOut(c, ReasonLimit)
			return true
		}
		if ranked.best() == nil && c.step.Spec.LongRunning {
			ranked = r.rankLastResort(c, ranked)
		}
		s := ranked.best()
		if s != nil && !r.withinProbationLimit(c, s) {
			ranked.refused[ReasonProbation] += len(ranked.ranked)
			r.recordUnplaced(c, len(c.tasks), ranked)
			return true
		}
		index := c.tasks[0]
		switch {
		case s != nil:
			r.start(c, index, s, c.step.NextRun(index))
			ranked.reevaluateBest()
		case !r.starving(c) || r.startStarving(c, index) == nil:
			r.keepWorker(c)
			r.recordUnplaced(c, len(c.tasks), ranked)
			return true
		}
		r.recordTurn(c)
		c.tasks = c.tasks[1:]
		if yields != nil && len(c.tasks) > 0 && yields() {
			ranked.seen = len(r.changes)
			c.ranked = ranked
			return false
		}
	}
	return true
}

// rankLastResort ranks the workers again and includes avoided ones, for a candidate that found no
// other worker. Otherwise tasks that fail on every worker would cause all workers to be avoided for
// seconds, and a long-running task that lost its run would have none meanwhile.
func (r *round) rankLastResort(c *candidate, ranked *ranking) *ranking {
	if c.lastResort || ranked.refused[ReasonAvoided] == 0 {
		return ranked
	}
	c.lastResort = true
	return r.rank(c)
}

// startGang starts all members of a gang or none.
func (r *round) startGang(c *candidate) {
	if r.limited(c, len(c.tasks)) {
		r.recordRuledOut(c, ReasonLimit)
		return
	}
	run := c.step.NextRun(0)
	before := len(r.decision.Starts)
	var reserved []*slot
	c.lastResort = r.starving(c)
	ranked := r.rank(c)
	for _, index := range c.tasks {
		s := ranked.best()
		if s == nil {
			r.recordUnplaced(c, len(c.tasks), ranked)
			r.decision.Starts = r.decision.Starts[:before]
			for _, s := range reserved {
				s.reserve(c, -1)
				r.charge(c, -1)
				r.undoProbation(c, s)
				s.backfillStarts = slices.DeleteFunc(s.backfillStarts, func(run observedRun) bool { return run.run.ID.Task.StepID() == c.key() })
			}
			return
		}
		reserved = append(reserved, s)
		r.start(c, index, s, run)
		ranked.reevaluateBest()
	}
	r.recordTurn(c)
}

// start adds the start of a task to the decision and reserves capacity for it on its worker.
func (r *round) start(c *candidate, index int, s *slot, run uint64) {
	id := jobqueue.TaskID{
		Job: c.job.ID(), Occurrence: uint32(c.occurrence), Step: uint32(c.stepIndex), Index: uint32(index),
	}
	start := &apiv1.StartRun{
		Task: id.Ref(), Run: run, Worker: s.worker.Spec.Id, Checkpoint: c.step.Tasks[index].Checkpoint,
	}
	if c.queue.Advised {
		start.Ticket, _ = r.planner.approvals.ticket(c.key(), s.worker.Spec.Id, r.now)
	}
	r.decision.Starts = append(r.decision.Starts, start)
	if s.avoided {
		r.planner.health.recordRetry(s.worker.Spec.Id, r.now)
	}
	s.reserve(c, 1)
	r.charge(c, 1)
	r.changes = append(r.changes, s)
	if c.probation {
		r.beginProbation(c, s)
	}
	if c.step.Spec.TailObjectiveMs > 0 {
		s.recordServing(c)
	}
	if c.step.Spec.Backfill {
		r.remainingSlack(s).consume(c.step.Spec, s.worker.Spec.CpuMilli, 1)
		s.backfillStarts = append(s.backfillStarts, observedRun{run: &jobqueue.Run{ID: jobqueue.RunID{Task: id, Number: run}, Step: c.step.Spec}})
	}
}

func (c *candidate) key() jobqueue.StepID {
	return jobqueue.StepID{Job: c.job.ID(), Occurrence: uint32(c.occurrence), Step: uint32(c.stepIndex)}
}

// best returns the worker with the highest score for a task, nil if there is none.
func (r *round) best(c *candidate) *slot {
	var best *slot
	var bestScore float64
	for _, s := range r.slots {
		score, reason := r.evaluate(c, s)
		if reason == ReasonNone && (best == nil || score > bestScore) {
			best, bestScore = s, score
		}
	}
	return best
}

// feasible returns the reason that rules a worker out for a task regardless of its score,
// ReasonNone if there is none.
func (r *round) feasible(c *candidate, s *slot) Reason {
	spec := c.step.Spec
	switch {
	case s.worker.Spec.Pool != c.queue.Pool:
		return ReasonPool
	case s.cordoned:
		return ReasonCordoned
	case s.worker.Spec.Draining:
		return ReasonDraining
	case s.leaving:
		return ReasonMaintenance
	case !s.usable:
		return ReasonUnreachable
	case !r.probationAllows(c, s):
		return ReasonProbation
	case s.avoided && !(c.lastResort && s.mayRetry):
		return ReasonAvoided
	case !s.worker.HasLabel(spec.RequiredLabel):
		return ReasonLabel
	case r.keptForOther(c, s):
		return ReasonTurn
	case !r.doubtAllows(c, s):
		return ReasonDoubtful
	case s.hasMaxRuns() && s.isTiny(spec):
		return ReasonRuns
	}
	if reason := shortageReasons[s.available.ShortageFor(jobqueue.Reserved(spec))]; reason != ReasonNone {
		return reason
	}
	key := c.key()
	if spec.MaxPerWorker > 0 && s.worker.StepRunCount(key)+s.startsByStep[key] >= int(spec.MaxPerWorker) {
		return ReasonSpread
	}
	if !c.queue.Advised {
		return ReasonNone
	}
	_, reason := r.planner.approvals.ticket(key, s.worker.Spec.Id, r.now)
	return reason
}

// recordUnplaced records that tasks of a candidate found no worker, and the reasons.
func (r *round) recordUnplaced(c *candidate, tasks int, ranked *ranking) {
	r.decision.Unplaced = append(r.decision.Unplaced, UnplacedStep{Step: c.key(), Tasks: tasks, WorkersByReason: ranked.refused})
	r.unplacedByAccount[c.job.Account()] += tasks
	r.requestAdvice(c)
}
