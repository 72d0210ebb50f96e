package schedule

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// recentFailurePenalty ranks a worker whose last run failed behind all others.
	recentFailurePenalty = 10
	// rackBonus makes the rack with the task's data outweigh any amount of free capacity.
	rackBonus = 5
	// servingUtilization is the fraction of its reservation that a serving task is expected to use:
	// callers reserve for their peaks.
	servingUtilization = 0.5
	// defaultMinSpeed is the least fraction of full speed, as limited by the tail latencies of the
	// serving tasks beside it, at which a backfill task is started. A slower task would occupy
	// memory and remain there after capacity becomes free elsewhere. A job that would still meet
	// its objective starts its tasks at a lower speed, down to absoluteMinSpeed. minProcessorSpeed
	// is the corresponding limit for the remaining processors: jobs that wait for their turn end
	// sooner on the whole than jobs that all run slowly side by side.
	defaultMinSpeed   = 0.6
	absoluteMinSpeed  = 0.3
	minProcessorSpeed = 0.7
	// noServingPenalty reserves the workers without serving tasks for images that interfere with
	// serving tasks on the other workers. interferencePenalty keeps images away from those that
	// they interfere with while there are better workers.
	noServingPenalty    = 0.15
	interferencePenalty = 0.3
	// sameImageBonus colocates the serving tasks of an image. The workers then differ in which
	// images interfere with their tasks, and each backfill image finds some workers that tolerate
	// it.
	sameImageBonus = 0.5
)

// score returns the score of a worker, higher for better ones, or the reason that currently rules
// the worker out.
func (r *round) score(c *candidate, s *slot) (float64, Reason) {
	spec := c.step.Spec
	score, reason := r.kindScore(c, s)
	if s.rate != nil {
		score += s.rate.score
	}
	if s.recentlyFailed {
		score -= recentFailurePenalty
	}
	if c.probation {
		score -= r.crashCost(s)
	}
	if spec.PreferredRack != "" && s.worker.HasLabel(spec.PreferredRack) {
		score += rackBonus
	}
	return score, reason
}

func (r *round) kindScore(c *candidate, s *slot) (float64, Reason) {
	spec := c.step.Spec
	capacity := float64(max(1, s.worker.Spec.CpuMilli))
	switch {
	case spec.Backfill:
		return r.backfillScore(c, s, capacity)
	case spec.LongRunning:
		return servingScore(spec, s, capacity), ReasonNone
	}
	return float64(s.available.Free().CPUMilli-s.backfillMilli) / capacity, ReasonNone
}

// servingScore packs serving tasks and colocates those of one image. The workers that remain
// without serving tasks get the images that would interfere with them.
func servingScore(spec *apiv1.JobStep, s *slot, capacity float64) float64 {
	total, same := 0, s.servingByImage[spec.Image]
	for _, n := range s.servingByImage {
		total += n
	}
	score := -float64(s.available.Free().CPUMilli) / capacity
	if total > 0 {
		score += sameImageBonus * float64(same) / float64(total)
	}
	return score
}

// backfillScore scores a worker by the fraction of full speed that a backfill task would have
// there, and by its cost to the serving tasks.
func (r *round) backfillScore(c *candidate, s *slot, capacity float64) (float64, Reason) {
	spec := c.step.Spec
	demand := float64(s.backfillMilli + spec.CpuMilli)
	remaining := capacity - s.otherMilli
	speed := min(1, remaining/max(1, demand))
	if speed < minProcessorSpeed {
		return 0, ReasonSlow
	}
	cost := r.remainingSlack(s).cost(spec, s.worker.Spec.CpuMilli)
	if cost > 1 {
		speed = min(speed, 1/cost)
	}
	if speed < c.neededSpeed || !r.remainingSlack(s).allowsStart(spec, s.worker.Spec.CpuMilli) {
		return 0, ReasonInterference
	}
	score := speed - interferencePenalty*min(1, cost) + tieBreakWeight*(remaining-demand)/capacity
	if len(s.servingByImage) == 0 {
		score -= noServingPenalty
	}
	return score, ReasonNone
}

// tieBreakWeight is the weight of the remaining capacity among workers of equal speed.
const tieBreakWeight = 0.05
