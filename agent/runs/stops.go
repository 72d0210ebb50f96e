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
	s.advance(id, o)
}

// stopPending reports whether a run still has to be stopped.
func (s *session) stopPending(o *order) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.alive.Err() == nil && o.stop && o.stopConfirmedAt.IsZero() && !o.returned && !o.withdrawn
}

func (s *session) handleStopAnswer(id jobqueue.RunID, o *order, try int, answer Answer, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordStopAnswer(id, try, answer, err)
	if err == nil && answer == AnswerDone {
		o.stopConfirmedAt = s.d.opts.Now()
		if o.barredAt.IsZero() {
			o.barredAt = o.stopConfirmedAt
		}
	}
}

// recordStopAnswer records the answer to a stop. The caller must hold s.mu.
func (s *session) recordStopAnswer(id jobqueue.RunID, try int, answer Answer, err error) {
	if err != nil {
		s.d.metrics.callsUnanswered.Inc(1)
		event.StopUnanswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Try(try), event.Err(err))
		return
	}
	event.StopAnswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Answer(answer), event.Try(try),
		event.StartPending(s.startMayArrive(id)))
	switch answer {
	case AnswerDone:
		s.startsInFlight.settle(id, s.d.opts.Now())
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

// reviewStops determines from a status what became of the runs that must end. One that is listed
// neither as running nor as ended is returned to the leader, if the status was requested when no
// start of it could arrive any more. A partial status is proof only for a run that can't be in the part
// that could not be read. The status must have been recorded.
func (s *session) reviewStops(status Status, requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.orders {
		switch {
		case !o.stop:
		case isRunning(status, id):
			s.reviewRunning(id, o, requestedAt)
		case o.returned || hasEnded(status, id):
		case status.Partial && s.mayBeUnreadable(id):
		case !s.startMayArrive(id):
			s.returnRun(id, o)
		case !o.barredAt.IsZero() && requestedAt.After(o.barredAt):
			s.returnRun(id, o)
		}
	}
}

// reviewRunning handles a run that must end and is listed as running. If only this agent refused it,
// a start that was in flight has begun it, and it continues. Otherwise it is stopped again if its
// stop was confirmed long ago, or if it was returned. The caller must hold s.mu.
func (s *session) reviewRunning(id jobqueue.RunID, o *order, listedAt time.Time) {
	switch {
	case !o.stopOrdered && o.stopConfirmedAt.IsZero() && !o.returned:
		o.stop, o.refusalReason, o.startConfirmed = false, "", true
	case o.returned || !o.stopConfirmedAt.IsZero() && listedAt.Sub(o.stopConfirmedAt) > stopEffectTime:
		o.returned, o.stopConfirmedAt = false, time.Time{}
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
