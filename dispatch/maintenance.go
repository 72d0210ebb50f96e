package dispatch

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
	"github.com/cairnlift/cairnlift/state"
)

// Hosts is the platform's interface to the fleet's hosts.
type Hosts interface {
	// List returns all hosts by name. An error means that the list is incomplete.
	List(ctx context.Context) (map[string]schedule.HostView, error)
	// Maintain takes a host down for its maintenance, which ends everything that runs there. A call
	// without a response may have been executed, or may be executed seconds later; it is repeated
	// until a response arrives. token is a fencing token.
	Maintain(ctx context.Context, token uint64, host string, wave uint64) (HostAnswer, error)
	// Move ends everything that runs on a host and adds the host to another pool. As with Maintain,
	// a call without a response may have been executed, or may be executed seconds later.
	Move(ctx context.Context, token uint64, host, pool string) (HostAnswer, error)
}

// HostAnswer is the platform's response to an order about a host.
type HostAnswer int

// The responses to an order about a host.
const (
	// HostDone means that the order is executed, now or by an earlier call.
	HostDone HostAnswer = iota + 1
	// HostFenced means that another leader, of a higher term, gave an order about the host.
	HostFenced
	// HostBusy means that the host is not up or is about to leave; nothing was done.
	HostBusy
	// HostRefused means that the platform does not know the host or the wave, or that the host is
	// not of that pool's kind; nothing was done.
	HostRefused
)

// String returns the response's name in logs.
func (a HostAnswer) String() string {
	names := [...]string{"none", "done", "fenced", "busy", "refused"}
	if a < 0 || int(a) >= len(names) {
		return "unknown"
	}
	return names[a]
}

const (
	// hostCheckInterval is the time between two checks of the hosts while a wave or a move is open.
	// It is a fraction of the shortest maintenance, two seconds.
	hostCheckInterval = 500 * time.Millisecond
	// hostCallTimeout bounds one call about hosts.
	hostCallTimeout = 2 * time.Second
)

// hostsLoop executes waves and moves whenever this replica leads, until ctx ends.
func (d *Dispatcher) hostsLoop(ctx context.Context) {
	if d.opts.Hosts == nil {
		return
	}
	for ctx.Err() == nil {
		sleep(ctx, hostCheckInterval)
		if work := d.pendingHostWork(); work.openWaves || work.pendingMoves {
			d.advanceHosts(ctx, work)
		}
	}
}

// hostWork describes the pending work on hosts. It is empty if this replica does not lead.
type hostWork struct {
	term uint64
	// openWaves means that a wave is not finished, pendingMoves that a move is open or is to begin.
	openWaves, pendingMoves bool
}

func (d *Dispatcher) pendingHostWork() hostWork {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return hostWork{}
	}
	work := hostWork{term: l.term}
	now := d.opts.Now()
	d.opts.Replica.ReadState(func(m *state.Machine) {
		jobs := m.CallerJobs()
		for _, w := range jobs.Waves() {
			work.openWaves = work.openWaves || !w.Finished()
		}
		work.pendingMoves = l.moves.updatePending(jobs, l.fleet(jobs, now), l.waits, now)
	})
	return work
}

// advanceHosts advances each host's maintenance or move by one step if possible. The order is
// committed before it is sent, and each later leader repeats it until it is answered: so the limits
// on hosts that are down hold whatever the outcome of a call.
func (d *Dispatcher) advanceHosts(ctx context.Context, work hostWork) {
	hosts, err := d.listHosts(ctx)
	if err != nil {
		event.HostListUnavailable.Write(d.logger, event.Term(work.term), event.Err(err))
		return
	}
	if work.openWaves {
		d.advanceWaves(ctx, work.term, hosts)
	}
	if work.pendingMoves {
		d.advanceMoves(ctx, work.term, hosts)
	}
}

func (d *Dispatcher) listHosts(ctx context.Context) (map[string]schedule.HostView, error) {
	ctx, cancel := context.WithTimeout(ctx, hostCallTimeout)
	defer cancel()
	hosts, err := d.opts.Hosts.List(ctx)
	d.hostsWatch.Record(err)
	d.countCall("dispatch.host_lists", err)
	var entries, conflicts int
	d.opts.Replica.ReadState(func(m *state.Machine) {
		resolveIncarnations(hosts, m.CallerJobs())
		entries, conflicts = schedule.SettleEntries(m.CallerJobs(), hosts)
	})
	d.recordEntriesSetAside(entries, conflicts)
	return hosts, err
}

// setAsideLogInterval is the least time between two lines about entries that were set aside: a list is read
// every half second, and a foreign entry may stay in it.
const setAsideLogInterval = 5 * time.Second

// recordEntriesSetAside counts and logs the entries of hosts that are listed more than once.
func (d *Dispatcher) recordEntriesSetAside(entries, conflicts int) {
	if entries == 0 {
		return
	}
	d.metrics.hostEntriesSetAside.Inc(int64(entries))
	now := d.opts.Now().UnixNano()
	last := d.setAsideLoggedAt.Load()
	if now-last >= int64(setAsideLogInterval) && d.setAsideLoggedAt.CompareAndSwap(last, now) {
		event.HostEntriesSetAside.Write(d.logger, event.EntryCount(entries), event.ConflictCount(conflicts),
			event.TotalCount(d.metrics.hostEntriesSetAside.Count()))
	}
}

// resolveIncarnations replaces the worker ids of a host list by the names of the workers' newest
// incarnations in the log. Without it, a worker that has returned from its host's maintenance under
// the same id would count as the previous incarnation, and the wave would never finish; and a
// worker that is about to leave would get work, since the log knows it by another name.
func resolveIncarnations(hosts map[string]schedule.HostView, m *jobqueue.Machine) {
	newest := m.NewestIncarnations()
	for name, view := range hosts {
		resolveIncarnation(&view, newest, m)
		for i := range view.Others {
			resolveIncarnation(&view.Others[i], newest, m)
		}
		hosts[name] = view
	}
}

func resolveIncarnation(view *schedule.HostView, newest map[string]string, m *jobqueue.Machine) {
	incarnation, known := newest[view.Worker]
	if !known {
		return
	}
	if m.HasDeparted(incarnation) && m.Pool(view.Pool).GetStandby() {
		incarnation = ""
	}
	view.Worker = incarnation
}

func (d *Dispatcher) advanceWaves(ctx context.Context, term uint64, hosts map[string]schedule.HostView) {
	var steps []*apiv1.MaintainHost
	d.opts.Replica.ReadState(func(m *state.Machine) { steps = schedule.NextMaintenance(m.CallerJobs(), hosts) })
	for _, step := range steps {
		d.commitMaintenanceStep(ctx, term, step)
	}
	for _, h := range d.orderedHosts(term) {
		if !d.isFenced(term, h.Name) {
			d.orderMaintenance(ctx, term, h)
		}
	}
}

// commitMaintenanceStep commits a step and reports whether it was accepted.
func (d *Dispatcher) commitMaintenanceStep(ctx context.Context, term uint64, step *apiv1.MaintainHost) bool {
	step.Term = term
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	res, err := d.opts.Replica.ProposeLocal(ctx, jobsCommand(&apiv1.JobsCommand{
		Body: &apiv1.JobsCommand_Maintain{Maintain: step},
	}))
	accepted := err == nil && res.Job == apiv1.JobOutcome_JOB_OUTCOME_OK
	event.Maintenance.Write(d.logger, event.Term(term), event.Wave(step.Wave), event.Host(step.Host),
		event.Worker(step.Worker), event.State(step.State), event.Committed(accepted), event.Err(err))
	return accepted
}

// orderedHost is a host whose maintenance order is not answered yet.
type orderedHost struct {
	wave uint64
	// token is the fencing token of its orders.
	token uint64
	jobqueue.WaveHost
}

func (d *Dispatcher) orderedHosts(term uint64) []orderedHost {
	var ordered []orderedHost
	d.opts.Replica.ReadState(func(m *state.Machine) {
		orders := m.CallerJobs().HostOrders()
		for _, w := range m.CallerJobs().Waves() {
			for _, h := range w.Hosts {
				if h.State == apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED {
					ordered = append(ordered, orderedHost{wave: w.Spec.Number, token: hostToken(term, orders), WaveHost: *h})
				}
			}
		}
	})
	return ordered
}

// orderMaintenance orders a host's maintenance and commits the platform's response.
func (d *Dispatcher) orderMaintenance(ctx context.Context, term uint64, h orderedHost) {
	callCtx, cancel := context.WithTimeout(ctx, hostCallTimeout)
	answer, err := d.opts.Hosts.Maintain(callCtx, h.token, h.Name, h.wave)
	cancel()
	d.countCall("dispatch.host_orders", err)
	event.MaintenanceOrdered.Write(d.logger, event.Term(term), event.Wave(h.wave), event.Host(h.Name),
		event.Answer(answer), event.Err(err))
	if err == nil && answer == HostFenced {
		d.recordFenced(term, h.Name)
	}
	// A refusal says nothing about an earlier call, which may still be executed. So the host stays
	// ordered, and counts as down, until an order is answered or the host leaves the fleet.
	if err == nil && answer == HostDone {
		d.commitMaintenanceStep(ctx, term, &apiv1.MaintainHost{
			Wave: h.wave, Host: h.Name, Worker: h.Worker, State: apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN,
		})
	}
}
