package route

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Admission is the decision whether a request may start. The request is admitted (OK), queued
// (Queued) or refused (neither).
type Admission struct {
	OK     bool
	Queued bool
	// Reason is the reason of a refusal. A refused request was not run.
	Reason apiv1.Reason
	// RetryAfter is how long a refused caller should wait before it retries. It follows from the
	// queue's length and the rate at which the service starts queued requests.
	RetryAfter time.Duration
	// LatestStart is the time after which a queued request can no longer finish before its
	// deadline. The driver then calls Abandon.
	LatestStart time.Time
	// Text explains the decision to an operator.
	Text string
}

// Wake is the final admission of a request that was queued.
type Wake struct {
	Request   *Request
	Admission Admission
}

// Deliver sends each wake to the channel of its request. It never blocks, because Request.Woken has
// a buffer of one and a request is woken only once.
func Deliver(wakes []Wake) {
	for _, w := range wakes {
		if w.Request.Woken != nil {
			w.Request.Woken <- w.Admission
		}
	}
}

// Choice is the decision which target an attempt is sent to.
type Choice struct {
	Target Target
	// Candidates is the number of eligible targets.
	Candidates int
	// Load is the estimated load of the target per slot.
	Load   float64
	Reason string
}

// RetryDecision is the decision whether an attempt is followed by another one.
type RetryDecision struct {
	Allowed bool
	// Delay is how long the driver waits before it calls Pick again.
	Delay time.Duration
	Text  string
}
