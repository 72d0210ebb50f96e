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
	// List returns all hosts by name. An error means that the list is not whole.
	List(ctx context.Context) (map[string]schedule.HostView, error)
	// Maintain takes a host down for its maintenance, and ends all that runs there. A
	// call without an answer may have been carried out, or may be seconds later; it is
	// repeated until it gets one. token is a fencing token.
	Maintain(ctx context.Context, token uint64, host string, wave uint64) (HostAnswer, error)
	// Move ends all that runs on a host and has it join another pool. As with Maintain, a
	// call without an answer may have been carried out, or may be seconds later.
	Move(ctx context.Context, token uint64, host, pool string) (HostAnswer, error)
}

// HostAnswer is what the platform says to an order about a host.
type HostAnswer int

// The answers about a host.
const (
	// HostDone: the order is carried out, or was before.
	HostDone HostAnswer = iota + 1
	// HostFenced: another leader, of a higher term, gave an order about the host.
	HostFenced
	// HostBusy: the host is not up or about to leave; nothing was done.
	HostBusy
	// HostRefused: the platform knows no such host or wave, or the host is none of that
	// pool's kind; nothing was done.
	HostRefused
)

// String returns the answer's name in logs.
func (a HostAnswer) String() string {
	names := [...]string{"none", "done", "fenced", "busy", "refused"}
	if a < 0 || int(a) >= len(names) {
		return "unknown"
	}
	return names[a]
}

const (
	// hostCheckInterval is the time between two looks at the hosts while a wave or a move is
	// open: a fraction of the two seconds that a maintenance takes at least.
	hostCheckInterval = 500 * time.Millisecond
	// hostCallTimeout bounds one call about hosts.
	hostCallTimeout = 2 * time.Second
)

// hostsLoop carries waves and moves out whenever this replica leads, until ctx ends.
func (d *Dispatcher) hostsLoop(ctx context.Context) {
	if d.opts.Hosts == nil {
		return
	}
	for ctx.Err() == nil {
		sleep(ctx, hostCheckInterval)
		if look := d.pendingHostWork(); look.openWaves || look.pendingMoves {
			d.advanceHosts(ctx, look)
		}
	}
}

// hostWork says what there is to do about hosts; nothing when this replica does not
// lead.
type hostWork struct {
	term uint64
	// openWaves: a wave is not over. moves: one is open, or is to begin.
	openWaves, pendingMoves bool
}

func (d *Dispatcher) pendingHostWork() hostWork {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return hostWork{}
	}
	look := hostWork{term: l.term}
	now := d.opts.Now()
	d.opts.Replica.ReadState(func(m *state.Machine) {
		jobs := m.CallerJobs()
		for _, w := range jobs.Waves() {
			look.openWaves = look.openWaves || !w.Finished()
		}
		look.pendingMoves = l.moves.updatePending(jobs, l.fleet(now), l.waits, now)
	})
	return look
}

// advanceHosts takes each host the step on that it can take. A host is noted as
// ordered before the order goes out: whoever leads next repeats the order until it is
// answered, so the bounds hold whatever becomes of a call.
func (d *Dispatcher) advanceHosts(ctx context.Context, look hostWork) {
	hosts, err := d.listHosts(ctx)
	if err != nil {
		event.HostsUnlisted.Write(d.logger, event.Term(look.term), event.Err(err))
		return
	}
	if look.openWaves {
		d.advanceWaves(ctx, look.term, hosts)
	}
	if look.pendingMoves {
		d.advanceMoves(ctx, look.term, hosts)
	}
}

func (d *Dispatcher) listHosts(ctx context.Context) (map[string]schedule.HostView, error) {
	ctx, cancel := context.WithTimeout(ctx, hostCallTimeout)
	defer cancel()
	hosts, err := d.opts.Hosts.List(ctx)
	d.hostsWatch.Note(err)
	d.countCall("dispatch.host_lists", err)
	d.opts.Replica.ReadState(func(m *state.Machine) { resolveIncarnations(hosts, m.CallerJobs()) })
	return hosts, err
}

// resolveIncarnations gives the workers of a list, which names them by their ids, the names of their
// newest lives in the log. What goes wrong without it: a worker that is back from its host's
// maintenance under its id counts as the one before, and the wave never ends; and a worker
// that is to leave gets work, since the log knows it by another name.
func resolveIncarnations(hosts map[string]schedule.HostView, m *jobqueue.Machine) {
	lives := m.NewestIncarnations()
	for name, view := range hosts {
		life, known := lives[view.Worker]
		if !known {
			continue
		}
		if m.HasDeparted(life) && m.Pool(view.Pool).GetStandby() {
			life = ""
		}
		view.Worker = life
		hosts[name] = view
	}
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

// commitMaintenanceStep commits a step and reports whether it is in force.
func (d *Dispatcher) commitMaintenanceStep(ctx context.Context, term uint64, step *apiv1.MaintainHost) bool {
	step.Term = term
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	res, err := d.opts.Replica.ProposeLocal(ctx, jobsCommand(&apiv1.JobsCommand{
		Body: &apiv1.JobsCommand_Maintain{Maintain: step},
	}))
	taken := err == nil && res.Job == apiv1.JobOutcome_JOB_OUTCOME_OK
	event.Maintenance.Write(d.logger, event.Term(term), event.Wave(step.Wave), event.Host(step.Host),
		event.Worker(step.Worker), event.State(step.State), event.Taken(taken), event.Err(err))
	return taken
}

// orderedHost is a host whose order has no answer yet.
type orderedHost struct {
	wave uint64
	// token is that of its orders.
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

// orderMaintenance orders a host's maintenance and notes what the platform answered.
func (d *Dispatcher) orderMaintenance(ctx context.Context, term uint64, h orderedHost) {
	calling, cancel := context.WithTimeout(ctx, hostCallTimeout)
	answer, err := d.opts.Hosts.Maintain(calling, h.token, h.Name, h.wave)
	cancel()
	d.countCall("dispatch.host_orders", err)
	event.MaintenanceOrder.Write(d.logger, event.Term(term), event.Wave(h.wave), event.Host(h.Name),
		event.Answer(answer), event.Err(err))
	if err == nil && answer == HostFenced {
		d.recordFenced(term, h.Name)
	}
	// A refusal tells nothing of an earlier call, which may still be carried out: so
	// the host stays ordered, and counts as down, until an order is answered or the
	// host leaves the fleet.
	if err == nil && answer == HostDone {
		d.commitMaintenanceStep(ctx, term, &apiv1.MaintainHost{
			Wave: h.wave, Host: h.Name, Worker: h.Worker, State: apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN,
		})
	}
}
