package runs_test

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// previousCallsExpired is longer than a call of a previous agent may be carried out after an agent
// has started.
const previousCallsExpired = 7 * time.Second

// idleOrders are orders without any call to make.
func idleOrders() *apiv1.JobsOrdersResponse {
	return &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}
}

// Guards against a task of a canceled job that runs on because its worker refused the stop once.
func TestRefusedStopIsRepeated(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.refusedCalls.Store(allCalls)
		l.update(func() { l.orders = stopOrders(2, 1) })
		time.Sleep(3 * time.Second)
		if len(w.Running()) != 1 {
			t.Fatal("the task is not running")
		}
		w.refusedCalls.Store("")
		time.Sleep(time.Second)
		if len(w.Running()) != 0 {
			t.Error("the task runs on after its worker accepts calls again")
		}
	})
}

// Guards against a task that runs on two workers: a start gets no answer and is carried out later;
// its repetition and the stop are refused, and the run is returned as one that never began.
func TestRunWithStartInFlightIsNotReturned(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		w.nextStartDelay.Store(int64(3 * time.Second))
		w.refusedCalls.Store("start stop")
		l.update(func() { l.orders = startOrders(2, 1) })
		began := false
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			running := len(w.Running()) > 0
			began = began || running
			if running && len(l.refusals()) > 0 {
				t.Fatal("the task runs after it was returned")
			}
		}
		if !began && len(l.refusals()) == 0 {
			t.Error("the run neither began nor was it returned")
		}
	})
}

