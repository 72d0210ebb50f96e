package fakes

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/schedule"
)

// Advisor is a stand-in for the external placement advisor, which decides which
// workers may run a step. It processes one request at a time, with a latency that
// grows with the number of workers named, and issues tickets with a limited validity.
type Advisor struct {
	// Allowed is the placement policy; nil allows every worker.
	Allowed func(step jobqueue.StepID, worker string) bool
	// Applies reports whether a job needs tickets; nil means that all do.
	Applies func(job string) bool
	// The latency of a response is BaseLatency plus LatencyPerWorker for each worker
	// in the request.
	BaseLatency      time.Duration
	LatencyPerWorker time.Duration
	// ValidFor is the validity of a ticket, from its issue.
	ValidFor time.Duration
	// Fails reports whether the request with this number, counted from 1, fails.
	Fails func(number int) bool

	requestMu    sync.Mutex
	mu           sync.Mutex
	requestCount int
	issued       map[string]issuedTicket
}

type issuedTicket struct {
	step    jobqueue.StepID
	worker  string
	expires time.Time
}

var errNoAdvice = errors.New("advisor does not answer")

// Approve implements dispatch.Advisor.
func (a *Advisor) Approve(ctx context.Context, q schedule.AdviceRequest) (schedule.Advice, error) {
	a.requestMu.Lock()
	defer a.requestMu.Unlock()
	select {
	case <-ctx.Done():
		return schedule.Advice{}, ctx.Err()
	case <-time.After(a.BaseLatency + time.Duration(len(q.Workers))*a.LatencyPerWorker):
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestCount++
	if a.Fails != nil && a.Fails(a.requestCount) {
		return schedule.Advice{}, errNoAdvice
	}
	if a.issued == nil {
		a.issued = map[string]issuedTicket{}
	}
	advice := schedule.Advice{Tickets: map[string]string{}, Valid: a.ValidFor}
	for _, w := range q.Workers {
		if a.Allowed != nil && !a.Allowed(q.Step, w) {
			continue
		}
		ticket := fmt.Sprintf("ticket-%d", len(a.issued))
		a.issued[ticket] = issuedTicket{q.Step, w, time.Now().Add(a.ValidFor)}
		advice.Tickets[w] = ticket
	}
	return advice, nil
}

// RequestCount returns the number of requests processed, failed ones included.
func (a *Advisor) RequestCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requestCount
}

// Valid reports whether a ticket currently permits a step to run on a worker.
func (a *Advisor) Valid(step jobqueue.StepID, worker, ticket string) bool {
	if a.Applies != nil && !a.Applies(step.Job) {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t, issued := a.issued[ticket]
	return issued && t.step == step && t.worker == worker && time.Now().Before(t.expires)
}
