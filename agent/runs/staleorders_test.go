package runs_test

import (
	"context"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// slowLeader gets each report, and each request for further orders, after a delay.
type slowLeader struct {
	*leader
	reportDelay, ordersDelay time.Duration
}

func (l *slowLeader) Report(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	if err := sleepUntilCanceled(ctx, l.reportDelay); err != nil {
		return nil, err
	}
	return l.leader.Report(ctx, r)
}

func (l *slowLeader) Orders(ctx context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	if r.Sequence != 0 {
		if err := sleepUntilCanceled(ctx, l.ordersDelay); err != nil {
			return nil, err
		}
	}
	return l.leader.Orders(ctx, r)
}

func sleepUntilCanceled(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Guards against a task that runs on two workers: an agent receives the order of a start, which a late
// report of the agent before it then returns, and carries it out under its first lease.
func TestStartReturnedByPreviousAgentIsNotSent(t *testing.T) {
	l := &slowLeader{&leader{epoch: 1, orders: startOrders(1, 1)}, 100 * time.Millisecond, 500 * time.Millisecond}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(50 * time.Millisecond)
		l.update(func() { l.orders = &apiv1.JobsOrdersResponse{Term: term, Sequence: 2, Epoch: 1} })
		time.Sleep(2 * time.Second)
		if n := w.startCalls.Load(); n != 0 {
			t.Errorf("the worker got %d starts of a run that is no longer ordered", n)
		}
	})
}

// Guards against a start that counts as one that a previous agent may have sent, though it was ordered
// after the session's first request for orders.
func TestStartOrderedBeforeFirstLeaseIsOfThisAgent(t *testing.T) {
	l := &slowLeader{&leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}, 300 * time.Millisecond, 0}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(100 * time.Millisecond)
		w.startError.Store(&errNotListening)
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(2 * time.Second)
		w.Crash()
		time.Sleep(2 * time.Second)
		if worked, ok := l.workedAtCrash(); !ok || len(worked) != 1 || !worked[0].NeverSent {
			t.Errorf("work reported with the crash: %v", worked)
		}
	})
}
