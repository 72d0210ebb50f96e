package runs_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// otherRun runs on the worker before the agent starts.
var otherRun = jobqueue.RunID{Task: jobqueue.TaskID{Job: "j"}, Number: 1}

// startOtherRun has the worker start otherRun without the agent.
func startOtherRun(t *testing.T) func(*countingWorker) {
	return func(w *countingWorker) {
		order := runs.Order{Incarnation: "w1", Term: term}
		answer, err := w.RunWorker.Start(context.Background(), order, runs.Start{Run: otherRun, DeadlineMs: 1_000_000 + leaseMs})
		if err != nil || answer != runs.AnswerDone {
			t.Errorf("%v, %v", answer, err)
		}
	}
}

func reserved(cpuMilli int64) *apiv1.JobResources {
	return &apiv1.JobResources{CpuMilli: cpuMilli, MemoryMb: 10}
}

// Guards against a start beside a run that the worker lists and that leaves no capacity for it: one that
// the leader does not count yet, or that nobody knows.
func TestStartThatDoesNotFitIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		other  *apiv1.JobResources
		reason string
	}{
		"fits":        {reserved(500), ""},
		"too large":   {reserved(501), "no room"},
		"unknown run": {nil, "unknown run"},
	} {
		t.Run(name, func(t *testing.T) {
			orders := startOrders(1, 1)
			orders.Starts[0].Reserved = reserved(500)
			l := &leader{
				epoch: 1, orders: orders,
				reservations: []*apiv1.RunReservation{{Task: otherRun.Task.Ref(), Run: otherRun.Number, Reserved: c.other}},
			}
			withDriverAfter(t, l, startOtherRun(t), func(_ *runs.Driver, w *countingWorker) {
				time.Sleep(3 * time.Second)
				refused := l.refusals()
				switch n := w.startCalls.Load(); {
				case c.reason == "" && (n != 1 || len(refused) != 0):
					t.Errorf("%d starts, refused: %v", n, refused)
				case c.reason != "" && (n != 0 || len(refused) == 0 || refused[0].Reason != c.reason):
					t.Errorf("%d starts, refused: %v", n, refused)
				}
			})
		})
	}
}

// Guards against a start that is sent before the leader has told what another run on the worker
// reserves, and against an agent that asks for it without a pause.
func TestStartWaitsForReservationsOfListedRuns(t *testing.T) {
	orders := startOrders(1, 1)
	orders.Starts[0].Reserved = reserved(500)
	l := &leader{epoch: 1, orders: orders, reservations: []*apiv1.RunReservation{}}
	withDriverAfter(t, l, startOtherRun(t), func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(3 * time.Second)
		if n := w.startCalls.Load(); n != 0 {
			t.Errorf("%d starts before the reservation is known", n)
		}
		l.update(func() {
			if l.reservationRequests > 20 {
				t.Errorf("%d requests in three seconds", l.reservationRequests)
			}
			l.reservations = append(l.reservations, &apiv1.RunReservation{Task: otherRun.Task.Ref(), Run: otherRun.Number, Reserved: reserved(100)})
		})
		time.Sleep(2 * time.Second)
		if n := w.startCalls.Load(); n != 1 {
			t.Errorf("%d starts once the reservation is known, want 1", n)
		}
	})
}

// Guards against a rolling upgrade during which no task starts: a leader of an earlier release tells
// nothing about reservations.
func TestLeaderWithoutReservationsHoldsNoStartBack(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriverAfter(t, l, startOtherRun(t), func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(3 * time.Second)
		if n := w.startCalls.Load(); n != 1 {
			t.Errorf("%d starts, want 1", n)
		}
	})
}

// Guards against starts that fit one by one and not together: a start without an answer may be carried
// out at any time.
func TestUnansweredStartUsesCapacity(t *testing.T) {
	orders := startOrders(1, 1)
	orders.Starts[0].Reserved = reserved(600)
	l := &leader{epoch: 1, orders: orders, reservations: []*apiv1.RunReservation{}}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		w.lostCall.Store("start")
		time.Sleep(time.Second)
		w.lostCall.Store(allCalls)
		second := jobqueue.RunID{Task: jobqueue.TaskID{Job: "j"}, Number: 2}
		l.update(func() {
			l.orders = &apiv1.JobsOrdersResponse{Term: term, Sequence: 2, Epoch: 1, Starts: []*apiv1.StartOrder{
				{Task: second.Task.Ref(), Run: second.Number, Reserved: reserved(600)},
			}}
		})
		time.Sleep(1500 * time.Millisecond)
		before := w.startCalls.Load()
		w.lostCall.Store("")
		time.Sleep(2 * time.Second)
		if n := w.startCalls.Load(); n != before {
			t.Errorf("%d starts beside one that may still begin", n-before)
		}
	})
}

// Guards against starts that are not checked, because the first requests for the reservations on the worker
// failed.
func TestFailedRequestForReservationsIsRepeated(t *testing.T) {
	orders := startOrders(1, 1)
	orders.Starts[0].Reserved = reserved(500)
	l := &leader{
		epoch: 1, orders: orders, ordersFail: true,
		reservations: []*apiv1.RunReservation{{Task: otherRun.Task.Ref(), Run: otherRun.Number, Reserved: reserved(501)}},
	}
	withDriverAfter(t, l, startOtherRun(t), func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(120 * time.Millisecond)
		l.update(func() { l.ordersFail = false })
		time.Sleep(3 * time.Second)
		if n := w.startCalls.Load(); n != 0 {
			t.Errorf("%d starts that do not fit", n)
		}
	})
}

// Guards against a start beside a run whose row in the worker's list can't be read: one that this agent has
// listed before, and one that it has not.
func TestUnreadableRunUsesCapacity(t *testing.T) {
	for name, readableFor := range map[string]time.Duration{"never read": 0, "read before": previousCallsExpired} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &leader{
					epoch: 1, orders: idleOrders(),
					reservations: []*apiv1.RunReservation{{Task: otherRun.Task.Ref(), Run: otherRun.Number, Reserved: reserved(501)}},
				}
				watch := fakes.NewRunChecker()
				watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
				w := &partialWorker{countingWorker: &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}}
				startOtherRun(t)(w.countingWorker)
				w.unreadable.Store(readableFor == 0)
				d := runs.New(runs.Options{Worker: w, Leader: l})
				defer runDriver(d)()
				announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
				time.Sleep(readableFor)
				w.unreadable.Store(true)
				time.Sleep(time.Second)
				orders := startOrders(2, 1)
				orders.Starts[0].Reserved = reserved(500)
				l.update(func() { l.orders = orders })
				time.Sleep(3 * time.Second)
				if n := w.startCalls.Load(); n != 0 {
					t.Errorf("%d starts beside a run that can't be read", n)
				}
			})
		})
	}
}
