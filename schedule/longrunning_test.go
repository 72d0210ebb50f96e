package schedule

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// longRunningTasks is a long-running step that only reserves.
func longRunningTasks(count uint32) *apiv1.JobStep {
	return &apiv1.JobStep{Count: count, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 300, LongRunning: true, Image: "lasting"}
}

// planUntilRunning plans every tenth of a second until each task of a job's first step has a run,
// and returns how long that took; at most for a minute.
func (r *harness) planUntilRunning(job string) time.Duration {
	r.t.Helper()
	began := r.now
	for r.now.Sub(began) < time.Minute {
		r.plan()
		if r.machine.Job(job).Occurrences[0].Steps[0].FullyScheduled() {
			break
		}
		r.advance(simStep)
	}
	return r.now.Sub(began)
}

// Guards against a start order that stands for good though nothing is ever seen of its run.
func TestLongRunningRunThatIsNeverSeenIsStopped(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 8000, 8000)
	r.addWorker("w2", 8000, 8000)
	r.submit("urgent", "set", longRunningTasks(1))
	r.plan()
	for range 300 {
		r.advance(simStep)
		if d := r.plan(); len(d.Stops) > 0 {
			return
		}
	}
	t.Error("nothing was seen of the run for 30 s, its worker is in reach, and it is not stopped")
}

// Guards against a run that counts as running though its worker has ceased to list it.
func TestLongRunningRunThatItsWorkerNoLongerListsIsStopped(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 8000, 8000)
	r.submit("urgent", "set", longRunningTasks(2))
	r.plan()
	r.observeAll("w1", func(int) int64 { return 10 })
	kept := r.runsOn("w1")[0]
	for range 300 {
		r.advance(simStep)
		r.observe(kept, fullPace, 1000)
		if d := r.plan(); len(d.Stops) > 0 {
			return
		}
	}
	t.Error("a run was missing in the reports of its worker for 30 s, and it is not stopped")
}

// Guards against a second run of a task beside one that may go on, and against a wait after that has ended.
func TestRunBeingStoppedHoldsItsTaskUntilItsEnd(t *testing.T) {
	for name, ends := range map[string]func(r *harness, id jobqueue.RunID){
		"listed": func(r *harness, id jobqueue.RunID) { r.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_STOPPED) },
		"lapsed": func(r *harness, _ jobqueue.RunID) {
			r.unresponsive["w1"] = true
			r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{Term: testTerm, Lapsed: []string{"w1"}}}})
		},
		"refused": func(r *harness, id jobqueue.RunID) { r.refuseStart(id, "w1") },
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.addWorker("w1", 8000, 8000)
			r.submit("urgent", "set", longRunningTasks(1))
			r.plan()
			r.addWorker("w2", 8000, 8000)
			id := r.runsOn("w1")[0]
			r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{
				Term: testTerm, Stops: []*apiv1.StopRun{{Task: id.Task.Ref(), Run: id.Number}},
			}}})
			for range 300 {
				r.advance(simStep)
				if d := r.plan(); len(d.Starts) > 0 {
					t.Fatalf("started again as %v", d.Starts)
				}
			}
			ends(r, id)
			if took := r.planUntilRunning("set"); took > 0 {
				t.Errorf("it started %v after the end of its run", took)
			}
		})
	}
}

// Guards against an end of a run, of whatever kind, after which its task never gets another one.
func TestEachEndOfALongRunningRunIsFollowedByAStart(t *testing.T) {
	for seed := range int64(20) {
		random := rand.New(rand.NewSource(seed))
		r := newHarness(t)
		step := longRunningTasks(3)
		step.AllowDuplicates = seed%2 == 0
		r.submit("batch", "set", step)
		for i := range 4 {
			r.addWorker(fmt.Sprintf("w%d-0", i), 3000, 8000)
		}
		for life := range 100 {
			r.plan()
			if !r.machine.Job("set").Occurrences[0].Steps[0].FullyScheduled() {
				t.Fatalf("seed %d: a task waits after %d ends", seed, life)
			}
			r.endSomehow(random)
			r.advance(simStep)
		}
	}
}

// endSomehow ends a random run, or all of a worker, in a random way that is no failure.
func (r *harness) endSomehow(random *rand.Rand) {
	r.t.Helper()
	w := r.machine.Workers()[random.Intn(len(r.machine.Workers()))]
	runs := w.SortedRunIDs()
	if len(runs) == 0 {
		return
	}
	id := runs[random.Intn(len(runs))]
	switch random.Intn(6) {
	case 0:
		r.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_DONE)
	case 1:
		r.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_STOPPED)
	case 2:
		r.refuseStart(id, w.Spec.Id)
	case 3:
		r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{Term: testTerm, Lapsed: []string{w.Spec.Id}}}})
	case 4:
		r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{Worker: w.Spec, Departed: true}}})
		r.addWorker(w.Spec.Id+"x", 3000, 8000)
	case 5:
		restored, err := jobqueue.Restore(r.machine.Snapshot(), r.now.UnixMilli())
		if err != nil {
			r.t.Fatal(err)
		}
		r.machine = restored
		r.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_STOPPED)
	}
}

// Guards against a lost run whose job counts as not yet due once the leader's clock was set back.
func TestLostRunStartsAgainWhenTheClockWasSetBack(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 8000, 8000)
	r.submit("urgent", "set", longRunningTasks(1))
	r.plan()
	r.advance(2 * time.Second)
	r.reportEnd(r.runsOn("w1")[0], apiv1.RunEndKind_RUN_END_KIND_STOPPED)
	const setBack = 10 * time.Second
	d := r.planner.Plan(r.machine, r, r.now, r.now.Add(-setBack).UnixMilli())
	if len(d.Starts) == 0 {
		t.Errorf("the task of a job that has run waits for up to %v", setBack)
	}
}
