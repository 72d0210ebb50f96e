package schedule

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// recentFailurePenalty puts a worker whose last run failed behind all others.
	recentFailurePenalty = 10
	// rackBonus prefers the rack with the task's data to any amount of free room.
	rackBonus = 5
	// servingUtilization is the share of its reservation that a serving task is expected to
	// use: callers reserve for their peaks.
	servingUtilization = 0.5
	// defaultMinSpeed is the least share of its full speed, as the neighbours' tails allow,
	// at which a backfilling task is started: a slower one would hold memory and be
	// stuck there once room is found elsewhere. A job that would still be in time
	// starts its tasks at less, down to absoluteMinSpeed. minProcessorSpeed is the same for
	// the processors that are left: jobs that wait for their turn end sooner on the
	// whole than jobs that all run slowly side by side.
	defaultMinSpeed   = 0.6
	absoluteMinSpeed  = 0.3
	minProcessorSpeed = 0.7
	// noServingPenalty keeps the workers without serving tasks for the images that
	// disturb the others, and interferencePenalty keeps images away from those that they
	// disturb while there are better places.
	noServingPenalty    = 0.15
	interferencePenalty = 0.3
	// sameImageBonus gathers the serving tasks of an image: the workers then differ in
	// what disturbs them, and each backfilling image finds some that bear it.
	sameImageBonus = 0.5
)

// score is higher for better workers; a reason rules the worker out for now.
func (r *round) score(c *candidate, s *slot) (float64, Reason) {
	spec := c.step.Spec
	score, reason := r.kindScore(c, s)
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
	return float64(s.free.CPUMilli-s.backfillMilli) / capacity, ReasonNone
}

// servingScore packs serving tasks, those of one image together: the workers that
// stay without any take the images that would disturb them.
func servingScore(spec *apiv1.JobStep, s *slot, capacity float64) float64 {
	total, same := 0, s.servingByImage[spec.Image]
	for _, n := range s.servingByImage {
		total += n
	}
	score := -float64(s.free.CPUMilli) / capacity
	if total > 0 {
		score += sameImageBonus * float64(same) / float64(total)
	}
	return score
}

// backfillScore goes by the share of its full speed that a backfilling task would
// have, and by what it costs the serving ones.
func (r *round) backfillScore(c *candidate, s *slot, capacity float64) (float64, Reason) {
	spec := c.step.Spec
	demand := float64(s.backfillMilli + spec.CpuMilli)
	left := capacity - s.otherMilli
	speed := min(1, left/max(1, demand))
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
	score := speed - interferencePenalty*min(1, cost) + tieBreakWeight*(left-demand)/capacity
	if len(s.servingByImage) == 0 {
		score -= noServingPenalty
	}
	return score, ReasonNone
}

// tieBreakWeight weighs the room left among workers of equal speed.
const tieBreakWeight = 0.05
