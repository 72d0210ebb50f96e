package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
	"github.com/cairnlift/cairnlift/state"
)

// Report implements apiv1.Jobs. It records what an agent reports about its worker and renews the
// worker's lease.
func (d *Dispatcher) Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	if r.Lapsed {
		return d.reportExpiry(ctx, r)
	}
	applied := d.applyReport(r)
	switch {
	case applied.term == 0:
		return d.notLeaderResponse(), nil
	case applied.outdated:
		return &apiv1.JobsReportResponse{
			Term: applied.term, Outcome: apiv1.JobOutcome_JOB_OUTCOME_STALE, SessionSuperseded: applied.sessionSuperseded,
		}, nil
	}
	if r.Departed || applied.returnsStarts() {
		// An agent that cancels its call must not leave the end of runs in doubt.
		ctx = context.WithoutCancel(ctx)
	}
	outcome, err := d.commitReport(ctx, applied.term, applied.command)
	if applied.returnsStarts() {
		d.finishReturn(applied.term, r, err == nil)
	}
	if r.Departed {
		d.finishExpiries(applied.term, []string{r.Worker.GetId()}, err == nil)
	}
	term, leads := d.opts.Replica.Leading()
	if err != nil || !leads || term != applied.term {
		event.ReportUnconfirmed.Write(d.logger, event.Worker(r.Worker.GetId()), event.Err(err))
		return d.notLeaderResponse(), nil
	}
	resp := &apiv1.JobsReportResponse{Term: applied.term, Outcome: outcome}
	if outcome == apiv1.JobOutcome_JOB_OUTCOME_OK && !r.Departed {
		resp.LeaseMs = applied.grantedLease.Milliseconds()
	}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		if w := m.CallerJobs().Worker(r.Worker.GetId()); w != nil {
			resp.Acknowledged, resp.Epoch = w.Acknowledged, w.Epoch
			resp.Cordon = m.CallerJobs().Cordon(w.Spec.AvailabilityZone)
		}
	})
	d.logReportOutcome(applied)
	return resp, nil
}

// appliedReport is the result of applying a report to the leader's state.
type appliedReport struct {
	term uint64
	// command commits the report, nil if it contains nothing new.
	command *apiv1.ReportWorker
	// grantedLease is the duration of the lease to grant.
	grantedLease time.Duration
	// openJobs are the jobs that may finish with the report.
	openJobs map[string]openJob
	// outdated means that a newer report was applied earlier, and nothing of this one was.
	// sessionSuperseded means that this holds for all reports of its session.
	outdated, sessionSuperseded bool
}

// returnsStarts reports whether the report returns starts that the log contains.
func (a appliedReport) returnsStarts() bool { return len(a.command.GetRefusals()) > 0 }

// applyReport applies a report to the leader's state. A term of 0 means that this replica does not
// lead. The lease is renewed here, before the commit or the barrier that confirms that this replica
// still leads.
func (d *Dispatcher) applyReport(r *apiv1.JobsReportRequest) appliedReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return appliedReport{}
	}
	if r.Departed && !d.mayEnd(l, r) {
		return appliedReport{term: l.term, outdated: true}
	}
	if d.outdated(l, r) {
		// All agents report to a new leader under numbers of the previous one at first.
		if r.Departed || !l.reports.numberedByPreviousLeader(r) {
			d.metrics.reportsOutdated.Inc(1)
			event.ReportOutdated.Write(d.logger, event.Term(l.term), event.Worker(r.Worker.GetId()))
		}
		return appliedReport{term: l.term, outdated: true, sessionSuperseded: l.reports.superseded(r)}
	}
	if r.Departed && !d.beginDeparture(l, r.Worker.GetId()) {
		return appliedReport{} // The agent repeats the report.
	}
	applied := appliedReport{term: l.term}
	now := d.opts.Now()
	if !r.Departed {
		applied.grantedLease, _ = l.leases.renew(r.Worker.GetId(), r.Session, now, time.Duration(r.LeaseBoundMs)*time.Millisecond)
	}
	l.contacts.recordReport(r, now)
	if !r.Departed {
		l.recordCapacityAge(r, now)
	}
	for _, o := range r.Running {
		l.recordObservation(o, r.ClockMs, now)
	}
	l.logBegins(r.Worker.GetId(), r.Running, now)
	d.opts.Replica.ReadState(func(m *state.Machine) {
		jobs := m.CallerJobs()
		d.recordEnds(l, jobs, r, now)
		if end := replacedEnd(jobs, r); end != nil && !r.Departed {
			d.recordEnds(l, jobs, end, now)
		}
		d.recordReportedLosses(l, jobs, r, now)
		l.lostStarts.record(jobs.Worker(r.Worker.GetId()), now)
		d.recordUnlogged(l, jobs, r, now)
		l.begins.record(jobs, r.Running, now)
		l.begins.recordEnds(jobs, r, now)
		d.logOvercommitted(l, jobs, r, now)
		d.countObjectiveMisses(jobs, r.Running)
		l.logObjectiveMisses(jobs.Worker(r.Worker.GetId()), r.Running, now)
		applied.command = l.reportCommand(jobs, r, now)
		if applied.returnsStarts() {
			l.leases.beginReturn(r.Worker.GetId(), r.Session)
		}
		applied.openJobs = l.openJobs(jobs, applied.command)
		if l.adjustPaces(jobs, jobs.Worker(r.Worker.GetId()), now) {
			d.metrics.paceOrders.Inc(1)
		}
	})
	return applied
}

// mayEnd reports whether an agent may report the end of a worker, and logs the report otherwise. Nothing of
// such a report is recorded: it would supersede the session of the worker's own agent.
func (d *Dispatcher) mayEnd(l *leaderState, r *apiv1.JobsReportRequest) (may bool) {
	d.opts.Replica.ReadState(func(m *state.Machine) { may = m.CallerJobs().MayEnd(r.Worker) })
	if !may {
		d.metrics.endsOfOtherHosts.Inc(1)
		event.EndOfOtherHostIgnored.Write(d.logger, event.Term(l.term), event.Worker(r.Worker.GetId()), event.Host(r.Worker.GetHost()))
	}
	return may
}

// outdated reports whether a report is older than one that was already received. A departure counts
// only for the runs that its session knew: a worker that was about to leave may run on, and the agent's
// successor finds it and starts runs on it. The proved end of an incarnation counts whichever leader
// numbered its session, because it never runs again, unless a later session has reported the incarnation.
func (d *Dispatcher) outdated(l *leaderState, r *apiv1.JobsReportRequest) (outdated bool) {
	if r.Departed && r.Ended {
		return l.reports.reportedByLaterSession(r)
	}
	if l.reports.numberedByPreviousLeader(r) {
		return true
	}
	if r.Departed {
		// The end of a previous incarnation is reported too.
		return l.reports.fromPreviousSession(r) || l.reports.precedesRecorded(r)
	}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		jobs := m.CallerJobs()
		outdated = l.contestsLiveWorker(jobs, r, d.opts.Now()) || l.reports.outdated(jobs, r)
	})
	return outdated
}

// beginDeparture keeps the worker's lease from being renewed until its departure is committed: a
// later session could start runs, which the departure would then end in the log. It returns false
// while the end of the lease is already being committed.
func (d *Dispatcher) beginDeparture(l *leaderState, worker string) (begun bool) {
	d.opts.Replica.ReadState(func(m *state.Machine) {
		var epoch uint64
		if w := m.CallerJobs().Worker(worker); w != nil {
			epoch = w.Epoch
		}
		begun = l.leases.beginEnd(worker, epoch)
	})
	return begun
}

// takeoverTimeout is the time since a worker's last report after which an incarnation that does not
// name it as its predecessor may replace it on the host. It covers several report intervals.
const takeoverTimeout = 2 * time.Second

// contestsLiveWorker reports whether an incarnation that the log does not contain would end one
// that reported recently. The agent of a real successor names its predecessors; a report that was
// delayed in the network does not.
func (l *leaderState) contestsLiveWorker(m *jobqueue.Machine, r *apiv1.JobsReportRequest, now time.Time) bool {
	id := r.Worker.GetId()
	current := m.WorkerOnHost(r.Worker.GetHost())
	if current == nil || current.Spec.Id == id || slices.Contains(r.Follows, current.Spec.Id) {
		return false
	}
	lease := l.leases.get(current.Spec.Id)
	return lease.reported && !lease.expired && now.Sub(lease.renewedAt) < takeoverTimeout
}

// recordObservation records the state of a run when the worker's clock showed clockMs.
func (l *leaderState) recordObservation(o *apiv1.RunObservation, clockMs int64, now time.Time) {
	id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
	observation, known := l.observed[id]
	if !known {
		observation.FirstAt, observation.FirstClockMs = now, clockMs
		observation.ProgressAt = now
	}
	if observation.Percent != o.Percent {
		observation.ProgressAt = now
	}
	observation.ClockMs = clockMs
	observation.At, observation.Percent, observation.Figure = now, o.Percent, o.Figure
	if o.Checkpoint != "" {
		observation.Checkpoint = o.Checkpoint
		l.recordCheckpoint(id, o.Checkpoint, now)
	}
	l.observed[id] = observation
}

// recordEnds passes new ends to the planner. A report is sent again until it is committed, so the
// ends already passed are recorded: otherwise one failed run would count several times.
func (d *Dispatcher) recordEnds(l *leaderState, m *jobqueue.Machine, r *apiv1.JobsReportRequest, now time.Time) {
	w := m.Worker(r.Worker.GetId())
	if w == nil {
		return
	}
	l.outages.recordEnds(w, r.Ends, r.Refusals, now)
	d.recordRefusals(l, w, r.Refusals, now)
	passed := max(w.Acknowledged, l.endsRecorded[w.Spec.Id])
	for _, e := range r.Ends {
		run := w.Runs[jobqueue.RunID{Task: jobqueue.TaskIDOf(e.Task), Number: e.Run}]
		if e.Sequence <= passed || run == nil {
			continue
		}
		l.endsRecorded[w.Spec.Id] = max(l.endsRecorded[w.Spec.Id], e.Sequence)
		d.metrics.ends.Inc(1)
		ended := schedule.EndedRun{
			Worker: w.Spec.Id, Run: run.ID, Kind: e.Kind, Step: run.Step, At: now, Resumed: run.Checkpoint != "",
		}
		if o, seen := l.observed[run.ID]; seen {
			ended.Duration = now.Sub(o.FirstAt)
		}
		l.planner.RecordRunEnd(ended)
		d.submissions.recordRunEnd(ended)
		if e.Kind == apiv1.RunEndKind_RUN_END_KIND_DONE {
			l.batchedLog.addEnd(l.term, w.Spec.Id, run.ID, now)
			continue
		}
		event.RunEnded.Write(d.logger, event.Task(run.ID.Task), event.Run(e.Run), event.Worker(w.Spec.Id),
			event.Outcome(endKindName(e.Kind)))
	}
}

// recordRefusals passes refused starts to the planner, each once.
func (d *Dispatcher) recordRefusals(l *leaderState, w *jobqueue.Worker, refusals []*apiv1.RunRefusal, now time.Time) {
	for _, refusal := range refusals {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(refusal.Task), Number: refusal.Run}
		if w.Runs[id] == nil || l.refusalsRecorded[id] {
			continue
		}
		l.refusalsRecorded[id] = true
		d.metrics.refused.Inc(1)
		d.countByKind("dispatch.starts_refused", refusal.Reason)
		l.planner.RecordRefusal(schedule.RefusedStart{
			Step: id.Task.StepID(), Worker: w.Spec.Id, At: now, WorkerUnavailable: workerUnable(refusal.Reason),
		})
		event.StartRefused.Write(d.logger, event.Worker(w.Spec.Id), event.Reason(refusal.Reason), event.Task(id.Task),
			event.Run(id.Number))
	}
}

// workerUnable reports whether a refusal means that the worker can't start any task for now.
func workerUnable(reason string) bool {
	switch reason {
	case jobqueue.RefusedNoCapacity, jobqueue.RefusedUnwilling, jobqueue.RefusedCordoned, jobqueue.ShortageOutdated.Refusal(), jobqueue.ShortageUnknownRun.Refusal():
		return true
	}
	return false
}

// endKindName returns the name of a kind of end in logs.
func endKindName(k apiv1.RunEndKind) string {
	return strings.ToLower(strings.TrimPrefix(k.String(), "RUN_END_KIND_"))
}

// reportCommand returns the part of a report that the log does not contain yet.
func (l *leaderState) reportCommand(m *jobqueue.Machine, r *apiv1.JobsReportRequest, now time.Time) *apiv1.ReportWorker {
	w := m.Worker(r.Worker.GetId())
	command := &apiv1.ReportWorker{Worker: r.Worker, Refusals: r.Refusals, Departed: r.Departed}
	_, command.Crash = l.reportedCrash(m, r, now)
	if w == nil {
		replaced := m.WorkerOnHost(r.Worker.GetHost())
		command.Ends = r.Ends
		command.Checkpoints = l.checkpoints(replaced)
		command.Replaces = proto.String("")
		if replaced != nil {
			command.Replaces = proto.String(replaced.Spec.Id)
			end := replacedEnd(m, r)
			command.NeverSent, command.ReplacedEnds = neverSent(replaced, end), end.GetEnds()
		}
		return command
	}
	for _, e := range r.Ends {
		if e.Sequence > w.Acknowledged {
			command.Ends = append(command.Ends, e)
		}
	}
	command.Refusals = slices.DeleteFunc(slices.Clone(returnedStarts(w, r)), func(refusal *apiv1.RunRefusal) bool {
		return !w.HasOrLost(jobqueue.RunID{Task: jobqueue.TaskIDOf(refusal.Task), Number: refusal.Run})
	})
	if r.Departed {
		command.Checkpoints = l.checkpoints(w)
	}
	same := proto.Equal(w.Spec, r.Worker) && len(w.LostRuns()) == 0
	if same && !r.Departed && len(command.Ends)+len(command.Refusals) == 0 {
		return nil
	}
	return command
}

// commitReport commits the command, which was accepted in the given term, or without one confirms that
// this replica still leads.
func (d *Dispatcher) commitReport(ctx context.Context, term uint64, command *apiv1.ReportWorker) (apiv1.JobOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	if command == nil {
		return apiv1.JobOutcome_JOB_OUTCOME_OK, d.opts.Replica.Barrier(ctx)
	}
	proposal := jobsCommand(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: command}})
	proposal.ClockTerm = term
	res, err := d.opts.Replica.ProposeLocal(ctx, proposal)
	if err != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_UNSPECIFIED, err
	}
	return res.Job, nil
}
