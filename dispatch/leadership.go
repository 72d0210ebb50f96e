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

// leadership is what the leader of a term knows beside the log.
type leadership struct {
	term uint64
	// inDoubt: a plan that gives runs up may still be committed. Nothing is decided until its
	// fate is known.
	inDoubt  bool
	planner  *schedule.Planner
	leases   *leaseTable
	reports  *reportOrder
	observed map[jobqueue.RunID]schedule.Observation
	contacts *contacts
	// endsLearnt is the highest sequence number of each worker's ends that the planner knows.
	endsLearnt map[string]uint64
	// refusalsLearnt are the refused runs that the planner knows of and the log still holds.
	refusalsLearnt map[jobqueue.RunID]bool
	// orderRevisions grow with each change of what is ordered to a worker beside the log.
	orderRevisions map[string]uint64
	// waits are the steps that found no worker in the last round.
	waits       []schedule.UnplacedStep
	waitsLogged map[jobqueue.StepID]waitLogged
	runLog      *runLog
	// saved are the runs' last checkpoints; lostTold is the epoch of each worker in which
	// the loss of its runs was told.
	saved    map[jobqueue.RunID]saved
	lostTold map[string]uint64
	// unlogged are the runs that each worker listed last and the log does not hold there.
	unlogged map[string][]jobqueue.RunID
	// overTold are the jobs whose end was told.
	overTold map[string]bool
	moves    *movesLed
	outages  *outages
	// keptAt is when a plan last carried what the planner has learnt, and reported is
	// set once a worker reported since.
	keptAt   time.Time
	reported bool
}

// lead makes this replica ready to lead when it was elected.
func (d *Dispatcher) lead(ctx context.Context) bool {
	term, ok := d.opts.Replica.Leading()
	d.mu.Lock()
	current := d.leading
	if current != nil && (!ok || current.term != term) {
		d.resign()
	}
	d.mu.Unlock()
	if !ok {
		return false
	}
	if current != nil && current.term == term && !d.isInDoubt(current) {
		return true
	}
	return d.takeOver(ctx, term)
}

func (d *Dispatcher) isInDoubt(l *leadership) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return l.inDoubt
}

// resign forgets what the leader of a term knows; d.mu is held.
func (d *Dispatcher) resign() {
	d.leading.runLog.write(d.leading.term, d.opts.Now())
	d.leading = nil
}

// takeOver commits that this replica leads: once that is applied, everything of
// earlier terms is, and nothing that an earlier leader decided is accepted any
// more. Each worker's lease counts as renewed at that moment, since the earlier
// leader may have renewed it until then.
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
	if d.leading != nil && d.leading.term == term {
		d.endDoubt()
		return true
	}
	now := d.opts.Now()
	planner := schedule.New()
	d.opts.Replica.ReadState(func(m *state.Machine) { planner.RestoreLearned(m.CallerJobs().Learned(), now) })
	d.leading = &leadership{
		term:           term,
		planner:        planner,
		keptAt:         now,
		leases:         newLeaseTable(now, d.opts.LeaseDuration, d.opts.ContactTimeout),
		reports:        newReportOrder(),
		observed:       map[jobqueue.RunID]schedule.Observation{},
		contacts:       newContacts(d.opts.ContactTimeout),
		endsLearnt:     map[string]uint64{},
		refusalsLearnt: map[jobqueue.RunID]bool{},
		orderRevisions: map[string]uint64{},
		waitsLogged:    map[jobqueue.StepID]waitLogged{},
		runLog:         newRunLog(d.logger),
		saved:          map[jobqueue.RunID]saved{},
		lostTold:       map[string]uint64{},
		overTold:       map[string]bool{},
		unlogged:       map[string][]jobqueue.RunID{},
		moves:          newMovesLed(now),
		outages:        newOutages(),
	}
	event.LeaderReady.Write(d.logger, event.Term(term), event.Index(res.Index))
	return true
}

// ready returns what the leader of the current term knows, nil when this replica
// is not ready to lead. d.mu is held.
func (d *Dispatcher) ready() *leadership {
	term, ok := d.opts.Replica.Leading()
	if !ok || d.leading == nil || d.leading.term != term || d.leading.inDoubt {
		return nil
	}
	return d.leading
}

// endDoubt goes on leading after whatever became of a plan in doubt; d.mu is held. The leases
// stay as they are: in this term nobody else has renewed one. What goes wrong otherwise: each
// plan that is not committed puts off the end of a silent worker's lease by a whole one.
func (d *Dispatcher) endDoubt() {
	d.opts.Replica.ReadState(func(m *state.Machine) { d.leading.leases.settleLapses(m.CallerJobs().Worker) })
	d.leading.inDoubt = false
}

// learntToKeep returns what the planner has learnt, if it is time to keep it for the
// next leader.
func (l *leadership) learntToKeep(now time.Time) *apiv1.Learnt {
	if !l.reported || now.Sub(l.keptAt) < keepInterval {
		return nil
	}
	l.keptAt, l.reported = now, false
	return l.planner.Learned(now)
}

// endLapses lets the leases of lapsed workers be renewed again. A plan whose fate
// is unknown may still be committed, and would give runs up under leases renewed
// meanwhile: so this replica confirms anew that it leads, which ends after whatever
// becomes of the plan.
func (d *Dispatcher) endLapses(term uint64, workers []string, committed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leading == nil || d.leading.term != term {
		return
	}
	if !committed {
		d.leading.inDoubt = true
		return
	}
	for _, w := range workers {
		d.leading.leases.endLapse(w)
	}
}

func (l *leadership) fleet(now time.Time) schedule.Fleet { return fleetView{l, now} }

// checkpoints returns the newest known checkpoints of a worker's runs.
func (l *leadership) checkpoints(w *jobqueue.Worker) []*apiv1.RunCheckpoint {
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

// forgetRuns drops the observations of runs that are over.
func (l *leadership) forgetRuns(m *jobqueue.Machine) {
	for id := range l.observed {
		if m.Run(id) == nil {
			delete(l.observed, id)
			delete(l.saved, id)
		}
	}
	l.contacts.forget(m)
	for id := range l.refusalsLearnt {
		if m.Run(id) == nil {
			delete(l.refusalsLearnt, id)
		}
	}
	for worker := range l.endsLearnt {
		if m.Worker(worker) == nil {
			delete(l.endsLearnt, worker)
		}
	}
	for worker := range l.unlogged {
		if m.Worker(worker) == nil {
			delete(l.unlogged, worker)
		}
	}
	for id := range l.overTold {
		if m.Job(id) == nil {
			delete(l.overTold, id)
		}
	}
}

// fleetView implements schedule.Fleet.
type fleetView struct {
	l   *leadership
	now time.Time
}

// Reachable implements schedule.Fleet.
func (v fleetView) Reachable(worker string) bool { return v.l.leases.reachable(worker, v.now) }

// ReportingSince implements schedule.Fleet.
func (v fleetView) ReportingSince(worker string) (time.Time, bool) {
	return v.l.contacts.since(worker, v.now)
}

// Observed implements schedule.Fleet.
func (v fleetView) Observed(id jobqueue.RunID) (schedule.Observation, bool) {
	o, ok := v.l.observed[id]
	return o, ok
}
