package runs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

var errNotListening = fmt.Errorf("connection refused: %w", runs.ErrNotSent)

// Guards against a job that reaches its crash limit through crashes of workers that never
// received a start of its task.
func TestNeverSentStartIsReported(t *testing.T) {
	for name, lostBefore := range map[string]bool{"never sent": false, "lost once": true} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
			withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
				time.Sleep(2 * time.Second)
				if lostBefore {
					w.lostCall.Store("start")
				} else {
					w.startError.Store(&errNotListening)
				}
				l.update(func() { l.orders = startOrders(2, 1) })
				time.Sleep(2 * time.Second)
				w.startError.Store(&errNotListening)
				time.Sleep(time.Second)
				w.Crash()
				time.Sleep(2 * time.Second)
				if worked, ok := l.workedAtCrash(); !ok || len(worked) != 1 || worked[0].NeverSent == lostBefore {
					t.Errorf("work reported with the crash: %v", worked)
				}
			})
		})
	}
}

// Guards against a job that reaches its crash limit through crashes of workers on which its run had
// ended by itself: the end was not reported before the crash.
func TestEndBeforeCrashIsReported(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		w.Duration = func(jobqueue.TaskID) time.Duration { return 3 * time.Second }
		time.Sleep(2 * time.Second)
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(2500 * time.Millisecond)
		l.update(func() { l.unavailable = true })
		time.Sleep(2500 * time.Millisecond)
		w.Crash()
		time.Sleep(time.Second)
		l.update(func() { l.unavailable = false })
		time.Sleep(2 * time.Second)
		if worked, ok := l.workedAtCrash(); !ok || len(worked) != 1 || !worked[0].Ended {
			t.Errorf("work reported with the crash: %v", worked)
		}
	})
}

// Guards against a job that reaches its crash limit through crashes of workers on which its run had
// ended by itself, while the agent waited for the response to a report.
func TestEndDuringReportIsNoticed(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, promptLeader{l}, func(_ *runs.Driver, w *countingWorker) {
		w.Duration = func(jobqueue.TaskID) time.Duration { return 2 * time.Second }
		time.Sleep(2 * time.Second)
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(1400 * time.Millisecond)
		l.update(func() { l.reportsHang = true })
		for len(w.Running()) > 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(3 * statusPollInterval)
		w.Crash()
		l.update(func() { l.reportsHang = false })
		time.Sleep(4 * time.Second)
		if worked, ok := l.workedAtCrash(); !ok || len(worked) != 1 || !worked[0].Ended {
			t.Errorf("work reported with the crash: %v", worked)
		}
	})
}

// Guards against a job that reaches its crash limit through crashes of workers on which its run had
// ended by itself, while the agent waited for an answer that was lost.
func TestEndDuringLostRenewalIsNoticed(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, promptLeader{l}, func(_ *runs.Driver, w *countingWorker) {
		w.Duration = func(jobqueue.TaskID) time.Duration { return 2 * time.Second }
		time.Sleep(2 * time.Second)
		l.update(func() { l.orders = startOrders(2, 1) })
		for len(w.Running()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(1500 * time.Millisecond)
		for lost := w.renewals.Load() + 1; w.renewals.Load() < lost; {
			w.lostCall.Store("renew")
			time.Sleep(time.Millisecond)
		}
		w.lostCall.Store("")
		time.Sleep(renewalWait + 2*renewalOverdue)
		w.Crash()
		time.Sleep(4 * time.Second)
		if worked, ok := l.workedAtCrash(); !ok || len(worked) != 1 || !worked[0].Ended {
			t.Errorf("work reported with the crash: %v", worked)
		}
	})
}

const (
	// renewalWait is how long the worker may wait for a run to end before it answers a renewal, and
	// renewalOverdue the time after that from which on the agent repeats the call.
	renewalWait    = 500 * time.Millisecond
	renewalOverdue = 100 * time.Millisecond
)

// statusPollInterval is how often the agent reads the worker's status during a report.
const statusPollInterval = 100 * time.Millisecond

// workedAtCrash returns the work that the agent reported for the runs of a worker that crashed.
func (l *leader) workedAtCrash() ([]*apiv1.RunWork, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.reports {
		if r.Departed {
			return r.Worked, r.Crashed
		}
	}
	return nil, false
}
