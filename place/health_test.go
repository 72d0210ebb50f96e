package place

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// failTask starts a task of a job on a worker and reports its failure, twice, as
// workers repeat ends until they are acknowledged.
func (s *harness) failTask(worker, job string) {
	task := s.queue(fmt.Sprint(job, "-", worker, "-", s.sequence), "k", job)
	s.run(worker, task, task.Size)
	s.syncedAt = time.Time{}
	s.Plan(s.now, &Snapshot{Workers: s.snapshot.Workers, Policy: s.snapshot.Policy})
	s.end(worker, task.ID)
	for range 2 {
		s.heartbeat(worker, &apiv1.WorkerHeartbeat{Tasks: []*apiv1.TaskStatus{status(task.ID, task.Attempt, apiv1.TaskPhase_TASK_PHASE_FAILED)}})
	}
	s.now = s.now.Add(time.Second)
}

func (s *harness) completeTask(worker string, task *Task) {
	s.end(worker, task.ID)
	for range 2 { // ends are repeated until they are acknowledged
		s.heartbeat(worker, &apiv1.WorkerHeartbeat{Tasks: []*apiv1.TaskStatus{status(task.ID, task.Attempt, apiv1.TaskPhase_TASK_PHASE_SUCCEEDED)}})
	}
}

// Symptom: tasks fail one after the other. Sequence: one worker fails everything
// it starts, and is emptiest for that. Cause: failures of distinct jobs are not
// held against the worker.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	s := newHarness(2)
	s.failTask("w0", "a")
	s.failTask("w0", "a")
	s.failTask("w0", "b")
	if len(s.Learned(s.now).Workers) != 0 {
		t.Fatal("quarantined for failures of two jobs")
	}
	s.failTask("w0", "c")
	s.queue("x", "k", "x")
	for i := range 8 {
		s.queue(fmt.Sprint("y", i), "k", "y")
	}
	for _, g := range s.plan().Grants {
		if g.Worker == "w0" {
			t.Fatal("a quarantined worker was given a task")
		}
	}
	s.now = s.now.Add(minQuarantine)
	s.worker("w1").Draining = true
	for trial := range probationSuccesses {
		s.queue(fmt.Sprint("z", trial), "k", "z")
		s.queue(fmt.Sprint("wait", trial), "k", "z")
		plan := s.plan()
		if len(plan.Grants) != 1 || len(s.plan().Grants) != 0 {
			t.Fatalf("trial %d: %d starts on probation", trial, len(plan.Grants))
		}
		s.snapshot.Queued = nil
		s.now = s.now.Add(time.Second)
		s.completeTask("w0", plan.Grants[0].Task)
	}
	for i := range 3 {
		s.queue(fmt.Sprint("after", i), "k", "z")
	}
	if n := len(s.plan().Grants); n < 3 {
		t.Fatalf("%d starts after probation", n)
	}
	// A failure on probation quarantines at once, for longer.
	for _, job := range []string{"a", "b", "c"} {
		s.failTask("w0", job)
	}
	s.now = s.now.Add(minQuarantine)
	s.plan()
	s.failTask("w0", "d")
	if left := s.health.workers["w0"].until.Sub(s.now); left <= minQuarantine {
		t.Fatalf("quarantined for %v only after a failed probation", left)
	}
}

// Symptom: healthy workers are quarantined. Sequence: one job fails wherever it
// goes, while others fail once. Cause: failures of a poisonous job are held
// against the workers; or the job is tried on and on.
func TestPoisonJobIsBackedOff(t *testing.T) {
	s := newHarness(6)
	for i := range poisonWorkers {
		w := fmt.Sprint("w", i)
		s.failTask(w, fmt.Sprint("once", i))
		s.failTask(w, "poison")
	}
	for i := range 3 {
		s.failTask(fmt.Sprint("w", i), fmt.Sprint("other", i))
	}
	if got := s.Learned(s.now); len(got.Workers) != 0 || len(got.Jobs) != 1 || got.Jobs[0].Job != "poison" {
		t.Fatalf("workers %v, jobs %v", got.Workers, got.Jobs)
	}
	s.queue("p1", "k", "poison")
	s.queue("p2", "k", "poison")
	s.queue("fine", "k", "fine")
	if plan := s.plan(); len(plan.Grants) != 1 || plan.Grants[0].Task.ID != "fine" {
		t.Fatalf("grants %v", plan.Grants)
	}
	s.now = s.now.Add(minBackoff)
	if n := len(s.plan().Grants); n != 1 {
		t.Fatalf("%d tasks of the job are tried after the wait", n)
	}
}

// Symptom: a task that failed on a worker goes back there, or waits for ever.
// Sequence: it is queued again, with another worker there and with none. Cause:
// the failed worker is the best by score; or it is refused though it is the only one.
func TestFailedTaskAvoidsItsFailedWorkers(t *testing.T) {
	for workers, want := range map[int]string{1: "w0", 2: "w1"} {
		s := newHarness(workers)
		s.queue("t", "k", "j").FailedWorkers = []string{"w0"}
		if plan := s.plan(); len(plan.Grants) != 1 || plan.Grants[0].Worker != want {
			t.Fatalf("%d workers: %v", workers, plan.Decisions)
		}
	}
}

// Symptom: after a change of leader a worker that fails everything gets new tasks.
// Sequence: a new leader plans with a state in which tasks of several jobs failed
// on that worker. Cause: only what the old leader had in memory counts.
func TestNewLeaderKnowsFailingWorker(t *testing.T) {
	s := newHarness(2)
	for i := range quarantineJobs {
		s.queue(fmt.Sprint("t", i), "k", fmt.Sprint("j", i)).FailedWorkers = []string{"w0"}
	}
	s.queue("fresh", "k", "fresh")
	for _, g := range s.plan().Grants {
		if g.Worker == "w0" {
			t.Fatalf("%s goes to the failing worker", g.Task.ID)
		}
	}
}
