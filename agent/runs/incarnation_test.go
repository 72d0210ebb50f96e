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

// Symptom: a worker that is well gets nothing any more until it is restarted.
// Sequence: an agent that has not reached the leader yet gets an announcement of an
// incarnation that another program made up, then one of the worker.
// Cause: the made-up one ends the session with the worker, which counts as gone for good.
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

// Symptom: a worker that is well is not used any more.
// Sequence: an announcement under its name tells of another pool.
// Cause: an announcement is believed as a whole, though an incarnation stays in its pool.
func TestAnnouncementDoesNotChangePool(t *testing.T) {
	l := &leader{epoch: 1, orders: &apiv1.JobsOrdersResponse{Term: term}}
	withDriver(t, l, func(d *runs.Driver, _ *countingWorker) {
		time.Sleep(time.Second)
		other := workerSpec("w1")
		other.Pool, other.Draining = "elsewhere", true
		if err := d.Announce(runs.Announcement{Worker: other, Sequence: 9}); err == nil {
			t.Error("another pool is taken over")
		}
		time.Sleep(2 * time.Second)
		l.mu.Lock()
		defer l.mu.Unlock()
		if w := l.reports[len(l.reports)-1].Worker; w.Pool != "p" || w.Draining {
			t.Errorf("reported %v", w)
		}
	})
}

// fencesBeforeIncarnation is a worker that refuses a call under an old term before it looks whom the call
// is for.
type fencesBeforeIncarnation struct{ *countingWorker }

func (w fencesBeforeIncarnation) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (runs.Status, runs.Answer, error) {
	if o.Term < term {
		return runs.Status{}, runs.AnswerFenced, nil
	}
	return w.countingWorker.Renew(ctx, o, r)
}

// withFencingWorker runs a driver on such a worker, the second life of w1, in virtual time.
func withFencingWorker(t *testing.T, l *leader, f func(*runs.Driver)) {
	synctest.Test(t, func(t *testing.T) {
		w := fencesBeforeIncarnation{&countingWorker{RunWorker: fakes.NewRunWorker(workerSpec("w1@2"), fakes.NewRunChecker())}}
		d := runs.New(runs.Options{Worker: w, Leader: l})
		defer runDriver(d)()
		f(d)
	})
}

// Symptom: a worker that is well gets no work any more until it is restarted.
// Sequence: an agent is restarted and does not know the term yet; it hears of its worker,
// then, late, of an earlier life of it.
// Cause: the worker refuses the question which life it is, for the old term, and the refusal
// counts as a yes. The present life counts as gone from then on.
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

// Symptom: a task that runs starts elsewhere as well.
// Sequence: an agent that was restarted hears, late, of an earlier life of its worker first.
// Its worker refuses its calls, since the agent does not know the term yet.
// Cause: the agent asks the leader for the term with a report about that life, and the
// leader takes it for the one that is there now.
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

// Symptom: after a power cut of all hosts nothing runs any more, though every process is
// there.
// Sequence: all agents are restarted, while their workers run on; another leader is elected.
// Cause: the workers refuse the agents' calls, for the old term; each agent waits for orders
// to tell it the term, and nobody looks for the leader that gives orders.
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

// Symptom: the same, after an upgrade of the agents. Sequence: a restarted agent finds its
// worker at work, and knows no leader. Cause: it asks whether the leader knows the worker,
// and does not look for the leader.
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
