package admission

import "time"

// queueState is the state of the waiting jobs of an account at a priority.
type queueState struct {
	// waitAt is when a job was last expected to wait for longer than minQueue.
	waitAt time.Time
	// lateSince is the time since which jobs have been expected to be late, zero if they are not, and
	// lateWait the shortest wait that was too long for one of them.
	lateSince time.Time
	lateWait  time.Duration
	standing  bool
}

// hasStandingQueue reports whether the queue of an account at a priority has made jobs late for longer than
// minRetryAfter, until no job has been expected to wait for longer than minQueue for that time. The queue of
// a short burst is over by then: its callers end sooner if they wait than if they are refused and return.
// acceptable is the longest wait with which the job is in time.
func (a *account) hasStandingQueue(priority uint32, wait, acceptable time.Duration, now time.Time) bool {
	priority = min(priority, maxPriorities-1)
	q := a.queues[priority]
	if now.Sub(q.waitAt) > minRetryAfter {
		q = queueState{}
	}
	if wait > minQueue {
		q.waitAt = now
	}
	switch {
	case wait > acceptable && q.lateSince.IsZero():
		q.lateSince, q.lateWait = now, acceptable
	case wait > acceptable:
		q.lateWait = min(q.lateWait, acceptable)
	case wait <= q.lateWait:
		q.lateSince = time.Time{}
	}
	if !q.lateSince.IsZero() && now.Sub(q.lateSince) > minRetryAfter {
		q.standing = true
	}
	a.queues[priority] = q
	return q.standing
}
