package route

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Request is the state of one caller's request. The driver sets the exported fields. The router
// keeps its own state in the other fields, protected by the service's mutex. A Request must not be
// reused or copied.
type Request struct {
	ID      string
	Service string
	Caller  string
	// Idempotent is set if it is safe to run the request twice.
	Idempotent bool
	Deadline   time.Time
	Priority   apiv1.Priority
	// Tried contains the ids of the targets that have had an attempt. Attempt counts the dispatches
	// so far. RecordSent maintains both.
	Tried   []string
	Attempt uint32
	// Woken receives the final admission of a queued request from Deliver. It needs a buffer of
	// one. It is nil if the driver reads the wakes itself.
	Woken chan Admission

	state      requestState
	admittedAt time.Time
	// openAttempts contains the targets of the attempts that have no outcome yet.
	openAttempts []*target
	// possiblyRun counts the attempts that were sent and are not confirmed to be not run.
	possiblyRun int

	// redirects counts the attempts that followed a refusal without work.
	redirects uint32

	// flow and queueIndex are the request's position in the queue.
	flow       *flow
	queueIndex int
}

type requestState uint8

const (
	requestNew requestState = iota
	requestQueued
	requestAdmitted
	requestDone
)

func (q *Request) isBatch() bool {
	return q.Priority == apiv1.Priority_PRIORITY_BATCH
}

func (q *Request) remaining(now time.Time) time.Duration {
	return q.Deadline.Sub(now)
}

func (q *Request) wasTried(id string) bool {
	return slices.Contains(q.Tried, id)
}

// closeAttempt removes the open attempt at a target and returns the target, or nil if there is no
// such attempt.
func (q *Request) closeAttempt(id string) *target {
	for i, t := range q.openAttempts {
		if t.ID == id {
			q.openAttempts = slices.Delete(q.openAttempts, i, i+1)
			return t
		}
	}
	return nil
}

func (q *Request) hasOpenAttempt(t *target) bool {
	return slices.Contains(q.openAttempts, t)
}
