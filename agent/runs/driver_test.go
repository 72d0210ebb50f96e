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

// Guards against a start whose retry meets the end of its session and is repeated without a
// pause: after a worker crashed and was replaced, its agent gave it no work for tens of seconds
// and used all of its processor time. The start gets no answer, and the session of the previous
// incarnation ends.
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
			t.Fatal("no start was sent")
		}
		time.Sleep(10 * time.Second)
		if after := w.startCalls.Load(); after != before {
			t.Fatalf("%d starts after the session ended", after-before)
		}
	})
}

// Guards against calls that are repeated without a delay and fill the connection queue of a
// worker that does not answer. For ten seconds no process listens at its address.
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

// Guards against fenced calls that are repeated without a delay: an agent restarted while no
// leader was available used all of its processor time. The worker has seen a higher term than the
// agent knows, and reports fail at once.
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

// Guards against a task that runs in two places: a start is ordered and not yet sent when the
// leader records the worker's runs as lost; the agent receives a new lease before new orders, and
// sends the old start under the new lease.
func TestStartOfPreviousEpochIsNotSent(t *testing.T) {
	l := &leader{epoch: 2, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(5 * time.Second)
		if n := w.startCalls.Load(); n != 0 {
			t.Fatalf("%d starts of the previous epoch", n)
		}
		l.update(func() { l.orders = startOrders(2, 2) })
		time.Sleep(5 * time.Second)
		if n := w.startCalls.Load(); n != 1 {
			t.Fatalf("%d starts of the current epoch, want 1", n)
		}
	})
}

// Guards against an expiry of the worker's lease that the agent does not report: the worker gives
// no answer, its agent runs, and the work starts elsewhere only after the leader's lease, which
// is twice as long. A report before the expiry is certain would let a task run in two places.
func TestLeaseExpiryIsReportedOnceCertain(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withDriver(t, l, func(_ *runs.Driver, w *countingWorker) {
		time.Sleep(2 * time.Second)
		w.lostCall.Store(allCalls)
		time.Sleep(5500 * time.Millisecond)
		if l.expiryReports() != 0 {
			t.Fatal("expiry is reported while the worker may still run")
		}
		time.Sleep(3 * time.Second)
		if n := l.expiryReports(); n != 1 {
			t.Fatalf("%d expiry reports, want 1", n)
		}
	})
}

// Guards against a task that runs in two places: an agent starts a run and is restarted; its
// worker begins to drain before the leader has received a report of the run, and the new agent
// receives the order again. It did not send the start itself, and refuses it as never sent.
func TestRunOfPreviousAgentIsNotRefused(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	startByPreviousAgent := func(w *countingWorker) {
		id := jobqueue.RunID{Task: firstTask, Number: 1}
		order := runs.Order{Incarnation: "w1", Term: term}
		answer, err := w.RunWorker.Start(context.Background(), order, runs.Start{Run: id, DeadlineMs: 1_000_000 + leaseMs})
		if err != nil || answer != runs.AnswerDone {
			t.Errorf("%v, %v", answer, err)
		}
	}
	withDriverAfter(t, l, startByPreviousAgent, func(d *runs.Driver, w *countingWorker) {
		draining := workerSpec("w1")
		draining.Draining = true
		announce(t, d, runs.Announcement{Worker: draining, Sequence: 2})
		time.Sleep(3 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range l.reports {
			if len(r.Refusals) > 0 {
				t.Errorf("the run is refused: %v", r.Refusals)
			}
		}
		if last := l.reports[len(l.reports)-1]; len(last.Running) != 1 {
			t.Errorf("running: %v, ended: %v", last.Running, last.Ends)
		}
	})
}

// Guards against a job that is shown as running while none of its tasks runs: a worker refuses a
// start; its agent has the stop of the run confirmed, and is restarted before it reports that.
// The new agent receives the order again, and the worker answers that the run has ended. If the
// agent waits for the end of that run to be listed, none comes since the run never began, and the
// leader waits under a lease that is renewed.
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
		t.Errorf("the run is not refused in %d reports, after %d starts", len(l.reports), w.startCalls.Load())
	})
}

// Guards against a leader that takes an old report for a new one, because reports have no number
// or a restarted agent continues the numbers of the previous session.
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
			t.Errorf("%d sessions of two agents, want 2", len(next))
		}
	})
}

// Guards against a task that waits until its worker has left: its start is ordered while the
// worker drains, and the agent neither sends the start nor refuses it.
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

// Guards against a task that begins on a worker long after its agent has acknowledged that the worker
// drains, and is lost with the worker: a start gets no answer, and the agent repeats it while the worker
// drains. The run must be given back to the leader, after a stop that bars the unanswered start.
func TestUnansweredStartIsNotRepeatedOnDrainingWorker(t *testing.T) {
	for name, unanswered := range map[string]func(w *countingWorker){
		"start was not carried out":       func(w *countingWorker) { w.lostCall.Store("start") },
		"start arrives after the drain":   func(w *countingWorker) { w.nextDelay.Store(&delayedCall{"start", 3 * time.Second}) },
		"start arrives before the answer": func(w *countingWorker) { w.nextDelay.Store(&delayedCall{"start", 300 * time.Millisecond}) },
	} {
		t.Run(name, func(t *testing.T) {
			l := &leader{epoch: 1, orders: idleOrders()}
			withDriver(t, l, func(d *runs.Driver, w *countingWorker) {
				time.Sleep(previousCallsExpired)
				unanswered(w)
				l.update(func() { l.orders = startOrders(2, 1) })
				for w.startCalls.Load() == 0 {
					time.Sleep(time.Millisecond)
				}
				synctest.Wait() // The worker has received the call, and lost or delayed it.
				draining := workerSpec("w1")
				draining.Draining = true
				announce(t, d, runs.Announcement{Worker: draining, Sequence: 2})
				sent := w.startCalls.Load()
				w.lostCall.Store("")
				time.Sleep(5 * time.Second)
				if n := w.startCalls.Load(); n > sent {
					t.Errorf("%d starts were sent to the draining worker", n-sent)
				}
				if running := w.Running(); len(running) > 0 && name != "start arrives before the answer" {
					t.Errorf("%v began on the draining worker", running)
				}
				if len(w.Running()) == 0 && len(l.refusals()) == 0 {
					t.Error("the run was not given back")
				}
			})
		})
	}
}

// Guards against a worker's lease that is renewed only together with the leader's: all work on
// the worker ends in a partition between agent and leader of nine seconds, which is shorter than
// the leader's lease.
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
			t.Fatalf("after the partition: running: %v, ended: %v", last.Running, last.Ends)
		}
	})
}

// partialWorker lists nothing and reports a partial status while unreadable is set.
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

// Guards against a task that runs in two places: a run is stopped while the rows of the status of
// its worker cannot be read. It is missing among the rows that could be read, and is refused as
// never begun although it is still being stopped.
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
			t.Fatal("no start was sent")
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
				t.Fatalf("the run is refused: %v", r.Refusals)
			}
			if len(r.Ends) > 0 {
				if !partial {
					t.Error("no report is marked as partial")
				}
				return // The leader drops the order now.
			}
		}
		t.Fatal("its end is not reported")
	})
}

// Guards against a lease that is counted from a missing reading of the worker's clock, zero: its
// end seemed long past, so the agent reported that the worker had stopped everything, and a task
// that had succeeded ran again. An agent is restarted; its worker has seen a higher term and
// refuses the first call; the leader grants the lease and becomes unavailable; later the worker
// leaves a call unanswered, while its runs continue under the lease that the previous agent
// renewed.
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
			t.Errorf("expiry is reported %d times while the worker may still run", n)
		}
	})
}

// Guards against an agent that repeats reports of a session that the leader counts as superseded,
// so that its worker stays unreachable.
func TestSupersededSessionIsReplaced(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term}}
	withDriver(t, l, func(*runs.Driver, *countingWorker) {
		time.Sleep(time.Second)
		var superseded uint64
		l.update(func() { superseded = l.reports[0].Session; l.supersededSession = superseded; l.reports = nil })
		time.Sleep(2 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		last := l.reports[len(l.reports)-1]
		if last.Session == superseded || last.Sequence == 0 {
			t.Errorf("the last of %d reports is number %d of the superseded session", len(l.reports), last.Sequence)
		}
	})
}
