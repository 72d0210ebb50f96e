package schedule

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a long-running task that waits for as long as runs that began before fail, one
// by one, on all workers.
func TestLongRunningTaskStartsWhileOtherRunsGoOnFailing(t *testing.T) {
	r := newHarness(t)
	workers := []string{"w1", "w2", "w3"}
	for _, w := range workers {
		r.addWorker(w, 16000, 16000)
		r.submit("batch", "fails-"+w, &apiv1.JobStep{Count: 30, CpuMilli: 100, MemoryMb: 10, EstimatedMs: 20_000})
		r.startAll(w, "fails-"+w)
	}
	r.submit("urgent", "set", longRunningTasks(1))
	const failEvery = 5 // steps of the simulation
	began, running := r.now, false
	for step := 0; r.now.Sub(began) < 14*time.Second && !running; step++ {
		if step%failEvery == 0 {
			for _, w := range workers {
				r.reportEnd(jobqueue.RunID{Task: jobqueue.TaskID{Job: "fails-" + w, Index: uint32(step / failEvery)}, Number: 1}, apiv1.RunEndKind_RUN_END_KIND_FAILED)
			}
		}
		if step >= 2*failEvery {
			r.plan()
			running = r.machine.Job("set").Running()
		}
		r.advance(simStep)
	}
	if took := r.now.Sub(began); took > 2*failEvery*simStep+2*starvationTimeout {
		t.Errorf("started after %v beside workers that are nearly empty", took)
	}
}
