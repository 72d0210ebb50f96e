package runs

import (
	"context"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
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
	if err != nil {
		s.d.metrics.callsUnanswered.Inc(1)
		event.PaceUnanswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Err(err))
		time.AfterFunc(maxRetryDelay, func() { s.retryOrder(id) })
		return
	}
	event.PaceAnswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Percent(percent),
		event.Answer(answer))
	o.confirmedPace = percent
	s.advance(id, o)
}
