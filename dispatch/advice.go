package dispatch

import (
	"context"
	"time"

	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
)

// Advisor says which workers may run a step, where a policy outside decides that.
// An error means that there is no answer; the question is put again.
type Advisor interface {
	Approve(ctx context.Context, q schedule.AdviceRequest) (schedule.Advice, error)
}

const (
	// maxPendingQuestions bounds the questions of each kind that wait for the advisor, which
	// answers one at a time and refuses calls when too many wait there.
	maxPendingQuestions = 24
	// adviceTimeout bounds one call: an advisor looks at thirty workers in less.
	adviceTimeout = 2 * time.Second
)

// pendingQuestion is a question of a leader of a term.
type pendingQuestion struct {
	schedule.AdviceRequest
	term uint64
}

// enqueueQuestions queues questions for the advisor; one that finds no place is put
// again later. d.mu is held.
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

// advisorLoop puts the questions to the advisor, one after the other, until ctx ends.
func (d *Dispatcher) advisorLoop(ctx context.Context) {
	for {
		q, ok := d.nextQuestion(ctx)
		if !ok {
			return
		}
		d.queryAdvisor(ctx, q)
	}
}

// nextQuestion waits for a question; false when ctx has ended. Those about long-running steps
// come first. What goes wrong without it: a task that lost its run waits for seconds behind
// the questions about a burst of batch work.
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
	asked := d.opts.Now()
	advice, err := d.opts.Advisor.Approve(ctx, q.AdviceRequest)
	now := d.opts.Now()
	d.metrics.advice.Observe(now.Sub(asked))
	d.advisorWatch.Note(err)
	d.countCall("dispatch.advice_calls", err)
	event.PlacementAdvice.Write(d.logger, event.Term(q.term), event.Step(q.Step), event.Asked(len(q.Workers)),
		event.Approved(len(advice.Tickets)), event.Took(now.Sub(asked)), event.Err(err))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == nil || d.leader.term != q.term {
		return
	}
	if err != nil {
		d.leader.planner.RecordAdviceFailure(q.AdviceRequest, now)
		return
	}
	d.leader.planner.RecordAdvice(q.AdviceRequest, advice, asked)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
