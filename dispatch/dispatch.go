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
	"github.com/cairnlift/cairnlift/logging/dependency"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/state"
)

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
	// idleRoundInterval is the time between rounds when nothing calls for one: due
	// occurrences, leases that ran out and workers that come back are seen by it.
	idleRoundInterval = 100 * time.Millisecond
	// minRoundInterval spaces rounds out, so that what comes together is committed
	// together.
	minRoundInterval = 4 * time.Millisecond
	// proposalTimeout bounds the leader's own commands.
	proposalTimeout = 3 * time.Second
	// readTimeout bounds the confirmation of a read.
	readTimeout = time.Second
	// learnedSaveInterval is the time between two records of what was learnt of images: some
	// reports' worth of it is lost with a leader.
	learnedSaveInterval = 2 * time.Second
	// maxOrdersWait bounds how long an agent's call for orders is held.
	maxOrdersWait = 2 * time.Second
)

// Dispatcher is the control host's side of submitted jobs.
type Dispatcher struct {
	opts         Options
	logger       *zap.Logger
	metrics      metricSet
	wake         chan struct{}
	stateChanged broadcast
	// longRunningQuestions and questions are those that the advisor has not been asked yet: about
	// long-running steps, and about others.
	longRunningQuestions, otherQuestions chan pendingQuestion
	advisorWatch                         *dependency.Watch
	hostsWatch                           *dependency.Watch

	// mu guards what the leader knows beside the log. It is taken before the
	// replica's own lock.
	mu     sync.Mutex
	leader *leaderState
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
		opts:         o,
		logger:       event.Dispatch.Named(o.Logger),
		metrics:      newMetricSet(o.Metrics),
		wake:         make(chan struct{}, 1),
		stateChanged: newBroadcast(),

		longRunningQuestions: make(chan pendingQuestion, maxPendingQuestions),
		otherQuestions:       make(chan pendingQuestion, maxPendingQuestions),
		advisorWatch:         dependency.New("advisor", o.Logger, o.Now),
		hostsWatch:           dependency.New("list of hosts", o.Logger, o.Now),
	}
}

// Applied tells the dispatcher that the state changed. It does not block.
func (d *Dispatcher) Applied() {
	d.stateChanged.notify()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run leads whenever this replica does, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	var beside conc.WaitGroup
	defer beside.Wait()
	beside.Go(func() { d.advisorLoop(ctx) })
	beside.Go(func() { d.hostsLoop(ctx) })
	defer d.flushBatchedLog()
	idle := time.NewTicker(idleRoundInterval)
	defer idle.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		case <-idle.C:
		}
		if d.ensureLeading(ctx) {
			d.round(ctx)
			sleep(ctx, minRoundInterval)
		}
	}
}

// flushBatchedLog writes what was gathered when the process ends.
func (d *Dispatcher) flushBatchedLog() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != nil {
		d.leader.batchedLog.flush(d.leader.term, d.opts.Now())
	}
}

// round decides and commits once.
func (d *Dispatcher) round(ctx context.Context) {
	plan, lapsed := d.decide()
	if plan == nil {
		return
	}
	committed := d.commitPlan(ctx, plan)
	if len(lapsed) > 0 {
		d.finishExpiries(plan.Term, lapsed, committed)
	}
}

// commitPlan reports whether a plan is surely committed and in force.
func (d *Dispatcher) commitPlan(ctx context.Context, plan *apiv1.PlanRuns) bool {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	res, err := d.opts.Replica.ProposeLocal(ctx, jobsCommand(&apiv1.JobsCommand{
		Body: &apiv1.JobsCommand_Plan{Plan: plan},
	}))
	if err != nil {
		event.PlanUncommitted.Write(d.logger, event.Term(plan.Term), event.Err(err))
	}
	return err == nil && res.Job == apiv1.JobOutcome_JOB_OUTCOME_OK
}

// decide returns the plan to commit, nil when there is nothing to do.
func (d *Dispatcher) decide() (plan *apiv1.PlanRuns, lapsed []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
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
		plan.Starts, plan.Stops, plan.TrialsOver = decision.Starts, decision.Stops, decision.EndedProbations
		for _, w := range decision.RepacedWorkers {
			l.orderRevisions[w]++
			d.metrics.paceOrders.Inc(1)
		}
		plan.Learnt = l.learnedToSave(now)
		d.checkLongRunning(l, jobs, decision.Unplaced, now)
		d.logDecision(jobs, l, plan, now)
		d.recordWaits(l, decision.Unplaced, now)
		d.enqueueQuestions(l, decision.AdviceRequests, now)
		l.prune(jobs)
		l.batchedLog.flushIfDue(l.term, now)
	})
	d.metrics.planning.Since(began)
	if len(plan.Starts)+len(plan.Stops)+len(plan.Lapsed)+len(plan.TrialsOver) == 0 && plan.Learnt == nil {
		return nil, nil
	}
	return plan, plan.Lapsed
}

func jobsCommand(c *apiv1.JobsCommand) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: c}}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
