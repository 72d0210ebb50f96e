package runs

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
)

// hostLease tracks until when a run may be active on the host under the leases that its agents
// granted, this agent and previous ones, to any incarnation of the worker.
//
// The lease belongs to the host and not to the session of an incarnation. Otherwise, if an
// incarnation ended before its first report, or an agent was restarted while its worker was down,
// no session could report that the runs of the previous incarnation have ended, and the log would
// keep them for the duration of the leader's own, longer lease.
type hostLease struct {
	mu        sync.Mutex
	expiresAt time.Time
	// nextCheck is when the leader is next queried for a lease of the host, after expiresAt: a
	// report that the network delayed may have renewed one since.
	nextCheck time.Time
}

const (
	// expiryRetryInterval is the time between two attempts to report an expiry to the leader.
	expiryRetryInterval = 100 * time.Millisecond
	// leaseRecheckInterval is the time from a successful expiry report, or from a check that
	// found no lease, to the next query of the leader.
	leaseRecheckInterval = time.Second
)

// maxLeaseOnHostClock returns how long, on this host's clock, a worker may keep running after a
// call that renews its lease. The worker's clock may run slower by the bound on its rate error.
func maxLeaseOnHostClock(lease time.Duration) time.Duration {
	return lease * ppm / (ppm - clockRateErrorPPM)
}

// extend records that runs may be active until a given time.
func (l *hostLease) extend(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end.After(l.expiresAt) {
		l.expiresAt = end
	}
}

// setNextCheck sets when the leader is next queried.
func (l *hostLease) setNextCheck(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextCheck = at
}

// untilCheck returns the time until the leader must be queried for an expired lease.
func (l *hostLease) untilCheck(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.expiresAt.Sub(now), l.nextCheck.Sub(now))
}

// errLeaseRenewed means that the leader counts a different lease of the host.
var errLeaseRenewed = errors.New("lease was renewed, or its expiry is already being processed")

// reportExpiry reports to the leader that nothing runs on the host any more, if that is certain
// and the leader still counts a lease. It is called while the worker gives no answer or no worker
// is known.
func (d *Driver) reportExpiry(ctx context.Context) {
	now := d.opts.Now()
	if d.lease.untilCheck(now) > 0 {
		return
	}
	d.lease.setNextCheck(now.Add(expiryRetryInterval))
	if s := d.current(); s != nil {
		s.dropLease()
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	counted, err := d.opts.Leader.HostLease(ctx, d.opts.Host)
	if err != nil {
		return
	}
	if !counted.HostTold {
		counted = d.sessionLease()
	}
	if counted.LeaseWorker == "" || d.sendExpiryReport(ctx, counted) == nil {
		d.lease.setNextCheck(d.opts.Now().Add(leaseRecheckInterval))
	}
}

// sessionLease substitutes for the answer of a leader of the previous release, which does not
// report the lease of a host: it names the worker of the session and no lease number.
func (d *Driver) sessionLease() *apiv1.JobsOrdersResponse {
	if s := d.current(); s != nil {
		return &apiv1.JobsOrdersResponse{LeaseWorker: s.incarnation}
	}
	return &apiv1.JobsOrdersResponse{}
}

// sendExpiryReport reports the expiry of the lease that the leader counts.
func (d *Driver) sendExpiryReport(ctx context.Context, counted *apiv1.JobsOrdersResponse) error {
	if s := d.current(); s != nil {
		// The leader treats reports sent before the expiry as outdated.
		s.resetID()
	}
	report := &apiv1.JobsReportRequest{
		Worker: &apiv1.JobWorker{Id: counted.LeaseWorker, Host: d.opts.Host}, Lapsed: true,
		LeaseTerm: counted.Term, LeaseNumber: counted.LeaseNumber,
	}
	d.addRuns(report)
	resp, err := d.opts.Leader.Report(ctx, report)
	if err == nil && resp.Outcome != apiv1.JobOutcome_JOB_OUTCOME_OK {
		err = errLeaseRenewed
	}
	sinceAnswer, starts := d.unconfirmedStarts(counted.LeaseWorker)
	event.WorkerLeaseExpired.Write(d.logger, event.Worker(counted.LeaseWorker), event.UnresponsiveFor(sinceAnswer), event.OrderCount(starts),
		event.Err(err))
	return err
}

// addRuns adds the starts that never began, and the runs that did, to the report that a worker's lease has
// expired. Without a lease no start is sent, and under a later one these orders are void.
func (d *Driver) addRuns(report *apiv1.JobsReportRequest) {
	s := d.current()
	if s == nil || s.incarnation != report.Worker.Id {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report.Refusals, report.NoRunBegan = s.startsNotBegun(), s.noRunBegan()
	report.Worked = s.callHistory.begunAtEnd(d.opts.Now())
}

// unconfirmedStarts returns how long ago a worker last answered, and how many ordered starts are
// not confirmed; 0 where the agent has no session with that worker.
func (d *Driver) unconfirmedStarts(worker string) (sinceAnswer time.Duration, starts int) {
	s := d.current()
	if s == nil || s.incarnation != worker {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.orders {
		if o.start != nil && !o.startConfirmed {
			starts++
		}
	}
	if !s.clock.received.IsZero() {
		sinceAnswer = d.opts.Now().Sub(s.clock.received)
	}
	return sinceAnswer, starts
}
