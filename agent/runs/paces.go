package runs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

const (
	// lateCallBound is how long after a call without an answer the worker may carry it out. The
	// calls that were seen late came up to 12 s after they were sent.
	lateCallBound = 15 * time.Second
	// paceRepeatInterval is the time between two calls with the same pace while an earlier one may
	// still arrive.
	paceRepeatInterval = 2 * time.Second
)

// setPace has the worker set the pace of a run.
func (s *session) setPace(id jobqueue.RunID, o *order) {
	s.mu.Lock()
	percent := o.pace
	call := Order{Incarnation: s.incarnation, Term: s.term}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.alive, callTimeout)
	answer, err := s.d.opts.Worker.Pace(ctx, call, id, percent)
	cancel()
	s.recordCall("pace", answer, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	o.pacing = false
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
			o.latePaceUntil = s.d.opts.Now().Add(lateCallBound)
		}
		time.AfterFunc(maxRetryDelay, func() { s.retryOrder(id) })
		return
	}
	event.PaceAnswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Percent(percent),
		event.Answer(answer))
	switch answer {
	case AnswerDone, AnswerEnded:
		o.confirmedPace, o.paceConfirmed = percent, true
		if answer == AnswerDone && s.d.opts.Now().Before(o.latePaceUntil) && !o.paceRepeatDue {
			o.paceRepeatDue = true
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
	if o := s.orders[id]; o != nil && !o.pacing {
		o.paceConfirmed, o.paceRepeatDue = false, false
		s.advance(id, o)
	}
}
