package runs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// order is the state of the leader's orders for one run.
type order struct {
	start *apiv1.StartOrder
	// epoch is the worker's epoch when the start was ordered. It guards against this sequence:
	// the agent is partitioned until the leader records the run as lost and starts it elsewhere,
	// then receives a new lease before new orders, and would start the old run under that lease.
	epoch uint64
	// capacity is the worker capacity known to the leader when it first gave the order; nil from
	// a leader that does not report it.
	capacity *apiv1.WorkerCapacity
	// notOrderedBefore: no previous agent can have received the order.
	notOrderedBefore bool
	// withdrawn: the leader no longer lists the order.
	withdrawn bool
	// startConfirmed is set once the worker has reported that the run is present or has ended.
	startConfirmed bool
	// maybeSent is set once the worker may have received the start.
	maybeSent bool
	starting  bool
	// stop: the run must end. stoppedAt is when the worker confirmed that it had stopped the run,
	// or reported that it has ended.
	stop      bool
	stopping  bool
	stoppedAt time.Time
	// refusalReason is why the run is refused, once it is certain that it is not on the worker.
	refusalReason string
	pace          uint32
	confirmedPace uint32
	pacing        bool
}

// ordersLoop fetches the leader's orders and has them carried out.
func (s *session) ordersLoop() {
	var term, sequence uint64
	for s.ctx.Err() == nil {
		resp, err := s.d.opts.Leader.Orders(s.ctx, &apiv1.JobsOrdersRequest{
			Worker: s.incarnation, Term: term, Sequence: sequence,
		})
		if err != nil {
			s.sleep(retryInterval)
			continue
		}
		if resp.Term < term {
			// The answer is from a previous leader.
			s.sleep(retryInterval)
			continue
		}
		changed := resp.Term != term || resp.Sequence != sequence
		term, sequence = resp.Term, resp.Sequence
		if changed {
			s.applyOrders(resp)
		}
	}
}

// applyOrders updates the known orders from the leader's open ones and starts the work that is
// new. It drops an order that the leader no longer lists, unless a call for it is in progress.
func (s *session) applyOrders(resp *apiv1.JobsOrdersResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordTerm(resp.Term)
	open := map[jobqueue.RunID]bool{}
	for _, o := range resp.Starts {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		open[id] = true
		known := s.orderFor(id)
		if known.start == nil {
			known.capacity, known.notOrderedBefore = resp.Capacity, s.ordersReceived
		}
		known.start, known.epoch, known.withdrawn = o, resp.Epoch, false
	}
	for _, o := range resp.Stops {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		open[id] = true
		s.orderFor(id).stop = true
	}
	for _, o := range resp.Paces {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		open[id] = true
		s.orderFor(id).pace = o.Percent
	}
	for id, o := range s.orders {
		if !open[id] && !o.starting && !o.stopping && !o.pacing {
			delete(s.orders, id)
			continue
		}
		o.withdrawn = !open[id]
		s.advance(id, o)
	}
	s.ordersReceived = true
}

func (s *session) orderFor(id jobqueue.RunID) *order {
	o := s.orders[id]
	if o == nil {
		o = &order{pace: fullPace, confirmedPace: fullPace}
		s.orders[id] = o
	}
	return o
}

const fullPace = 100

// advance starts the next call that an order needs. Nothing starts once the session has finished.
// The caller must hold s.mu.
func (s *session) advance(id jobqueue.RunID, o *order) {
	switch {
	case s.finished || s.alive.Err() != nil:
	case o.stop && !o.stopping && o.stoppedAt.IsZero():
		o.stopping = true
		s.calls.Go(func() { s.stopRun(id, o) })
	case s.mayStart(o):
		o.starting = true
		s.calls.Go(func() { s.startRun(id, o) })
	case o.pace != o.confirmedPace && !o.stop && !o.starting && !o.pacing:
		o.pacing = true
		s.calls.Go(func() { s.setPace(id, o) })
	}
}

// mayStart reports whether the start of a run still has to be sent. The caller must hold s.mu.
func (s *session) mayStart(o *order) bool {
	return o.start != nil && !o.stop && !o.startConfirmed && !o.starting && o.refusalReason == "" && !s.isVoid(o)
}

// isVoid reports whether a start must no longer be sent, since the leader has withdrawn it or
// recorded the run as lost. The caller must hold s.mu.
func (s *session) isVoid(o *order) bool { return o.withdrawn || o.epoch < s.epoch }

// startRun has the worker start a run. A call without an answer is repeated: the worker starts
// the same run only once, however often it is ordered.
func (s *session) startRun(id jobqueue.RunID, o *order) {
	retry := newBackoff()
	for try := 1; s.alive.Err() == nil; try++ {
		call, ok := s.nextStartCall(id, o)
		if !ok {
			break
		}
		call.try = try
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
	// inFlightBefore is what startsInFlight held for the run before the call.
	inFlightBefore int64
}

// nextStartCall waits until the worker's lease allows the start and returns the call; false when
// the run must no longer be started.
func (s *session) nextStartCall(id jobqueue.RunID, o *order) (startCall, bool) {
	for s.alive.Err() == nil {
		s.mu.Lock()
		stop, leased := o.stop || s.isVoid(o), s.leaseDeadlineMs > 0 && !s.clock.received.IsZero() && o.epoch == s.epoch
		if s.announced.Worker.Draining && !o.maybeSent && leased && !stop {
			s.refuseUnlessListed(id, o, "worker drains")
			stop = true
		}
		if leased && !stop && s.hasLessCapacity(o) {
			s.refuseUnlessListed(id, o, "worker shrank")
			stop = true
		}
		call := startCall{
			order: Order{Incarnation: s.incarnation, Term: s.term},
			start: Start{
				Run: id, Payload: o.start.Payload, Checkpoint: o.start.Checkpoint, Ticket: o.start.Ticket,
				DeadlineMs: s.nextDeadline(),
			},
		}
		if leased && !stop {
			o.maybeSent = true
			s.callHistory.recordStartRequest(id, s.d.opts.Now())
			call.inFlightBefore = s.startsInFlight.add(id, call.start.DeadlineMs)
		}
		s.mu.Unlock()
		if stop {
			return startCall{}, false
		}
		if leased {
			return call, true
		}
		s.sleep(retryInterval)
	}
	return startCall{}, false
}

func (s *session) callStart(c startCall) (Answer, error) {
	s.startSlots <- struct{}{}
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
	if err == nil || errors.Is(err, ErrNotSent) {
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
		event.Try(c.try))
	switch answer {
	case AnswerDone:
		s.d.metrics.starts.Inc(1)
		o.startConfirmed = true
		s.callHistory.recordConfirmed(id, s.d.opts.Now())
		return true
	case AnswerEnded:
		// The end of the run is listed until it is recorded. If none is listed, the run never
		// began: a previous agent had it stopped and did not report that.
		o.startConfirmed = true
		o.stoppedAt = s.d.opts.Now()
		return true
	case AnswerDeadlinePassed, AnswerFenced:
		// The next attempt carries a later deadline, or the term of the new leader, which gives
		// its own orders too.
		return false
	case AnswerOtherIncarnation:
		s.endAlive()
		return true
	}
	s.refuseRun(id, o, answer.String())
	return true
}

// hasLessCapacity reports whether the worker has less capacity than the leader knew when it gave
// the order. The caller must hold s.mu.
func (s *session) hasLessCapacity(o *order) bool {
	now := s.announced.Worker
	return now.CpuMilli < o.capacity.GetCpuMilli() || now.MemoryMb < o.capacity.GetMemoryMb() ||
		now.Accelerators < o.capacity.GetAccelerators()
}

// refuseUnlessListed refuses a start that the worker must no longer receive, unless the worker
// already lists the run. Without this check, a restarted agent would refuse a run that the
// previous agent had started; the run would continue here and be started elsewhere as well. The
// caller must hold s.mu.
func (s *session) refuseUnlessListed(id jobqueue.RunID, o *order, reason string) {
	if isListed(s.status, id) {
		o.startConfirmed = true
		return
	}
	s.refuseRun(id, o, reason)
}

// refuseRun refuses a run and orders its stop first. This agent or a previous one may have sent
// the start without receiving an answer, and the worker may carry it out later; a worker that has
// received the stop refuses the run permanently. The caller must hold s.mu.
func (s *session) refuseRun(id jobqueue.RunID, o *order, reason string) {
	s.d.metrics.startsRefused.Inc(1)
	o.refusalReason = reason
	o.stop = true
}

// stopRun has the worker stop a run and repeats the call until the worker confirms it. A stop
// that is refused because of an old term is repeated too.
func (s *session) stopRun(id jobqueue.RunID, o *order) {
	retry := newBackoff()
	for try := 1; s.alive.Err() == nil; try++ {
		answer, err := s.callStop(id)
		if err != nil {
			s.d.metrics.callsUnanswered.Inc(1)
			event.StopUnanswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Try(try), event.Err(err))
			s.sleep(retry.next())
			continue
		}
		event.StopAnswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Answer(answer), event.Try(try),
			event.StartPending(s.startMayArrive(id)))
		if answer == AnswerOtherIncarnation {
			s.endAlive()
		}
		if answer == AnswerFenced {
			// The next attempt carries the term of the new leader, which may already have given
			// its orders and does not repeat them.
			s.sleep(retry.next())
			continue
		}
		s.mu.Lock()
		o.stopping = false
		o.stoppedAt = s.d.opts.Now()
		s.mu.Unlock()
		return
	}
}

// startMayArrive reports whether the worker may still carry out a start of a run, one that this
// agent or a previous one sent.
func (s *session) startMayArrive(id jobqueue.RunID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, inFlight := s.startsInFlight[id]
	return inFlight || s.d.opts.Now().Before(s.d.previousCallsUntil)
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

// retryOrder continues with the next call that a run needs.
func (s *session) retryOrder(id jobqueue.RunID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.orders[id]; o != nil && s.alive.Err() == nil {
		s.advance(id, o)
	}
}

// refuseStoppedRuns refuses the runs that were stopped before they began: the worker confirmed
// the stop, and a status requested after that lists the run neither as running nor as ended. A
// partial status is no proof, since the run may be in the part that could not be read.
func (s *session) refuseStoppedRuns(status Status, requestedAt time.Time) {
	if status.Partial {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.orders {
		if o.stoppedAt.IsZero() || !requestedAt.After(o.stoppedAt) || isListed(status, id) {
			continue
		}
		reason := o.refusalReason
		if reason == "" {
			reason = "stopped before it began"
		}
		if _, known := s.refusals[id]; !known {
			event.RunReturned.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Reason(reason),
				event.Delay(requestedAt.Sub(o.stoppedAt)))
		}
		s.refusals[id] = reason
	}
}

func isListed(status Status, id jobqueue.RunID) bool {
	for _, r := range status.Running {
		if r.Run == id.Number && jobqueue.TaskIDOf(r.Task) == id.Task {
			return true
		}
	}
	for _, e := range status.Ended {
		if e.Run == id.Number && jobqueue.TaskIDOf(e.Task) == id.Task {
			return true
		}
	}
	return false
}
