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
	// lateCallBound is how long after an unanswered call the platform may still execute it. The
	// latest execution seen was within ten seconds of the call.
	lateCallBound = 30 * time.Second
	// tokenTermShift is the position of the term in the fencing token of an order, in bits.
	tokenTermShift = 32
	// maxHostListAge is the age up to which a host list is reused for operators, so that frequent
	// queries do not use up the rate of list calls that the platform accepts.
	maxHostListAge = time.Second
)

// hostToken returns the fencing token of an order about a host. It contains the term, so that each
// new leader's tokens are higher, and the number of the order, so that a call that is executed late
// does not undo a later order of the same leader.
func hostToken(term, order uint64) uint64 {
	return term<<tokenTermShift | order&(1<<tokenTermShift-1)
}

// leaderMoves is what the leader of a term keeps of moves outside the replicated log. The
// dispatcher's lock guards it.
type leaderMoves struct {
	mover *schedule.Mover
	// fencedHosts are the hosts about which another holder gave an order under a higher token.
	fencedHosts map[string]bool
	// unansweredAt is when the last unanswered call about each host was made. The calls of previous
	// leaders count as made when this leader's term began.
	unansweredAt map[string]time.Time
	// ownOrders are the numbers of this leader's own move orders, by host.
	ownOrders map[string]uint64
	startedAt time.Time
	// hostList is the newest host list for operators.
	hostList map[string]schedule.HostView
	listedAt time.Time
}

func newLeaderMoves(now time.Time) *leaderMoves {
	return &leaderMoves{
		mover: schedule.NewMover(now), fencedHosts: map[string]bool{}, unansweredAt: map[string]time.Time{}, ownOrders: map[string]uint64{}, startedAt: now,
	}
}

// updatePending updates the mover and reports whether a move is open or is to begin.
func (l *leaderMoves) updatePending(m *jobqueue.Machine, fleet schedule.Fleet, waits []schedule.UnplacedStep, now time.Time) bool {
	l.mover.Update(m, fleet, waits, now)
	advances := slices.ContainsFunc(m.Moves(), func(v jobqueue.Move) bool { return mayAdvance(m, v) })
	return advances || l.mover.NeedsHostList(m, now)
}

// mayAdvance reports whether a host list may show that a move can advance. A move whose worker
// still has runs waits for them, and the platform need not be queried meanwhile.
func mayAdvance(m *jobqueue.Machine, v jobqueue.Move) bool {
	w := m.Worker(v.Worker)
	return v.InTransit() || !v.Finished() && (w == nil || len(w.Runs) == 0)
}

// callsSettled reports whether all calls of a move were answered or are too old to be executed.
func (l *leaderMoves) callsSettled(v jobqueue.Move, now time.Time) bool {
	calledAt, unanswered := l.unansweredAt[v.Host]
	if l.ownOrders[v.Host] != v.Order {
		calledAt, unanswered = later(calledAt, l.startedAt), true
	}
	return !unanswered || now.Sub(calledAt) >= lateCallBound
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

// recordMoves calls f if this replica is the leader of the term, also while a plan is in doubt and
// nothing is decided: what a call showed must not be lost.
func (d *Dispatcher) recordMoves(term uint64, f func(*leaderMoves)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != nil && d.leader.term == term {
		f(d.leader.moves)
	}
}

// isFenced reports whether orders about a host were refused because another holder has a
// higher token, or this replica no longer leads.
func (d *Dispatcher) isFenced(term uint64, host string) bool {
	fenced := true
	d.withMoves(term, func(l *leaderMoves) { fenced = l.fencedHosts[host] })
	return fenced
}

func (d *Dispatcher) recordFenced(term uint64, host string) {
	d.recordMoves(term, func(l *leaderMoves) { l.fencedHosts[host] = true })
	event.HostFenced.Write(d.logger, event.Term(term), event.Host(host))
}

// advanceMoves commits the next steps of the moves, begins the due ones and sends the orders.
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
			// The platform is slow or limits the rate of calls; the next check continues.
			return
		}
	}
}

// commitMoveStep commits a step of a move.
func (d *Dispatcher) commitMoveStep(ctx context.Context, term uint64, step *apiv1.MoveHost) {
	step.Term = term
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	res, err := d.opts.Replica.ProposeLocal(ctx, jobsCommand(&apiv1.JobsCommand{
		Body: &apiv1.JobsCommand_MoveHost{MoveHost: step},
	}))
	accepted := err == nil && res.Job == apiv1.JobOutcome_JOB_OUTCOME_OK
	if accepted && step.State == apiv1.MoveState_MOVE_STATE_ORDERED {
		d.recordOrdered(term, step.Host)
	}
	event.HostMove.Write(d.logger, event.Term(term), event.Host(step.Host), event.FromPool(step.From), event.Pool(step.Pool),
		event.Worker(step.Worker), event.State(step.State), event.Committed(accepted), event.Err(err))
}

// recordOrdered records that this leader ordered the host's move and has not called the platform
// yet.
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

// orderedMoves returns the moves whose orders are not answered yet.
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

// orderMove orders a move and commits the platform's response. It returns false if there was no
// response. Once another holder has used a higher token, nothing more is ordered.
func (d *Dispatcher) orderMove(ctx context.Context, term uint64, v jobqueue.Move) bool {
	answer, err := HostFenced, error(nil)
	if !d.isFenced(term, v.Host) {
		callCtx, cancel := context.WithTimeout(ctx, hostCallTimeout)
		answer, err = d.opts.Hosts.Move(callCtx, hostToken(term, v.Order), v.Host, v.Pool)
		cancel()
		d.countCall("dispatch.host_orders", err)
		event.HostMoveOrdered.Write(d.logger, event.Term(term), event.Host(v.Host), event.Pool(v.Pool), event.Order(v.Order),
			event.Answer(answer), event.Err(err))
		if err == nil && answer == HostFenced {
			d.recordFenced(term, v.Host)
		}
	}
	settled := false
	d.recordMoves(term, func(l *leaderMoves) {
		if err != nil {
			l.unansweredAt[v.Host] = d.opts.Now()
		}
		settled = l.callsSettled(v, d.opts.Now())
	})
	step := &apiv1.MoveHost{Host: v.Host, Pool: v.Pool, From: v.From, Worker: v.Worker}
	switch {
	case err != nil:
		return false
	case answer == HostDone:
		step.State = apiv1.MoveState_MOVE_STATE_BEGUN
	case settled:
		step.State = apiv1.MoveState_MOVE_STATE_REFUSED
	default:
		// A refusal of any kind says nothing about an earlier call, which may still be executed: the
		// host stays ordered meanwhile.
		return true
	}
	d.commitMoveStep(ctx, term, step)
	return true
}

// readHosts lists the hosts for operators. Only the leader answers.
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
			event.HostListUnavailable.Write(d.logger, event.Term(term), event.Err(err))
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
