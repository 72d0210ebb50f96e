package runs_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
)

// loseStart has the worker leave the next start unanswered, execute it after a delay, and refuse other
// starts and stops.
func loseStart(l *leader, w *countingWorker, delay time.Duration) {
	w.LeaseDecidesDeadline = true
	w.nextDelay.Store(&delayedCall{"start", delay})
	w.refusedCalls.Store("start stop")
	l.update(func() { l.orders = startOrders(2, 1) })
	for w.startCalls.Load() < 2 {
		time.Sleep(time.Millisecond)
	}
}

// checkLostRunStaysAway checks that a run that the leader has recorded as lost does not begin at a given
// time, and that its worker runs later orders once it accepts calls again.
func checkLostRunStaysAway(t *testing.T, l *leader, w *countingWorker, startArrivesAt time.Time) {
	t.Helper()
	if !time.Now().Before(startArrivesAt) {
		t.Fatal("the late start has arrived before the runs were lost")
	}
	next := startOrders(4, 2)
	next.Starts[0].Task.Index = 0
	l.update(func() { l.unavailable, l.epoch, l.orders = false, 2, next })
	began := func() bool { return slices.Contains(w.Running(), firstTask) }
	for time.Now().Before(startArrivesAt.Add(statusInterval)) {
		time.Sleep(100 * time.Millisecond)
		if began() {
			t.Fatal("a run begins that was lost")
		}
	}
	w.refusedCalls.Store("")
	time.Sleep(4 * statusInterval)
	if began() || len(w.Running()) != 1 {
		t.Errorf("%v run, want the next run only", w.Running())
	}
}

// Guards against a task that runs on two workers: a start gets no answer, the worker is unresponsive
// until its runs are recorded as lost, and executes the start under its next lease.
func TestLostRunDoesNotBeginAfterUnresponsiveness(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, promptLeader{l}, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		const delay = 9 * time.Second
		arrives := time.Now().Add(delay)
		loseStart(l, w, delay)
		w.lostCall.Store(allCalls)
		for l.expiryReports() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		w.lostCall.Store("")
		checkLostRunStaysAway(t, l, w, arrives)
	})
}

// Guards against a task that runs on two workers: a start gets no answer, the agent is partitioned
// until the leader records the runs as lost, and the worker executes the start under its next lease.
func TestLostRunDoesNotBeginAfterPartition(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, promptLeader{l}, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		const delay = 14 * time.Second
		arrives := time.Now().Add(delay)
		loseStart(l, w, delay)
		l.update(func() { l.unavailable = true })
		time.Sleep((leaseMs + 500) * time.Millisecond)
		checkLostRunStaysAway(t, l, w, arrives)
	})
}

// Guards against a task that runs on two workers: a previous agent's start gets no answer, the worker
// is unresponsive until its runs are recorded as lost, and executes the start under its next lease.
func TestLostRunOfPreviousAgentDoesNotBegin(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(2, 1)}
	const delay = 9 * time.Second
	withDriverAfter(t, promptLeader{l}, startByPreviousAgent(delay, 1000), func(_ *runs.Driver, w *countingWorker) {
		w.LeaseDecidesDeadline = true
		arrives := time.Now().Add(delay)
		time.Sleep(time.Second)
		w.lostCall.Store(allCalls)
		for l.expiryReports() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		w.lostCall.Store("")
		checkLostRunStaysAway(t, l, w, arrives)
	})
}

// Guards against a task that runs on two workers: a worker has reported its departure and lists
// nothing, and executes a late start under its remaining lease.
func TestDepartureIsReportedOnceNoLateStartCanArrive(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		w.LeaseDecidesDeadline = true
		w.nextDelay.Store(&delayedCall{"start", 3 * time.Second})
		w.refusedCalls.Store("start stop")
		l.update(func() { l.orders = startOrders(2, 1) })
		for w.startCalls.Load() < 2 {
			time.Sleep(time.Millisecond)
		}
		d.Depart("w1")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if _, departed := l.departure(); departed && len(w.Running()) > 0 {
				t.Fatal("the task runs after the departure was reported")
			}
		}
		if _, departed := l.departure(); !departed {
			t.Error("the departure is not reported")
		}
	})
}

// Guards against tasks that wait for the rest of a lease because a start on a departing worker got no
// answer: a confirmed stop shows that it can't begin.
func TestDepartingWorkerIsToldToStopStartsInFlight(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		w.lostCall.Store("start")
		l.update(func() { l.orders = startOrders(2, 1) })
		for w.startCalls.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		d.Depart("w1")
		time.Sleep(3 * statusInterval)
		if _, departed := l.departure(); !departed || w.stopCalls.Load() == 0 {
			t.Errorf("the departure is reported: %v; %d stops", departed, w.stopCalls.Load())
		}
	})
}
