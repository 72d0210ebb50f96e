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

// Advisor is a stand-in for a policy outside that says which workers may run a
// step: it answers one question at a time, takes a while for each worker that a
// question names, and gives tickets that are valid for some seconds.
type Advisor struct {
	// Allowed is the policy; nil allows everything.
	Allowed func(step jobqueue.StepID, worker string) bool
	// Applies tells which jobs need tickets; nil stands for all.
	Applies func(job string) bool
	// BaseLatency and LatencyPerWorker are what an answer takes.
	BaseLatency      time.Duration
	LatencyPerWorker time.Duration
	// ValidFor is how long a ticket is valid.
	ValidFor time.Duration
	// Fails tells which questions, counted from 1, get no answer.
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

var errNoAdvice = errors.New("advisor gives no answer")

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

// RequestCount returns how many questions were put.
func (a *Advisor) RequestCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.requestCount
}

// Valid reports whether a ticket lets a step run on a worker now.
func (a *Advisor) Valid(step jobqueue.StepID, worker, ticket string) bool {
	if a.Applies != nil && !a.Applies(step.Job) {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t, issued := a.issued[ticket]
	return issued && t.step == step && t.worker == worker && time.Now().Before(t.expires)
}
