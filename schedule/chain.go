package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// AllowedTime is the time within which an occurrence should end, from when it is due: its
// queue's stretch of the longest chain of its steps, and an allowance.
func (p *Planner) AllowedTime(q *apiv1.JobQueue, o *jobqueue.Occurrence) time.Duration {
	chain := p.criticalPath(o, false)
	return time.Duration(q.Stretch*float64(chain.Milliseconds()))*time.Millisecond +
		time.Duration(q.AllowanceMs)*time.Millisecond
}

// criticalPath is the expected time of the longest chain of steps, or of what is
// left of it.
func (p *Planner) criticalPath(o *jobqueue.Occurrence, left bool) time.Duration {
	ends := make([]time.Duration, len(o.Steps))
	var longest time.Duration
	for i, s := range o.Steps {
		for _, before := range s.Spec.After {
			ends[i] = max(ends[i], ends[before])
		}
		if !left || !s.Succeeded() {
			ends[i] += p.durations.expected(s.Spec)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
