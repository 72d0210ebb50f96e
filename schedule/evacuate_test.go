package schedule

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// beginEvacuation has a worker's host be next for its maintenance.
func (r *harness) beginEvacuation(worker string) {
	r.t.Helper()
	host := r.machine.Worker(worker).Spec.Host
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{
		Wave: &apiv1.MaintenanceWave{Number: 1, Hosts: []string{host}, DurationMs: 1000, Cap: 1},
	}}})
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Maintain{Maintain: &apiv1.MaintainHost{
		Term: testTerm, Wave: 1, Host: host, State: apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING, Worker: worker,
	}}})
}

// Symptom: the users of a long-running step find fewer of its tasks at work than its
// caller allowed to be missing.
// Sequence: a worker that runs two of its tasks is emptied for maintenance.
// Cause: both are stopped at once, or the second before the first is back at work.
func TestEvacuationKeepsTheBudget(t *testing.T) {
	for name, c := range map[string]struct {
		budget     uint32
		first, all int
	}{
		"none may miss": {0, 0, 0},
		"one may miss":  {1, 1, 2},
		"two may miss":  {2, 2, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.addWorker("w1", 4000, 64_000)
			step := servingTasks(2, 1000)
			step.HasUnavailableBudget, step.UnavailableBudget = true, c.budget
			r.submit("urgent", "s1", step)
			r.startAll("w1", "s1")
			r.addWorker("w2", 4000, 64_000)
			r.beginEvacuation("w1")
			r.observeAll("w1", func(int) int64 { return 20 })
			stops := r.plan().Stops
			if len(stops) != c.first {
				t.Fatalf("stopped %v at first", stops)
			}
			// While the first is on its way, no other one goes.
			if more := r.plan().Stops; len(more) > 0 {
				t.Fatalf("stopped %v before the others are back", more)
			}
			stopped := len(stops)
			for range 6 {
				for _, s := range stops {
					r.reportEnd(jobqueue.RunID{Task: jobqueue.TaskIDOf(s.Task), Number: s.Run}, apiv1.RunEndKind_RUN_END_KIND_STOPPED)
				}
				r.plan()
				r.advance(time.Second)
				r.observeAll("w1", func(int) int64 { return 20 })
				r.observeAll("w2", func(int) int64 { return 20 })
				stops = r.plan().Stops
				stopped += len(stops)
			}
			if stopped != c.all {
				t.Errorf("%d tasks were moved, want %d", stopped, c.all)
			}
			if left := len(r.runsOn("w1")); left != 2-c.all {
				t.Errorf("%d tasks are left on the worker", left)
			}
		})
	}
}

// Symptom: a batch task without checkpoints loses its work to a host's maintenance,
// though it would have ended in time.
// Sequence: the worker of a task with checkpoints and of one without is emptied.
// Cause: both are stopped at once; or the second is waited for without end.
func TestEvacuationWaitsForWork(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 4000, 64_000)
	r.submit("batch", "saves", &apiv1.JobStep{Count: 1, CpuMilli: 500, MemoryMb: 100, EstimatedMs: 60_000, Checkpointing: true})
	r.submit("batch", "loses", &apiv1.JobStep{Count: 1, CpuMilli: 500, MemoryMb: 100, EstimatedMs: 60_000})
	r.plan()
	r.addWorker("w2", 4000, 64_000)
	r.beginEvacuation("w1")
	stops := r.plan().Stops
	if len(stops) != 1 || stops[0].Task.Job != "saves" {
		t.Fatalf("stopped %v at once", stops)
	}
	r.advance(evacuationTimeout)
	stops = r.plan().Stops
	if len(stops) != 1 || stops[0].Task.Job != "loses" {
		t.Fatalf("stopped %v in the end", stops)
	}
}
