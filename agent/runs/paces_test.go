package runs_test

import (
	"context"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

func paceOrders(sequence uint64, percent uint32) *apiv1.JobsOrdersResponse {
	return &apiv1.JobsOrdersResponse{
		Term: term, Sequence: sequence, Epoch: 1, Paces: []*apiv1.PaceOrder{{Task: firstTask.Ref(), Run: 1, Percent: percent}},
	}
}

// Guards against a pace that counts as set although the worker refused it.
func TestRefusedPaceIsRepeated(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.refusedCalls.Store("pace")
		l.update(func() { l.orders = paceOrders(2, 30) })
		time.Sleep(2 * time.Second)
		w.refusedCalls.Store("")
		time.Sleep(2 * time.Second)
		if pace := w.PaceOf(firstTask); pace != 30 {
			t.Errorf("the run works at %d percent, not 30", pace)
		}
	})
}

// Guards against an earlier pace that the worker carries out late, after the present one was
// confirmed, and that stays.
func TestLatePaceDoesNotStay(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.nextDelay.Store(&delayedCall{"pace", 5 * time.Second})
		l.update(func() { l.orders = paceOrders(2, 60) })
		time.Sleep(1500 * time.Millisecond)
		l.update(func() { l.orders = paceOrders(3, 0) })
		time.Sleep(8 * time.Second)
		if pace := w.PaceOf(firstTask); pace != 0 {
			t.Errorf("the run works at %d percent, not 0", pace)
		}
	})
}

// Guards against a run that stays slowed down by a previous agent.
func TestPaceOfPreviousAgentIsCorrected(t *testing.T) {
	l := &leader{epoch: 1, orders: paceOrders(1, 100)}
	before := func(w *countingWorker) {
		id := jobqueue.RunID{Task: firstTask, Number: 1}
		o := runs.Order{Incarnation: "w1", Term: term}
		if a, err := w.RunWorker.Start(context.Background(), o, runs.Start{Run: id, DeadlineMs: 1_000_000 + leaseMs}); err != nil || a != runs.AnswerDone {
			t.Errorf("%v, %v", a, err)
		}
		if a, err := w.RunWorker.Pace(context.Background(), o, id, 0); err != nil || a != runs.AnswerDone {
			t.Errorf("%v, %v", a, err)
		}
	}
	withDriverAfter(t, l, before, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(30 * time.Second)
		if len(w.Running()) == 0 {
			t.Fatal("not running")
		}
		if pace := w.PaceOf(firstTask); pace != 100 {
			t.Errorf("30 s after the agent started, the run works at %d percent, and the leader orders 100", pace)
		}
	})
}

// Guards against a run that stays slowed down because the agent takes a new order of its pace for one
// that is in effect.
func TestPaceIsCorrectedAfterItsOrderWasForgotten(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		l.update(func() { l.orders = paceOrders(2, 0) })
		time.Sleep(3 * time.Second)
		if pace := w.PaceOf(firstTask); pace != 0 {
			t.Fatalf("pace %d", pace)
		}
		l.update(func() { l.orders = &apiv1.JobsOrdersResponse{Term: term, Sequence: 3, Epoch: 1} })
		time.Sleep(3 * time.Second)
		l.update(func() { l.orders = paceOrders(4, 100) })
		time.Sleep(30 * time.Second)
		if pace := w.PaceOf(firstTask); pace != 100 {
			t.Errorf("the run works at %d percent, and the leader orders 100", pace)
		}
	})
}
