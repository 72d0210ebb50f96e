package runs

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
)

// hostLease is until when something may run on the host under what its agents granted, this
// one and those before it, whichever life of the worker they granted it to.
//
// It belongs to the host and not to the session with a life of the worker. What goes wrong
// otherwise: a life that ends before its first report, or an agent that was restarted while its
// worker was down, leaves nobody who could tell that the runs of the life before have ended,
// and they stand in the log for the leader's own, longer lease.
type hostLease struct {
	mu        sync.Mutex
	expiresAt time.Time
	// nextCheck is when the leader is asked next whether it holds a lease of the host, after end:
	// a report that the network held up may have renewed one since.
	nextCheck time.Time
}

const (
	// expiryRetryInterval is the time between two tries to tell the leader of a lapse.
	expiryRetryInterval = 100 * time.Millisecond
	// leaseRecheckInterval is the time after which the leader is asked again whether it holds a lease.
	leaseRecheckInterval = time.Second
)

// maxLeaseOnHostClock is how long a worker may run on after a call that renews its lease: its clock
// may run slower than this host's by the bound.
func maxLeaseOnHostClock(lease time.Duration) time.Duration {
	return lease * ppm / (ppm - clockRateErrorPPM)
}

// extend notes that something may run until a given time.
func (l *hostLease) extend(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end.After(l.expiresAt) {
		l.expiresAt = end
	}
}

// setNextCheck notes when the leader is to be asked next.
func (l *hostLease) setNextCheck(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextCheck = at
}

// untilCheck is how long it is until the leader is to be asked for a lease that has run out.
func (l *hostLease) untilCheck(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.expiresAt.Sub(now), l.nextCheck.Sub(now))
}

// errLeaseRenewed says that the leader counts another lease of the host by now.
var errLeaseRenewed = errors.New("the lease was renewed since, or is being given up")

// reportExpiry tells the leader that nothing runs on the host any more, if that is sure by now and
// the leader holds otherwise. It is called while the worker gives no answer, or none is known.
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
	held, err := d.opts.Leader.HostLease(ctx, d.opts.Host)
	if err != nil {
		return
	}
	if !held.HostTold {
		held = d.sessionLease()
	}
	if held.LeaseWorker == "" || d.sendExpiryReport(ctx, held) == nil {
		d.lease.setNextCheck(d.opts.Now().Add(leaseRecheckInterval))
	}
}

// sessionLease is what an agent tells a leader of the release before, which can't say what it
// holds: the worker of its session, and no number of a lease.
func (d *Driver) sessionLease() *apiv1.JobsOrdersResponse {
	if s := d.current(); s != nil {
		return &apiv1.JobsOrdersResponse{LeaseWorker: s.incarnation}
	}
	return &apiv1.JobsOrdersResponse{}
}

// sendExpiryReport tells of the lease that the leader holds.
func (d *Driver) sendExpiryReport(ctx context.Context, held *apiv1.JobsOrdersResponse) error {
	if s := d.current(); s != nil {
		// The leader takes what was sent before the lapse for outdated.
		s.resetID()
	}
	resp, err := d.opts.Leader.Report(ctx, &apiv1.JobsReportRequest{
		Worker: &apiv1.JobWorker{Id: held.LeaseWorker, Host: d.opts.Host}, Lapsed: true,
		LeaseTerm: held.Term, LeaseNumber: held.LeaseNumber,
	})
	if err == nil && resp.Outcome != apiv1.JobOutcome_JOB_OUTCOME_OK {
		err = errLeaseRenewed
	}
	silent, orders := d.unconfirmedStarts(held.LeaseWorker)
	event.WorkersLeaseRanOut.Write(d.logger, event.Worker(held.LeaseWorker), event.Silent(silent), event.OrderCount(orders),
		event.Err(err))
	return err
}

// unconfirmedStarts returns how long ago a worker last answered, and how many starts are ordered that
// are not known to have begun; 0 where the agent has no session with it.
func (d *Driver) unconfirmedStarts(worker string) (silent time.Duration, orders int) {
	s := d.current()
	if s == nil || s.incarnation != worker {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.orders {
		if o.start != nil && !o.startConfirmed {
			orders++
		}
	}
	if !s.clock.received.IsZero() {
		silent = d.opts.Now().Sub(s.clock.received)
	}
	return silent, orders
}
