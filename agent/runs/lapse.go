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
	mu  sync.Mutex
	end time.Time
	// told: the leader knows that it has run out.
	told bool
}

// longestGrant is how long a worker may run on after a call that renews its lease: its clock
// may run slower than this host's by the bound.
func longestGrant(lease time.Duration) time.Duration {
	return lease * ppm / (ppm - clockRateErrorPPM)
}

// extend notes that something may run until a given time.
func (l *hostLease) extend(end time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end.After(l.end) {
		l.end = end
	}
}

// heard notes that the worker answered.
func (l *hostLease) heard() { l.setTold(false) }

func (l *hostLease) setTold(told bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.told = told
}

// untilDue is how long it is until the leader is to be told that the lease has run out;
// 0 says now, and false that it has been told.
func (l *hostLease) untilDue(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, l.end.Sub(now)), !l.told
}

// errLeaseRenewed says that the leader counts another lease of the host by now.
var errLeaseRenewed = errors.New("the lease was renewed since, or is being given up")

// tellLapse tells the leader, once, that nothing runs on the host any more, if that is sure by
// now. It is called while the worker gives no answer, or none is known.
func (d *Driver) tellLapse(ctx context.Context) {
	left, due := d.lease.untilDue(d.opts.Now())
	if !due || left > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	held, err := d.opts.Leader.HostLease(ctx, d.opts.Host)
	if err == nil && held.LeaseWorker != "" {
		err = d.reportLapse(ctx, held)
	}
	if err == nil {
		d.lease.setTold(true)
	}
}

// reportLapse tells of the lease that the leader holds.
func (d *Driver) reportLapse(ctx context.Context, held *apiv1.JobsOrdersResponse) error {
	resp, err := d.opts.Leader.Report(ctx, &apiv1.JobsReportRequest{
		Worker: &apiv1.JobWorker{Id: held.LeaseWorker, Host: d.opts.Host}, Lapsed: true,
		LeaseTerm: held.Term, LeaseNumber: held.LeaseNumber,
	})
	if err == nil && resp.Outcome != apiv1.JobOutcome_JOB_OUTCOME_OK {
		err = errLeaseRenewed
	}
	event.WorkersLeaseRanOut.Write(d.logger, event.Worker(held.LeaseWorker), event.Err(err))
	return err
}
