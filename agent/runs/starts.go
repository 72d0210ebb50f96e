package runs

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// mayStart reports whether the start of a run still has to be sent. The caller must hold s.mu.
func (s *session) mayStart(id jobqueue.RunID, o *order) bool {
	_, returned := s.refusals[id]
	return o.start != nil && !o.stop && !o.startConfirmed && !o.starting && o.refusalReason == "" && !returned && !s.isVoid(o)
}

// isVoid reports whether a start must no longer be sent, since the leader has withdrawn it or
// recorded the run as lost. The caller must hold s.mu.
func (s *session) isVoid(o *order) bool { return o.withdrawn || o.epoch < s.epoch }

// startRun has the worker start a run. A call without an answer is repeated: the worker starts
// the same run only once, however often it is ordered.
func (s *session) startRun(id jobqueue.RunID, o *order) {
	retry := newBackoff()
	for try := 1; s.alive.Err() == nil; try++ {
		call, ok := s.awaitStart(id, o, try)
		if !ok {
			break
		}
		answer, err := s.callStart(call)
		if s.handleStartAnswer(call, o, answer, err) {
			break
		}
		s.sleep(retry.next())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.starting = false
	s.advance(id, o)
}

type startCall struct {
	order Order
	start Start
	try   int
	// available is what might start on the worker before the call.
	available jobqueue.Availability
	// inFlightBefore is what startsInFlight held for the run before the call.
	inFlightBefore startInFlight
}

// awaitStart waits until a start may be sent and returns the call, which holds one of startSlots;
// false when the run must no longer be started. The call is prepared once it has the slot, so that
// its short deadline does not pass meanwhile.
func (s *session) awaitStart(id jobqueue.RunID, o *order, try int) (startCall, bool) {
	for s.alive.Err() == nil {
		s.startSlots <- struct{}{}
		call, ready, void := s.prepareStart(id, o, try)
		if ready {
			return call, true
		}
		<-s.startSlots
		if void {
			return startCall{}, false
		}
		s.sleep(retryInterval)
	}
	return startCall{}, false
}

// prepareStart returns a call that is sent now, and whether it may be sent. void means that the run
// must no longer be started.
func (s *session) prepareStart(id jobqueue.RunID, o *order, try int) (call startCall, ready, void bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	available, complete := s.availability(id)
	shortage := available.ShortageFor(jobqueue.ResourcesOf(o.start.GetReserved()))
	leased := s.leaseDeadlineMs > 0 && !s.clock.received.IsZero() && o.epoch == s.epoch
	if s.announced.Departed {
		// The worker ends soon. Its lease is renewed until its departure is acknowledged.
		leased = false
	}
	switch {
	case s.finished || o.stop || s.isVoid(o):
		return startCall{}, false, true
	case !leased:
		return startCall{}, false, false
	case s.cordon.cordoned:
		s.logStartNotSent(id, jobqueue.RefusedCordoned, available)
		s.d.metrics.startsCordoned.Inc(1)
		s.refuseRun(id, o, jobqueue.RefusedCordoned)
		return startCall{}, false, true
	case s.cordonMayBeUnknown(s.d.opts.Now()):
		return startCall{}, false, false
	case s.announced.Worker.Draining:
		s.refuseRun(id, o, "worker drains")
		return startCall{}, false, true
	case !complete:
		return startCall{}, false, false
	case shortage != jobqueue.ShortageNone:
		s.logStartNotSent(id, shortage.String(), available)
		s.refuseRun(id, o, shortage.Refusal())
		return startCall{}, false, true
	}
	call = startCall{
		try: try, order: Order{Incarnation: s.incarnation, Term: s.term},
		available: available,
		start: Start{
			Run: id, Payload: o.start.Payload, Checkpoint: o.start.Checkpoint, Ticket: o.start.Ticket,
			DeadlineMs: s.startDeadline(available),
		},
	}
	o.maybeSent, s.anyStartSent = true, true
	s.callHistory.recordStartRequest(id, s.d.opts.Now())
	call.inFlightBefore = s.startsInFlight.add(id, o.epoch, s.d.opts.Now())
	return call, true, false
}

// callStart makes a call and releases its slot.
func (s *session) callStart(c startCall) (Answer, error) {
	defer func() { <-s.startSlots }()
	ctx, cancel := context.WithTimeout(s.alive, callTimeout)
	defer cancel()
	answer, err := s.d.opts.Worker.Start(ctx, c.order, c.start)
	s.recordCall("start", answer, err)
	return answer, err
}

// handleStartAnswer records the answer to a start and reports whether the attempts end.
func (s *session) handleStartAnswer(c startCall, o *order, answer Answer, err error) bool {
	id := c.start.Run
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && answer != AnswerDone || errors.Is(err, ErrNotSent) {
		s.startsInFlight.remove(id, c.inFlightBefore)
	}
	if o.notOrderedBefore {
		s.callHistory.recordStartResult(id, err)
	}
	if err != nil {
		s.d.metrics.callsUnanswered.Inc(1)
		event.StartUnanswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Try(c.try), event.Err(err))
		return false
	}
	event.StartAnswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Epoch(o.epoch), event.Answer(answer),
		event.Try(c.try), event.Capacity(c.available.Capacity), event.CapacityAge(c.available.CapacityAge),
		event.Reserved(c.available.Reserved))
	switch answer {
	case AnswerDone:
		s.d.metrics.starts.Inc(1)
		o.startConfirmed = true
		now := s.d.opts.Now()
		s.startsInFlight.settle(id, now)
		s.callHistory.recordConfirmed(id, now)
		return true
	case AnswerEnded:
		// The end of the run is listed until it is recorded. If none is listed, the run never
		// began: a previous agent had it stopped and did not report that.
		o.startConfirmed, o.stop = true, true
		if !s.startMayArrive(id) {
			o.stopConfirmedAt = s.d.opts.Now()
			o.barredAt = o.stopConfirmedAt
		}
		return true
	case AnswerDeadlinePassed, AnswerFenced:
		// The next attempt carries a later deadline, or the term of the new leader, which gives
		// its own orders too.
		return false
	case AnswerOtherIncarnation:
		s.endAlive()
		return true
	case AnswerUnhealthy:
		o.unhealthyAnswers++
		if o.unhealthyAnswers < maxUnhealthyAnswers {
			return false
		}
	}
	s.refuseRun(id, o, answer.String())
	return true
}

// maxUnhealthyAnswers is after how many answers of an unhealthy worker a start is refused. A worker
// that refuses only a part of the calls takes one of the next; the tries take 0.3 s, less than the
// task would wait for another worker.
const maxUnhealthyAnswers = 5

// logStartNotSent logs why a start is not sent.
func (s *session) logStartNotSent(id jobqueue.RunID, reason string, a jobqueue.Availability) {
	event.StartNotSent.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Reason(reason),
		event.Capacity(a.Capacity), event.CapacityAge(a.CapacityAge), event.Reserved(a.Reserved))
}

// refuseRun refuses a run whose start the worker refused or must no longer receive. A run that the
// worker lists was started before: by a previous agent, or on the orders of a previous leader. If a
// start may still arrive, the run is stopped first: a worker that has carried out the stop refuses
// the run permanently. The caller must hold s.mu.
func (s *session) refuseRun(id jobqueue.RunID, o *order, reason string) {
	if isListed(s.status, id) {
		o.startConfirmed = true
		return
	}
	s.d.metrics.startsRefused.Inc(1)
	o.refusalReason = reason
	if s.status.Partial && s.mayBeUnreadable(id) || s.startMayArrive(id) {
		o.stop = true
		return
	}
	s.returnRun(id, o)
}
