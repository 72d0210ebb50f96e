package runs

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// stopEffectTime is longer than a worker takes to end a run that it was told to stop.
const stopEffectTime = time.Second

// stopRun has the worker stop a run and repeats the call until the worker confirms it, or until the
// run need not be stopped any more. No other answer shows that the worker has carried out the stop.
func (s *session) stopRun(id jobqueue.RunID, o *order) {
	retry := newBackoff()
	for try := 1; s.stopPending(o); try++ {
		answer, err := s.callStop(id)
		s.handleStopAnswer(id, o, try, answer, err)
		if s.stopPending(o) {
			s.sleep(retry.next())
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.stopping = false
}

// stopPending reports whether a run still has to be stopped.
func (s *session) stopPending(o *order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive.Err() == nil && o.stopConfirmedAt.IsZero() && !o.returned && !o.withdrawn
}

func (s *session) handleStopAnswer(id jobqueue.RunID, o *order, try int, answer Answer, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.d.metrics.callsUnanswered.Inc(1)
		event.StopUnanswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Try(try), event.Err(err))
		return
	}
	event.StopAnswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Answer(answer), event.Try(try),
		event.StartPending(s.startMayArrive(id)))
	switch answer {
	case AnswerDone:
		o.stopConfirmedAt = s.d.opts.Now()
		if o.barredAt.IsZero() {
			o.barredAt = o.stopConfirmedAt
		}
	case AnswerOtherIncarnation:
		s.endAlive()
	}
}

func (s *session) callStop(id jobqueue.RunID) (Answer, error) {
	s.mu.Lock()
	o := Order{Incarnation: s.incarnation, Term: s.term}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.alive, callTimeout)
	defer cancel()
	answer, err := s.d.opts.Worker.Stop(ctx, o, id)
	s.recordCall("stop", answer, err)
	return answer, err
}

// reviewStops determines from a status what became of the runs that must end. One that is still
// listed as running is stopped again. One that is listed neither as running nor as ended is
// returned to the leader, if the status was requested when no start of it could arrive any more. A
// partial status is no proof, since the run may be in the part that could not be read. The status
// must have been recorded.
func (s *session) reviewStops(status Status, requestedAt time.Time) {
	if status.Partial {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.orders {
		switch {
		case !o.stop || o.returned:
		case isRunning(status, id):
			s.repeatStop(id, o, requestedAt)
		case hasEnded(status, id):
		case !s.startMayArrive(id):
			s.returnRun(id, o)
		case !o.barredAt.IsZero() && requestedAt.After(o.barredAt):
			s.returnRun(id, o)
		}
	}
}

// repeatStop has a run stopped again that a status lists long after its stop was confirmed. The
// caller must hold s.mu.
func (s *session) repeatStop(id jobqueue.RunID, o *order, listedAt time.Time) {
	if !o.stopConfirmedAt.IsZero() && listedAt.Sub(o.stopConfirmedAt) > stopEffectTime {
		o.stopConfirmedAt = time.Time{}
		s.advance(id, o)
	}
}

// returnRun returns a run to the leader. The caller must hold s.mu and have made certain that the
// run is not on the worker and can't begin there.
func (s *session) returnRun(id jobqueue.RunID, o *order) {
	o.returned = true
	reason := o.refusalReason
	if reason == "" {
		reason = "stopped before it began"
	}
	event.RunReturned.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Reason(reason),
		event.StopConfirmed(!o.barredAt.IsZero()))
	s.refusals[id] = reason
}

func isListed(status Status, id jobqueue.RunID) bool {
	return isRunning(status, id) || hasEnded(status, id)
}

func isRunning(status Status, id jobqueue.RunID) bool {
	return slices.ContainsFunc(status.Running, func(r *apiv1.RunObservation) bool {
		return r.Run == id.Number && jobqueue.TaskIDOf(r.Task) == id.Task
	})
}

func hasEnded(status Status, id jobqueue.RunID) bool {
	return slices.ContainsFunc(status.Ended, func(e *apiv1.RunEnd) bool {
		return e.Run == id.Number && jobqueue.TaskIDOf(e.Task) == id.Task
	})
}
