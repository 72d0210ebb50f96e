package runs_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// unreadableRowWorker marks each status as partial, as a worker does whose list of ends contains a row
// that can never be read and is therefore never acknowledged.
type unreadableRowWorker struct {
	*countingWorker
	on atomic.Bool
}

func (w *unreadableRowWorker) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (runs.Status, runs.Answer, error) {
	s, a, err := w.countingWorker.Renew(ctx, o, r)
	s.Partial = w.on.Load()
	return s, a, err
}

// ineffectiveWorker is a unreadableRowWorker that answers the first stops without an effect.
type ineffectiveWorker struct {
	*unreadableRowWorker
	left atomic.Int64
}

func (w *ineffectiveWorker) Stop(ctx context.Context, o runs.Order, id jobqueue.RunID) (runs.Answer, error) {
	if w.left.Add(-1) >= 0 {
		return runs.AnswerDone, nil
	}
	return w.unreadableRowWorker.Stop(ctx, o, id)
}

func withPartialWorker(t *testing.T, f func(*leader, *runs.Driver, *ineffectiveWorker)) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{epoch: 1, orders: idleOrders()}
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
		c := &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}
		c.Fault = c.fault
		w := &ineffectiveWorker{unreadableRowWorker: &unreadableRowWorker{countingWorker: c}}
		d := runs.New(runs.Options{Worker: w, Leader: l})
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(previousCallsExpired)
		f(l, d, w)
	})
}

// Guards against a run that is listed as running after its stop was answered, and is not stopped again
// because another row of the status can't be read.
func TestRunListedInPartialStatusIsStoppedAgain(t *testing.T) {
	withPartialWorker(t, func(l *leader, _ *runs.Driver, w *ineffectiveWorker) {
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(3 * time.Second)
		w.on.Store(true)
		w.left.Store(1)
		l.update(func() { l.orders = stopOrders(3, 1) })
		time.Sleep(60 * time.Second)
		if len(w.Running()) != 0 {
			t.Error("the run is listed as running for 60 s after its stop was answered, and is not stopped again")
		}
	})
}

// checkStoppedUnreadableRun has the worker accept the stop of a run whose row can't be read, and checks
// that the run is not returned, and that its end is reported once it can be read.
func checkStoppedUnreadableRun(t *testing.T, l *leader, w *partialWorker) {
	t.Helper()
	w.refusedCalls.Store("start")
	time.Sleep(lateCallBound + 4*statusInterval)
	if len(w.Running()) > 0 || w.stopCalls.Load() == 0 {
		t.Fatalf("%d tasks run after %d stops", len(w.Running()), w.stopCalls.Load())
	}
	w.unreadable.Store(false)
	time.Sleep(4 * statusInterval)
	checkEndIsReportedFirst(t, l)
}

// checkEndIsReportedFirst checks that the end of a run is reported, and that the run is not returned before.
func checkEndIsReportedFirst(t *testing.T, l *leader) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.reports {
		if len(r.Refusals) > 0 {
			t.Fatal("the run is returned although it began")
		}
		if len(r.Ends) > 0 {
			return
		}
	}
	t.Error("the end of the run is not reported")
}

// Guards against a task that runs again after its end: the row of its run can't be read, and a
// confirmed stop is taken for the proof that the run never began.
func TestStoppedRunThatMayBeUnreadableIsNotReturned(t *testing.T) {
	for name, begin := range map[string]func(*leader, *partialWorker){
		"start without an answer": func(l *leader, w *partialWorker) {
			time.Sleep(previousCallsExpired)
			w.unreadable.Store(true)
			time.Sleep(2 * statusInterval)
			w.nextDelay.Store(&delayedCall{"start", 300 * time.Millisecond})
			w.refusedCalls.Store("start stop")
			l.update(func() { l.orders = startOrders(2, 1) })
			time.Sleep(2 * statusInterval)
		},
		"forgotten order": func(l *leader, w *partialWorker) {
			time.Sleep(previousCallsExpired)
			l.update(func() { l.orders = startOrders(2, 1) })
			time.Sleep(2 * statusInterval)
			w.unreadable.Store(true)
			time.Sleep(2 * statusInterval)
			w.refusedCalls.Store("start stop")
			l.withdrawAndRepeat(startOrders(5, 1))
			time.Sleep(2 * statusInterval)
		},
		"confirmed start in a partial status": func(l *leader, w *partialWorker) {
			time.Sleep(previousCallsExpired)
			w.unreadable.Store(true)
			time.Sleep(2 * statusInterval)
			l.update(func() { l.orders = startOrders(2, 1) })
			time.Sleep(4 * statusInterval)
			w.refusedCalls.Store("start stop")
			l.withdrawAndRepeat(startOrders(5, 1))
			time.Sleep(2 * statusInterval)
		},
		"previous agent": func(l *leader, w *partialWorker) {
			w.refusedCalls.Store("start stop")
			time.Sleep(2 * statusInterval)
			l.update(func() { l.orders = startOrders(2, 1) })
			time.Sleep(previousCallsExpired)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &leader{epoch: 1, orders: idleOrders()}
				watch := fakes.NewRunChecker()
				watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
				w := &partialWorker{countingWorker: &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}}
				w.Fault = w.fault
				if name == "previous agent" {
					id := jobqueue.RunID{Task: firstTask, Number: 1}
					_, _ = w.RunWorker.Start(t.Context(), runs.Order{Incarnation: "w1", Term: term}, runs.Start{Run: id, DeadlineMs: w.ClockMs() + leaseMs})
					w.unreadable.Store(true)
				}
				d := runs.New(runs.Options{Worker: w, Leader: promptLeader{l}})
				defer runDriver(d)()
				announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
				begin(l, w)
				checkStoppedUnreadableRun(t, l, w)
			})
		})
	}
}

// Guards against a task that runs again after it succeeded: its end was listed and not yet reported, and
// then its row can't be read.
func TestRunWhoseListedEndCantBeReadIsNotReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{epoch: 1, orders: idleOrders()}
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
		w := &partialWorker{countingWorker: &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}}
		w.Fault = w.fault
		w.Duration = func(jobqueue.TaskID) time.Duration { return 2 * time.Second }
		d := runs.New(runs.Options{Worker: w, Leader: promptLeader{l}})
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(previousCallsExpired)
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(time.Second)
		l.update(func() { l.reportsFail = true })
		time.Sleep(2 * time.Second)
		w.unreadable.Store(true)
		w.refusedCalls.Store("stop")
		l.update(func() { l.orders = stopOrders(3, 1) })
		time.Sleep(2 * time.Second)
		l.update(func() { l.reportsFail = false })
		time.Sleep(time.Second)
		w.unreadable.Store(false)
		time.Sleep(2 * time.Second)
		checkEndIsReportedFirst(t, l)
	})
}

// Guards against a task that waits forever: its worker refused the start and confirmed the stop, and
// one row of its status can never be read.
func TestRefusedRunIsReturnedInSpiteOfPartialStatus(t *testing.T) {
	withPartialWorker(t, func(l *leader, _ *runs.Driver, w *ineffectiveWorker) {
		w.on.Store(true)
		time.Sleep(2 * time.Second)
		w.refusedCalls.Store("start")
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(2 * time.Second)
		w.refusedCalls.Store("")
		time.Sleep(60 * time.Second)
		if len(l.refusals()) == 0 && len(w.Running()) == 0 {
			t.Errorf("the run neither runs nor is returned after 60 s; %d stops", w.stopCalls.Load())
		}
	})
}
