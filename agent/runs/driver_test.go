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

// Symptom: after a worker crashed and came back, its agent gives it nothing for tens
// of seconds and uses all of its processor time.
// Sequence: a start gets no answer; the worker is replaced; the session with its
// earlier incarnation ends.
// Cause: the retry of the start meets the end of its session and begins anew at once,
// without end.
func TestEndedSessionStartsNothing(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		w.lostCall.Store("start")
		time.Sleep(2 * time.Second)
		w.Crash()
		l.update(func() { l.orders = &apiv1.JobsOrdersResponse{Term: term, Sequence: 2, Epoch: 1} })
		time.Sleep(time.Second)
		before := w.startCalls.Load()
		if before == 0 {
			t.Fatal("nothing was started")
		}
		time.Sleep(10 * time.Second)
		if after := w.startCalls.Load(); after != before {
			t.Fatalf("%d starts after the session ended", after-before)
		}
	})
}

// Symptom: the calls to a worker that does not answer fill its queue of connections.
// Sequence: for ten seconds nobody listens where the worker should be.
// Cause: a call is repeated without a pause.
func TestUnansweredStartsAreRetriedWithBackoff(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		w.unreachable.Store(true)
		time.Sleep(10 * time.Second)
		if n := w.startCalls.Load(); n < 5 || n > 60 {
			t.Fatalf("%d calls in ten seconds", n)
		}
	})
}

// Symptom: an agent that was restarted while no leader is there uses all of its
// processor time.
// Sequence: the worker has seen a higher term than the agent knows, and reports fail
// at once.
// Cause: a fenced call is repeated without a pause.
func TestFencedAgentWithoutLeaderBacksOff(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term}, unavailable: true}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		_, _, err := w.RunWorker.Renew(t.Context(), runs.Order{Incarnation: "w1", Term: term}, runs.Renewal{})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if n := w.renewals.Load(); n > 300 {
			t.Fatalf("%d calls in ten seconds", n)
		}
	})
}

// Symptom: a task runs in two places.
// Sequence: a start is ordered and not yet made when the leader gives the worker's
// runs up; the agent gets a new lease before it gets new orders.
// Cause: the old start is made under the new lease.
func TestStartOfPreviousEpochIsNotSent(t *testing.T) {
	l := &leader{epoch: 2, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(5 * time.Second)
		if n := w.startCalls.Load(); n != 0 {
			t.Fatalf("%d starts of an earlier epoch", n)
		}
		l.update(func() { l.orders = startOrders(2, 2) })
		time.Sleep(5 * time.Second)
		if n := w.startCalls.Load(); n != 1 {
			t.Fatalf("%d starts of the present epoch", n)
		}
	})
}

// Symptom: the work of a worker that is gone starts elsewhere only after the leader's
// lease, twice as long as the worker's own.
// Sequence: the worker gives no answer any more; its agent lives.
// Cause: nobody tells the leader that the worker's own lease has run out. Telling it
// too early would let a task run in two places.
func TestLeaseExpiryIsReportedOnceCertain(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.lostCall.Store(allCalls)
		time.Sleep(5500 * time.Millisecond)
		if l.expiryReports() != 0 {
			t.Fatal("a lapse is told of while the worker may still run")
		}
		time.Sleep(3 * time.Second)
		if n := l.expiryReports(); n != 1 {
			t.Fatalf("%d reports of a lapse", n)
		}
	})
}

// Symptom: a task runs in two places.
// Sequence: an agent starts a run and is restarted; its worker begins to drain before
// the leader has heard of the run, and the new agent gets the order once more.
// Cause: the new agent gives the start back as never made, since it did not make it.
func TestRunOfPreviousAgentIsNotRefused(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		id := jobqueue.RunID{Task: firstTask, Number: 1}
		order := runs.Order{Incarnation: "w1", Term: term}
		answer, err := w.RunWorker.Start(t.Context(), order, runs.Start{Run: id, DeadlineMs: 1_000_000 + leaseMs})
		if err != nil || answer != runs.AnswerDone {
			t.Fatalf("%v, %v", answer, err)
		}
		draining := workerSpec("w1")
		draining.Draining = true
		announce(t, d, runs.Announcement{Worker: draining, Sequence: 2})
		time.Sleep(3 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range l.reports {
			if len(r.Refusals) > 0 {
				t.Errorf("the run is given back: %v", r.Refusals)
			}
		}
		if last := l.reports[len(l.reports)-1]; len(last.Running) != 1 {
			t.Errorf("%v run, %v ended", last.Running, last.Ends)
		}
	})
}

// Symptom: a job shows as running for good, and nothing of it runs.
// Sequence: a worker refuses a start; its agent has it confirm that the run is stopped,
// and is restarted before it tells the leader; the new agent gets the order once more,
// and the worker answers that the run is over.
// Cause: the new agent takes the answer for a run whose end is listed. The run never
// began, so no end comes, and the leader waits under a lease that is renewed.
func TestRunStoppedBeforeStartIsRefused(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		id := jobqueue.RunID{Task: firstTask, Number: 1}
		answer, err := w.RunWorker.Stop(t.Context(), runs.Order{Incarnation: "w1", Term: term}, id)
		if err != nil || answer != runs.AnswerDone {
			t.Fatalf("%v, %v", answer, err)
		}
		l.update(func() { l.orders = startOrders(2, 1) })
		time.Sleep(3 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range l.reports {
			if len(r.Refusals) > 0 {
				return
			}
		}
		t.Errorf("the run is not given back in %d reports, after %d starts", len(l.reports), w.startCalls.Load())
	})
}

// Symptom: the leader takes an old report for a new one. Sequence: an agent reports, and is
// restarted. Cause: reports without a number, or numbers that a new session goes on from.
func TestReportsAreNumberedPerSession(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		restarted := runs.New(runs.Options{Worker: w, Leader: l})
		defer runDriver(restarted)()
		announce(t, restarted, runs.Announcement{Worker: workerSpec("w1"), Sequence: 2})
		time.Sleep(2 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		next := map[uint64]uint64{}
		for _, r := range l.reports {
			next[r.Session]++
			if r.Session == 0 || r.Sequence != next[r.Session] {
				t.Fatalf("report %d of session %x has the number %d", next[r.Session], r.Session, r.Sequence)
			}
		}
		if len(next) != 2 {
			t.Errorf("%d sessions of two agents", len(next))
		}
	})
}

// Symptom: a task waits until its worker has left.
// Sequence: its start is ordered while the worker drains, and was never made.
// Cause: the agent neither makes the start nor gives it back.
func TestStartOnDrainingWorkerIsRefused(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
		draining := workerSpec("w1")
		draining.Draining = true
		announce(t, d, runs.Announcement{Worker: draining, Sequence: 2})
		time.Sleep(3 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		refused := 0
		for _, r := range l.reports {
			refused += len(r.Refusals)
		}
		if refused == 0 || w.startCalls.Load() > 0 {
			t.Errorf("%d refusals, %d starts", refused, w.startCalls.Load())
		}
	})
}

// Symptom: all work on a worker ends in a cut between its agent and the leader that
// is shorter than the leader's lease.
// Sequence: the agent is cut off for nine seconds.
// Cause: the worker's lease is renewed only when the leader's is.
func TestWorkerKeepsRunningDuringPartition(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		l.update(func() { l.unavailable = true })
		time.Sleep(9 * time.Second)
		l.update(func() { l.unavailable = false })
		time.Sleep(time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		last := l.reports[len(l.reports)-1]
		if len(last.Running) != 1 || len(last.Ends) != 0 {
			t.Fatalf("after the cut: %v runs, %v ended", last.Running, last.Ends)
		}
	})
}

// partialWorker lists nothing and says that a part of what it lists can't be read, while
// unreadable is set.
type partialWorker struct {
	*countingWorker
	unreadable atomic.Bool
}

func (w *partialWorker) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (runs.Status, runs.Answer, error) {
	status, answer, err := w.countingWorker.Renew(ctx, o, r)
	if w.unreadable.Load() {
		status.Running, status.Ended, status.Partial = nil, nil, true
	}
	return status, answer, err
}

// Symptom: a task runs in two places.
// Sequence: a run is stopped, and the rows of what the worker lists can't be read
// meanwhile.
// Cause: a run that is not among the rows that could be read is given back as one that
// never began, though it is still being stopped.
func TestUnreadableRunIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{epoch: 1, orders: startOrders(1, 1)}
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
		w := &partialWorker{countingWorker: &countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1"), watch)}}
		d := runs.New(runs.Options{Worker: w, Leader: l})
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(2 * time.Second)
		if w.startCalls.Load() == 0 {
			t.Fatal("nothing was started")
		}
		w.unreadable.Store(true)
		l.update(func() {
			l.orders = &apiv1.JobsOrdersResponse{
				Term: term, Sequence: 2, Epoch: 1, Stops: []*apiv1.StopOrder{{Task: firstTask.Ref(), Run: 1}},
			}
		})
		time.Sleep(3 * time.Second)
		w.unreadable.Store(false)
		time.Sleep(2 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		partial := false
		for _, r := range l.reports {
			partial = partial || r.Partial
			if len(r.Refusals) > 0 {
				t.Fatalf("the run is given back: %v", r.Refusals)
			}
			if len(r.Ends) > 0 {
				if !partial {
					t.Error("the leader is not told that reports lack what can't be read")
				}
				return // the leader drops the order now
			}
		}
		t.Fatal("its end is not told of")
	})
}

// Symptom: a task that has ended well runs once more.
// Sequence: an agent is restarted; its worker refuses its first call, since it has seen a
// higher term, and the leader grants the lease and is gone. Later the worker leaves a call
// unanswered.
// Cause: the lease was counted from a reading of the worker's clock that nobody had made,
// zero; so its end seemed long past, and the agent told the leader that the worker had
// stopped everything, which still ran under the lease of the agent before it.
func TestLeaseIsNotCountedWithoutWorkerClock(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term}, unavailable: true, ordersFail: true}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		order := runs.Order{Incarnation: "w1", Term: term}
		if _, answer, err := w.RunWorker.Renew(t.Context(), order, runs.Renewal{DeadlineMs: 1_000_000 + 6000}); err != nil || answer != runs.AnswerDone {
			t.Fatal(answer, err)
		}
		time.Sleep(200 * time.Millisecond)
		l.update(func() { l.unavailable, l.reportsUntilUnavailable = false, 1 })
		time.Sleep(time.Second)
		w.lostCall.Store(allCalls)
		time.Sleep(time.Second)
		l.update(func() { l.unavailable = false })
		time.Sleep(time.Second)
		if n := l.expiryReports(); n != 0 {
			t.Errorf("a lapse is told of %d times while the worker may still run", n)
		}
	})
}
