// Package dispatch is the control host's side of submitted jobs. On the leader it
// counts the workers' leases, has the planner decide, commits what it decided and
// hands the orders to the agents. On every replica it answers reads from state
// that is confirmed to be the newest.
package dispatch

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/dependency"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
	"github.com/cairnlift/cairnlift/state"
)

// Replica is the control group's replica on this host; *control.Replica
// implements it.
type Replica interface {
	// ProposeLocal commits a command if this replica leads.
	ProposeLocal(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error)
	// Barrier returns once everything committed before the call is applied here;
	// on a leader, success proves that it still led after the call.
	Barrier(ctx context.Context) error
	Leading() (term uint64, ok bool)
	LeaderAddress() string
	ReadState(func(*state.Machine))
}

// Options set up a Dispatcher. Values of zero take the defaults.
type Options struct {
	Replica Replica
	// Members returns the addresses of the control group.
	Members func() []string
	// Advisor says which workers may run the steps of advised queues; without one,
	// these queues wait.
	Advisor Advisor
	// Hosts takes hosts down for their maintenance and moves them between pools; without
	// it, waves wait and nothing moves.
	Hosts Hosts
	// LeaseDuration is how long a worker may run on after its agent's last report.
	// A short lease hands lost work on sooner, a long one survives elections and
	// agents that are down for a while.
	LeaseDuration time.Duration
	// ContactTimeout is how long after its last report a worker gets no new work.
	ContactTimeout time.Duration
	Logger         *zap.Logger
	Metrics        metrics.Registry
	// Now reads the clock; time.Now when unset.
	Now func() time.Time
}

const (
	defaultLeaseDuration = 6 * time.Second
	// defaultContactTimeout is an interval of an agent's reports, half a second, and
	// some: what is ordered to a worker that is cut off waits for as long as the cut.
	defaultContactTimeout = 800 * time.Millisecond
	// clockRateErrorPPM bounds how much faster this host's clock may run than an
	// agent's, parts per million: far above what oscillators have.
	clockRateErrorPPM = 10_000
	// leaseMargin is added for the granularity of timers.
	leaseMargin = 50 * time.Millisecond
	// idleInterval is the time between rounds when nothing calls for one: due
	// occurrences, leases that ran out and workers that come back are seen by it.
	idleInterval = 100 * time.Millisecond
	// minInterval spaces rounds out, so that what comes together is committed
	// together.
	minInterval = 4 * time.Millisecond
	// proposalTimeout bounds the leader's own commands.
	proposalTimeout = 3 * time.Second
	// readTimeout bounds the confirmation of a read.
	readTimeout = time.Second
	// keepInterval is the time between two records of what was learnt of images: some
	// reports' worth of it is lost with a leader.
	keepInterval = 2 * time.Second
	// maxOrdersWait bounds how long an agent's call for orders is held.
	maxOrdersWait = 2 * time.Second
)

// Dispatcher is the control host's side of submitted jobs.
type Dispatcher struct {
	opts    Options
	logger  *zap.Logger
	meters  meters
	wake    chan struct{}
	changed broadcast
	// questions are those that the advisor has not been asked yet.
	questions chan askedQuestion
	advisor   *dependency.Watch
	hosts     *dependency.Watch

	// mu guards what the leader knows beside the log. It is taken before the
	// replica's own lock.
	mu      sync.Mutex
	leading *leadership
}

// leadership is what the leader of a term knows beside the log.
type leadership struct {
	term     uint64
	planner  *schedule.Planner
	leases   *leaseTable
	reports  *reportOrder
	observed map[jobqueue.RunID]schedule.Observation
	// paceRevisions grow with each change of a worker's paces.
	paceRevisions map[string]uint64
	// waits are the steps that found no worker in the last round.
	waits       []schedule.Wait
	waitsLogged map[jobqueue.StepID]waitLogged
	runLog      *runLog
	// saved are the runs' last checkpoints; lostTold is the epoch of each worker in which
	// the loss of its runs was told.
	saved    map[jobqueue.RunID]saved
	lostTold map[string]uint64
	// overTold are the jobs whose end was told.
	overTold map[string]bool
	moves    *movesLed
	// keptAt is when a plan last carried what the planner has learnt, and reported is
	// set once a worker reported since.
	keptAt   time.Time
	reported bool
}

// New returns a dispatcher; Run makes it work.
func New(o Options) *Dispatcher {
	o.LeaseDuration = cmp.Or(o.LeaseDuration, defaultLeaseDuration)
	o.ContactTimeout = cmp.Or(o.ContactTimeout, defaultContactTimeout)
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Members == nil {
		o.Members = func() []string { return nil }
	}
	return &Dispatcher{
		opts:    o,
		logger:  event.Dispatch.Named(o.Logger),
		meters:  newMeters(o.Metrics),
		wake:    make(chan struct{}, 1),
		changed: newBroadcast(),

		questions: make(chan askedQuestion, maxQuestions),
		advisor:   dependency.New("advisor", o.Logger, o.Now),
		hosts:     dependency.New("list of hosts", o.Logger, o.Now),
	}
}

// Applied tells the dispatcher that the state changed. It does not block.
func (d *Dispatcher) Applied() {
	d.changed.notify()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run leads whenever this replica does, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	var beside conc.WaitGroup
	defer beside.Wait()
	beside.Go(func() { d.askAdvisor(ctx) })
	beside.Go(func() { d.tendHosts(ctx) })
	defer d.endRunLog()
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-idle.C:
		}
		if d.lead(ctx) {
			d.round(ctx)
			pause(ctx, minInterval)
		}
	}
}

// endRunLog writes what was gathered when the process ends.
func (d *Dispatcher) endRunLog() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leading != nil {
		d.leading.runLog.write(d.leading.term, d.opts.Now())
	}
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
	if current != nil && current.term == term {
		return true
	}
	return d.takeOver(ctx, term)
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
	now := d.opts.Now()
	planner := schedule.New()
	d.opts.Replica.ReadState(func(m *state.Machine) { planner.Resume(m.CallerJobs().Learnt(), now) })
	d.leading = &leadership{
		term:          term,
		planner:       planner,
		keptAt:        now,
		leases:        newLeaseTable(now, d.opts.LeaseDuration, d.opts.ContactTimeout),
		reports:       newReportOrder(),
		observed:      map[jobqueue.RunID]schedule.Observation{},
		paceRevisions: map[string]uint64{},
		waitsLogged:   map[jobqueue.StepID]waitLogged{},
		runLog:        newRunLog(d.logger),
		saved:         map[jobqueue.RunID]saved{},
		lostTold:      map[string]uint64{},
		overTold:      map[string]bool{},
		moves:         newMovesLed(now),
	}
	event.LeaderReady.Write(d.logger, event.Term(term), event.Index(res.Index))
	return true
}

// ready returns what the leader of the current term knows, nil when this replica
// is not ready to lead. d.mu is held.
func (d *Dispatcher) ready() *leadership {
	term, ok := d.opts.Replica.Leading()
	if !ok || d.leading == nil || d.leading.term != term {
		return nil
	}
	return d.leading
}

// round decides and commits once.
func (d *Dispatcher) round(ctx context.Context) {
	plan, lapsed := d.decide()
	if plan == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	res, err := d.opts.Replica.ProposeLocal(ctx, jobsCommand(&apiv1.JobsCommand{
		Body: &apiv1.JobsCommand_Plan{Plan: plan},
	}))
	if err != nil {
		event.PlanUncommitted.Write(d.logger, event.Term(plan.Term), event.Err(err))
	}
	if len(lapsed) > 0 {
		d.endLapses(plan.Term, lapsed, err == nil && res.Job == apiv1.JobOutcome_JOB_OUTCOME_OK)
	}
}

// decide returns the plan to commit, nil when there is nothing to do.
func (d *Dispatcher) decide() (plan *apiv1.PlanRuns, lapsed []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.ready()
	if l == nil {
		return nil, nil
	}
	now := d.opts.Now()
	began := time.Now()
	d.opts.Replica.ReadState(func(m *state.Machine) {
		jobs := m.CallerJobs()
		plan = &apiv1.PlanRuns{Term: l.term}
		plan.Lapsed = l.leases.expire(jobs.Workers(), now)
		for _, id := range plan.Lapsed {
			plan.Checkpoints = append(plan.Checkpoints, l.checkpoints(jobs.Worker(id))...)
		}
		decision := l.planner.Plan(jobs, l.fleet(now), now, now.UnixMilli())
		plan.Starts, plan.Stops = decision.Starts, decision.Stops
		for _, w := range decision.Paced {
			l.paceRevisions[w]++
			d.meters.paceOrders.Inc(1)
		}
		plan.Learnt = l.learntToKeep(now)
		d.logDecision(jobs, l, plan, now)
		d.noteWaits(l, decision.Waits, now)
		d.putQuestions(l, decision.Questions, now)
		l.forgetRuns(jobs)
		l.runLog.tick(l.term, now)
	})
	d.meters.planning.Since(began)
	if len(plan.Starts)+len(plan.Stops)+len(plan.Lapsed) == 0 && plan.Learnt == nil {
		return nil, nil
	}
	return plan, plan.Lapsed
}

// learntToKeep returns what the planner has learnt, if it is time to keep it for the
// next leader.
func (l *leadership) learntToKeep(now time.Time) *apiv1.Learnt {
	if !l.reported || now.Sub(l.keptAt) < keepInterval {
		return nil
	}
	l.keptAt, l.reported = now, false
	return l.planner.Learnt(now)
}

// endLapses lets the leases of lapsed workers be renewed again. A plan whose fate
// is unknown may still be committed, and would give runs up under leases renewed
// meanwhile: so this replica gets ready to lead anew, which ends after whatever
// becomes of the plan.
func (d *Dispatcher) endLapses(term uint64, workers []string, committed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leading == nil || d.leading.term != term {
		return
	}
	if !committed {
		d.resign()
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
	for _, id := range w.SortedRuns() {
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

// Observed implements schedule.Fleet.
func (v fleetView) Observed(id jobqueue.RunID) (schedule.Observation, bool) {
	o, ok := v.l.observed[id]
	return o, ok
}

func jobsCommand(c *apiv1.JobsCommand) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: c}}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
