package schedule

import (
	"maps"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// maxWorkersPerRequest bounds the workers that one question names: the advisor looks at
	// one after the other while the step waits.
	maxWorkersPerRequest = 30
	// adviceTimeout is how long an answer is waited for before a question goes out
	// again; adviceRetryDelay is the pause after a call that failed.
	adviceTimeout    = 3 * time.Second
	adviceRetryDelay = 300 * time.Millisecond
	// ticketMargin is left of a ticket's time when a start is decided: it has to reach
	// the worker while the ticket is valid.
	ticketMargin = 300 * time.Millisecond
)

// AdviceRequest asks the placement advisor which of some workers may run a step.
type AdviceRequest struct {
	Step    jobqueue.StepID
	Workers []string
	// LongRunning: the step's tasks are owed for as long as they are away.
	LongRunning bool
}

// Advice answers a question: a ticket for each worker that may run the step, and
// how long they are valid.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
}

// approvals is what the placement advisor said of workers and steps.
type approvals struct {
	byStep map[jobqueue.StepID]map[string]approval
	// nextRequestAt says when the next question about a step may go out.
	nextRequestAt map[jobqueue.StepID]time.Time
}

// approval is the advisor's word on a worker; one without a ticket is a refusal,
// which holds for as long as the worker lives.
type approval struct {
	ticket string
	until  time.Time
}

func newApprovals() approvals {
	return approvals{byStep: map[jobqueue.StepID]map[string]approval{}, nextRequestAt: map[jobqueue.StepID]time.Time{}}
}

// ticket returns the valid ticket for a step on a worker, or why there is none.
func (a approvals) ticket(step jobqueue.StepID, worker string, now time.Time) (string, Reason) {
	word, known := a.byStep[step][worker]
	switch {
	case !known:
		return "", ReasonNotAdvised
	case word.ticket == "":
		return "", ReasonRefused
	case now.Add(ticketMargin).After(word.until):
		return "", ReasonNotAdvised
	}
	return word.ticket, ReasonNone
}

func (a approvals) removeFinished(over func(jobqueue.StepID) bool) {
	maps.DeleteFunc(a.byStep, func(step jobqueue.StepID, _ map[string]approval) bool { return over(step) })
	maps.DeleteFunc(a.nextRequestAt, func(step jobqueue.StepID, _ time.Time) bool { return over(step) })
}

// RecordAdvice takes in an answer, which came to a question asked at the given time.
func (p *Planner) RecordAdvice(q AdviceRequest, advice Advice, askedAt time.Time) {
	words := p.approvals.byStep[q.Step]
	if words == nil {
		words = map[string]approval{}
		p.approvals.byStep[q.Step] = words
	}
	for _, w := range q.Workers {
		words[w] = approval{ticket: advice.Tickets[w], until: askedAt.Add(advice.Valid)}
	}
	delete(p.approvals.nextRequestAt, q.Step)
}

// RecordAdviceFailure takes in that a question got no answer; it is asked again after a while.
func (p *Planner) RecordAdviceFailure(q AdviceRequest, now time.Time) {
	p.approvals.nextRequestAt[q.Step] = now.Add(adviceRetryDelay)
}

// requestAdvice notes a question about a step whose tasks wait, unless one is under way.
func (r *round) requestAdvice(c *candidate) {
	step := c.key()
	if !c.queue.Advised || r.now.Before(r.planner.approvals.nextRequestAt[step]) {
		return
	}
	q := AdviceRequest{Step: step, LongRunning: c.step.Spec.LongRunning}
	for _, s := range r.slots {
		if len(q.Workers) < maxWorkersPerRequest && r.feasible(c, s) == ReasonNotAdvised {
			q.Workers = append(q.Workers, s.worker.Spec.Id)
		}
	}
	if len(q.Workers) == 0 {
		return
	}
	r.planner.approvals.nextRequestAt[step] = r.now.Add(adviceTimeout)
	r.decision.AdviceRequests = append(r.decision.AdviceRequests, q)
}
