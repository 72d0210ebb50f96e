package runs

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// order is the state of the leader's orders for one run.
type order struct {
	start *apiv1.StartOrder
	// epoch is the worker's epoch when the start was ordered. It guards against this sequence:
	// the agent is partitioned until the leader records the run as lost and starts it elsewhere,
	// then receives a new lease before new orders, and would start the old run under that lease.
	epoch uint64
	// notOrderedBefore: no previous agent can have received the order.
	notOrderedBefore bool
	// withdrawn: the leader no longer lists the order.
	withdrawn bool
	// startConfirmed is set once the worker has reported that the run is present or has ended.
	startConfirmed bool
	// maybeSent is set once the worker may have received the start.
	maybeSent bool
	starting  bool
	// unhealthyAnswers counts the starts that the worker refused because it is unhealthy.
	unhealthyAnswers int
	// stopOrdered: the leader has ordered the end of the run. stop: the run must end, by that order
	// or because the agent refused its start. stopConfirmedAt is when the worker last confirmed that
	// it stops the run, or reported that it has ended; zero if the worker has to be called.
	stopOrdered     bool
	stop            bool
	stopping        bool
	stopConfirmedAt time.Time
	// barredAt is a time from which on the worker surely carries out no start of the run; zero
	// while it may.
	barredAt time.Time
	// refusalReason is why the run is refused. returned: the run is surely not on the worker and
	// is returned to the leader.
	refusalReason string
	returned      bool
	pace          pace
}

// ordersLoop fetches the leader's orders and has them carried out. Before the session's first lease,
// these are only the stops: until the leader has heard this session, it still accepts a report of the
// previous agent, which may return starts of these orders.
func (s *session) ordersLoop() {
	s.fetchOrders(s.unleased, s.applyStops)
	s.fetchOrders(s.ctx, s.applyOrders)
}

// fetchOrders fetches the leader's orders and applies them until ctx ends.
func (s *session) fetchOrders(ctx context.Context, apply func(*apiv1.JobsOrdersResponse)) {
	var term, sequence uint64
	for ctx.Err() == nil {
		resp, err := s.d.opts.Leader.Orders(ctx, &apiv1.JobsOrdersRequest{
			Worker: s.incarnation, Term: term, Sequence: sequence, ListReservations: s.needsReservations(),
		})
		if err != nil {
			sleep(ctx, retryInterval)
			continue
		}
		if resp.Term < s.currentTerm() {
			// The answer is from a previous leader.
			sleep(ctx, retryInterval)
			continue
		}
		changed := resp.Term != term || resp.Sequence != sequence
		term, sequence = resp.Term, resp.Sequence
		if changed {
			apply(resp)
		} else {
			s.recordReservationsOnly(resp)
		}
	}
}

// applyStops updates the known orders from the stops among the leader's open ones.
func (s *session) applyStops(resp *apiv1.JobsOrdersResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordFirstOrders(resp)
	s.recordReservations(resp)
	s.updateOrders(&apiv1.JobsOrdersResponse{Term: resp.Term, Epoch: resp.Epoch, Stops: resp.Stops, Cordon: resp.Cordon})
}

// applyOrders updates the known orders from the leader's open ones.
func (s *session) applyOrders(resp *apiv1.JobsOrdersResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordFirstOrders(resp)
	s.recordReservations(resp)
	s.updateOrders(resp)
}

// recordFirstOrders records the starts in the first orders of the session, and those that the leader has
// given up: a previous agent may have sent them. The caller must hold s.mu.
func (s *session) recordFirstOrders(resp *apiv1.JobsOrdersResponse) {
	if s.orderedBefore != nil {
		return
	}
	s.orderedBefore = map[jobqueue.RunID]bool{}
	now := s.d.opts.Now()
	for _, o := range resp.Starts {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		s.orderedBefore[id] = true
		if now.Before(s.d.previousCallsUntil) {
			s.startsInFlight.add(id, resp.Epoch, now)
		}
	}
	for _, lost := range resp.LostRuns {
		if now.Before(s.d.previousCallsUntil) {
			s.startsInFlight.add(jobqueue.RunID{Task: jobqueue.TaskIDOf(lost.Task), Number: lost.Run}, lostEpoch, now)
		}
	}
}

// lostEpoch is earlier than the epoch of any lease, so that no lease is taken before the starts of lost
// runs are barred.
const lostEpoch = 0

// updateOrders updates the known orders and starts the work that is new. It drops an order that the
// leader no longer lists, unless a call for it is in progress. The caller must hold s.mu.
func (s *session) updateOrders(resp *apiv1.JobsOrdersResponse) {
	s.recordTerm(resp.Term)
	s.cordon.record(resp.Term, resp.Cordon)
	open := map[jobqueue.RunID]bool{}
	for _, o := range resp.Starts {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		open[id] = true
		known := s.orderFor(id)
		if known.start == nil {
			known.notOrderedBefore = !s.orderedBefore[id]
		}
		known.start, known.epoch, known.withdrawn = o, resp.Epoch, false
	}
	for _, o := range resp.Stops {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		open[id] = true
		known := s.orderFor(id)
		known.stopOrdered, known.stop = true, true
	}
	for _, o := range resp.Paces {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		open[id] = true
		s.orderFor(id).pace.order(o.Percent)
	}
	for id, o := range s.orders {
		if !open[id] && !o.starting && !o.stopping && !o.pace.calling {
			delete(s.orders, id)
			continue
		}
		o.withdrawn = !open[id]
		s.advance(id, o)
	}
}

func (s *session) orderFor(id jobqueue.RunID) *order {
	o := s.orders[id]
	if o == nil {
		o = &order{pace: pace{percent: fullPace, confirmed: fullPace, isConfirmed: true}}
		s.orders[id] = o
	}
	return o
}

// advance starts the next call that an order needs. Nothing starts once the session has finished.
// The caller must hold s.mu.
func (s *session) advance(id jobqueue.RunID, o *order) {
	switch {
	case s.finished || s.alive.Err() != nil:
	case o.stop && !o.stopping && !o.returned && !o.withdrawn && o.stopConfirmedAt.IsZero():
		o.stopping = true
		s.calls.Go(func() { s.stopRun(id, o) })
	case s.mayStart(id, o):
		o.starting = true
		s.calls.Go(func() { s.startRun(id, o) })
	case o.pace.needsCall() && !o.stop && !o.starting:
		o.pace.calling = true
		s.calls.Go(func() { s.setPace(id, o) })
	}
}

// retryOrder continues with the next call that a run needs.
func (s *session) retryOrder(id jobqueue.RunID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o := s.orders[id]; o != nil && s.alive.Err() == nil {
		s.advance(id, o)
	}
}
