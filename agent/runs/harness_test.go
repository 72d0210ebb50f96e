package runs_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	leaseMs = 12_000
	term    = 3
)

// leader returns scripted responses and records the reports it receives.
type leader struct {
	mu          sync.Mutex
	orders      *apiv1.JobsOrdersResponse
	epoch       uint64
	unavailable bool
	// reportsUntilUnavailable is the number of further reports after which the leader becomes
	// unavailable; 0 is never.
	reportsUntilUnavailable int
	// ordersFail makes only the calls for orders fail, and reportsFail only the reports.
	ordersFail, reportsFail bool
	// departuresFail makes only the reports of departures fail.
	departuresFail bool
	// reportsHang leaves reports without a response.
	reportsHang bool
	// ordersNeedFound: calls for orders fail until a report or a CurrentOrders call has found the
	// leader, as for a process that does not know the leader yet.
	ordersNeedFound, found bool
	// supersededSession is a session whose reports the leader rejects.
	supersededSession uint64
	reports           []*apiv1.JobsReportRequest
	// reservations are listed on request; nil makes it a leader that lists none.
	reservations []*apiv1.RunReservation
	// reservationRequests counts the requests for them.
	reservationRequests int
	// cordon is the order about the worker's availability zone in the answers to reports.
	cordon *apiv1.ZoneCordon
}

var (
	errUnavailable = errors.New("no leader")
	errNoListener  = fmt.Errorf("dial: %w", runs.ErrNotListening)
)

func (l *leader) Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reportsHang {
		l.mu.Unlock()
		<-ctx.Done()
		l.mu.Lock()
		return nil, errUnavailable
	}
	if l.unavailable || l.reportsFail || l.departuresFail && r.Departed {
		return nil, errUnavailable
	}
	l.found = true
	l.reports = append(l.reports, r)
	if l.reportsUntilUnavailable > 0 {
		l.reportsUntilUnavailable--
		l.unavailable = l.reportsUntilUnavailable == 0
	}
	if l.supersededSession != 0 && r.Session == l.supersededSession {
		return &apiv1.JobsReportResponse{Term: term, Outcome: apiv1.JobOutcome_JOB_OUTCOME_STALE, SessionSuperseded: true}, nil
	}
	resp := &apiv1.JobsReportResponse{Term: term, LeaseMs: leaseMs, Epoch: l.epoch, Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, Cordon: l.cordon}
	for _, e := range r.Ends {
		resp.Acknowledged = max(resp.Acknowledged, e.Sequence)
	}
	return resp, nil
}

func (l *leader) Orders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	l.mu.Lock()
	orders, unavailable := l.orders, l.unavailable || l.ordersFail || l.ordersNeedFound && !l.found
	if r.ListReservations {
		l.reservationRequests++
	}
	if r.ListReservations && l.reservations != nil {
		orders = proto.CloneOf(orders)
		orders.Reservations, orders.ReservationsListed = l.reservations, true
	}
	l.mu.Unlock()
	if unavailable {
		return nil, errUnavailable
	}
	if orders.ReservationsListed {
		return orders, nil
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

// CurrentOrders finds the leader and returns its orders.
func (l *leader) CurrentOrders(context.Context, string) (*apiv1.JobsOrdersResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, errUnavailable
	}
	l.found = true
	return l.orders, nil
}

// HostLease reports the lease of worker w1 until its expiry was reported.
func (l *leader) HostLease(context.Context, string) (*apiv1.JobsOrdersResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unavailable {
		return nil, errUnavailable
	}
	counted := &apiv1.JobsOrdersResponse{Term: term, HostTold: true, LeaseNumber: uint64(len(l.reports))}
	if n := len(l.reports); n == 0 || !l.reports[n-1].Lapsed {
		counted.LeaseWorker = "w1"
	}
	return counted, nil
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

func stopOrders(sequence, epoch uint64) *apiv1.JobsOrdersResponse {
	return &apiv1.JobsOrdersResponse{
		Term: term, Sequence: sequence, Epoch: epoch,
		Stops: []*apiv1.StopOrder{{Task: firstTask.Ref(), Run: 1}},
	}
}

// countingWorker counts the calls of a fake worker.
type countingWorker struct {
	*fakes.RunWorker
	startCalls, stopCalls, renewals atomic.Int64
	// unreachable fails every start at once, like a host on which no process listens. startError
	// and renewError do so with a given error.
	unreachable            atomic.Bool
	startError, renewError atomic.Pointer[error]
	// lostCall is the name of the call that gets no answer, or allCalls. refusedCalls are the
	// names of the calls that the worker refuses because it is unhealthy, or allCalls.
	lostCall, refusedCalls atomic.Value
	// nextDelay is a call that is left unanswered once and executed after a delay.
	nextDelay atomic.Pointer[delayedCall]
	// onceConfirmed is called once, after the worker has carried out a call for w1@6 and before the answer.
	onceConfirmed atomic.Pointer[func()]
}

// delayedCall is a call that is executed late.
type delayedCall struct {
	call string
	by   time.Duration
}

const allCalls = "all"

// fault loses the calls that lostCall names, and refuses those that refusedCalls names.
func (w *countingWorker) fault(call string) fakes.OrderFault {
	if late := w.nextDelay.Load(); late != nil && late.call == call && w.nextDelay.CompareAndSwap(late, nil) {
		return fakes.OrderFault{Late: late.by}
	}
	lost, _ := w.lostCall.Load().(string)
	refused, _ := w.refusedCalls.Load().(string)
	return fakes.OrderFault{
		Lost: lost == allCalls || lost == call, Refused: refused == allCalls || strings.Contains(refused, call),
	}
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

func (w *countingWorker) Stop(ctx context.Context, o runs.Order, id jobqueue.RunID) (runs.Answer, error) {
	w.stopCalls.Add(1)
	return w.RunWorker.Stop(ctx, o, id)
}

func (w *countingWorker) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (runs.Status, runs.Answer, error) {
	w.renewals.Add(1)
	if err := ctx.Err(); err != nil {
		return runs.Status{}, 0, err
	}
	if err := w.renewError.Load(); err != nil {
		return runs.Status{}, 0, *err
	}
	status, answer, err := w.RunWorker.Renew(ctx, o, r)
	if f := w.onceConfirmed.Load(); f != nil && o.Incarnation == "w1@6" && w.onceConfirmed.CompareAndSwap(f, nil) {
		(*f)()
	}
	return status, answer, err
}

// refusals returns the runs that the agent returned to the leader.
func (l *leader) refusals() []*apiv1.RunRefusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*apiv1.RunRefusal
	for _, r := range l.reports {
		list = append(list, r.Refusals...)
	}
	return list
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

// runDriver runs a driver until the returned function is called. A test that fails must stop its
// driver too; otherwise virtual time never ends.
func runDriver(d *runs.Driver) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { d.Run(ctx) })
	return func() {
		cancel()
		running.Wait()
	}
}

// withDriver runs a driver with a fake worker in virtual time.
func withDriver(t *testing.T, l runs.Leader, f func(d *runs.Driver, w *countingWorker)) {
	t.Helper()
	withDriverAfter(t, l, func(*countingWorker) {}, f)
}

// withDriverAfter does the same, and calls before before the driver starts.
func withDriverAfter(t *testing.T, l runs.Leader, before func(*countingWorker), f func(d *runs.Driver, w *countingWorker)) {
	t.Helper()
	withDriverOf(t, runs.Options{Leader: l}, before, f)
}

// withDriverOf does the same for a driver of given options.
func withDriverOf(t *testing.T, o runs.Options, before func(*countingWorker), f func(d *runs.Driver, w *countingWorker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
		w := &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}
		w.Fault = w.fault
		before(w)
		o.Worker = w
		d := runs.New(o)
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		f(d, w)
	})
}
