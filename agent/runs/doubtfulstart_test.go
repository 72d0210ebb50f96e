package runs_test

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
)

// Guards against a start that was sent without an answer and is sent again after a change that forbids it:
// the task would begin although nobody waits for it, where it has no room, or twice.
func TestUnansweredStartIsNotRepeatedAfterChange(t *testing.T) {
	for name, change := range map[string]func(t *testing.T, d *runs.Driver, l *leader){
		"job is canceled": func(_ *testing.T, _ *runs.Driver, l *leader) { l.orders = stopOrders(3, 1) },
		"start is withdrawn": func(_ *testing.T, _ *runs.Driver, l *leader) {
			l.orders = idleOrders()
			l.orders.Sequence = 3
		},
		"runs are given up": func(_ *testing.T, _ *runs.Driver, l *leader) {
			l.epoch = 2
			l.orders = idleOrders()
			l.orders.Sequence, l.orders.Epoch = 3, 2
		},
		"capacity shrinks": func(t *testing.T, d *runs.Driver, _ *leader) {
			small := workerSpec("w1")
			small.CpuMilli = 100
			announce(t, d, runs.Announcement{Worker: small, Sequence: 2})
		},
		"worker drains": func(t *testing.T, d *runs.Driver, _ *leader) {
			draining := workerSpec("w1")
			draining.Draining = true
			announce(t, d, runs.Announcement{Worker: draining, Sequence: 2})
		},
		"worker announces its departure": func(_ *testing.T, d *runs.Driver, _ *leader) { d.Depart("w1") },
	} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: idleOrders()}
			withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
				time.Sleep(previousCallsExpired)
				w.lostCall.Store("start")
				orders := startOrders(2, 1)
				orders.Starts[0].Reserved = reserved(500)
				l.update(func() { l.orders = orders })
				for w.startCalls.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				l.update(func() { change(t, d, l) })
				time.Sleep(1500 * time.Millisecond) // the change reaches the agent
				before := w.startCalls.Load()
				w.lostCall.Store("")
				time.Sleep(10 * time.Second)
				if n := w.startCalls.Load() - before; n > 0 || len(w.Running()) > 0 {
					t.Errorf("%d starts were sent after the change, %v run", n, w.Running())
				}
			})
		})
	}
}
