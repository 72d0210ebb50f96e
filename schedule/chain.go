package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// AllowedTime returns the time from when an occurrence is due to when it should end: the stretch
// factor of its queue times its critical path, plus the allowance of the queue.
func (p *Planner) AllowedTime(q *apiv1.JobQueue, o *jobqueue.Occurrence) time.Duration {
	path := p.criticalPath(o, false)
	return time.Duration(q.Stretch*float64(path.Milliseconds()))*time.Millisecond +
		time.Duration(q.AllowanceMs)*time.Millisecond
}

// criticalPath returns the expected duration of the longest chain of steps. With remaining set,
// steps that have ended count as zero.
func (p *Planner) criticalPath(o *jobqueue.Occurrence, remaining bool) time.Duration {
	ends := make([]time.Duration, len(o.Steps))
	var longest time.Duration
	for i, s := range o.Steps {
		for _, before := range s.Spec.After {
			ends[i] = max(ends[i], ends[before])
		}
		if !remaining || !s.Succeeded() {
			expected := p.durations.expected(s.Spec)
			if remaining && p.rates != nil {
				expected = time.Duration(float64(expected) * p.rates.slowdown(s))
			}
			ends[i] += expected
		}
		longest = max(longest, ends[i])
	}
	return longest
}
