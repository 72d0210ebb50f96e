package jobqueue_test

import (
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a worker that is ended, or whose lease is, by the report of an agent on another host: its
// tasks run on and start elsewhere as well.
func TestAgentOfAnotherHostEndsNoWorker(t *testing.T) {
	for name, r := range map[string]*apiv1.ReportWorker{
		"departure": {Departed: true},
		"crash":     {Departed: true, Crash: &apiv1.WorkerCrash{}},
		"expiry":    {Lapsed: true},
		"departure with ends": {Departed: true, Ends: []*apiv1.RunEnd{
			{Sequence: 1, Task: task("a", 0, 0).Ref(), Run: 1, Kind: done},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			m.worker("w1", "h1", 1000)
			m.worker("w2", "h2", 1000)
			m.submit("a", one(1))
			if !m.start(task("a", 0, 0), 1, "w1") {
				t.Fatal("not started")
			}
			before := m.Snapshot()
			for _, host := range []string{"h2", "h3"} {
				r := proto.CloneOf(r)
				r.Worker = spec("w1", host, 1000)
				if outcome := m.report(r); outcome != apiv1.JobOutcome_JOB_OUTCOME_STALE {
					t.Errorf("of %s: %v", host, outcome)
				}
			}
			if after := m.Snapshot(); !proto.Equal(before, after) {
				t.Errorf("the state changed:\n%v\n%v", before, after)
			}
			own := proto.CloneOf(r)
			own.Worker = spec("w1", "h1", 1000)
			if outcome := m.report(own); outcome != ok || m.Run(jobqueue.RunID{Task: task("a", 0, 0), Number: 1}) != nil {
				t.Errorf("of its own host: %v", outcome)
			}
		})
	}
}

// Guards against a worker that nobody may end any more since another host's agent took it over.
func TestAgentThatTookAWorkerOverMayEndIt(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.worker("w1", "h2", 1000)
	if outcome := m.report(&apiv1.ReportWorker{Worker: spec("w1", "h1", 1000), Departed: true}); outcome != apiv1.JobOutcome_JOB_OUTCOME_STALE || m.Worker("w1") == nil {
		t.Errorf("the former host: %v", outcome)
	}
	if outcome := m.report(&apiv1.ReportWorker{Worker: spec("w1", "h2", 1000), Departed: true}); outcome != ok || m.Worker("w1") != nil {
		t.Errorf("the new host: %v", outcome)
	}
}

// Guards against a new worker that gets no work for ever: before its first report, the agent of another host
// reported that it has ended, since it heard of it by another program's message.
func TestAgentOfAnotherHostBarsNoNewWorker(t *testing.T) {
	m := newMachine()
	m.worker("w2", "h2", 1000)
	if outcome := m.report(&apiv1.ReportWorker{Worker: spec("w1", "h2", 1000), Departed: true}); outcome != ok || m.WorkerOnHost("h2") == nil {
		t.Fatalf("end of a worker that is not known: %v", outcome)
	}
	m.restore(t)
	if outcome := m.worker("w1", "h2", 1000); outcome != apiv1.JobOutcome_JOB_OUTCOME_STALE {
		t.Errorf("delayed report of the same host: %v", outcome)
	}
	if outcome := m.worker("w1", "h1", 1000); outcome != ok || m.WorkerOnHost("h1") == nil {
		t.Errorf("first report of its own host: %v", outcome)
	}
	m.restore(t)
	m.report(&apiv1.ReportWorker{Worker: spec("w1", "h1", 1000), Departed: true})
	for _, host := range []string{"h1", "h3"} {
		if outcome := m.worker("w1", host, 1000); outcome != apiv1.JobOutcome_JOB_OUTCOME_STALE {
			t.Errorf("report of %s after its end: %v", host, outcome)
		}
	}
	m.now += retentionMs
	m.worker("w2", "h2", 1000)
	if n := len(m.Snapshot().Workers); n != 1 {
		t.Errorf("%d workers are remembered", n)
	}
}

// Guards against a worker that drains for ever, since the first message about it was another program's and the
// worker's own announcements name another pool.
func TestDrainEndsWhereThePoolIsCorrected(t *testing.T) {
	m := newMachine()
	m.submit("a", one(1))
	foreign := spec("w1", "h1", 1000)
	foreign.Pool, foreign.Draining = "zk91x", true
	m.report(&apiv1.ReportWorker{Worker: foreign})
	m.worker("w1", "h1", 1000)
	if w := m.Worker("w1"); w.Spec.Draining || !m.start(task("a", 0, 0), 1, "w1") {
		t.Errorf("the worker is %v", w.Spec)
	}
	draining := spec("w1", "h1", 1000)
	draining.Draining = true
	m.report(&apiv1.ReportWorker{Worker: draining})
	if m.worker("w1", "h1", 1000); !m.Worker("w1").Spec.Draining {
		t.Error("a drain is revoked")
	}
}
