package runs_test

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// expireWithPendingStart has a worker fall silent until its lapse was told, with a start ordered meanwhile.
func expireWithPendingStart(t *testing.T, l *leader, w *countingWorker) {
	t.Helper()
	time.Sleep(2 * time.Second)
	w.lostCall.Store(allCalls)
	time.Sleep(time.Second)
	l.update(func() { l.orders = startOrders(2, 1) })
	time.Sleep(6 * time.Second)
	if l.expiryReports() == 0 {
		t.Fatal("no lapse is told")
	}
}

// Guards against a task on two workers: a start that is made under a lease that the agent gave up.
func TestStartUnderExpiredLeaseIsNotSent(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		expireWithPendingStart(t, l, w)
		l.update(func() { l.unavailable = true })
		w.lostCall.Store("")
		time.Sleep(2 * time.Second)
		if n := len(w.Running()); n != 0 {
			t.Errorf("%d runs began under a lease that was given up", n)
		}
		l.update(func() { l.unavailable, l.epoch, l.orders = false, 2, startOrders(3, 2) })
		time.Sleep(3 * time.Second)
		if n := len(w.Running()); n != 1 {
			t.Errorf("%d runs are at work under the next lease, want 1", n)
		}
	})
}

// Guards against a start on a worker that has said that it ends, and whose runs the leader gives up.
func TestNothingStartsOnDepartingWorker(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.lostCall.Store("start")
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(time.Second)
		l.update(func() { l.unavailable = true })
		if err := d.Depart("w1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second) // the call for an end that waits is over
		w.lostCall.Store("")
		time.Sleep(4 * time.Second)
		if n := len(w.Running()); n != 0 {
			t.Errorf("%d runs began after the worker said that it ends", n)
		}
	})
}

// Guards against a task on two workers: one that said that it ends, and was not heard to be
// acknowledged, is there for seconds more.
func TestDepartingWorkerKeepsTasksUntilItEnds(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(2 * time.Second)
		if err := d.Depart("w1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if _, told := l.departure(); told || len(w.Running()) != 1 {
			t.Errorf("told that the worker left: %v, while it runs %v", told, w.Running())
		}
		w.Crash()
		time.Sleep(500 * time.Millisecond)
		if crashed, told := l.departure(); !told || crashed {
			t.Errorf("told that the worker left: %v, as a crash: %v", told, crashed)
		}
	})
}

// departure is whether the agent told that its worker ended, and as a crash.
func (l *leader) departure() (crashed, told bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.reports {
		if r.Departed {
			return r.Crashed, true
		}
	}
	return false, false
}

// Guards against a task on two workers: a start that goes on being tried when the leader has given
// the run up.
func TestWithdrawnStartIsNotSent(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.lostCall.Store("start")
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(3 * time.Second)
		if w.startCalls.Load() == 0 {
			t.Fatal("nothing was tried")
		}
		l.update(func() { l.orders = &apiv1.JobsOrdersResponse{Term: term, Sequence: 3, Epoch: 1} })
		time.Sleep(3 * time.Second)
		w.lostCall.Store("")
		time.Sleep(2 * time.Second)
		if n := len(w.Running()); n != 0 {
			t.Errorf("%d runs began that the leader no longer orders", n)
		}
		l.update(func() { l.orders = startOrders(4, 1) })
		time.Sleep(3 * time.Second)
		if n := len(w.Running()); n != 1 {
			t.Errorf("%d runs are at work once they are ordered again, want 1", n)
		}
	})
}
