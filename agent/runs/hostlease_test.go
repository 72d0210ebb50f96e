package runs_test

import (
	"context"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
)

// previousReleaseLeader is a leader of the previous release, which does not report the lease of a
// host.
type previousReleaseLeader struct{ *leader }

func (l previousReleaseLeader) HostLease(context.Context, string) (*apiv1.JobsOrdersResponse, error) {
	return &apiv1.JobsOrdersResponse{Term: term}, nil
}

// Guards against an expiry that is not reported while agents are of a newer release than the
// leader.
func TestLeaseExpiryIsReportedToLeaderOfPreviousRelease(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, _ *countingWorker) {
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
		w := &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}
		w.Fault = w.fault
		other := &leader{epoch: 1, orders: startOrders(1, 1)}
		d := runs.New(runs.Options{Worker: w, Leader: previousReleaseLeader{other}})
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(2 * time.Second)
		w.lostCall.Store(allCalls)
		time.Sleep(10 * time.Second)
		if other.expiryReports() == 0 {
			t.Error("no expiry report 10 s after the worker became unresponsive")
		}
	})
}

// firstLookupEmpty is a leader that knows no worker of the host at the first query.
type firstLookupEmpty struct {
	*leader
	lookups *int
}

func (l firstLookupEmpty) HostLease(ctx context.Context, host string) (*apiv1.JobsOrdersResponse, error) {
	*l.lookups++
	if *l.lookups == 1 {
		return &apiv1.JobsOrdersResponse{Term: term, HostTold: true}, nil
	}
	return l.leader.HostLease(ctx, host)
}

// Guards against an agent that queries a replica which lags behind, and does not repeat the
// query.
func TestHostLeaseIsCheckedAgain(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, _ *countingWorker) {
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
		w := &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}
		w.Fault = w.fault
		other := &leader{epoch: 1, orders: startOrders(1, 1)}
		d := runs.New(runs.Options{Worker: w, Leader: firstLookupEmpty{other, new(int)}})
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(2 * time.Second)
		w.lostCall.Store(allCalls)
		time.Sleep(10 * time.Second)
		if other.expiryReports() == 0 {
			t.Error("no expiry report 10 s after the worker became unresponsive")
		}
	})
}
