package schedule

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// doubtPenalty puts a worker whose last run failed behind all others.
	doubtPenalty = 10
	// rackBonus prefers the rack with the task's data to any amount of free room.
	rackBonus = 5
	// servingLoad is the share of its reservation that a serving task is expected to
	// use: callers reserve for their peaks.
	servingLoad = 0.6
	// minSpeed is the least share of its full speed, as the neighbours' tails allow,
	// at which a backfilling task is started: a slower one would hold memory and be
	// stuck there once room is found elsewhere. minProcessorSpeed is the same for the
	// processors that are left: jobs that wait for their turn end sooner on the whole
	// than jobs that all run slowly side by side.
	minSpeed          = 0.4
	minProcessorSpeed = 0.8
	// undisturbedBonus keeps the workers without serving tasks for the images that
	// disturb, and disturbing is the pressure of an image that fully counts as such, a share of
	// the objective per part of the worker.
	undisturbedBonus = 0.3
	disturbing       = 0.1
)

// count adds n tasks of a step to what the worker is expected to use.
func (s *slot) count(spec *apiv1.JobStep, n int) {
	switch {
	case spec.Backfill:
		s.backfill += int64(n) * spec.CpuMilli
	case spec.LongRunning:
		s.others += float64(n) * servingLoad * float64(spec.CpuMilli)
		s.serving = s.serving || spec.TailObjectiveMs > 0
	default:
		s.others += float64(n) * float64(spec.CpuMilli)
	}
}

// score is higher for better workers; false rules the worker out for now.
func (r *round) score(c *candidate, s *slot) (float64, bool) {
	spec := c.step.Spec
	score, ok := r.kindScore(spec, s)
	if s.doubtful {
		score -= doubtPenalty
	}
	if spec.PreferredRack != "" && s.worker.HasLabel(spec.PreferredRack) {
		score += rackBonus
	}
	return score, ok
}

func (r *round) kindScore(spec *apiv1.JobStep, s *slot) (float64, bool) {
	capacity := float64(max(1, s.worker.Spec.CpuMilli))
	switch {
	case spec.Backfill:
		return r.backfillScore(spec, s, capacity)
	case spec.LongRunning:
		// Serving tasks are packed: the workers that stay without any take the images
		// that would disturb them.
		return -float64(s.free.CPUMilli) / capacity, true
	}
	return float64(s.free.CPUMilli-s.backfill) / capacity, true
}

// backfillScore is the share of its full speed that a backfilling task would have.
func (r *round) backfillScore(spec *apiv1.JobStep, s *slot, capacity float64) (float64, bool) {
	demand := float64(s.backfill + spec.CpuMilli)
	left := capacity - s.others
	speed := min(1, left/max(1, demand))
	if speed < minProcessorSpeed {
		return 0, false
	}
	pressure := r.planner.interference.pressure(spec.Image)
	if s.serving {
		speed = min(speed, s.slack/max(minCost, r.planner.cost(spec, s.worker.Spec.CpuMilli)))
	}
	if speed < minSpeed {
		return 0, false
	}
	heavy := min(1, pressure/disturbing)
	if !s.serving {
		speed += undisturbedBonus * (2*heavy - 1)
	}
	return speed + tieShare*(left-demand)/capacity, true
}

// minCost keeps an image that disturbs nobody from being divided by.
const minCost = 1e-6

// tieShare weighs the room left among workers of equal speed.
const tieShare = 0.05
