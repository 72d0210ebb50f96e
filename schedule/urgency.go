package schedule

import (
	"cmp"
	"maps"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// maxLateWait is how long a job that misses its objective may be passed by jobs that can still meet
	// theirs. Urgent work has to start within 9.6 s; the rest of that is for the jobs ahead of it that have
	// waited for as long.
	maxLateWait = 8 * time.Second
	// lateWaitFactor bounds the wait of a late job where that is longer: as a multiple of the time that its
	// queue allows, and of the time that the waiting work takes, after which it would start in the order of
	// arrival. A lower bound would make all jobs late once the waiting work takes that long.
	lateWaitFactor = 2
)

// urgency is the class by which jobs of the same priority are ordered.
type urgency int

const (
	// waitedTooLong: the job is late and has waited for its longest wait. Without this class, newer jobs
	// pass a late one for as long as they keep the pool full.
	waitedTooLong urgency = iota
	// onTime: the job can still meet its objective, or has begun. Started work is finished first: if newer
	// jobs went before the other tasks of a late job, all jobs of an overload would be begun, and wait for
	// their last tasks until they are all late.
	onTime
	// tooLate: the job can't meet its objective any more and has not begun. What it could save by going
	// first would make others late.
	tooLate
)

// compareCandidates orders overdue probations first, because they need a worker that gets no other
// work in the round. Queues follow by priority, then jobs by urgency and by the time when they should end.
func compareCandidates(a, b *candidate) int {
	if a.overdue != b.overdue {
		if a.overdue {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.queue.Priority, b.queue.Priority), cmp.Compare(a.urgency, b.urgency), cmp.Compare(a.endByMs, b.endByMs))
}

// sortByUrgency puts the candidates into the order in which they start, but for the turns of accounts.
func (r *round) sortByUrgency(candidates []*candidate) {
	r.trackProbationWaits(candidates)
	r.setUrgencies(candidates)
	slices.SortStableFunc(candidates, compareCandidates)
}

// setUrgencies sets the places of the candidates among those of their priority.
func (r *round) setUrgencies(candidates []*candidate) {
	backlogs := r.backlogs(candidates)
	for _, c := range candidates {
		r.setUrgency(c, backlogs[backlogKey{c.queue.Pool, c.queue.Priority}])
	}
}

// setUrgency sets the place of a candidate whose priority has the given backlog. The longest wait includes
// the time that the job's own work takes on its pool, so that a job of many tasks does not go before all
// others once it is late.
func (r *round) setUrgency(c *candidate, backlog time.Duration) {
	c.urgency, c.endByMs = onTime, c.objectiveMs
	// A long-running task is required for as long as it is not running, not by a point in time. Sorted
	// with the late jobs, it would wait behind each short job that is submitted meanwhile.
	if c.step.Spec.LongRunning || r.wallMs+c.remainingMs <= c.objectiveMs {
		return
	}
	c.facts.setLate(r, c.queue.Pool, c.job.Occurrences[c.occurrence])
	work := c.facts.poolTime
	c.endByMs += work.Milliseconds()
	longest := max(maxLateWait, lateWaitFactor*c.allowed, lateWaitFactor*backlog) + work
	switch {
	case r.wallMs-c.job.DueMs(c.occurrence) >= longest.Milliseconds():
		c.urgency = waitedTooLong
	case !c.facts.begun:
		c.urgency = tooLate
	}
}

// backlogKey is a priority in a pool.
type backlogKey struct {
	pool     string
	priority uint32
}

// backlogs returns how long the waiting tasks of each priority and of those before it take on their whole
// pool.
func (r *round) backlogs(candidates []*candidate) map[backlogKey]time.Duration {
	work := map[backlogKey]int64{}
	for _, c := range candidates {
		if s := c.step.Spec; !s.LongRunning {
			k := backlogKey{c.queue.Pool, c.queue.Priority}
			work[k] = min(maxWork, work[k]+r.workOf(s, len(c.tasks)))
		}
	}
	keys := slices.SortedFunc(maps.Keys(work), func(a, b backlogKey) int { return cmp.Compare(a.priority, b.priority) })
	before := map[string]int64{}
	backlogs := map[backlogKey]time.Duration{}
	for _, k := range keys {
		before[k.pool] = min(maxWork, before[k.pool]+work[k])
		backlogs[k] = r.onWholePool(k.pool, before[k.pool])
	}
	return backlogs
}

// begun reports whether a task of an occurrence has run or is running.
func begun(o *jobqueue.Occurrence) bool {
	for _, s := range o.Steps {
		if s.Begun() {
			return true
		}
	}
	return false
}

// poolTime returns how long the work of an occurrence takes if its pool does nothing else. A job of many
// tasks takes that long however short they are.
func (r *round) poolTime(pool string, o *jobqueue.Occurrence) time.Duration {
	var work int64
	for _, s := range o.Steps {
		if !s.Spec.LongRunning {
			work = min(maxWork, work+r.workOf(s.Spec, len(s.Tasks)))
		}
	}
	return r.onWholePool(pool, work)
}

// maxWork, in milliseconds of a thousandth of a processor, and maxPoolTime bound sums and quotients of work,
// so that they do not overflow.
const (
	maxWork     = 1 << 61
	maxPoolTime = 10 * 365 * 24 * time.Hour
)

// workOf returns the expected work of a number of tasks of a step, in milliseconds of a thousandth of a
// processor.
func (r *round) workOf(s *apiv1.JobStep, tasks int) int64 {
	perTask, expected := s.CpuMilli, r.planner.durations.expected(s).Milliseconds()
	if float64(tasks)*float64(perTask)*float64(expected) >= maxWork {
		return maxWork
	}
	return int64(tasks) * perTask * expected
}

// onWholePool returns how long work takes on all processors of a pool.
func (r *round) onWholePool(pool string, work int64) time.Duration {
	if r.poolMilli == nil {
		r.poolMilli = map[string]int64{}
		for _, s := range r.slots {
			r.poolMilli[s.worker.Spec.Pool] += s.worker.Spec.CpuMilli
		}
	}
	ms := work / max(1, r.poolMilli[pool])
	return time.Duration(min(ms, maxPoolTime.Milliseconds())) * time.Millisecond
}
