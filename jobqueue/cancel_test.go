package jobqueue_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// retentionMs is longer than a finished job is remembered, in milliseconds.
const retentionMs = 11 * 60 * 1000

// restore replaces the machine by one that is restored from its snapshot.
func (m *machine) restore(t *testing.T) {
	t.Helper()
	restored, err := jobqueue.Restore(proto.CloneOf(m.Snapshot()), m.now)
	if err != nil {
		t.Fatal(err)
	}
	m.Machine = restored
}

// stopping returns how many of a worker's runs are ordered to stop, and how many are not.
func (m *machine) stopping(worker string) (stopping, others int) {
	for _, r := range m.Worker(worker).Runs {
		if r.Stopping {
			stopping++
		} else {
			others++
		}
	}
	return stopping, others
}

// Guards against a run of a canceled job that nobody stops: the cancel covers some kinds of runs only,
// or a snapshot between the cancel and the stop loses the order.
func TestCancelStopsRunsOfAllKinds(t *testing.T) {
	steps := map[string]*apiv1.JobStep{
		"batch": {Count: 2, CpuMilli: 100}, "gang": {Count: 2, CpuMilli: 100, Gang: true},
		"long-running": {Count: 2, CpuMilli: 100, LongRunning: true}, "copies": {Count: 1, CpuMilli: 100, AllowDuplicates: true},
	}
	for name, step := range steps {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			m.worker("w1", "h1", 1000)
			m.submit("a", step)
			var starts []*apiv1.StartRun
			for i := range uint32(2) {
				id, run := task("a", 0, i), uint64(1)
				if step.AllowDuplicates {
					id, run = task("a", 0, 0), uint64(i+1)
				}
				starts = append(starts, &apiv1.StartRun{Task: id.Ref(), Run: run, Worker: "w1"})
			}
			m.plan(&apiv1.PlanRuns{Starts: starts})
			if _, running := m.stopping("w1"); running != 2 {
				t.Fatalf("%d runs, want 2", running)
			}
			if outcome := m.cancel("a"); outcome != ok {
				t.Fatal(outcome)
			}
			m.restore(t)
			if stopping, others := m.stopping("w1"); stopping != 2 || others != 0 {
				t.Errorf("%d runs are ordered to stop, %d are not", stopping, others)
			}
			for _, s := range starts {
				m.end("w1", jobqueue.TaskIDOf(s.Task), s.Run, apiv1.RunEndKind_RUN_END_KIND_STOPPED)
			}
			if len(m.Worker("w1").Runs) != 0 || len(m.Active()) != 0 {
				t.Errorf("the worker has %d runs, %d jobs are active", len(m.Worker("w1").Runs), len(m.Active()))
			}
		})
	}
}

// Guards against a start after the cancel of its job of what had not started by then: another task, a
// later step, another occurrence, a gang, the second copy of a task.
func TestCanceledJobStartsNoPartOfIt(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.submit("a",
		&apiv1.JobStep{Count: 2, CpuMilli: 1, AllowDuplicates: true}, one(1, 0), &apiv1.JobStep{Count: 2, CpuMilli: 1, Gang: true})
	m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
		Id: "repeated", Host: host, Path: "/q/repeated", Occurrences: 2, Steps: []*apiv1.JobStep{one(1)},
	}}}})
	repeated := func(occurrence uint32) jobqueue.TaskID {
		return jobqueue.TaskID{Job: "repeated", Occurrence: occurrence}
	}
	if !m.start(task("a", 0, 0), 1, "w1") || !m.start(repeated(0), 1, "w1") {
		t.Fatal("not started")
	}
	m.cancel("a")
	m.cancel("repeated")
	for range 2 {
		for _, s := range []*apiv1.StartRun{
			{Task: task("a", 0, 0).Ref(), Run: 2}, {Task: task("a", 0, 1).Ref(), Run: 1}, {Task: task("a", 1, 0).Ref(), Run: 1},
			{Task: repeated(0).Ref(), Run: 2}, {Task: repeated(1).Ref(), Run: 1},
		} {
			if m.start(jobqueue.TaskIDOf(s.Task), s.Run, "w1") {
				t.Errorf("%v run %d starts", s.Task, s.Run)
			}
		}
		m.plan(&apiv1.PlanRuns{Starts: []*apiv1.StartRun{
			{Task: task("a", 2, 0).Ref(), Run: 1, Worker: "w1"}, {Task: task("a", 2, 1).Ref(), Run: 1, Worker: "w1"},
		}})
		if n := len(m.Worker("w1").Runs); n != 2 {
			t.Errorf("%d runs, want the 2 from before the cancel", n)
		}
		m.restore(t)
	}
}

// Guards against a canceled job that is forgotten while a run of it may go on, so that the end of the
// run is not waited for.
func TestCanceledJobIsKeptUntilItsRunsHaveEnded(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.submit("a", one(1))
	m.start(task("a", 0, 0), 1, "w1")
	m.cancel("a")
	m.now += retentionMs
	m.worker("w1", "h1", 1000)
	if stopping, _ := m.stopping("w1"); stopping != 1 || m.Job("a") == nil {
		t.Fatalf("%d runs are ordered to stop, the job is %v", stopping, m.Job("a"))
	}
	m.end("w1", task("a", 0, 0), 1, apiv1.RunEndKind_RUN_END_KIND_STOPPED)
	m.worker("w1", "h1", 1000)
	if m.Job("a") != nil {
		t.Error("the job is not forgotten after its last run has ended")
	}
	if outcome := m.cancel("a"); outcome != apiv1.JobOutcome_JOB_OUTCOME_NO_JOB {
		t.Errorf("a second cancel: %v", outcome)
	}
}

// Guards against a job that runs after its caller was told that its cancel is done: a submission without a
// response is repeated, or arrives late, after the cancel of the job.
func TestSubmissionAfterCancelDoesNotRun(t *testing.T) {
	for name, prepare := range map[string]func(*machine){
		"of an accepted job":                  func(m *machine) { m.submit("a", one(1)) },
		"before its first submission arrives": func(*machine) {},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			m.worker("w1", "h1", 1000)
			prepare(m)
			if outcome := m.cancel("a"); outcome != ok && outcome != apiv1.JobOutcome_JOB_OUTCOME_NO_JOB {
				t.Fatal(outcome)
			}
			m.restore(t)
			if outcome := m.submit("a", one(1)); outcome != ok {
				t.Errorf("the submission after the cancel: %v", outcome)
			}
			m.restore(t)
			if m.start(task("a", 0, 0), 1, "w1") {
				t.Error("a task of the job starts")
			}
			if j, _ := m.Lookup(host, "/q/a", "a"); j == nil || j.State != apiv1.JobState_JOB_STATE_CANCELED {
				t.Errorf("the job is %v", j)
			}
			if outcome := m.cancel("a"); outcome != ok {
				t.Errorf("a second cancel: %v", outcome)
			}
		})
	}
}

// Guards against a job that is shown although nobody submitted it, against a cancel under another path
// that stops a job, and against cancels that are remembered forever or without a bound.
func TestCancelOfUnsubmittedJobHasNoOtherEffect(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	other := configuration(2, &apiv1.JobQueue{Name: "other", Host: host, PathPrefix: "/other/", Pool: pool, MaxAttempts: 2, TimeoutMs: 1000})
	m.put(other)
	m.cancel("a")
	m.cancel("old")
	m.restore(t)
	if j, outcome := m.Lookup(host, "/q/a", "a"); j != nil || outcome != apiv1.JobOutcome_JOB_OUTCOME_NO_JOB || m.Job("a") != nil {
		t.Errorf("a job that nobody submitted is %v, %v", j, outcome)
	}
	spec := &apiv1.JobSpec{Id: "a", Host: host, Path: "/other/a", Steps: []*apiv1.JobStep{one(1)}}
	m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: spec}}})
	if !m.start(task("a", 0, 0), 1, "w1") {
		t.Error("the job of another queue does not start")
	}
	m.now += retentionMs
	m.worker("w1", "h1", 1000)
	if m.Job("a") == nil || !m.Job("a").Open() {
		t.Errorf("the job of another queue is %v", m.Job("a"))
	}
	m.submit("old", one(1))
	if !m.start(task("old", 0, 0), 1, "w1") {
		t.Error("a cancel is not forgotten")
	}
	const cancels = 10_100
	for i := range cancels {
		m.cancel(fmt.Sprint("unknown", i))
	}
	if n := len(m.Snapshot().Jobs); n >= cancels {
		t.Errorf("%d cancels of unknown jobs are remembered", n)
	}
	for _, id := range []string{"", "x/y"} {
		m.cancel(id)
		if outcome := m.cancel(id); outcome != apiv1.JobOutcome_JOB_OUTCOME_NO_JOB {
			t.Errorf("cancel of %q: %v", id, outcome)
		}
	}
}
