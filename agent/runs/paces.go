package runs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

const (
	// lateCallBound is how long after a call without an answer the worker may carry it out.
	lateCallBound = 15 * time.Second
	// paceRepeatInterval is the time between two calls with the same pace while an earlier one may
	// still arrive.
	paceRepeatInterval = 2 * time.Second
)

// fullPace is the pace, in percent, of a run at full speed.
const fullPace = 100

// pace is the state of the order for the pace of a run, in percent.
type pace struct {
	// percent is the ordered pace, full until one is ordered.
	percent uint32
	ordered bool
	// confirmed is the pace that the worker set last, if isConfirmed.
	confirmed   uint32
	isConfirmed bool
	calling     bool
	// lateUntil is until when a call without an answer may still set another pace. repeatDue: the
	// pace will be set once more because of that.
	lateUntil time.Time
	repeatDue bool
}

// order records the ordered pace. The first one has to be set even if it is full: a previous agent
// may have slowed down the run.
func (p *pace) order(percent uint32) {
	if !p.ordered {
		p.ordered, p.isConfirmed = true, false
	}
	p.percent = percent
}

// needsCall reports whether the worker has to be called to set the pace.
func (p *pace) needsCall() bool {
	return !p.calling && (!p.isConfirmed || p.percent != p.confirmed)
}

// setPace has the worker set the pace of a run.
func (s *session) setPace(id jobqueue.RunID, o *order) {
	s.mu.Lock()
	percent := o.pace.percent
	call := Order{Incarnation: s.incarnation, Term: s.term}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.alive, callTimeout)
	answer, err := s.d.opts.Worker.Pace(ctx, call, id, percent)
	cancel()
	s.recordCall("pace", answer, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	o.pace.calling = false
	s.handlePaceAnswer(id, o, percent, answer, err)
}

// handlePaceAnswer records the result of a call. Only AnswerDone shows that the pace was set, and
// AnswerEnded that there is nothing left to set; after any other result the call is repeated. The
// caller must hold s.mu.
func (s *session) handlePaceAnswer(id jobqueue.RunID, o *order, percent uint32, answer Answer, err error) {
	if err != nil {
		s.d.metrics.callsUnanswered.Inc(1)
		event.PaceUnanswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Err(err))
		if !errors.Is(err, ErrNotSent) {
			o.pace.lateUntil = s.d.opts.Now().Add(lateCallBound)
		}
		time.AfterFunc(maxRetryDelay, func() { s.retryOrder(id) })
		return
	}
	event.PaceAnswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Percent(percent),
		event.Answer(answer))
	switch answer {
	case AnswerDone, AnswerEnded:
		o.pace.confirmed, o.pace.isConfirmed = percent, true
		if answer == AnswerDone && s.d.opts.Now().Before(o.pace.lateUntil) && !o.pace.repeatDue {
			o.pace.repeatDue = true
			time.AfterFunc(paceRepeatInterval, func() { s.repeatPace(id) })
		}
		s.advance(id, o)
	case AnswerOtherIncarnation:
		s.endAlive()
	default:
		time.AfterFunc(maxRetryDelay, func() { s.retryOrder(id) })
	}
}

// repeatPace sets the pace of a run once more: an earlier call with another pace, which got no
// answer, may have been carried out since.
func (s *session) repeatPace(id jobqueue.RunID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.orders[id]
	if o == nil {
		return
	}
	o.pace.repeatDue = false
	if !o.pace.calling {
		o.pace.isConfirmed = false
		s.advance(id, o)
	}
}
