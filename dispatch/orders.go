package dispatch

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

// Orders implements apiv1.Jobs. It responds once there are orders for the worker that the agent
// does not have, or when the requested time has passed. A response contains all open orders of the
// worker, so an agent that missed an order gets it with the next response.
func (d *Dispatcher) Orders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxOrdersWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := d.stateChanged.wait()
		resp := d.orders(r)
		updated := resp.NotLeader || resp.ReservationsListed || resp.Term != r.Term || resp.Sequence != r.Sequence
		if updated {
			return resp, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return resp, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// orders returns the open orders of a worker, and the leader's records of a host if one is named.
func (d *Dispatcher) orders(r *apiv1.JobsOrdersRequest) *apiv1.JobsOrdersResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return &apiv1.JobsOrdersResponse{NotLeader: true, LeaderAddress: d.opts.Replica.LeaderAddress()}
	}
	resp := &apiv1.JobsOrdersResponse{Term: l.term}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		if r.Host != "" {
			l.addHost(resp, m.CallerJobs(), r.Host)
		}
		resp.LostRuns = l.lostRuns(m.CallerJobs(), r.Worker)
		if r.ListReservations {
			resp.Reservations, resp.ReservationsListed = l.reservations(m.CallerJobs(), r.Worker), true
		}
		for _, id := range l.unlogged[r.Worker] {
			resp.Stops = append(resp.Stops, &apiv1.StopOrder{Task: id.Task.Ref(), Run: id.Number})
		}
		resp.Sequence = l.orderSequence(m.CallerJobs(), r.Worker)
		if r.Term == l.term {
			l.stops.receivedOrders[r.Worker] = r.Sequence
		}
		w := m.CallerJobs().Worker(r.Worker)
		if w == nil {
			return
		}
		resp.Epoch, resp.Cordon = w.Epoch, m.CallerJobs().Cordon(w.Spec.AvailabilityZone)
		resp.Capacity = w.Capacity().Message()
		// An overcommitted worker starts nothing until the surplus is released.
		mayStart := !l.availability(m.CallerJobs(), w, d.opts.Now()).Overcommitted()
		for _, id := range w.SortedRunIDs() {
			l.addOrder(resp, w.Runs[id], mayStart)
		}
	})
	return resp
}

func (l *leaderState) addOrder(resp *apiv1.JobsOrdersResponse, r *jobqueue.Run, mayStart bool) {
	if r.Stopping {
		resp.Stops = append(resp.Stops, &apiv1.StopOrder{Task: r.ID.Task.Ref(), Run: r.ID.Number})
		return
	}
	if _, running := l.observed[r.ID]; !running && mayStart {
		resp.Starts = append(resp.Starts, &apiv1.StartOrder{
			Task: r.ID.Task.Ref(), Run: r.ID.Number, Checkpoint: r.Checkpoint, Payload: r.Job().Spec.Payload,
			Ticket: r.Ticket, Reserved: jobqueue.Reserved(r.Step).Message(),
		})
	}
	if percent, set := l.planner.Pace(r.Worker, r.ID); set {
		resp.Paces = append(resp.Paces, &apiv1.PaceOrder{Task: r.ID.Task.Ref(), Run: r.ID.Number, Percent: percent})
	}
}

// addHost adds the newest incarnation and the current lease on a host, and a session number for its
// agent.
func (l *leaderState) addHost(resp *apiv1.JobsOrdersResponse, m *jobqueue.Machine, host string) {
	resp.HostTold = true
	resp.SessionNumber = l.reports.issueSessionNumber()
	resp.LastLife = l.reports.newestIncarnations[host].Name()
	w := m.WorkerOnHost(host)
	if w == nil {
		return
	}
	if lease := l.leases.get(w.Spec.Id); !lease.expired || len(w.Runs) > 0 {
		resp.LeaseWorker, resp.LeaseNumber = w.Spec.Id, lease.number
	}
}
