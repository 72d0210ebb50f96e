package runs

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// order is what the agent has to do about one run.
type order struct {
	start *apiv1.StartOrder
	// epoch is the worker's epoch when the start was ordered. What goes wrong without
	// it: the agent is cut off until the leader gives the run up and starts it
	// elsewhere; then the agent gets a new lease before it gets new orders, and starts
	// the run under it.
	epoch uint64
	// capacity is what the leader knew the worker to have when it first gave the order; nil from
	// one that does not say.
	capacity *apiv1.WorkerCapacity
	// notOrderedBefore: no agent before this one can have had the order.
	notOrderedBefore bool
	// withdrawn: the leader no longer has the order.
	withdrawn bool
	// startConfirmed is set once the worker said that the run is there or over.
	startConfirmed bool
	// maybeSent is set once the worker may have got the start.
	maybeSent bool
	starting  bool
	// stop: the run has to end. stoppedAt is when the worker confirmed that it has stopped
	// it, or said that it is over.
	stop      bool
	stopping  bool
	stoppedAt time.Time
	// refusalReason is why the run is given back once it is surely not there.
	refusalReason string
	pace          uint32
	confirmedPace uint32
	pacing        bool
}

// ordersLoop takes the leader's orders and has them carried out.
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
			// An answer of a leader that another one has followed.
			s.sleep(retryInterval)
			continue
		}
		news := resp.Term != term || resp.Sequence != sequence
		term, sequence = resp.Term, resp.Sequence
		if news {
			s.applyOrders(resp)
		}
	}
}

// applyOrders compares the leader's open orders with those known, and starts the work
// that is new. An order that the leader no longer has is done with.
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

// advance starts what an order needs next; s.mu is held. Nothing starts once the
// session is over.
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

// mayStart reports whether a start is still to be made; s.mu is held.
func (s *session) mayStart(o *order) bool {
	return o.start != nil && !o.stop && !o.startConfirmed && !o.starting && o.refusalReason == "" && !s.isVoid(o)
}

// isVoid reports whether a start must not be made any more: the leader has given the run up; s.mu is
// held.
func (s *session) isVoid(o *order) bool { return o.withdrawn || o.epoch < s.epoch }

// startRun has the worker start a run. A call without an answer is repeated:
// the same run starts once, however often it is ordered.
func (s *session) startRun(id jobqueue.RunID, o *order) {
	retry := newBackoff()
	for s.alive.Err() == nil {
		call, ok := s.nextStartCall(id, o)
		if !ok {
			break
		}
		answer, err := s.callStart(call)
		if s.handleStartAnswer(id, o, answer, err) {
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
}

// nextStartCall returns the call to make, once the worker's lease allows it; false
// when the run is not to be started any more.
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

// handleStartAnswer takes in the answer to a start; true ends the attempts.
func (s *session) handleStartAnswer(id jobqueue.RunID, o *order, answer Answer, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.notOrderedBefore {
		s.callHistory.recordStartResult(id, err)
	}
	if err != nil {
		s.d.metrics.callsUnanswered.Inc(1)
		event.StartUnanswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Err(err))
		return false
	}
	event.StartAnswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Epoch(o.epoch), event.Answer(answer))
	switch answer {
	case AnswerDone:
		s.d.metrics.starts.Inc(1)
		o.startConfirmed = true
		s.callHistory.recordConfirmed(id, s.d.opts.Now())
		return true
	case AnswerEnded:
		// Its end is listed until it is recorded. Without one the run never began: an agent
		// before this one had it stopped, and did not get to say so.
		o.startConfirmed = true
		o.stoppedAt = s.d.opts.Now()
		return true
	case AnswerDeadlinePassed, AnswerFenced:
		// The next try carries a later deadline, or the term of the newer leader, which
		// gives its own orders too.
		return false
	case AnswerOtherIncarnation:
		s.endAlive()
		return true
	}
	s.refuseRun(id, o, answer.String())
	return true
}

// hasLessCapacity reports whether the worker has less than the leader knew when it gave the order; s.mu
// is held.
func (s *session) hasLessCapacity(o *order) bool {
	now := s.announced.Worker
	return now.CpuMilli < o.capacity.GetCpuMilli() || now.MemoryMb < o.capacity.GetMemoryMb() ||
		now.Accelerators < o.capacity.GetAccelerators()
}

// refuseUnlessListed gives back a start that the worker should not get any more, unless
// the run is there already. What goes wrong without the look: an agent that was
// restarted did not make the start, but the one before it did; the run goes on here
// and starts elsewhere as well. s.mu is held.
func (s *session) refuseUnlessListed(id jobqueue.RunID, o *order, reason string) {
	if isListed(s.status, id) {
		o.startConfirmed = true
		return
	}
	s.refuseRun(id, o, reason)
}

// refuseRun gives a run back. It may have been ordered before without an answer, by
// this agent or one before it, and come about later: so the worker is told to stop
// it first, which makes it refuse the run for good. s.mu is held.
func (s *session) refuseRun(id jobqueue.RunID, o *order, reason string) {
	s.d.metrics.startsRefused.Inc(1)
	o.refusalReason = reason
	o.stop = true
}

// stopRun has the worker stop a run, until it confirms. A stop that is refused for an old
// term is repeated.
func (s *session) stopRun(id jobqueue.RunID, o *order) {
	retry := newBackoff()
	for s.alive.Err() == nil {
		answer, err := s.callStop(id)
		if err != nil {
			s.d.metrics.callsUnanswered.Inc(1)
			s.sleep(retry.next())
			continue
		}
		event.StopAnswered.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Answer(answer))
		if answer == AnswerOtherIncarnation {
			s.endAlive()
		}
		if answer == AnswerFenced {
			// The next try carries the term of the newer leader, which may have given its
			// orders already and does not repeat them.
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

// setPace has the worker slow a run down or let it up.
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

// retryOrder takes up what is left to do about a run.
func (s *session) retryOrder(id jobqueue.RunID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.orders[id]; o != nil && s.alive.Err() == nil {
		s.advance(id, o)
	}
}

// refuseStoppedRuns gives back the runs that were stopped before they began: the worker
// confirmed the stop, and a status asked for after that shows the run neither
// among those that run nor among the ended. A status of which a part could not be read
// shows nothing of the kind: the run may be in that part.
func (s *session) refuseStoppedRuns(status Status, asked time.Time) {
	if status.Partial {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.orders {
		if o.stoppedAt.IsZero() || !asked.After(o.stoppedAt) || isListed(status, id) {
			continue
		}
		reason := o.refusalReason
		if reason == "" {
			reason = "stopped before it began"
		}
		if _, given := s.refusals[id]; !given {
			event.RunGivenBack.Write(s.d.logger, event.Task(id.Task), event.Run(id.Number), event.Reason(reason),
				event.After(asked.Sub(o.stoppedAt)))
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
