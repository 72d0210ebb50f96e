package dispatch

import (
	"context"
	"time"

	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
)

// Advisor is the external placement policy that decides which workers may run a step. An error
// means that no decision was received; the question is sent again.
type Advisor interface {
	Approve(ctx context.Context, q schedule.AdviceRequest) (schedule.Advice, error)
}

const (
	// maxPendingQuestions bounds the questions of each kind that are queued for the advisor, which
	// answers one call at a time and rejects calls when its own queue is full.
	maxPendingQuestions = 24
	// adviceTimeout bounds one call; an advisor evaluates thirty workers in less time.
	adviceTimeout = 2 * time.Second
)

// pendingQuestion is a question to the advisor, with the term of the leader that asked it.
type pendingQuestion struct {
	schedule.AdviceRequest
	term uint64
}

// enqueueQuestions queues questions for the advisor. A question that does not fit is returned to
// the planner, which asks it again later. The caller must hold d.mu.
func (d *Dispatcher) enqueueQuestions(l *leaderState, questions []schedule.AdviceRequest, now time.Time) {
	for _, q := range questions {
		queue := d.otherQuestions
		if q.LongRunning {
			queue = d.longRunningQuestions
		}
		select {
		case queue <- pendingQuestion{q, l.term}:
		default:
			l.planner.RecordAdviceFailure(q, now)
		}
	}
}

// advisorLoop sends the queued questions to the advisor, one at a time, until ctx ends.
func (d *Dispatcher) advisorLoop(ctx context.Context) {
	for {
		q, ok := d.nextQuestion(ctx)
		if !ok {
			return
		}
		d.queryAdvisor(ctx, q)
	}
}

// nextQuestion waits for a question and returns false once ctx has ended. Questions about
// long-running steps come first: otherwise a task that lost its run waits for seconds behind the
// questions about a burst of batch work.
func (d *Dispatcher) nextQuestion(ctx context.Context) (pendingQuestion, bool) {
	select {
	case q := <-d.longRunningQuestions:
		return q, ctx.Err() == nil
	default:
	}
	select {
	case <-ctx.Done():
		return pendingQuestion{}, false
	case q := <-d.longRunningQuestions:
		return q, true
	case q := <-d.otherQuestions:
		return q, true
	}
}

func (d *Dispatcher) queryAdvisor(ctx context.Context, q pendingQuestion) {
	if term, leads := d.opts.Replica.Leading(); d.opts.Advisor == nil || !leads || term != q.term {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	sentAt := d.opts.Now()
	advice, err := d.opts.Advisor.Approve(ctx, q.AdviceRequest)
	now := d.opts.Now()
	d.metrics.advice.Observe(now.Sub(sentAt))
	d.advisorWatch.Record(err)
	d.countCall("dispatch.advice_calls", err)
	event.PlacementAdvice.Write(d.logger, event.Term(q.term), event.Step(q.Step), event.CandidateWorkers(len(q.Workers)),
		event.ApprovedWorkers(len(advice.Tickets)), event.Took(now.Sub(sentAt)), event.Err(err))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == nil || d.leader.term != q.term {
		return
	}
	if err != nil {
		d.leader.planner.RecordAdviceFailure(q.AdviceRequest, now)
		return
	}
	d.leader.planner.RecordAdvice(q.AdviceRequest, advice, sentAt)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
