package schedule

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// starvationTimeout is how long a job may have no run beside free workers before one of its
	// tasks is started wherever there is free capacity. An accepted job has a run within 3 s while less
	// than half of its pool is in use; the rest is for the round, the order and the start.
	starvationTimeout = 1500 * time.Millisecond
	// crowdedUtilization is the fraction of a pool's processors or memory in use above which jobs
	// have to wait for their turn. It exceeds the promised half by what ends may be known too late.
	crowdedUtilization = 0.6
)

// trackWaits updates the time since which steps have been waiting whose job has no run. For a
// long-running step each task without a run counts, even if other tasks of the step are running.
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

// starving reports whether a job has had no run for starvationTimeout though its pool is mostly
// free, or a long-running step has lacked a run for that time, however full the pool is. Otherwise
// tasks that would interfere with serving tasks on every worker would be delayed indefinitely, and
// their jobs would never end.
func (r *round) starving(c *candidate) bool {
	since, waits := r.planner.waitingSince[c.key()]
	if !waits || r.now.Sub(since) < starvationTimeout {
		return false
	}
	return c.step.Spec.LongRunning || !r.crowded(c.queue.Pool)
}

// startStarving starts a task of a starving candidate wherever there is free capacity, avoided
// workers included. It returns nil if there is none.
func (r *round) startStarving(c *candidate, index int) *slot {
	c.lastResort = true
	shape, shaped := shapeOf(c)
	if shaped && r.infeasible[shape] {
		return nil
	}
	s := r.leastLoadedFeasible(c)
	if s == nil {
		r.infeasible[shape] = r.infeasible[shape] || shaped
		return nil
	}
	r.start(c, index, s, c.step.NextRun(index))
	if !c.step.Spec.LongRunning {
		// One task at a time: the others follow where their speed permits.
		c.lastResort = false
		delete(r.planner.waitingSince, c.key())
	}
	return s
}

// poolCrowding is whether a pool was crowded after a number of changes of the round.
type poolCrowding struct {
	changes int
	crowded bool
}

// crowded reports whether more than crowdedUtilization of a pool's processors or memory is in use.
func (r *round) crowded(pool string) bool {
	known, found := r.crowding[pool]
	if !found || known.changes != len(r.changes) {
		known = poolCrowding{len(r.changes), r.isCrowded(pool)}
		r.crowding[pool] = known
	}
	return known.crowded
}

func (r *round) isCrowded(pool string) bool {
	var used, capacity jobqueue.Resources
	for _, s := range r.slots {
		if s.worker.Spec.Pool != pool || !s.acceptsStarts() {
			continue
		}
		used = used.Add(s.available.Reserved)
		capacity = capacity.Add(s.available.Capacity)
	}
	exceeded := func(used, capacity int64) bool { return float64(used) > crowdedUtilization*float64(capacity) }
	return exceeded(used.CPUMilli, capacity.CPUMilli) || exceeded(used.MemoryMB, capacity.MemoryMB)
}

// leastLoadedFeasible returns the feasible worker with the least relative demand for its
// processors, nil if there is none.
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
