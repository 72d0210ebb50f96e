package schedule

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// beginEvacuation begins the evacuation of a worker for the maintenance of its host.
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

// Guards against a long-running step with fewer running tasks than its unavailable budget permits.
// A worker that runs two of its tasks is evacuated for maintenance, and both were stopped at once,
// or the second before the first was running again.
func TestEvacuationKeepsTheBudget(t *testing.T) {
	for name, c := range map[string]struct {
		budget     uint32
		first, all int
	}{
		"none may be missing": {0, 0, 0},
		"one may be missing":  {1, 1, 2},
		"two may be missing":  {2, 2, 2},
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
			// Until the first task is running again, no further one is stopped.
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

// Guards against a batch task without checkpoints that loses its work to the maintenance of a host
// though it would have ended in time. The worker of a task with checkpoints and of one without is
// evacuated, and both were stopped at once, or the second was given unlimited time.
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

// Guards against a long-running set that loses several tasks at once when a worker leaves in an
// orderly way. The worker announces that it drains, and its tasks were left there until it ended.
func TestDrainingWorkerIsEvacuatedWithinTheBudget(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 4000, 64_000)
	step := servingTasks(3, 1000)
	step.HasUnavailableBudget, step.UnavailableBudget = true, 1
	r.submit("urgent", "s1", step)
	r.submit("batch", "saves", &apiv1.JobStep{Count: 1, CpuMilli: 500, MemoryMb: 100, EstimatedMs: 60_000, Checkpointing: true})
	r.startAll("w1", "s1")
	r.plan()
	r.addWorker("w2", 4000, 64_000)
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{Worker: draining(r.machine.Worker("w1").Spec)}}})
	for moved := 1; moved <= 3; moved++ {
		r.observeAll("w1", func(int) int64 { return 20 })
		r.observeAll("w2", func(int) int64 { return 20 })
		stops := r.plan().Stops
		if len(stops) != 1 || stops[0].Task.Job != "s1" {
			t.Fatalf("stopped %v as move %d", stops, moved)
		}
		r.reportEnd(jobqueue.RunID{Task: jobqueue.TaskIDOf(stops[0].Task), Number: stops[0].Run}, apiv1.RunEndKind_RUN_END_KIND_STOPPED)
		r.plan()
		r.advance(time.Second)
	}
	if left := r.runsOn("w1"); len(left) != 1 || left[0].Task.Job != "saves" {
		t.Errorf("%v are left on the draining worker", left)
	}
}

// draining returns the announcement of a worker that drains.
func draining(w *apiv1.JobWorker) *apiv1.JobWorker {
	announced := proto.CloneOf(w)
	announced.Draining = true
	return announced
}
