package runs_test

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against a job that reaches its crash limit through starts that never reached their worker: they
// are returned when the worker has ended or its lease has expired.
func TestNeverSentStartIsReturned(t *testing.T) {
	departed := func(r *apiv1.JobsReportRequest) bool { return r.Departed }
	for name, test := range map[string]struct {
		end      func(*testing.T, *runs.Driver, *countingWorker)
		isReport func(*apiv1.JobsReportRequest) bool
	}{
		"crash": {func(_ *testing.T, _ *runs.Driver, w *countingWorker) { w.Crash() }, departed},
		"departure": {func(t *testing.T, d *runs.Driver, w *countingWorker) {
			w.renewError.Store(&errNoListener)
			d.Depart("w1")
		}, departed},
		"next incarnation": {func(t *testing.T, d *runs.Driver, w *countingWorker) {
			w.Spec.Id = "w1b"
			announce(t, d, runs.Announcement{Worker: workerSpec("w1b"), Sequence: 1})
		}, departed},
		"lease expires": {func(_ *testing.T, _ *runs.Driver, w *countingWorker) {
			w.renewError.Store(&errNoListener)
		}, func(r *apiv1.JobsReportRequest) bool { return r.Lapsed }},
	} {
		for sentName, sent := range map[string]bool{"never sent": false, "lost once": true} {
			t.Run(name+", "+sentName, func(t *testing.T) {
				l := &leader{epoch: 1, orders: idleOrders()}
				withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
					time.Sleep(2 * time.Second)
					if sent {
						w.lostCall.Store("start")
					} else {
						w.startError.Store(&errNotListening)
					}
					l.update(func() { l.orders = startOrders(2, 1) })
					time.Sleep(2 * time.Second)
					w.startError.Store(&errNotListening)
					time.Sleep(time.Second)
					test.end(t, d, w)
					time.Sleep(10 * time.Second)
					returned, found := l.refusalsIn(test.isReport)
					if !found || (len(returned) == 1) == sent {
						t.Errorf("reported %v, with the returned starts %v", found, returned)
					}
				})
			})
		}
	}
}

// refusalsIn returns the starts that the first matching report returns.
func (l *leader) refusalsIn(matches func(*apiv1.JobsReportRequest) bool) (list []*apiv1.RunRefusal, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.reports {
		if matches(r) {
			return r.Refusals, true
		}
	}
	return nil, false
}

// Guards against the same where the order of the start never reached the agent.
func TestWorkerThatGotNoStartIsReported(t *testing.T) {
	for name, started := range map[string]bool{"no start": false, "a start": true} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: idleOrders()}
			withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
				time.Sleep(30 * time.Second) // A previous agent's calls are settled.
				if started {
					l.update(func() { l.orders = startOrders(2, 1) })
				}
				time.Sleep(2 * time.Second)
				w.Crash()
				time.Sleep(2 * time.Second)
				l.mu.Lock()
				defer l.mu.Unlock()
				if last := l.reports[len(l.reports)-1]; !last.Departed || last.NoRunBegan == started {
					t.Errorf("the last report is %v", last)
				}
			})
		})
	}
	t.Run("new agent", func(t *testing.T) {
		l := &leader{epoch: 1, orders: idleOrders()}
		withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
			time.Sleep(2 * time.Second)
			w.Crash()
			time.Sleep(2 * time.Second)
			l.mu.Lock()
			defer l.mu.Unlock()
			if last := l.reports[len(l.reports)-1]; !last.Departed || last.NoRunBegan {
				t.Errorf("the last report is %v", last)
			}
		})
	})
}
