package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// trialShare is the part of a pool's workers that may have a run on trial at a time: each
	// gets no other work meanwhile, and some of them crash.
	trialShare = 3
	// servingStake weighs a long-running run against a batch run where a trial may end both:
	// its users lose it at once.
	servingStake = 4
	// unseenStake keeps trials away from work that has just started there.
	unseenStake = 100
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

// endTrials ends the trials of runs that have been seen at work for long enough, and counts the
// workers that have others.
func (r *round) endTrials() {
	for _, s := range r.slots {
		if !s.onTrial {
			continue
		}
		open := false
		for _, run := range s.worker.RunsMatching(func(run *jobqueue.Run) bool { return run.OnProbation }) {
			o, seen := r.fleet.Observed(run.ID)
			if seen && o.At.Sub(o.FirstAt) >= r.machine.Task(run.ID.Task).Crashes.Probation() {
				r.decision.TrialsOver = append(r.decision.TrialsOver, &apiv1.RunRef{Task: run.ID.Task.Ref(), Run: run.ID.Number})
				continue
			}
			open = true
		}
		s.onTrial = open
		if open {
			r.trials[s.worker.Spec.Pool]++
		}
	}
}

// noteTrialsWaiting notes since when steps have had tasks that wait for their trial. One that has
// waited for long gets it on any worker that has no other.
func (r *round) noteTrialsWaiting(candidates []*candidate) {
	waiting := map[jobqueue.StepID]time.Time{}
	for _, c := range candidates {
		if !c.trial {
			continue
		}
		since, known := r.planner.trialWaiting[c.key()]
		if !known {
			since = r.now
		}
		waiting[c.key()] = since
		c.overdue = r.now.Sub(since) >= starvingAfter
	}
	r.planner.trialWaiting = waiting
}

// trialAllows reports whether a task may start beside what is on trial on a worker, or has to be
// there without other new work.
func (r *round) trialAllows(c *candidate, s *slot) bool {
	if s.onTrial {
		return c.trial && s.trialOf == c.key()
	}
	return !c.trial || len(s.given) == 0 && (c.overdue || r.allSeen(s))
}

// mayTry reports whether a worker may have a run on trial as far as its pool's share goes.
func (r *round) mayTry(c *candidate, s *slot) bool {
	pool := c.queue.Pool
	return !c.trial || c.overdue || s.onTrial || r.trials[pool] < max(1, r.usableIn(pool)/trialShare)
}

// usableIn counts the usable workers of a pool.
func (r *round) usableIn(pool string) int {
	if r.usable == nil {
		r.usable = map[string]int{}
		for _, s := range r.slots {
			if s.usable {
				r.usable[s.worker.Spec.Pool]++
			}
		}
	}
	return r.usable[pool]
}

// allSeen reports whether all runs of a worker have been seen at work: one that has not may be
// what the worker crashes of next.
func (r *round) allSeen(s *slot) bool {
	for id := range s.worker.Runs {
		if _, seen := r.fleet.Observed(id); !seen {
			return false
		}
	}
	return true
}

// beginTrial notes that a task on trial starts on a worker.
func (r *round) beginTrial(c *candidate, s *slot) {
	if !s.onTrial {
		r.trials[s.worker.Spec.Pool]++
	}
	s.onTrial, s.trialOf = true, c.key()
}

// takeBackTrial undoes beginTrial for a gang that does not start.
func (r *round) takeBackTrial(c *candidate, s *slot) {
	if c.trial && s.onTrial && s.trialOf == c.key() {
		s.onTrial, s.trialOf = false, jobqueue.StepID{}
		r.trials[s.worker.Spec.Pool]--
	}
}

// atStake weighs what a worker's crash would cost, and what may be taken for its cause.
func (r *round) atStake(s *slot) float64 {
	stake := 0.0
	for id, run := range s.worker.Runs {
		if run.Step.LongRunning {
			stake += servingStake
		} else {
			stake++
		}
		if _, seen := r.fleet.Observed(id); !seen {
			stake += unseenStake
		}
	}
	return stake
}
