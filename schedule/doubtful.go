package schedule

import (
	"math"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// cheapRepeat is the longest expected duration of a task without checkpoints that a doubtful worker
// may get. It is about one batch task, and a restart elsewhere then costs less than the rate of the
// worker may cost.
const cheapRepeat = 3 * time.Second

// doubtful reports whether the worker itself is slow.
func (s *slot) doubtful() bool { return s.rate != nil && s.rate.Doubtful }

// doubtAllows reports whether a doubtful worker may get a task: only one that can be repeated
// cheaply, and as many as fit into the part of its capacity that corresponds to its rate, at least
// one. So the worker is rated further and gets more tasks by degrees.
func (r *round) doubtAllows(c *candidate, s *slot) bool {
	if !s.doubtful() || c.ignoreDoubt || c.lastResort {
		return true
	}
	spec := c.step.Spec
	if spec.LongRunning || spec.Gang || !spec.Checkpointing && r.planner.durations.expected(spec) > cheapRepeat {
		return false
	}
	used := s.otherMilli + float64(s.backfillMilli)
	return used == 0 || used+float64(spec.CpuMilli) <= s.rate.OwnRate*float64(s.worker.Spec.CpuMilli)
}

// mayIgnoreDoubt reports whether a candidate that found no worker may use doubtful ones: a
// long-running or starving one, and any if the pool has no other usable worker.
func (r *round) mayIgnoreDoubt(c *candidate) bool {
	return c.step.Spec.LongRunning || r.starving(c) || r.undoubtedWorkers(c.queue.Pool) == 0
}

// undoubtedWorkers counts the workers of a pool that get tasks without limits.
func (r *round) undoubtedWorkers(pool string) int {
	if r.undoubtedByPool == nil {
		r.undoubtedByPool = map[string]int{}
		for _, s := range r.slots {
			if s.acceptsStarts() && !s.leaving && !s.avoided && !s.doubtful() {
				r.undoubtedByPool[s.worker.Spec.Pool]++
			}
		}
	}
	return r.undoubtedByPool[pool]
}

// slowdown returns by how much the slowest worker with a run of a step lengthens it, at least 1.
func (t *rateTable) slowdown(s *jobqueue.Step) float64 {
	if t == nil {
		return 1
	}
	lowest := 1.0
	for _, task := range s.Tasks {
		for _, run := range task.Runs {
			if e := t.byWorker[run.Worker]; e != nil && !run.Stopping {
				lowest = min(lowest, math.Exp(e.mean))
			}
		}
	}
	return 1 / lowest
}

// normalized returns an end with the duration that the run would have had on a usual worker, so
// that slow workers don't lengthen the expected duration of the image.
func (t *rateTable) normalized(e EndedRun) EndedRun {
	if t == nil || e.Kind != apiv1.RunEndKind_RUN_END_KIND_DONE {
		return e
	}
	if entry := t.byWorker[e.Worker]; entry != nil && entry.mean < 0 {
		e.Duration = time.Duration(float64(e.Duration) * math.Exp(entry.mean))
	}
	return e
}
