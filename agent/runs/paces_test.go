package runs_test

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
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
