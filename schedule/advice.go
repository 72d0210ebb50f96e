package schedule

import (
	"maps"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// maxWorkersPerRequest bounds the workers that one request names: the advisor checks them one
	// after the other while the step waits.
	maxWorkersPerRequest = 30
	// adviceTimeout is the time from a request to the next one for the same step if no response
	// arrives. adviceRetryDelay is the time from a failed call to the next request.
	adviceTimeout    = 3 * time.Second
	adviceRetryDelay = 300 * time.Millisecond
	// ticketMargin is the validity that a ticket must have left when a start is decided, because
	// the start has to reach the worker while the ticket is valid.
	ticketMargin = 300 * time.Millisecond
)

// AdviceRequest queries the placement advisor which of some workers may run a step.
type AdviceRequest struct {
	Step    jobqueue.StepID
	Workers []string
	// LongRunning is set if the tasks of the step are long-running: each is required for as long as
	// it is not running.
	LongRunning bool
}

// Advice is the response to an AdviceRequest: a ticket for each worker that may run the step, and
// how long the tickets are valid.
type Advice struct {
	Tickets map[string]string
	Valid   time.Duration
	// Partial means that a part of the response can't be read, so a worker without a ticket is not
	// refused.
	Partial bool
}

// approvals holds the responses of the placement advisor by step and worker.
type approvals struct {
	byStep map[jobqueue.StepID]map[string]approval
	// nextRequestAt is the time at which the next request for a step may be sent.
	nextRequestAt map[jobqueue.StepID]time.Time
}

// approval is the advisor's response for a worker. One without a ticket is a refusal, which remains
// valid for the lifetime of the worker's incarnation.
type approval struct {
	ticket string
	until  time.Time
}

func newApprovals() approvals {
	return approvals{byStep: map[jobqueue.StepID]map[string]approval{}, nextRequestAt: map[jobqueue.StepID]time.Time{}}
}

// ticket returns the valid ticket for a step on a worker, or the reason why there is none.
func (a approvals) ticket(step jobqueue.StepID, worker string, now time.Time) (string, Reason) {
	response, known := a.byStep[step][worker]
	switch {
	case !known:
		return "", ReasonNotAdvised
	case response.ticket == "":
		return "", ReasonRefused
	case now.Add(ticketMargin).After(response.until):
		return "", ReasonNotAdvised
	}
	return response.ticket, ReasonNone
}

func (a approvals) removeFinished(finished func(jobqueue.StepID) bool) {
	maps.DeleteFunc(a.byStep, func(step jobqueue.StepID, _ map[string]approval) bool { return finished(step) })
	maps.DeleteFunc(a.nextRequestAt, func(step jobqueue.StepID, _ time.Time) bool { return finished(step) })
}

// RecordAdvice records the response to a request that was sent at the given time.
func (p *Planner) RecordAdvice(request AdviceRequest, advice Advice, requestedAt time.Time) {
	byWorker := p.approvals.byStep[request.Step]
	if byWorker == nil {
		byWorker = map[string]approval{}
		p.approvals.byStep[request.Step] = byWorker
	}
	delete(p.approvals.nextRequestAt, request.Step)
	for _, w := range request.Workers {
		if advice.Partial && advice.Tickets[w] == "" {
			p.approvals.nextRequestAt[request.Step] = requestedAt.Add(adviceRetryDelay)
			continue
		}
		byWorker[w] = approval{ticket: advice.Tickets[w], until: requestedAt.Add(advice.Valid)}
	}
}

// RecordAdviceFailure records that a request got no response. The request may be sent again after
// adviceRetryDelay.
func (p *Planner) RecordAdviceFailure(request AdviceRequest, now time.Time) {
	p.approvals.nextRequestAt[request.Step] = now.Add(adviceRetryDelay)
}

// requestAdvice adds a request for a step whose tasks wait, unless one is in progress.
func (r *round) requestAdvice(c *candidate) {
	step := c.key()
	if !c.queue.Advised || r.now.Before(r.planner.approvals.nextRequestAt[step]) {
		return
	}
	request := AdviceRequest{Step: step, LongRunning: c.step.Spec.LongRunning}
	for _, s := range r.slots {
		if len(request.Workers) < maxWorkersPerRequest && r.feasible(c, s) == ReasonNotAdvised {
			request.Workers = append(request.Workers, s.worker.Spec.Id)
		}
	}
	if len(request.Workers) == 0 {
		return
	}
	r.planner.approvals.nextRequestAt[step] = r.now.Add(adviceTimeout)
	r.decision.AdviceRequests = append(r.decision.AdviceRequests, request)
}
