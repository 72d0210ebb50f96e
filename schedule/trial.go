package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// probationPoolDivisor is the part of a pool's workers that may have a run on trial at a time: each
	// gets no other work meanwhile, and some of them crash.
	probationPoolDivisor = 3
	// longRunningCrashCost weighs a long-running run against a batch run where a trial may end both:
	// its users lose it at once.
	longRunningCrashCost = 4
	// unobservedCrashCost keeps trials away from work that has just started there.
	unobservedCrashCost = 100
)

// splitSuspects parts the tasks whose next run is on trial from the others.
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

// endProbations ends the trials of runs that have been seen at work for long enough, and counts the
// workers that have others.
func (r *round) endProbations() {
	for _, s := range r.slots {
		if !s.onProbation {
			continue
		}
		open := false
		for _, run := range s.worker.RunsMatching(func(run *jobqueue.Run) bool { return run.OnProbation }) {
			o, seen := r.fleet.Observed(run.ID)
			if seen && o.At.Sub(o.FirstAt) >= r.machine.Task(run.ID.Task).Crashes.Probation() {
				r.decision.EndedProbations = append(r.decision.EndedProbations, &apiv1.RunRef{Task: run.ID.Task.Ref(), Run: run.ID.Number})
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

// trackProbationWaits notes since when steps have had tasks that wait for their trial. One that has
// waited for long gets it on any worker that has no other.
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

// probationAllows reports whether a task may start beside what is on trial on a worker, or has to be
// there without other new work.
func (r *round) probationAllows(c *candidate, s *slot) bool {
	if s.onProbation {
		return c.probation && s.probationStep == c.key()
	}
	return !c.probation || len(s.startsByStep) == 0 && (c.overdue || r.allObserved(s))
}

// mayRetry reports whether a worker may have a run on trial as far as its pool's share goes.
func (r *round) withinProbationLimit(c *candidate, s *slot) bool {
	pool := c.queue.Pool
	return !c.probation || c.overdue || s.onProbation || r.probations[pool] < max(1, r.usableWorkers(pool)/probationPoolDivisor)
}

// usableWorkers counts the usable workers of a pool.
func (r *round) usableWorkers(pool string) int {
	if r.usableByPool == nil {
		r.usableByPool = map[string]int{}
		for _, s := range r.slots {
			if s.usable {
				r.usableByPool[s.worker.Spec.Pool]++
			}
		}
	}
	return r.usableByPool[pool]
}

// allObserved reports whether all runs of a worker have been seen at work: one that has not may be
// what the worker crashes of next.
func (r *round) allObserved(s *slot) bool {
	for id := range s.worker.Runs {
		if _, seen := r.fleet.Observed(id); !seen {
			return false
		}
	}
	return true
}

// beginProbation notes that a task on trial starts on a worker.
func (r *round) beginProbation(c *candidate, s *slot) {
	if !s.onProbation {
		r.probations[s.worker.Spec.Pool]++
	}
	s.onProbation, s.probationStep = true, c.key()
}

// undoProbation undoes beginProbation for a gang that does not start.
func (r *round) undoProbation(c *candidate, s *slot) {
	if c.probation && s.onProbation && s.probationStep == c.key() {
		s.onProbation, s.probationStep = false, jobqueue.StepID{}
		r.probations[s.worker.Spec.Pool]--
	}
}

// crashCost weighs what a worker's crash would cost, and what may be taken for its cause.
func (r *round) crashCost(s *slot) float64 {
	stake := 0.0
	for id, run := range s.worker.Runs {
		if run.Step.LongRunning {
			stake += longRunningCrashCost
		} else {
			stake++
		}
		if _, seen := r.fleet.Observed(id); !seen {
			stake += unobservedCrashCost
		}
	}
	return stake
}
