package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
	"github.com/cairnlift/cairnlift/state"
)

const (
	// lateCallBound is how long after an unanswered call the platform may still carry it
	// out; late calls were seen to be carried out within ten seconds.
	lateCallBound = 30 * time.Second
	// tokenTermShift is where the term begins in the fencing token of an order, in bits.
	tokenTermShift = 32
	// maxHostListAge is how old a list of hosts may be that operators are shown: asking often
	// must not use up the readings that the platform accepts.
	maxHostListAge = time.Second
)

// hostToken is the fencing token of an order about a host: the term, so that each new
// leader's is higher, and the number of the order, so that a call that is carried out
// late does not undo a later order of the same leader.
func hostToken(term, order uint64) uint64 {
	return term<<tokenTermShift | order&(1<<tokenTermShift-1)
}

// leaderMoves is what the leader of a term knows of moves beside the log. The
// dispatcher's lock guards it.
type leaderMoves struct {
	mover *schedule.Mover
	// fencedHosts are the hosts that another holder gave an order about, under a higher token.
	fencedHosts map[string]bool
	// unansweredAt says when a call about a host was last made that got no answer; the orders
	// of earlier leaders count as made when this one began to lead.
	unansweredAt map[string]time.Time
	// ownOrders are the hosts that this leader ordered away, with the number of the order.
	ownOrders map[string]uint64
	startedAt time.Time
	// hostList is the newest list of hosts, for operators.
	hostList map[string]schedule.HostView
	listedAt time.Time
}

func newLeaderMoves(now time.Time) *leaderMoves {
	return &leaderMoves{
		mover: schedule.NewMover(now), fencedHosts: map[string]bool{}, unansweredAt: map[string]time.Time{}, ownOrders: map[string]uint64{}, startedAt: now,
	}
}

// updatePending reports whether a move is open or is to begin.
func (l *leaderMoves) updatePending(m *jobqueue.Machine, fleet schedule.Fleet, waits []schedule.UnplacedStep, now time.Time) bool {
	l.mover.Update(m, fleet, waits, now)
	goesOn := slices.ContainsFunc(m.Moves(), func(v jobqueue.Move) bool { return mayAdvance(m, v) })
	return goesOn || l.mover.NeedsHostList(m, now)
}

// mayAdvance reports whether a list of hosts may tell that a move goes on: one whose worker
// still has runs waits for them, and the platform need not be asked meanwhile.
func mayAdvance(m *jobqueue.Machine, v jobqueue.Move) bool {
	w := m.Worker(v.Worker)
	return v.InTransit() || !v.Finished() && (w == nil || len(w.Runs) == 0)
}

// callsSettled reports whether all calls of a move have been answered, or are too old to be
// carried out.
func (l *leaderMoves) callsSettled(v jobqueue.Move, now time.Time) bool {
	doubt, in := l.unansweredAt[v.Host]
	if l.ownOrders[v.Host] != v.Order {
		doubt, in = later(doubt, l.startedAt), true
	}
	return !in || now.Sub(doubt) >= lateCallBound
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// withMoves calls f if this replica still leads in the term.
func (d *Dispatcher) withMoves(term uint64, f func(*leaderMoves)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.readyLeader(); l != nil && l.term == term {
		f(l.moves)
	}
}

// isFenced reports whether orders about a host were refused since another holder has a
// higher token, or this replica leads no more.
func (d *Dispatcher) isFenced(term uint64, host string) bool {
	fenced := true
	d.withMoves(term, func(l *leaderMoves) { fenced = l.fencedHosts[host] })
	return fenced
}

func (d *Dispatcher) recordFenced(term uint64, host string) {
	d.withMoves(term, func(l *leaderMoves) { l.fencedHosts[host] = true })
	event.HostFenced.Write(d.logger, event.Term(term), event.Host(host))
}

// advanceMoves takes the moves on, begins those that are due and gives the orders.
func (d *Dispatcher) advanceMoves(ctx context.Context, term uint64, hosts map[string]schedule.HostView) {
	var steps []*apiv1.MoveHost
	settled := false
	d.withMoves(term, func(l *leaderMoves) {
		now := d.opts.Now()
		settled = l.mover.Ready(now)
		d.opts.Replica.ReadState(func(m *state.Machine) { steps = l.mover.NextSteps(m.CallerJobs(), hosts, now) })
	})
	for _, step := range steps {
		d.commitMoveStep(ctx, term, step)
	}
	if !settled {
		return
	}
	for _, v := range d.orderedMoves() {
		if !d.orderMove(ctx, term, v) {
			// The platform is slow, or was asked too often: the next look goes on.
			return
		}
	}
}

// commitMoveStep commits a step.
func (d *Dispatcher) commitMoveStep(ctx context.Context, term uint64, step *apiv1.MoveHost) {
	step.Term = term
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	res, err := d.opts.Replica.ProposeLocal(ctx, jobsCommand(&apiv1.JobsCommand{
		Body: &apiv1.JobsCommand_MoveHost{MoveHost: step},
	}))
	taken := err == nil && res.Job == apiv1.JobOutcome_JOB_OUTCOME_OK
	if taken && step.State == apiv1.MoveState_MOVE_STATE_ORDERED {
		d.recordOrdered(term, step.Host)
	}
	event.Move.Write(d.logger, event.Term(term), event.Host(step.Host), event.FromPool(step.From), event.Pool(step.Pool),
		event.Worker(step.Worker), event.State(step.State), event.Taken(taken), event.Err(err))
}

// recordOrdered notes that no order of the host's move has gone out yet.
func (d *Dispatcher) recordOrdered(term uint64, host string) {
	d.withMoves(term, func(l *leaderMoves) {
		d.opts.Replica.ReadState(func(m *state.Machine) {
			if v, ok := m.CallerJobs().MoveOf(host); ok {
				l.ownOrders[host] = v.Order
				delete(l.unansweredAt, host)
			}
		})
	})
}

// orderedMoves returns the moves whose orders have no answer yet.
func (d *Dispatcher) orderedMoves() []jobqueue.Move {
	var ordered []jobqueue.Move
	d.opts.Replica.ReadState(func(m *state.Machine) {
		for _, v := range m.CallerJobs().Moves() {
			if v.State == apiv1.MoveState_MOVE_STATE_ORDERED {
				ordered = append(ordered, jobqueue.Move{HostMove: proto.CloneOf(v.HostMove)})
			}
		}
	})
	return ordered
}

// orderMove orders a move and notes what the platform answered; false when it gave no
// answer. Once another holder used a higher token, nothing more is ordered.
func (d *Dispatcher) orderMove(ctx context.Context, term uint64, v jobqueue.Move) bool {
	answer, err := HostFenced, error(nil)
	if !d.isFenced(term, v.Host) {
		calling, cancel := context.WithTimeout(ctx, hostCallTimeout)
		answer, err = d.opts.Hosts.Move(calling, hostToken(term, v.Order), v.Host, v.Pool)
		cancel()
		d.countCall("dispatch.host_orders", err)
		event.MoveOrder.Write(d.logger, event.Term(term), event.Host(v.Host), event.Pool(v.Pool), event.Order(v.Order),
			event.Answer(answer), event.Err(err))
		if err == nil && answer == HostFenced {
			d.recordFenced(term, v.Host)
		}
	}
	certain := false
	d.withMoves(term, func(l *leaderMoves) {
		if err != nil {
			l.unansweredAt[v.Host] = d.opts.Now()
		}
		certain = l.callsSettled(v, d.opts.Now())
	})
	step := &apiv1.MoveHost{Host: v.Host, Pool: v.Pool, From: v.From, Worker: v.Worker}
	switch {
	case err != nil:
		return false
	case answer == HostDone:
		step.State = apiv1.MoveState_MOVE_STATE_BEGUN
	case answer == HostRefused, certain:
		step.State = apiv1.MoveState_MOVE_STATE_REFUSED
	default:
		// Busy or fenced tells nothing of an earlier call, which may still be carried out:
		// the host stays ordered meanwhile.
		return true
	}
	d.commitMoveStep(ctx, term, step)
	return true
}

// readHosts lists the hosts for operators; the leader alone answers.
func (d *Dispatcher) readHosts(ctx context.Context) *apiv1.JobsReadResponse {
	if d.opts.Hosts == nil {
		return &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_NO_HOSTS}
	}
	term, leads := d.opts.Replica.Leading()
	if !leads {
		return &apiv1.JobsReadResponse{Unconfirmed: true}
	}
	var hosts map[string]schedule.HostView
	d.withMoves(term, func(l *leaderMoves) {
		if d.opts.Now().Sub(l.listedAt) < maxHostListAge {
			hosts = l.hostList
		}
	})
	if hosts == nil {
		var err error
		if hosts, err = d.listHosts(ctx); err != nil {
			event.HostsUnlisted.Write(d.logger, event.Term(term), event.Err(err))
			return &apiv1.JobsReadResponse{Unconfirmed: true}
		}
		d.withMoves(term, func(l *leaderMoves) { l.hostList, l.listedAt = hosts, d.opts.Now() })
	}
	resp := &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}
	d.opts.Replica.ReadState(func(m *state.Machine) { resp.Hosts = hostRecords(m.CallerJobs(), hosts) })
	return resp
}

func hostRecords(m *jobqueue.Machine, hosts map[string]schedule.HostView) []*apiv1.HostRecord {
	var records []*apiv1.HostRecord
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		view := hosts[name]
		r := &apiv1.HostRecord{Host: name, Pool: view.Pool, Worker: view.Worker, Up: view.Up}
		if v, ok := m.MoveOf(name); ok {
			r.Move = proto.CloneOf(v.HostMove)
		}
		records = append(records, r)
	}
	return records
}
