package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// probationPoolDivisor limits the workers that may have a run on probation at a time to one
	// third of their pool: each gets no other work meanwhile, and some of them crash.
	probationPoolDivisor = 3
	// longRunningCrashCost is the cost of ending a long-running run by a crash, relative to that of
	// a batch run: the users of a long-running run lose it at once.
	longRunningCrashCost = 4
	// unobservedCrashCost keeps probations away from runs that have just started.
	unobservedCrashCost = 100
)

// splitSuspects separates the tasks whose next run needs probation from the others.
func splitSuspects(s *jobqueue.Step, tasks []int) (others, suspects []int) {
	for _, index := range tasks {
		if s.NextRunOnProbation(index) {
			suspects = append(suspects, index)
		} else {
			others = append(others, index)
		}
	}
	return others, suspects
}

// endProbations ends the probation of runs that have been observed running for long enough, and
// counts the workers that have other runs on probation.
func (r *round) endProbations() {
	for _, s := range r.slots {
		if !s.onProbation {
			continue
		}
		open := false
		for _, run := range s.worker.RunsMatching(func(run *jobqueue.Run) bool { return run.OnProbation }) {
			o, seen := r.fleet.Observed(run.ID)
			if seen && o.Worked() >= r.machine.Task(run.ID.Task).Crashes.Probation() {
				r.decision.EndedProbations = append(r.decision.EndedProbations, &apiv1.RunRef{
					Task: run.ID.Task.Ref(), Run: run.ID.Number, WorkedMs: o.Worked().Milliseconds(),
				})
				continue
			}
			open = true
		}
		s.onProbation = open
		if open {
			r.probations[s.worker.Spec.Pool]++
		}
	}
}

// trackProbationWaits updates the time since which steps have had tasks that wait for their
// probation. A step that has waited for starvationTimeout may use any worker that has no other run
// on probation.
func (r *round) trackProbationWaits(candidates []*candidate) {
	waiting := map[jobqueue.StepID]time.Time{}
	for _, c := range candidates {
		if !c.probation {
			continue
		}
		since, known := r.planner.probationWaitingSince[c.key()]
		if !known {
			since = r.now
		}
		waiting[c.key()] = since
		c.overdue = r.now.Sub(since) >= starvationTimeout
	}
	r.planner.probationWaitingSince = waiting
}

// probationAllows reports whether probation permits a task on a worker. A worker with a run on
// probation gets only tasks of the same step that begin their probation in the same round. A task
// that needs probation gets a worker without other starts in this round, whose runs have all been
// observed unless the task is overdue.
func (r *round) probationAllows(c *candidate, s *slot) bool {
	if s.onProbation {
		return c.probation && s.probationStep == c.key()
	}
	return !c.probation || len(s.startsByStep) == 0 && (c.overdue || r.allObserved(s))
}

// withinProbationLimit reports whether a candidate may use a worker under the limit on workers of
// its pool with a run on probation.
func (r *round) withinProbationLimit(c *candidate, s *slot) bool {
	pool := c.queue.Pool
	return !c.probation || c.overdue || s.onProbation || r.probations[pool] < max(1, r.usableWorkers(pool)/probationPoolDivisor)
}

// usableWorkers counts the usable workers of a pool.
func (r *round) usableWorkers(pool string) int {
	if r.usableByPool == nil {
		r.usableByPool = map[string]int{}
		for _, s := range r.slots {
			if s.acceptsStarts() {
				r.usableByPool[s.worker.Spec.Pool]++
			}
		}
	}
	return r.usableByPool[pool]
}

// allObserved reports whether all runs of a worker have been observed. A run that has not may be
// the cause of the next crash of the worker.
func (r *round) allObserved(s *slot) bool {
	for id := range s.worker.Runs {
		if _, seen := r.fleet.Observed(id); !seen {
			return false
		}
	}
	return true
}

// beginProbation records that a task on probation starts on a worker.
func (r *round) beginProbation(c *candidate, s *slot) {
	if !s.onProbation {
		r.probations[s.worker.Spec.Pool]++
	}
	s.onProbation, s.probationStep = true, c.key()
}

// undoProbation reverts beginProbation for a gang that does not start.
func (r *round) undoProbation(c *candidate, s *slot) {
	if c.probation && s.onProbation && s.probationStep == c.key() {
		s.onProbation, s.probationStep = false, jobqueue.StepID{}
		r.probations[s.worker.Spec.Pool]--
	}
}

// crashCost returns the cost of a crash of a worker. It includes runs that would be suspected as
// the cause.
func (r *round) crashCost(s *slot) float64 {
	cost := 0.0
	for id, run := range s.worker.Runs {
		if run.Step.LongRunning {
			cost += longRunningCrashCost
		} else {
			cost++
		}
		if _, seen := r.fleet.Observed(id); !seen {
			cost += unobservedCrashCost
		}
	}
	return cost
}
