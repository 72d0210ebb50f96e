package dispatch

import (
	"context"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/state"
)

// reportExpiry gives up what the log holds on a host, as its agent says that all of it has
// ended. The agent names the lease that it was told of: a lapse that the network held up while
// the lease was renewed must not give up runs that go on.
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
	// An agent that gives its call up must not leave the plan in doubt.
	committed := d.commitPlan(context.WithoutCancel(ctx), plan)
	d.finishExpiries(term, plan.Lapsed, committed)
	if !committed {
		return d.notLeaderResponse(), nil
	}
	event.WorkerSilent.Write(d.logger, event.Term(term), event.Worker(r.Worker.GetId()))
	return &apiv1.JobsReportResponse{Term: term, Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}, nil
}

// notLeaderResponse answers in place of the leader.
func (d *Dispatcher) notLeaderResponse() *apiv1.JobsReportResponse {
	return &apiv1.JobsReportResponse{NotLeader: true, LeaderAddress: d.opts.Replica.LeaderAddress()}
}

// beginExpiry returns the plan that gives the runs up, nil if the lease is another one by now. A
// term of 0 says that this replica doesn't lead.
func (d *Dispatcher) beginExpiry(r *apiv1.JobsReportRequest) (term uint64, plan *apiv1.PlanRuns) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return 0, nil
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
		plan = &apiv1.PlanRuns{Term: l.term, Lapsed: []string{id}, Checkpoints: l.checkpoints(w)}
		d.recordLostRuns(l, w, lostWorkerUnresponsive, nil, d.opts.Now())
	})
	return l.term, plan
}

// differentLease reports whether a lapse is not of the lease that the leader counts. An agent of
// the release before names none; the order of its reports decides.
func (l *leaderState) differentLease(m *jobqueue.Machine, r *apiv1.JobsReportRequest) bool {
	if r.LeaseTerm == 0 {
		return l.reports.outdated(m, r)
	}
	return r.LeaseTerm != l.term || r.LeaseNumber != l.leases.get(r.Worker.GetId()).number
}
