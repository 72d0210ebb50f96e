package runs_test

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const maxCordonAge = 3 * time.Second

func cordonOrder(revision uint64, cordoned bool) *apiv1.ZoneCordon {
	return &apiv1.ZoneCordon{Zone: "z", Revision: revision, Cordoned: cordoned}
}

// Guards against a start that was ordered before the zone was cordoned and is sent after it, also one
// that was sent before without an answer.
func TestStartIsNotSentIntoCordonedZone(t *testing.T) {
	for _, tried := range []bool{false, true} {
		registry := metrics.NewRegistry()
		l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
		withDriverOf(t, runs.Options{Leader: l, MaxCordonAge: maxCordonAge, Metrics: registry}, func(*countingWorker) {}, func(_ *runs.Driver, w *countingWorker) {
			time.Sleep(2 * time.Second)
			if tried {
				w.lostCall.Store("start")
				l.update(func() { l.orders = startOrders(2, 1) })
				time.Sleep(50 * time.Millisecond)
			}
			l.update(func() {
				l.cordon = cordonOrder(1, true)
				l.orders = startOrders(3, 1)
				l.orders.Cordon = l.cordon
			})
			time.Sleep(1500 * time.Millisecond)
			w.lostCall.Store("")
			before := w.startCalls.Load()
			time.Sleep(20 * time.Second)
			if n := w.startCalls.Load() - before; n != 0 || !tried && before != 0 {
				t.Errorf("tried %v: %d starts were sent before and %d in the cordoned zone", tried, before, n)
			}
			refused := l.refusals()
			if len(refused) == 0 || refused[0].Reason != jobqueue.RefusedCordoned {
				t.Errorf("tried %v: returned %v", tried, refused)
			}
			if n := metrics.GetOrRegisterCounter("runs.starts_cordoned", registry).Count(); n != 1 {
				t.Errorf("tried %v: %d withdrawn starts are counted", tried, n)
			}
		})
	}
}

// Guards against an agent that hears from no leader and sends starts although the zone may be cordoned,
// and against one that sends none after it has heard again.
func TestStartWaitsWhileCordonMayBeUnknown(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriverOf(t, runs.Options{Leader: l, MaxCordonAge: maxCordonAge}, func(*countingWorker) {}, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		l.update(func() { l.reportsFail = true })
		time.Sleep(maxCordonAge + 100*time.Millisecond)
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(4 * time.Second)
		if n := w.startCalls.Load(); n != 0 {
			t.Errorf("%d starts without an answer of a leader", n)
		}
		l.update(func() { l.reportsFail = false })
		time.Sleep(2 * time.Second)
		if n := w.startCalls.Load(); n != 1 {
			t.Errorf("%d starts after the leader answered, want 1", n)
		}
	})
}

// Guards against starts past a cordon by an announcement that names another zone.
func TestAnnouncementOfAnotherZoneIsRefused(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriverOf(t, runs.Options{Leader: l}, func(*countingWorker) {}, func(d *runs.Driver, _ *countingWorker) {
		time.Sleep(time.Second)
		other := workerSpec("w1")
		other.AvailabilityZone = "other"
		if err := d.Announce(runs.Announcement{Worker: other, Sequence: 2}); err == nil {
			t.Error("an announcement moves the worker to another zone")
		}
	})
}

// Guards against an answer that another one overtook and that takes a cordon back.
func TestOvertakenAnswerDoesNotWithdrawCordon(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriverOf(t, runs.Options{Leader: l, MaxCordonAge: maxCordonAge}, func(*countingWorker) {}, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		l.update(func() {
			l.orders = &apiv1.JobsOrdersResponse{Term: term, Sequence: 2, Epoch: 1, Cordon: cordonOrder(5, true)}
			l.cordon = cordonOrder(4, false)
		})
		time.Sleep(1500 * time.Millisecond)
		l.update(func() { l.orders = startOrders(3, 1) })
		time.Sleep(2 * time.Second)
		if n := w.startCalls.Load(); n != 0 {
			t.Errorf("%d starts", n)
		}
		l.update(func() { l.cordon = cordonOrder(6, false) })
		time.Sleep(time.Second)
		l.update(func() {
			l.orders = startOrders(4, 1)
			l.orders.Starts[0].Run = 2
		})
		time.Sleep(2 * time.Second)
		if n := w.startCalls.Load(); n != 1 {
			t.Errorf("%d starts after the cordon was withdrawn, want 1", n)
		}
	})
}
