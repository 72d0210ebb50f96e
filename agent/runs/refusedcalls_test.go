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

// lateCallBound is how late the worker may carry out a call, and statusInterval the time between two
// reports of its status.
const (
	lateCallBound  = 15 * time.Second
	statusInterval = 500 * time.Millisecond
)

// previousCallsExpired is the time after the start of an agent until the status shows all calls of
// a previous one.
const previousCallsExpired = lateCallBound + 3*statusInterval

// startExpired is the sum of a poll for orders, the time in which a start may be carried out, and
// three renewals of the lease.
const startExpired = time.Second + lateCallBound + 3*statusInterval

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

// answeringWorker answers the first stops itself, without stopping anything.
type answeringWorker struct {
	*countingWorker
	answer runs.Answer
	left   atomic.Int64
}

func (w *answeringWorker) Stop(ctx context.Context, o runs.Order, id jobqueue.RunID) (runs.Answer, error) {
	if w.left.Add(-1) >= 0 {
		return w.answer, nil
	}
	return w.countingWorker.Stop(ctx, o, id)
}

// Guards against a stop that counts as carried out because it was answered, although the worker
// still lists the run.
func TestRunThatIsListedAfterItsStopIsStoppedAgain(t *testing.T) {
	for _, answer := range []runs.Answer{
		runs.AnswerDone, runs.AnswerEnded, runs.AnswerInvalid, runs.AnswerUnhealthy, runs.AnswerNoCapacity, runs.AnswerDeadlinePassed,
		runs.AnswerNoTicket,
	} {
		t.Run(answer.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &leader{epoch: 1, orders: startOrders(1, 1)}
				watch := fakes.NewRunChecker()
				watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
				w := &answeringWorker{
					countingWorker: &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}, answer: answer,
				}
				w.left.Store(2)
				d := runs.New(runs.Options{Worker: w, Leader: l})
				defer runDriver(d)()
				announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
				time.Sleep(2 * time.Second)
				l.update(func() { l.orders = stopOrders(2, 1) })
				time.Sleep(6 * time.Second)
				if len(w.Running()) != 0 {
					t.Errorf("the task runs on; %d stops were sent", 2-w.left.Load())
				}
			})
		})
	}
}

// Guards against a task that runs on two workers: a start gets no answer and is carried out later;
// its repetition and the stop are refused, and the run is returned as one that never began.
func TestRunWithStartInFlightIsNotReturned(t *testing.T) {
	for _, delay := range []time.Duration{800 * time.Millisecond, 3 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) { checkStartInFlight(t, delay, false) })
		t.Run("lease decides/"+delay.String(), func(t *testing.T) { checkStartInFlight(t, delay, true) })
	}
	t.Run("lease decides/12s", func(t *testing.T) { checkStartInFlight(t, 12*time.Second, true) })
}

// checkStartInFlight plays a start that arrives after a delay.
func checkStartInFlight(t *testing.T, delay time.Duration, leaseDecides bool) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, promptLeader{l}, func(_ *runs.Driver, w *countingWorker) {
		w.LeaseDecidesDeadline = leaseDecides
		time.Sleep(previousCallsExpired)
		w.nextDelay.Store(&delayedCall{"start", delay})
		w.refusedCalls.Store("start stop")
		l.update(func() { l.orders = startOrders(2, 1) })
		began := false
		for range 200 {
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
		if leaseDecides && !began {
			t.Error("the late start was not carried out")
		}
	})
}

// Guards against a task that waits for a worker that refuses all calls, although no start of it
// can be carried out any more.
func TestRefusedStartIsReturnedWithoutStop(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		w.refusedCalls.Store("start")
		l.update(func() { l.orders = startOrders(2, 1) })
		for w.startCalls.Load() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		if len(l.refusals()) == 0 || w.stopCalls.Load() > 0 {
			t.Errorf("%d refusals after a second, %d stops", len(l.refusals()), w.stopCalls.Load())
		}
	})
}

// Guards against a task that waits longer than its start may be in flight, while its worker
// refuses all stops.
func TestRunIsReturnedOnceItsStartExpired(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		w.lostCall.Store("start")
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(time.Second)
		w.refusedCalls.Store("stop")
		l.update(func() { l.orders = stopOrders(3, 1) })
		time.Sleep(startExpired)
		if len(l.refusals()) == 0 {
			t.Errorf("the run is not returned; %d stops", w.stopCalls.Load())
		}
	})
}

// Guards against a task that runs on two workers: the next leader, which has no report yet, orders
// the start of a run that is running; the worker refuses it, and the run is returned as one that
// never began.
func TestRunningRunIsNotReturnedAfterRefusedStart(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		l.update(func() { l.orders = &apiv1.JobsOrdersResponse{Term: term, Sequence: 2, Epoch: 1} })
		time.Sleep(2 * time.Second)
		w.refusedCalls.Store("start stop")
		l.update(func() { l.orders = startOrders(3, 1) })
		time.Sleep(3 * time.Second)
		if n := len(l.refusals()); n > 0 || len(w.Running()) == 0 {
			t.Errorf("%d refusals, and %d tasks run", n, len(w.Running()))
		}
	})
}

// awaitAndRefuse refuses starts and stops for ten seconds, and checks that no run begins or goes on
// after it was returned.
func awaitAndRefuse(t *testing.T, l *leader, w *countingWorker) {
	t.Helper()
	w.refusedCalls.Store("start stop")
	for range 1000 {
		time.Sleep(10 * time.Millisecond)
		if len(l.refusals()) > 0 && len(w.Running()) > 0 {
			t.Fatal("the task runs after it was returned")
		}
	}
}

// Guards against a task that runs on two workers: a previous agent's start is carried out after the
// present agent has returned the run.
func TestStartOfPreviousAgentMayStillArrive(t *testing.T) {
	t.Run("whole lease", func(t *testing.T) {
		l := &leader{epoch: 1, orders: startOrders(1, 1)}
		withDriverAfter(t, promptLeader{l}, startByPreviousAgent(3*time.Second, leaseMs), func(_ *runs.Driver, w *countingWorker) {
			awaitAndRefuse(t, l, w)
		})
	})
	t.Run("lease decides", func(t *testing.T) {
		l := &leader{epoch: 1, orders: startOrders(1, 1)}
		withDriverAfter(t, promptLeader{l}, startByPreviousAgent(8*time.Second, 1000), func(_ *runs.Driver, w *countingWorker) {
			w.LeaseDecidesDeadline = true
			awaitAndRefuse(t, l, w)
			if len(w.Running()) == 0 {
				t.Error("the late start was not carried out")
			}
		})
	})
}

// Guards against a task that runs on two workers: the first orders are those of a leader that was
// replaced and lack a run, and a previous agent's start of it arrives after it was returned.
func TestStartOfPreviousAgentThatFirstOrdersLackMayArrive(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriverAfter(t, promptLeader{l}, startByPreviousAgent(8*time.Second, 1000), func(_ *runs.Driver, w *countingWorker) {
		w.LeaseDecidesDeadline = true
		time.Sleep(time.Second)
		l.update(func() { l.orders = startOrders(2, 1) })
		awaitAndRefuse(t, l, w)
		if len(w.Running()) == 0 {
			t.Error("the late start was not carried out")
		}
	})
}

// startByPreviousAgent sends a start that is carried out after a delay and whose deadline is some
// time ahead, and has the worker refuse further starts, and stops.
func startByPreviousAgent(delay time.Duration, deadlineMs int64) func(*countingWorker) {
	return func(w *countingWorker) {
		w.nextDelay.Store(&delayedCall{"start", delay})
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		id := jobqueue.RunID{Task: firstTask, Number: 1}
		_, _ = w.RunWorker.Start(ctx, runs.Order{Incarnation: "w1", Term: term}, runs.Start{Run: id, DeadlineMs: 1_000_000 + deadlineMs})
		w.refusedCalls.Store("start stop")
	}
}

// Guards against a task that runs on two workers: the leader withdraws a start for a moment, and the
// agent forgets that it had sent it.
func TestStartInFlightOutlivesItsOrder(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, promptLeader{l}, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		w.nextDelay.Store(&delayedCall{"start", 900 * time.Millisecond})
		w.refusedCalls.Store("start stop")
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(500 * time.Millisecond)
		l.withdrawAndRepeat(startOrders(5, 1))
		awaitAndRefuse(t, l, w)
	})
}

// Guards against a task that runs on two workers: a start was confirmed, the leader withdraws it for
// a moment, and its repetition is refused before a status lists the run.
func TestConfirmedRunIsNotReturnedBeforeItIsListed(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, promptLeader{l}, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		l.update(func() { l.orders = startOrders(2, 1) })
		for len(w.Running()) == 0 {
			time.Sleep(time.Millisecond)
		}
		w.refusedCalls.Store("start stop")
		l.withdrawAndRepeat(startOrders(5, 1))
		awaitAndRefuse(t, l, w)
	})
}

// earlyStatusWorker answers a renewal after its wait with the status at the request.
type earlyStatusWorker struct{ *countingWorker }

func (w earlyStatusWorker) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (runs.Status, runs.Answer, error) {
	wait := r.Wait
	r.Wait = 0
	status, answer, err := w.countingWorker.Renew(ctx, o, r)
	time.Sleep(wait)
	return status, answer, err
}

// Guards against a task that runs on two workers: a start was confirmed, its repetition is refused,
// and a status that was taken before the start is believed to show that the run is not there.
func TestConfirmedRunIsNotReturnedByEarlierStatus(t *testing.T) {
	for offset := time.Duration(0); offset < statusInterval; offset += 50 * time.Millisecond {
		t.Run(offset.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &leader{epoch: 1, orders: idleOrders()}
				watch := fakes.NewRunChecker()
				watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
				w := &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}
				w.Fault = w.fault
				d := runs.New(runs.Options{Worker: earlyStatusWorker{w}, Leader: promptLeader{l}})
				defer runDriver(d)()
				announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
				time.Sleep(previousCallsExpired + offset)
				l.update(func() { l.orders = startOrders(2, 1) })
				for len(w.Running()) == 0 {
					time.Sleep(time.Millisecond)
				}
				w.refusedCalls.Store("start stop")
				l.withdrawAndRepeat(startOrders(5, 1))
				awaitAndRefuse(t, l, w)
			})
		})
	}
}

// Guards against a task that runs on two workers: a run was returned, and its start is sent again
// before the leader has received that.
func TestReturnedRunIsNotStartedAgain(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, promptLeader{l}, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		w.refusedCalls.Store("start stop")
		l.update(func() { l.reportsFail, l.orders = true, startOrders(2, 1) })
		time.Sleep(time.Second)
		w.refusedCalls.Store("")
		l.withdrawAndRepeat(startOrders(5, 1))
		time.Sleep(time.Second)
		l.update(func() { l.reportsFail = false })
		time.Sleep(time.Second)
		if n := len(l.refusals()); n == 0 || len(w.Running()) > 0 {
			t.Errorf("%d refusals, and %d tasks run", n, len(w.Running()))
		}
	})
}

// Guards against a task that runs on two workers: the row of its run can't be read, its start is
// sent again and refused, and the run is returned as one that is not listed.
func TestUnreadableRunIsNotReturnedAfterRefusedStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{epoch: 1, orders: startOrders(1, 1)}
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
		w := &partialWorker{countingWorker: &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}}
		w.Fault = w.fault
		d := runs.New(runs.Options{Worker: w, Leader: promptLeader{l}})
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(previousCallsExpired)
		w.unreadable.Store(true)
		time.Sleep(time.Second)
		l.update(func() { l.orders = idleOrders() })
		time.Sleep(2 * time.Second)
		l.withdrawAndRepeat(startOrders(5, 1))
		awaitAndRefuse(t, l, w.countingWorker)
	})
}

// withdrawAndRepeat withdraws all orders, has the agent drop them, and gives orders.
func (l *leader) withdrawAndRepeat(orders *apiv1.JobsOrdersResponse) {
	for sequence := orders.Sequence - 2; sequence < orders.Sequence; sequence++ {
		l.update(func() { l.orders = &apiv1.JobsOrdersResponse{Term: term, Sequence: sequence, Epoch: 1} })
		time.Sleep(30 * time.Millisecond)
	}
	l.update(func() { l.orders = orders })
}

// Guards against work that is lost: a start gets no answer and is carried out, its repetition is
// refused, and the agent stops the run that no leader ordered to end.
func TestRunThatBeganAfterItsRefusalIsNotStopped(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		w.nextDelay.Store(&delayedCall{"start", 300 * time.Millisecond})
		w.refusedCalls.Store("start stop")
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(8 * time.Second)
		if len(w.Running()) == 0 || len(l.refusals()) > 0 {
			t.Fatalf("%d runs, %d refusals", len(w.Running()), len(l.refusals()))
		}
		l.mu.Lock()
		reported := len(l.reports[len(l.reports)-1].Running)
		l.mu.Unlock()
		w.refusedCalls.Store("")
		time.Sleep(3 * time.Second)
		if len(w.Running()) == 0 {
			t.Errorf("a run that was reported as running (%d) for 6 s was stopped, and no leader ordered that", reported)
		}
	})
}

// Guards against a run that goes on although the leader orders its stop, since the agent had returned
// it as one that never began.
func TestReturnedRunThatAppearsIsStoppedOnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{epoch: 1, orders: idleOrders()}
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
		w := &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}
		w.Fault = w.fault
		d := runs.New(runs.Options{Worker: w, Leader: promptLeader{l}})
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(previousCallsExpired)
		w.lostCall.Store("start")
		w.refusedCalls.Store("stop")
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(200 * time.Millisecond)
		w.lostCall.Store("")
		w.refusedCalls.Store("start stop")
		for len(l.refusals()) == 0 {
			time.Sleep(time.Millisecond)
		}
		// The leader commits the refusal and lists nothing any more.
		l.update(func() { l.orders = &apiv1.JobsOrdersResponse{Term: term, Sequence: 3, Epoch: 1} })
		time.Sleep(2 * time.Second)
		w.refusedCalls.Store("")
		id := jobqueue.RunID{Task: firstTask, Number: 1}
		a, err := w.RunWorker.Start(t.Context(), runs.Order{Incarnation: "w1", Term: term}, runs.Start{Run: id, DeadlineMs: w.ClockMs() + 3000})
		if err != nil || a != runs.AnswerDone {
			t.Fatalf("%v, %v", a, err)
		}
		l.update(func() { l.orders = stopOrders(4, 1) })
		time.Sleep(10 * time.Second)
		if len(w.Running()) != 0 {
			t.Errorf("the run goes on 10 s after the leader ordered its stop; %d stops", w.stopCalls.Load())
		}
	})
}

// Guards against a task that waits for another worker because its own refused a few calls.
func TestStartIsRepeatedAtAnUnhealthyWorker(t *testing.T) {
	l := &leader{epoch: 1, orders: idleOrders()}
	withDriver(t, promptLeader{l}, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(previousCallsExpired)
		w.refusedCalls.Store("start")
		l.update(func() { l.orders = startOrders(2, 1) })
		for w.startCalls.Load() < 3 {
			time.Sleep(time.Millisecond)
		}
		w.refusedCalls.Store("")
		time.Sleep(time.Second)
		if n := len(l.refusals()); n > 0 || len(w.Running()) == 0 {
			t.Errorf("%d refusals, and %d tasks run", n, len(w.Running()))
		}
	})
}
