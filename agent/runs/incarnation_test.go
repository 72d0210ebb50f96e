package runs_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a healthy worker that receives no work until it is restarted: an agent that has
// not reached the leader yet receives an announcement of an incarnation that another program
// forged, then one of the worker. The forged one ended the session with the worker, which counted
// as departed from then on.
func TestForgedIncarnationDoesNotEndSession(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term}, unavailable: true}
	withDriver(t, l, func(d *runs.Driver, _ *countingWorker) {
		time.Sleep(time.Second)
		announce(t, d, runs.Announcement{Worker: workerSpec("w9"), Sequence: 1})
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 2})
		time.Sleep(time.Second)
		l.update(func() { l.unavailable = false })
		time.Sleep(3 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.reports) == 0 {
			t.Fatal("nothing is reported")
		}
		for _, r := range l.reports {
			if r.Worker.Id != "w1" || r.Departed {
				t.Fatalf("reported %v", r)
			}
		}
	})
}

// Guards against a healthy worker that is taken out of use: an announcement under its name gives
// another pool and was accepted as a whole, although an incarnation stays in its pool.
func TestAnnouncementDoesNotChangePool(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term}}
	withDriver(t, l, func(d *runs.Driver, _ *countingWorker) {
		time.Sleep(time.Second)
		other := workerSpec("w1")
		other.Pool, other.Draining = "elsewhere", true
		if err := d.Announce(runs.Announcement{Worker: other, Sequence: 9}); err == nil {
			t.Error("an announcement of another pool is accepted")
		}
		time.Sleep(2 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		if w := l.reports[len(l.reports)-1].Worker; w.Pool != "p" || w.Draining {
			t.Errorf("reported %v", w)
		}
	})
}

// fencesBeforeIncarnation is a worker that refuses a call under an old term before it checks the
// incarnation.
type fencesBeforeIncarnation struct{ *countingWorker }

func (w fencesBeforeIncarnation) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (runs.Status, runs.Answer, error) {
	if o.Term < term {
		return runs.Status{}, runs.AnswerFenced, nil
	}
	return w.countingWorker.Renew(ctx, o, r)
}

// withFencingWorker runs a driver with such a worker, the second incarnation of w1, in virtual
// time.
func withFencingWorker(t *testing.T, l *leader, f func(*runs.Driver)) {
	synctest.Test(t, func(t *testing.T) {
		w := fencesBeforeIncarnation{&countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1@2"), fakes.NewRunChecker())}}
		d := runs.New(runs.Options{Worker: w, Leader: l})
		defer runDriver(d)()
		f(d)
	})
}

// Guards against a healthy worker that receives no work until it is restarted: a restarted agent
// does not know the term yet, and receives an announcement of its worker, then a late one of a
// previous incarnation. The worker refuses the query for its incarnation because of the old term.
// If the refusal counts as a confirmation, the current incarnation counts as departed from then
// on.
func TestFencedAnswerConfirmsNoIncarnation(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}, unavailable: true}
	withFencingWorker(t, l, func(d *runs.Driver) {
		announce(t, d, runs.Announcement{Worker: workerSpec("w1@2"), Sequence: 1})
		announce(t, d, runs.Announcement{Worker: workerSpec("w1@1"), Sequence: 9})
		l.update(func() { l.unavailable = false })
		time.Sleep(time.Second)
		announce(t, d, runs.Announcement{Worker: workerSpec("w1@2"), Sequence: 2})
		time.Sleep(2 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.reports) == 0 {
			t.Fatal("nothing is reported")
		}
		for _, r := range l.reports {
			if r.Worker.Id != "w1@2" {
				t.Fatalf("reported %v", r)
			}
		}
	})
}

// Guards against a running task that is started elsewhere as well: the first announcement that a
// restarted agent receives is a late one of a previous incarnation of its worker, which refuses
// its calls since the agent does not know the term yet. If the agent requests the term with a
// report about that incarnation, the leader takes it for the current one.
func TestFencedAgentReportsNoUnconfirmedIncarnation(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}}
	withFencingWorker(t, l, func(d *runs.Driver) {
		announce(t, d, runs.Announcement{Worker: workerSpec("w1@1"), Sequence: 9})
		time.Sleep(2 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, r := range l.reports {
			if !r.Departed {
				t.Fatalf("reported as present: %v", r)
			}
		}
	})
}

// Guards against a cluster that runs nothing after a power failure of all hosts, although every
// process is running: all agents are restarted while their workers keep running, and another
// leader is elected. The workers refuse the agents' calls because of the old term; each agent
// waits for orders to learn the term, and does not look for the leader that gives orders.
func TestFencedAgentFindsLeader(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}, ordersNeedFound: true}
	withFencingWorker(t, l, func(d *runs.Driver) {
		announce(t, d, runs.Announcement{Worker: workerSpec("w1@2"), Sequence: 1})
		time.Sleep(3 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.reports) == 0 {
			t.Fatal("nothing is reported")
		}
	})
}

// Guards against the same failure after an upgrade of the agents: a restarted agent finds its
// worker running tasks and knows no leader. It queries whether the leader knows the worker, and
// that query must look for the leader.
func TestAgentOfRunningWorkerFindsLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term, Sequence: 1, Epoch: 1}, ordersNeedFound: true}
		watch := fakes.NewRunChecker()
		watch.AddJob(&apiv1.JobSpec{Id: "j", Steps: []*apiv1.JobStep{{Count: 2}}})
		w := fakes.NewRunWorker(workerSpec("w1"), watch)
		id := jobqueue.RunID{Task: firstTask, Number: 1}
		answer, err := w.Start(t.Context(), runs.Order{Incarnation: "w1"}, runs.Start{Run: id, DeadlineMs: 1_000_000 + leaseMs})
		if err != nil || answer != runs.AnswerDone {
			t.Fatal(answer, err)
		}
		d := runs.New(runs.Options{Worker: w, Leader: l})
		defer runDriver(d)()
		announce(t, d, runs.Announcement{Worker: workerSpec("w1"), Sequence: 1})
		time.Sleep(3 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		if len(l.reports) == 0 {
			t.Fatal("nothing is reported")
		}
	})
}

// Guards against the end of a present incarnation that is reported as proved: a late heartbeat of an
// earlier one is confirmed by the worker just before the present one replaces it.
func TestLateHeartbeatBesideNewSessionKeepsIncarnation(t *testing.T) {
	l := &leader{epoch: 1, orders: startOrders(1, 1)}
	withLeavingWorker(t, l, func(h *leaving) {
		h.announce()
		time.Sleep(2 * time.Second)
		h.w.SetIncarnation("w1@6")
		late := runs.Announcement{Worker: h.w.Description(), Sequence: 1}
		replace := func() {
			h.w.SetIncarnation("w1@7")
			h.announce()
		}
		h.w.onceConfirmed.Store(&replace)
		announce(t, h.d, late)
		time.Sleep(2 * time.Second)
		if ended, _ := l.provedEnds(); slices.Contains(ended, "w1@7") {
			t.Errorf("reported the ends of %v", ended)
		}
		if last := l.lastReport(); last.Worker.Id != "w1@7" {
			t.Errorf("the present incarnation is not served: %v", last)
		}
	})
}
