// Package dispatch implements the control host's side of submitted jobs. On the leader it tracks
// the workers' leases, runs the planner, commits its decisions and sends the orders to the agents.
// On every replica it answers reads from state that is confirmed to be current.
package dispatch

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/admission"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/dependency"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/state"
)

const (
	defaultLeaseDuration = 6 * time.Second
	// defaultContactTimeout is somewhat longer than the half second between an agent's reports. An
	// order to a worker behind a network partition waits until the partition ends, so a longer
	// timeout would give such a worker new tasks.
	defaultContactTimeout = 800 * time.Millisecond
	// clockRateErrorPPM bounds how much faster this host's clock may run than an agent's, in parts
	// per million. It is far above the error of real oscillators.
	clockRateErrorPPM = 10_000
	// leaseMargin covers the granularity of timers.
	leaseMargin = 50 * time.Millisecond
	// idleRoundInterval is the time between rounds when no change triggers one. These rounds detect
	// due occurrences, expired leases and workers that report again.
	idleRoundInterval = 100 * time.Millisecond
	// minRoundInterval is the minimum time from the end of a round to the next, so that changes
	// that arrive together are committed together.
	minRoundInterval = 4 * time.Millisecond
	// proposalTimeout bounds the commit of the leader's own commands.
	proposalTimeout = 3 * time.Second
	// readTimeout bounds the confirmation of a read.
	readTimeout = time.Second
	// learnedSaveInterval is the time between two commits of what the planner learned about images.
	// When a leader is lost, the reports since its last commit, at most a few per worker, are lost
	// with it.
	learnedSaveInterval = 2 * time.Second
	// maxOrdersWait bounds how long an agent's request for orders is kept open.
	maxOrdersWait = 2 * time.Second
)

// Dispatcher implements the control host's side of submitted jobs.
type Dispatcher struct {
	opts         Options
	logger       *zap.Logger
	metrics      metricSet
	wake         chan struct{}
	stateChanged broadcast
	// longRunningQuestions and otherQuestions are the questions that have not been sent to the
	// advisor yet, about long-running steps and about all others.
	longRunningQuestions, otherQuestions chan pendingQuestion
	advisorWatch                         *dependency.Watch
	hostsWatch                           *dependency.Watch
	// setAsideLoggedAt is when entries of hosts that were set aside were last logged, as Unix nanoseconds.
	setAsideLoggedAt atomic.Int64
	// submissions is nil unless the leader may refuse submitted jobs.
	submissions *submissions
	memory      *memoryGuard
	refuser     *refuser

	// mu guards the leader's state outside the replicated log. It is acquired before the replica's
	// own lock.
	mu     sync.Mutex
	leader *leaderState
}

// New returns a dispatcher, which does nothing until Run is called.
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
	o.JobMemoryLimit = cmp.Or(o.JobMemoryLimit, defaultJobMemoryLimit)
	if o.Members == nil {
		o.Members = func() []string { return nil }
	}
	if o.OnDirectory == nil {
		o.OnDirectory = func(string) {}
	}
	if o.OnAnnounced == nil {
		o.OnAnnounced = func(*apiv1.JobsAnnounceRequest) error { return nil }
	}
	d := &Dispatcher{
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
	d.refuser = newRefuser(o.Replica)
	d.memory = newMemoryGuard(&d.opts, d.refuser, d.logger)
	if o.Admission != "" && o.Admission != admission.Off {
		d.submissions = newSubmissions(&d.opts, d.refuser, newRefusalLog(d.logger))
	}
	return d
}

// Applied notifies the dispatcher that the state changed. It does not block.
func (d *Dispatcher) Applied() {
	d.stateChanged.notify()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run acts as the leader whenever this replica leads, until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) {
	var background conc.WaitGroup
	defer background.Wait()
	background.Go(func() { d.advisorLoop(ctx) })
	background.Go(func() { d.hostsLoop(ctx) })
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

// flushBatchedLog writes the collected entries when the process ends.
func (d *Dispatcher) flushBatchedLog() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader != nil {
		d.leader.batchedLog.flush(d.leader.term, d.opts.Now())
	}
}

// round decides and commits one plan.
func (d *Dispatcher) round(ctx context.Context) {
	plan, expired := d.decide()
	if plan == nil {
		return
	}
	committed := d.commitPlan(ctx, plan)
	if len(expired) > 0 {
		d.finishExpiries(plan.Term, expired, committed)
	}
}

// commitPlan reports whether a plan is known to be committed and accepted.
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

// decide returns the plan to commit, nil if there is nothing to do, and the workers whose leases expire
// with it.
func (d *Dispatcher) decide() (plan *apiv1.PlanRuns, expired []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return nil, nil
	}
	verdictsDue, beginsDue := false, false
	now := d.opts.Now()
	started := time.Now()
	l.attention.recordRound(now)
	d.opts.Replica.ReadState(func(m *state.Machine) {
		jobs := m.CallerJobs()
		verdictsDue = len(jobs.VerdictsDue(now.UnixMilli())) > 0
		plan = &apiv1.PlanRuns{Term: l.term}
		plan.Lapsed = l.leases.expire(jobs.Workers(), now)
		for _, id := range plan.Lapsed {
			plan.Checkpoints = append(plan.Checkpoints, l.checkpoints(jobs.Worker(id))...)
		}
		decision := l.planner.Plan(jobs, l.fleet(jobs, now), now, now.UnixMilli())
		plan.Starts, plan.Stops, plan.TrialsOver = firstStarts(jobs, decision.Starts), decision.Stops, decision.EndedProbations
		for _, w := range decision.RepacedWorkers {
			l.orderRevisions[w]++
			d.metrics.paceOrders.Inc(1)
		}
		plan.Learnt = l.learnedToSave(now)
		var begun []*apiv1.RunCheckpoint
		begun, beginsDue = l.begins.unsaved(jobs, now)
		plan.Checkpoints = append(plan.Checkpoints, begun...)
		d.checkLongRunning(l, jobs, decision, now)
		d.checkStops(l, jobs, now)
		d.logDecision(jobs, l, plan, now)
		d.recordWaits(l, decision.Unplaced, now)
		d.recordAccountWaits(l, jobs, decision.WaitingAccounts, now)
		d.submissions.refresh(l, jobs, plan.Starts, now)
		d.enqueueQuestions(l, decision.AdviceRequests, now)
		d.logJobsAtCrashLimit(l, jobs)
		d.logCordons(l, jobs)
		d.logHolds(l, jobs)
		d.reportRates(l)
		l.prune(jobs, now)
		l.batchedLog.flushIfDue(l.term, now)
	})
	d.metrics.planning.ObserveSince(started)
	if len(plan.Starts)+len(plan.Stops)+len(plan.Lapsed)+len(plan.TrialsOver) == 0 && !verdictsDue && !beginsDue && plan.Learnt == nil {
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
