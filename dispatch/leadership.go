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

// leaderState is what the leader of a term keeps outside the replicated log.
type leaderState struct {
	term uint64
	// planInDoubt means that a plan or a report that ends runs may still be committed. No plan is made
	// until its outcome is known.
	planInDoubt bool
	planner     *schedule.Planner
	leases      *leaseTable
	reports     *reportOrder
	observed    map[jobqueue.RunID]schedule.Observation
	contacts    *contactTracker
	// endsRecorded is the highest sequence number of each worker's ends that the planner has
	// received.
	endsRecorded map[string]uint64
	// refusalsRecorded are the refused runs that the planner has received and the log still
	// contains.
	refusalsRecorded map[jobqueue.RunID]bool
	// orderRevisions grow with each change of a worker's orders that is not in the log.
	orderRevisions map[string]uint64
	// waits are the steps for which the last round found no worker.
	waits       []schedule.UnplacedStep
	loggedWaits map[jobqueue.StepID]loggedWait
	batchedLog  *batchedLog
	// savedCheckpoints are the runs' last checkpoints. lossLoggedEpoch is the epoch of each worker
	// in which the loss of its runs was logged.
	savedCheckpoints map[jobqueue.RunID]savedCheckpoint
	lossLoggedEpoch  map[string]uint64
	// unlogged are the runs that each worker listed last and the log does not contain there.
	unlogged       map[string][]jobqueue.RunID
	maxCapacityAge time.Duration
	lostStarts     lostStarts
	// overcommitted are the workers that were last logged to be over their capacity, with the runs that
	// they listed then.
	overcommitted map[string]map[jobqueue.RunID]bool
	// finishLogged are the jobs whose end was logged.
	finishLogged map[string]bool
	// crashLimitLogged are the jobs whose failure by the crash limit was logged, and crashLimitLoggedMs
	// the time of the log up to which jobs were looked through for such failures.
	crashLimitLogged   map[string]bool
	crashLimitLoggedMs int64
	// loggedCordons tells for each availability zone whether it was last logged to be cordoned.
	loggedCordons map[string]bool
	// loggedHolds tells for each queue whether it was last logged to be held.
	loggedHolds map[string]bool
	moves       *leaderMoves
	outages     *outages
	attention   attention
	stops       *openStops
	// awaitedBegins are the runs of long-running steps that this leader decided to start and that no
	// worker has listed, with the times of the decisions.
	awaitedBegins map[jobqueue.RunID]time.Time
	begins        begins
	// learnedSavedAt is when a plan last carried what the planner learned, and reportedSinceSave is
	// set once a worker has reported after that.
	learnedSavedAt    time.Time
	reportedSinceSave bool
	// accountWaitsLoggedAt is the time of the last line about accounts that wait for their share.
	accountWaitsLoggedAt time.Time
	// stragglers are the planner's counts that the metrics include.
	stragglers schedule.StragglerCounts
}

// ensureLeading makes this replica ready to lead if it was elected, and reports whether it leads.
func (d *Dispatcher) ensureLeading(ctx context.Context) bool {
	term, ok := d.opts.Replica.Leading()
	d.mu.Lock()
	current := d.leader
	if current != nil && (!ok || current.term != term) {
		d.clearLeaderState()
	}
	d.mu.Unlock()
	if !ok {
		return false
	}
	if current != nil && current.term == term && !d.hasPlanInDoubt(current) {
		return true
	}
	return d.takeOver(ctx, term)
}

func (d *Dispatcher) hasPlanInDoubt(l *leaderState) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return l.planInDoubt
}

// clearLeaderState discards the state of the leader of a term. The caller must hold d.mu.
func (d *Dispatcher) clearLeaderState() {
	d.leader.batchedLog.flush(d.leader.term, d.opts.Now())
	if d.submissions != nil {
		d.submissions.resign(d.opts.Now())
	}
	d.leader = nil
}

// takeOver commits that this replica leads. Once that entry is applied, all entries of earlier
// terms are applied too, and no decision of an earlier leader is accepted any more. Each worker's
// lease counts as renewed at that moment, since the previous leader may have renewed it until then.
func (d *Dispatcher) takeOver(ctx context.Context, term uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	res, err := d.opts.Replica.ProposeLocal(ctx, &apiv1.Command{
		Body: &apiv1.Command_Lead{Lead: &apiv1.Lead{Term: term}},
	})
	if err != nil || res.Verdict != apiv1.Verdict_VERDICT_ACCEPTED {
		event.LeaderNotReady.Write(d.logger, event.Term(term), event.Err(err))
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != nil && d.leader.term == term {
		d.resolveDoubt()
		return true
	}
	now := d.opts.Now()
	planner := d.newPlanner()
	d.opts.Replica.ReadState(func(m *state.Machine) { planner.RestoreLearned(m.CallerJobs().Learned(), now) })
	d.leader = &leaderState{
		term:               term,
		planner:            planner,
		learnedSavedAt:     now,
		leases:             newLeaseTable(now, d.opts.LeaseDuration, d.opts.ContactTimeout),
		reports:            newReportOrder(term),
		observed:           map[jobqueue.RunID]schedule.Observation{},
		contacts:           newContactTracker(d.opts.ContactTimeout),
		endsRecorded:       map[string]uint64{},
		refusalsRecorded:   map[jobqueue.RunID]bool{},
		orderRevisions:     map[string]uint64{},
		loggedWaits:        map[jobqueue.StepID]loggedWait{},
		batchedLog:         newBatchedLog(d.logger),
		savedCheckpoints:   map[jobqueue.RunID]savedCheckpoint{},
		lossLoggedEpoch:    map[string]uint64{},
		finishLogged:       map[string]bool{},
		crashLimitLogged:   map[string]bool{},
		crashLimitLoggedMs: now.Add(-takeoverLogOverlap).UnixMilli(),
		unlogged:           map[string][]jobqueue.RunID{},
		maxCapacityAge:     d.opts.MaxCapacityAge,
		lostStarts:         lostStarts{},
		overcommitted:      map[string]map[jobqueue.RunID]bool{},
		loggedCordons:      map[string]bool{},
		loggedHolds:        map[string]bool{},
		moves:              newLeaderMoves(now),
		outages:            newOutages(),
		attention:          newAttention(now),
		stops:              newOpenStops(),
		awaitedBegins:      map[jobqueue.RunID]time.Time{},
		begins:             begins{},
	}
	if d.submissions != nil {
		d.submissions.lead(term, now)
	}
	event.LeaderReady.Write(d.logger, event.Term(term), event.Index(res.Index))
	return true
}

// readyLeader returns the leader's state in the current term, nil if this replica is not ready to
// lead. The caller must hold d.mu.
func (d *Dispatcher) readyLeader() *leaderState {
	term, ok := d.opts.Replica.Leading()
	if !ok || d.leader == nil || d.leader.term != term || d.leader.planInDoubt {
		return nil
	}
	return d.leader
}

// resolveDoubt continues to lead once the outcome of a plan in doubt is known. The caller must hold
// d.mu. The leases stay as they are, since no other leader has renewed one in this term: if they
// were renewed, each plan that is not committed would delay the expiry of an unresponsive worker's
// lease by a whole lease.
func (d *Dispatcher) resolveDoubt() {
	d.opts.Replica.ReadState(func(m *state.Machine) { d.leader.leases.settleExpiries(m.CallerJobs().Worker) })
	d.leader.planInDoubt = false
}

// learnedToSave returns what the planner learned if it is time to commit it for the next leader.
func (l *leaderState) learnedToSave(now time.Time) *apiv1.Learnt {
	if !l.reportedSinceSave || now.Sub(l.learnedSavedAt) < learnedSaveInterval {
		return nil
	}
	l.learnedSavedAt, l.reportedSinceSave = now, false
	return l.planner.Learned(now)
}

// finishExpiries lets the leases of workers whose runs are lost be renewed again. A plan or departure
// whose outcome is unknown may still be committed, and would then mark runs lost under leases that
// were renewed meanwhile. In that case this replica confirms its leadership again: that entry commits
// only after the outcome of the plan is settled.
func (d *Dispatcher) finishExpiries(term uint64, workers []string, committed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == nil || d.leader.term != term {
		return
	}
	d.leader.planInDoubt = d.leader.planInDoubt || !committed
	for _, w := range workers {
		if !committed {
			d.leader.leases.recordDoubt(w)
			continue
		}
		d.leader.leases.finishExpiry(w)
	}
}

// finishReturn lets other sessions of a worker get leases once the commit of a report that returns
// starts has ended. If its outcome is unknown, this replica confirms its leadership first.
func (d *Dispatcher) finishReturn(term uint64, r *apiv1.JobsReportRequest, committed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == nil || d.leader.term != term {
		return
	}
	d.leader.planInDoubt = d.leader.planInDoubt || !committed
	d.leader.leases.finishReturn(r.Worker.GetId(), r.Session)
}

func (l *leaderState) fleet(m *jobqueue.Machine, now time.Time) schedule.Fleet {
	return fleetView{l, m, now}
}

// checkpoints returns the newest known checkpoints of a worker's runs.
func (l *leaderState) checkpoints(w *jobqueue.Worker) []*apiv1.RunCheckpoint {
	if w == nil {
		return nil
	}
	var list []*apiv1.RunCheckpoint
	for _, id := range w.SortedRunIDs() {
		if o := l.observed[id]; o.Checkpoint != "" {
			list = append(list, &apiv1.RunCheckpoint{Task: id.Task.Ref(), Run: id.Number, Checkpoint: o.Checkpoint})
		}
	}
	return list
}

// prune drops what is kept of runs, workers and jobs that the log no longer contains.
func (l *leaderState) prune(m *jobqueue.Machine, now time.Time) {
	for id := range l.observed {
		if m.Run(id) == nil {
			delete(l.observed, id)
			delete(l.savedCheckpoints, id)
		}
	}
	for id, decidedAt := range l.awaitedBegins {
		if m.Run(id) == nil && now.Sub(decidedAt) > proposalTimeout {
			delete(l.awaitedBegins, id) // the start was not committed, or the run has ended
		}
	}
	l.contacts.prune(m)
	for id := range l.refusalsRecorded {
		if m.Run(id) == nil {
			delete(l.refusalsRecorded, id)
		}
	}
	l.lostStarts.prune(now)
	for worker := range l.overcommitted {
		if m.Worker(worker) == nil {
			delete(l.overcommitted, worker)
		}
	}
	for worker := range l.endsRecorded {
		if m.Worker(worker) == nil {
			delete(l.endsRecorded, worker)
		}
	}
	for worker := range l.unlogged {
		silent := now.Sub(l.leases.get(worker).renewedAt) >= takeoverTimeout
		if m.Worker(worker) == nil && (silent || !m.HasDeparted(worker)) {
			delete(l.unlogged, worker)
		}
	}
	for _, logged := range []map[string]bool{l.finishLogged, l.crashLimitLogged} {
		for id := range logged {
			if m.Job(id) == nil {
				delete(logged, id)
			}
		}
	}
}

// fleetView implements schedule.Fleet.
type fleetView struct {
	l       *leaderState
	machine *jobqueue.Machine
	now     time.Time
}

// Reachable implements schedule.Fleet.
func (v fleetView) Reachable(worker string) bool { return v.l.leases.reachable(worker, v.now) }

// ReportingSince implements schedule.Fleet.
func (v fleetView) ReportingSince(worker string) (time.Time, bool) {
	return v.l.contacts.since(worker, v.now)
}

// Availability implements schedule.Fleet.
func (v fleetView) Availability(w *jobqueue.Worker) jobqueue.Availability {
	return v.l.availability(v.machine, w, v.now)
}

// Observed implements schedule.Fleet.
func (v fleetView) Observed(id jobqueue.RunID) (schedule.Observation, bool) {
	o, ok := v.l.observed[id]
	return o, ok
}
