package dispatch

import (
	"context"
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/state"
)

// reportExpiry handles an agent's report that a worker's lease expired and that all its runs have
// ended: it commits that the log's runs on this host are lost. The report names the lease that the
// agent was last told of, so that a report that was delayed in the network while the lease was
// renewed does not end runs that continue.
func (d *Dispatcher) reportExpiry(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	term, plan := d.beginExpiry(r)
	switch {
	case term == 0:
		return d.notLeaderResponse(), nil
	case plan == nil:
		d.metrics.reportsOutdated.Inc(1)
		event.ReportOutdated.Write(d.logger, event.Term(term), event.Worker(r.Worker.GetId()))
		return &apiv1.JobsReportResponse{Term: term, Outcome: apiv1.JobOutcome_JOB_OUTCOME_STALE}, nil
	}
	// An agent that cancels its call must not leave the plan in doubt.
	committed := d.commitPlan(context.WithoutCancel(ctx), plan)
	d.finishExpiries(term, plan.Lapsed, committed)
	if !committed {
		return d.notLeaderResponse(), nil
	}
	event.WorkerUnresponsive.Write(d.logger, event.Term(term), event.Worker(r.Worker.GetId()))
	return &apiv1.JobsReportResponse{Term: term, Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}, nil
}

// notLeaderResponse refers the agent to the leader.
func (d *Dispatcher) notLeaderResponse() *apiv1.JobsReportResponse {
	return &apiv1.JobsReportResponse{NotLeader: true, LeaderAddress: d.opts.Replica.LeaderAddress()}
}

// beginExpiry returns the plan that marks the runs lost, nil if the worker has a different lease
// now. A term of 0 means that this replica does not lead.
func (d *Dispatcher) beginExpiry(r *apiv1.JobsReportRequest) (term uint64, plan *apiv1.PlanRuns) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return 0, nil
	}
	if !d.mayEnd(l, r) {
		return l.term, nil
	}
	id := r.Worker.GetId()
	d.opts.Replica.ReadState(func(m *state.Machine) {
		jobs := m.CallerJobs()
		w := jobs.Worker(id)
		if w == nil || l.differentLease(jobs, r) || !l.leases.beginExpiry(w) {
			return
		}
		if r.LeaseTerm != 0 {
			l.reports.endSession(id)
		}
		l.begins.recordEnds(jobs, r, d.opts.Now())
		plan = &apiv1.PlanRuns{Term: l.term, Lapsed: []string{id}, Checkpoints: l.checkpoints(w), NeverSent: neverSent(w, r)}
		d.recordLostRuns(l, w, lostWorkerUnresponsive, nil, d.opts.Now())
	})
	return l.term, plan
}

// neverSent returns the runs whose starts never reached a worker, by the report that it has ended or that
// its lease has expired.
func neverSent(w *jobqueue.Worker, end *apiv1.JobsReportRequest) []*apiv1.RunRef {
	var refs []*apiv1.RunRef
	for _, r := range returnedStarts(w, end) {
		refs = append(refs, &apiv1.RunRef{Task: r.Task, Run: r.Run})
	}
	return refs
}

// returnedStarts returns the starts that a report returns. A worker on which no run has begun returns all
// that the log contains.
func returnedStarts(w *jobqueue.Worker, r *apiv1.JobsReportRequest) []*apiv1.RunRefusal {
	if !r.GetNoRunBegan() {
		return r.GetRefusals()
	}
	var list []*apiv1.RunRefusal
	for _, id := range slices.Concat(w.SortedRunIDs(), w.LostRuns()) {
		list = append(list, &apiv1.RunRefusal{Task: id.Task.Ref(), Run: id.Number})
	}
	return list
}

// differentLease reports whether an expiry report is about another lease than the one that the
// leader tracks. Agents of the previous release name no lease; for them the order of the reports
// decides.
func (l *leaderState) differentLease(m *jobqueue.Machine, r *apiv1.JobsReportRequest) bool {
	if r.LeaseTerm == 0 {
		return l.reports.outdated(m, r)
	}
	return r.LeaseTerm != l.term || r.LeaseNumber != l.leases.get(r.Worker.GetId()).number
}
