package schedule

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// lasting is a long-running step that only reserves.
func lasting(count uint32) *apiv1.JobStep {
	return &apiv1.JobStep{Count: count, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 300, LongRunning: true, Image: "lasting"}
}

// untilRunning plans every tenth of a second until each task of a job's first step has a run,
// and returns how long that took; at most for a minute.
func (r *rig) untilRunning(job string) time.Duration {
	r.t.Helper()
	began := r.now
	for r.now.Sub(began) < time.Minute {
		r.plan()
		if r.machine.Job(job).Occurrences[0].Steps[0].Covered() {
			break
		}
		r.pass(simStep)
	}
	return r.now.Sub(began)
}

// Guards against a start order that stands for good though nothing is ever seen of its run.
func TestLongRunningRunThatIsNeverSeenIsStopped(t *testing.T) {
	r := newRig(t)
	r.worker("w1", 8000, 8000)
	r.worker("w2", 8000, 8000)
	r.submit("urgent", "set", lasting(1))
	r.plan()
	for range 300 {
		r.pass(simStep)
		if d := r.plan(); len(d.Stops) > 0 {
			return
		}
	}
	t.Error("nothing was seen of the run for 30 s, its worker is in reach, and it is not stopped")
}

// Guards against a run that counts as running though its worker has ceased to list it.
func TestLongRunningRunThatItsWorkerNoLongerListsIsStopped(t *testing.T) {
	r := newRig(t)
	r.worker("w1", 8000, 8000)
	r.submit("urgent", "set", lasting(2))
	r.plan()
	r.observeAll("w1", func(int) int64 { return 10 })
	kept := r.runsOn("w1")[0]
	for range 300 {
		r.pass(simStep)
		r.observe(kept, fullPace, 1000)
		if d := r.plan(); len(d.Stops) > 0 {
			return
		}
	}
	t.Error("a run was missing in the reports of its worker for 30 s, and it is not stopped")
}

// Guards against a lost run whose job counts as not yet due once the leader's clock was set back.
func TestLostRunStartsAgainWhenTheClockWasSetBack(t *testing.T) {
	r := newRig(t)
	r.worker("w1", 8000, 8000)
	r.submit("urgent", "set", lasting(1))
	r.plan()
	r.pass(2 * time.Second)
	r.end(r.runsOn("w1")[0], apiv1.RunEndKind_RUN_END_KIND_STOPPED)
	const setBack = 10 * time.Second
	d := r.planner.Plan(r.machine, r, r.now, r.now.Add(-setBack).UnixMilli())
	if len(d.Starts) == 0 {
		t.Errorf("the task of a job that has run waits for up to %v", setBack)
	}
}
