package runs_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	leaseMs = 12_000
	term    = 3
)

// leader answers as the test says and notes what it is told.
type leader struct {
	mu          sync.Mutex
	orders      *apiv1.JobsOrdersResponse
	epoch       uint64
	unavailable bool
	// reportsUntilUnavailable is after how many more reports it is away; 0 is never.
	reportsUntilUnavailable int
	// ordersFail fails the calls for orders only.
	ordersFail bool
	// ordersNeedFound: calls for orders fail until a report or a question has found the leader, as
	// from a process that knows none.
	ordersNeedFound, found bool
	reports                []*apiv1.JobsReportRequest
}

var errUnavailable = errors.New("no leader")

func (l *leader) Report(_ context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, errUnavailable
	}
	l.found = true
	l.reports = append(l.reports, r)
	if l.reportsUntilUnavailable > 0 {
		l.reportsUntilUnavailable--
		l.unavailable = l.reportsUntilUnavailable == 0
	}
	resp := &apiv1.JobsReportResponse{Term: term, LeaseMs: leaseMs, Epoch: l.epoch, Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}
	for _, e := range r.Ends {
		resp.Acknowledged = max(resp.Acknowledged, e.Sequence)
	}
	return resp, nil
}

func (l *leader) Orders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	l.mu.Lock()
	orders, away := l.orders, l.unavailable || l.ordersFail || l.ordersNeedFound && !l.found
	l.mu.Unlock()
	if away {
		return nil, errUnavailable
	}
	if r.Term == orders.Term && r.Sequence == orders.Sequence {
		select {
		case <-time.After(time.Second):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return orders, nil
}

// CurrentOrders finds the leader.
func (l *leader) CurrentOrders(context.Context, string) (*apiv1.JobsOrdersResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, errUnavailable
	}
	l.found = true
	return l.orders, nil
}

// HostLease tells of the one worker.
func (l *leader) HostLease(context.Context, string) (*apiv1.JobsOrdersResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, errUnavailable
	}
	held := &apiv1.JobsOrdersResponse{Term: term, HostTold: true, LeaseNumber: uint64(len(l.reports))}
	if n := len(l.reports); n == 0 || !l.reports[n-1].Lapsed {
		held.LeaseWorker = "w1"
	}
	return held, nil
}

func (l *leader) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

func (l *leader) expiryReports() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.reports {
		if r.Lapsed {
			n++
		}
	}
	return n
}

var firstTask = jobqueue.TaskID{Job: "j", Index: 1}

func startOrders(sequence, epoch uint64) *apiv1.JobsOrdersResponse {
	return &apiv1.JobsOrdersResponse{
		Term: term, Sequence: sequence, Epoch: epoch,
		Starts: []*apiv1.StartOrder{{Task: firstTask.Ref(), Run: 1}},
	}
}

// countingWorker counts the calls of a stand-in worker that can be replaced.
type countingWorker struct {
	*fakes.RunWorker
	startCalls, renewals atomic.Int64
	// unreachable fails every start at once, as a host does where nobody listens, and refusal with what.
	unreachable atomic.Bool
	startError  atomic.Pointer[error]
	// lostCall is the one call that gets no answer: its name, or all for every one.
	lostCall atomic.Value
}

const allCalls = "all"

// fault loses the calls that get no answer.
func (w *countingWorker) fault(call string) fakes.OrderFault {
	silent, _ := w.lostCall.Load().(string)
	return fakes.OrderFault{Lost: silent == allCalls || silent == call}
}

func (w *countingWorker) Start(ctx context.Context, o runs.Order, s runs.Start) (runs.Answer, error) {
	w.startCalls.Add(1)
	if w.unreachable.Load() {
		return 0, errUnavailable
	}
	if err := w.startError.Load(); err != nil {
		return 0, *err
	}
	return w.RunWorker.Start(ctx, o, s)
}

func (w *countingWorker) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (runs.Status, runs.Answer, error) {
	w.renewals.Add(1)
	return w.RunWorker.Renew(ctx, o, r)
}

func workerSpec(id string) *apiv1.JobWorker {
	return &apiv1.JobWorker{Id: id, Host: "h", Pool: "p", CpuMilli: 1000, MemoryMb: 1000}
}

func announce(t *testing.T, d *runs.Driver, a runs.Announcement) {
	t.Helper()
	if err := d.Announce(a); err != nil {
		t.Error(err)
	}
}

// runDriver has a driver serve its worker until the returned function is called. A test that fails
// must end its driver too: virtual time would go on for ever.
func runDriver(d *runs.Driver) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { d.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// withDriver runs a driver on a stand-in worker in virtual time.
func withDriver(t *testing.T, l *leader, f func(d *runs.Driver, w *countingWorker)) {
	synctest.Test(t, func(t *testing.T) {
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
		w := &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}
		w.Fault = w.fault
		d := runs.New(runs.Options{Worker: w, Leader: l})
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		f(d, w)
	})
}
