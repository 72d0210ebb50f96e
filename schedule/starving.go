package schedule

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// starvationTimeout is how long a job may have nothing running beside free workers
	// before one of its tasks is started wherever there is room: half of the time
	// after which callers take the job for lost.
	starvationTimeout = 1500 * time.Millisecond
	// crowdedUtilization is the share of a pool's processors or memory in use from which on
	// jobs have to wait for their turn.
	crowdedUtilization = 0.6
)

// trackWaits notes since when the steps have been waiting of which nothing runs; of
// long-running ones each task that has no run is owed, whatever runs beside it.
func (r *round) trackWaits(candidates []*candidate) {
	waiting := map[jobqueue.StepID]time.Time{}
	for _, c := range candidates {
		if c.job.Running() && !c.step.Spec.LongRunning {
			continue
		}
		since, known := r.planner.waitingSince[c.key()]
		if !known {
			since = r.now
		}
		waiting[c.key()] = since
	}
	r.planner.waitingSince = waiting
}

// starving reports whether a job has had nothing running for long though its pool is mostly
// free, or a long-running step has lacked a task for long, however full the pool is. What
// goes wrong without it: tasks that would disturb the serving ones on every worker are held
// back for good, and their jobs never end.
func (r *round) starving(c *candidate) bool {
	since, waits := r.planner.waitingSince[c.key()]
	if !waits || r.now.Sub(since) < starvationTimeout {
		return false
	}
	return c.step.Spec.LongRunning || !r.crowded(c.queue.Pool)
}

// startStarving starts a task of a starving candidate wherever there is room, on avoided
// workers too; it returns nil if there is none.
func (r *round) startStarving(c *candidate, index int) *slot {
	c.lastResort = true
	s := r.leastLoadedFeasible(c)
	if s == nil {
		return nil
	}
	r.start(c, index, s, c.step.NextRun(index))
	if !c.step.Spec.LongRunning {
		// One task at a time: the others follow where their speed allows.
		c.lastResort = false
		delete(r.planner.waitingSince, c.key())
	}
	return s
}

func (r *round) crowded(pool string) bool {
	var used, capacity jobqueue.Resources
	for _, s := range r.slots {
		if s.worker.Spec.Pool != pool || !s.usable {
			continue
		}
		used = used.Add(s.worker.Capacity().Sub(s.free))
		capacity = capacity.Add(s.worker.Capacity())
	}
	over := func(used, capacity int64) bool { return float64(used) > crowdedUtilization*float64(capacity) }
	return over(used.CPUMilli, capacity.CPUMilli) || over(used.MemoryMB, capacity.MemoryMB)
}

// leastLoadedFeasible returns the feasible worker with the least demand for its processors.
func (r *round) leastLoadedFeasible(c *candidate) *slot {
	var best *slot
	var bestShare float64
	for _, s := range r.slots {
		if r.feasible(c, s) != ReasonNone {
			continue
		}
		share := (s.otherMilli + float64(s.backfillMilli)) / float64(max(1, s.worker.Spec.CpuMilli))
		if best == nil || share < bestShare {
			best, bestShare = s, share
		}
	}
	return best
}
