package runs_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// expireWithPendingStart makes a worker unresponsive until the expiry of its lease is reported,
// with a start ordered meanwhile.
func expireWithPendingStart(t *testing.T, l *leader, w *countingWorker) {
	t.Helper()
	time.Sleep(2 * time.Second)
	w.lostCall.Store(allCalls)
	time.Sleep(time.Second)
	l.update(func() { l.orders = startOrders(2, 1) })
	time.Sleep(6 * time.Second)
	if l.expiryReports() == 0 {
		t.Fatal("no expiry is reported")
	}
}

// Guards against a task that runs on two workers: a start is sent under a lease that the agent
// has dropped.
func TestStartUnderExpiredLeaseIsNotSent(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		expireWithPendingStart(t, l, w)
		l.update(func() { l.unavailable = true })
		w.lostCall.Store("")
		time.Sleep(2 * time.Second)
		if n := len(w.Running()); n != 0 {
			t.Errorf("%d runs began under an expired lease", n)
		}
		next := startOrders(3, 2)
		next.Starts[0].Run++ // A run that was lost is never ordered again.
		l.update(func() { l.unavailable, l.epoch, l.orders = false, 2, next })
		time.Sleep(3 * time.Second)
		if n := len(w.Running()); n != 1 {
			t.Errorf("%d runs under the next lease, want 1", n)
		}
	})
}

// Guards against a start on a worker that has reported its departure, and whose runs the leader
// records as lost.
func TestNothingStartsOnDepartingWorker(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.lostCall.Store("start")
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(time.Second)
		l.update(func() { l.unavailable = true })
		d.Depart("w1")
		time.Sleep(time.Second) // The waiting renewal call has ended.
		w.lostCall.Store("")
		time.Sleep(4 * time.Second)
		if n := len(w.Running()); n != 0 {
			t.Errorf("%d runs began after the worker reported its departure", n)
		}
	})
}

// Guards against a task that runs on two workers: a worker that reported its departure without
// receiving an acknowledgement keeps running for seconds.
func TestDepartingWorkerKeepsTasksUntilItEnds(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(2 * time.Second)
		d.Depart("w1")
		time.Sleep(3 * time.Second)
		if _, reported := l.departure(); reported || len(w.Running()) != 1 {
			t.Errorf("departure reported: %v, while the worker runs %v", reported, w.Running())
		}
		w.Crash()
		time.Sleep(500 * time.Millisecond)
		if crashed, reported := l.departure(); !reported || crashed {
			t.Errorf("departure reported: %v, as a crash: %v", reported, crashed)
		}
	})
}

// departure returns whether the agent reported that its worker ended, and whether as a crash.
func (l *leader) departure() (crashed, reported bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.reports {
		if r.Departed {
			return r.Crashed, true
		}
	}
	return false, false
}

// Guards against a task that runs on two workers: a start is retried after the leader has
// recorded the run as lost.
func TestWithdrawnStartIsNotSent(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.lostCall.Store("start")
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(3 * time.Second)
		if w.startCalls.Load() == 0 {
			t.Fatal("no start was attempted")
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
			t.Errorf("%d runs once they are ordered again, want 1", n)
		}
	})
}

// Guards against a job that counts as waiting although a run of it has begun: the worker's lease expires, or the
// worker leaves, before a leader has heard of the run. A start without an answer shows
// nothing, unless the worker lists the run.
func TestReportOfTheEndNamesTheRunsThatBegan(t *testing.T) {
	for name, test := range map[string]struct {
		end      func(*runs.Driver, *countingWorker)
		isReport func(*apiv1.JobsReportRequest) bool
	}{
		"lease": {func(_ *runs.Driver, w *countingWorker) { w.lostCall.Store(allCalls) }, func(r *apiv1.JobsReportRequest) bool { return r.Lapsed }},
		"departure": {func(d *runs.Driver, w *countingWorker) {
			w.renewError.Store(&errNoListener)
			d.Depart("w1")
		}, func(r *apiv1.JobsReportRequest) bool { return r.Departed && !r.Crashed }},
		"crash": {func(_ *runs.Driver, w *countingWorker) { w.Crash() }, func(r *apiv1.JobsReportRequest) bool { return r.Departed && r.Crashed }},
	} {
		for answer, began := range map[string]bool{"answered": true, "listed only": true, "ended": true, "no answer": false} {
			t.Run(name+", "+answer, func(t *testing.T) {
				l := &leader{epoch: 1, orders: idleOrders()}
				withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
					time.Sleep(2 * time.Second)
					switch answer {
					case "ended":
						w.Duration = func(jobqueue.TaskID) time.Duration { return 100 * time.Millisecond }
					case "listed only":
						w.nextDelay.Store(&delayedCall{"start", 100 * time.Millisecond})
						fallthrough
					case "no answer":
						w.lostCall.Store("start")
					}
					l.update(func() { l.orders = startOrders(2, 1) })
					time.Sleep(2 * time.Second)
					test.end(d, w)
					time.Sleep(10 * time.Second)
					l.mu.Lock()
					defer l.mu.Unlock()
					i := slices.IndexFunc(l.reports, test.isReport)
					begun := func(w *apiv1.RunWork) bool { return w.Began }
					if i < 0 || slices.ContainsFunc(l.reports[i].Worked, begun) != began {
						t.Errorf("of the reports %v, number %d is about the end", l.reports, i)
					}
				})
			})
		}
	}
}
