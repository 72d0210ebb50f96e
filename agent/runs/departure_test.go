package runs_test

import (
	"slices"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against a task that runs on two workers: a worker has reported its departure, and refuses
// a call while its tasks go on.
func TestDepartureIsReportedOnceTheWorkerRunsNothing(t *testing.T) {
	for name, fault := range map[string]func(*countingWorker){
		"refuses calls": func(w *countingWorker) { w.refusedCalls.Store("renew") },
		"loses calls":   func(w *countingWorker) { w.lostCall.Store("renew") },
	} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: startOrders(1, 1)}
			withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
				time.Sleep(2 * time.Second)
				fault(w)
				d.Depart("w1")
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					l.mu.Lock()
					departed := slices.ContainsFunc(l.reports, func(r *apiv1.JobsReportRequest) bool { return r.Departed })
					l.mu.Unlock()
					if running := len(w.Running()); departed && running > 0 {
						t.Fatalf("the departure is reported while %d tasks run", running)
					}
				}
			})
		})
	}
}

// Guards against runs that stay assigned for a whole lease to a worker that has ended as it said.
func TestDepartureOfEndedWorkerIsReportedAtOnce(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.renewError.Store(&errNoListener)
		d.Depart("w1")
		time.Sleep(time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		if last := l.reports[len(l.reports)-1]; !last.Departed {
			t.Error("the departure is not reported after a second")
		}
	})
}

// Guards against a task that runs on two workers: a departing worker lists nothing, and carries out
// a start that got no answer after its departure was reported.
func TestDepartureIsReportedOnceNoStartCanArrive(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		w.nextDelay.Store(&delayedCall{"start", 800 * time.Millisecond})
		w.refusedCalls.Store("start stop")
		l.update(func() { l.orders = startOrders(2, 1) })
		for w.startCalls.Load() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		d.Depart("w1")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			l.mu.Lock()
			departed := slices.ContainsFunc(l.reports, func(r *apiv1.JobsReportRequest) bool { return r.Departed })
			l.mu.Unlock()
			if departed && len(w.Running()) > 0 {
				t.Fatal("the task runs after the departure was reported")
			}
		}
	})
}
