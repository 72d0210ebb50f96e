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
