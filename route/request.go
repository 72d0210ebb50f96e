package route

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Request is one caller's request on its way through the router. The driver
// fills in the exported fields; the router keeps its own state in the others,
// under the service's lock. A Request is used once and not copied.
type Request struct {
	ID      string
	Service string
	Caller  string
	// Idempotent says that running the request twice does no harm.
	Idempotent bool
	Deadline   time.Time
	Priority   apiv1.Priority
	// Tried holds the ids of the targets that have had an attempt and Attempt
	// counts the dispatches so far. Sent maintains both.
	Tried   []string
	Attempt uint32
	// Woken gets the final admission of a queued request from Deliver. It needs
	// a buffer of one; nil when the driver reads the wakes itself.
	Woken chan Admission

	state      requestState
	admittedAt time.Time
	// openAttempts holds the targets of attempts without an outcome.
	openAttempts []*target
	// possiblyRun counts attempts that were sent and not proven to be not run.
	possiblyRun int

	// redirects counts the attempts that followed an agent's refusal.
	redirects uint32

	// Position in the queue.
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

// closeAttempt takes the attempt at a target out of the open ones; nil when there is none.
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
