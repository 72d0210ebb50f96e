package jobqueue

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
)

// crashAt crashes a host's worker at the given time of the leader's clock.
func (r *crashHarness) crashAt(host int, atMs int64, step uint32, worked time.Duration) {
	r.t.Helper()
	crash := &apiv1.WorkerCrash{AtMs: atMs, Worked: []*apiv1.RunWork{{
		Task: r.task(step).Ref(), Run: r.m.Task(r.task(step)).LastRun, WorkedMs: worked.Milliseconds(), AtMostMs: worked.Milliseconds(), Began: true,
	}}}
	r.incarnations[host]++
	r.report(host, crash)
}

// Guards against a crash that counts against tasks although several workers without a task in common
// crashed at the same moment.
func TestSimultaneousCrashesHaveCommonCause(t *testing.T) {
	for _, restored := range []bool{false, true} {
		r := newCrashHarness(t)
		r.restoreEachTime = restored
		for round := range crashloop.RepeatedCrashes {
			for step := range 3 {
				r.start(uint32(step), step)
			}
			for step := range 3 {
				r.crashAt(step, int64(1000+10_000*round+10*step), uint32(step), 2*time.Second)
			}
		}
		for step := range uint32(3) {
			if n := r.m.Task(r.task(step)).Crashes.Similar(); n != 0 {
				t.Errorf("restored %v: %d crashes count against step %d", restored, n, step)
			}
		}
	}
}

// Guards against excusing tasks whose workers crashed one after the other.
func TestCrashesApartHaveNoCommonCause(t *testing.T) {
	r := newCrashHarness(t)
	for step := range 3 {
		r.start(uint32(step), step)
		r.crashAt(step, int64(1000+1000*step), uint32(step), 2*time.Second)
	}
	for step := range uint32(3) {
		if n := r.m.Task(r.task(step)).Crashes.Similar(); n != 1 {
			t.Errorf("%d crashes count against step %d", n, step)
		}
	}
}

// Guards against a job that fails before other workers, which may have crashed at the same moment, have
// reported, and against one that never fails.
func TestVerdictWaitsForSilentWorkers(t *testing.T) {
	for _, restored := range []bool{false, true} {
		r := newCrashHarness(t)
		r.restoreEachTime = restored
		for range crashloop.MaxSoleCauseCrashes {
			r.start(0, 0)
			r.incarnations[0]++
			r.report(0, &apiv1.WorkerCrash{OthersSilent: true, Worked: []*apiv1.RunWork{{
				Task: r.task(0).Ref(), Run: r.m.Task(r.task(0)).LastRun, AtMostMs: 1, Began: true,
			}}})
		}
		if !r.m.Job(crashedJob).Open() || r.start(0, 0) {
			t.Fatalf("restored %v: the job has failed, or its task starts", restored)
		}
		if due := int64(1 + verdictDelayMs); len(r.m.VerdictsDue(due-1)) > 0 || len(r.m.VerdictsDue(due)) != 1 {
			t.Errorf("restored %v: the verdict is not due at %d", restored, due)
		}
		r.m.Apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{Term: 1}}}, 1+verdictDelayMs, 1)
		if j := r.m.Job(crashedJob); j.Failure != apiv1.JobFailure_JOB_FAILURE_CRASHES {
			t.Errorf("restored %v: the job is %v for %v", restored, j.State, j.Failure)
		}
	}
}

// Guards against crashes that still count against a task after the one beside it has failed its job by
// the crash limit.
func TestTaskBesideFailedOneIsExcused(t *testing.T) {
	r := newCrashHarness(t)
	const bystander = "b1"
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
		Id: bystander, Host: "h", Path: "/q/" + bystander, Steps: []*apiv1.JobStep{{Count: 1, CpuMilli: 1, MemoryMb: 1, LongRunning: true}},
	}}}})
	task := TaskID{Job: bystander}
	r.plan(&apiv1.PlanRuns{Starts: []*apiv1.StartRun{{Task: task.Ref(), Run: 1, Worker: r.worker(1)}}})
	r.start(0, 0)
	r.crash(0, map[uint32]time.Duration{0: time.Millisecond})
	r.start(0, 1)
	r.incarnations[1]++
	r.report(1, &apiv1.WorkerCrash{Worked: []*apiv1.RunWork{
		{Task: r.task(0).Ref(), Run: 2, AtMostMs: 1, Began: true},
		{Task: task.Ref(), Run: 1, WorkedMs: 3000, AtMostMs: 3000, Began: true},
	}})
	if r.m.Job(crashedJob).Open() {
		t.Fatal("the crashing task has not failed its job")
	}
	if n := r.m.Task(task).Crashes.Similar(); n != 0 {
		t.Errorf("%d crashes count against the bystander", n)
	}
}
