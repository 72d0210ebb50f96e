package schedule

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Allowed is the time within which an occurrence should end, from when it is due: its
// queue's stretch of the longest chain of its steps, and an allowance.
func (p *Planner) Allowed(q *apiv1.JobQueue, o *jobqueue.Occurrence) time.Duration {
	chain := p.longestChain(o, false)
	return time.Duration(q.Stretch*float64(chain.Milliseconds()))*time.Millisecond +
		time.Duration(q.AllowanceMs)*time.Millisecond
}

// longestChain is the expected time of the longest chain of steps, or of what is
// left of it.
func (p *Planner) longestChain(o *jobqueue.Occurrence, left bool) time.Duration {
	ends := make([]time.Duration, len(o.Steps))
	var longest time.Duration
	for i, s := range o.Steps {
		for _, before := range s.Spec.After {
			ends[i] = max(ends[i], ends[before])
		}
		if !left || !s.Succeeded() {
			ends[i] += p.images.duration(s.Spec)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
