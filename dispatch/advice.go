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
	// maxQuestions bounds the questions of each kind that wait for the advisor, which
	// answers one at a time and refuses calls when too many wait there.
	maxQuestions = 24
	// adviceTimeout bounds one call: an advisor looks at thirty workers in less.
	adviceTimeout = 2 * time.Second
)

// askedQuestion is a question of a leader of a term.
type askedQuestion struct {
	schedule.AdviceRequest
	term uint64
}

// putQuestions queues questions for the advisor; one that finds no place is put
// again later. d.mu is held.
func (d *Dispatcher) putQuestions(l *leadership, questions []schedule.AdviceRequest, now time.Time) {
	for _, q := range questions {
		queue := d.questions
		if q.LongRunning {
			queue = d.urgent
		}
		select {
		case queue <- askedQuestion{q, l.term}:
		default:
			l.planner.RecordAdviceFailure(q, now)
		}
	}
}

// askAdvisor puts the questions to the advisor, one after the other, until ctx ends.
func (d *Dispatcher) askAdvisor(ctx context.Context) {
	for {
		q, ok := d.nextQuestion(ctx)
		if !ok {
			return
		}
		d.ask(ctx, q)
	}
}

// nextQuestion waits for a question; false when ctx has ended. Those about long-running steps
// come first. What goes wrong without it: a task that lost its run waits for seconds behind
// the questions about a burst of batch work.
func (d *Dispatcher) nextQuestion(ctx context.Context) (askedQuestion, bool) {
	select {
	case q := <-d.urgent:
		return q, ctx.Err() == nil
	default:
	}
	select {
	case <-ctx.Done():
		return askedQuestion{}, false
	case q := <-d.urgent:
		return q, true
	case q := <-d.questions:
		return q, true
	}
}

func (d *Dispatcher) ask(ctx context.Context, q askedQuestion) {
	if term, leads := d.opts.Replica.Leading(); d.opts.Advisor == nil || !leads || term != q.term {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	asked := d.opts.Now()
	advice, err := d.opts.Advisor.Approve(ctx, q.AdviceRequest)
	now := d.opts.Now()
	d.meters.advice.Observe(now.Sub(asked))
	d.advisor.Note(err)
	d.countCall("dispatch.advice_calls", err)
	event.PlacementAdvice.Write(d.logger, event.Term(q.term), event.Step(q.Step), event.Asked(len(q.Workers)),
		event.Approved(len(advice.Tickets)), event.Took(now.Sub(asked)), event.Err(err))
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leading == nil || d.leading.term != q.term {
		return
	}
	if err != nil {
		d.leading.planner.RecordAdviceFailure(q.AdviceRequest, now)
		return
	}
	d.leading.planner.RecordAdvice(q.AdviceRequest, advice, asked)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
