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

// startTogether starts the given steps' tasks on hosts 0, 1 and so on.
func (r *crashHarness) startTogether(steps ...uint32) {
	r.t.Helper()
	for host, step := range steps {
		if !r.start(step, host) {
			r.t.Fatalf("step %d does not start", step)
		}
	}
}

// Guards against a common cause that is hidden by tasks that had just started on some of the workers, and
// against blaming another task that crashed before after a similar time.
func TestStartsOnSomeWorkersDoNotHideCommonCause(t *testing.T) {
	r := newCrashHarness(t)
	r.start(2, 2)
	r.crashAt(2, 1000, 2, 3*time.Second)
	r.startTogether(0, 1, 2)
	r.crashAt(0, 20_000, 0, time.Millisecond)
	r.crashAt(1, 20_001, 1, time.Millisecond)
	r.crashAt(2, 20_002, 2, 3*time.Second)
	if n := r.m.Task(r.task(2)).Crashes.Similar(); n != 1 {
		t.Errorf("%d crashes count against the task that had worked for seconds", n)
	}
}

// Guards against excusing tasks that start together and crash their workers at once.
func TestStartsOnAllWorkersExplainSimultaneousCrashes(t *testing.T) {
	r := newCrashHarness(t)
	r.startTogether(0, 1, 2)
	for step := range uint32(3) {
		r.crashAt(int(step), 20_000+int64(step), step, time.Millisecond)
	}
	for step := range uint32(3) {
		if n := r.m.Task(r.task(step)).Crashes.Similar(); n != 1 {
			t.Errorf("%d crashes count against step %d", n, step)
		}
	}
}

// Guards against blaming a step for a common cause although its runs on the workers had worked for
// different times.
func TestStepWithDifferentRuntimesDoesNotExplainSimultaneousCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		worked [3]time.Duration
		want   int
	}{
		"different": {[3]time.Duration{2 * time.Second, 3 * time.Second, 5 * time.Second}, 1},
		"similar":   {[3]time.Duration{2 * time.Second, 2 * time.Second, 2 * time.Second}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCrashHarness(t)
			const job = "wide"
			r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
				Id: job, Host: "h", Path: "/q/" + job, Steps: []*apiv1.JobStep{{Count: 3, CpuMilli: 1, MemoryMb: 1, LongRunning: true}},
			}}}})
			crash := func(index uint32, atMs int64, worked time.Duration) {
				id := TaskID{Job: job, Index: index}
				r.incarnations[index]++
				r.report(int(index), &apiv1.WorkerCrash{AtMs: atMs, Worked: []*apiv1.RunWork{{
					Task: id.Ref(), Run: r.m.Task(id).LastRun, WorkedMs: worked.Milliseconds(), AtMostMs: worked.Milliseconds(), Began: true,
				}}})
			}
			start := func(run uint64, index uint32) {
				id := TaskID{Job: job, Index: index}
				r.plan(&apiv1.PlanRuns{Starts: []*apiv1.StartRun{{Task: id.Ref(), Run: run, Worker: r.worker(int(index))}}})
			}
			start(1, 0)
			crash(0, 1000, 2*time.Second)
			start(2, 0)
			start(1, 1)
			start(1, 2)
			for index, worked := range c.worked {
				crash(uint32(index), 20_000, worked)
			}
			if n := r.m.Task(TaskID{Job: job}).Crashes.Similar(); n != c.want {
				t.Errorf("%d crashes count against the task", n)
			}
		})
	}
}

// Guards against blaming tasks for crashes of two hosts at the same moment, whose agents went down as well.
func TestHostsThatGoDownTogetherHaveCommonCause(t *testing.T) {
	for name, atMost := range map[string]int64{"hosts": UnknownMs, "workers": 3000} {
		t.Run(name, func(t *testing.T) {
			r := newCrashHarness(t)
			r.startTogether(0, 1)
			for host := range 2 {
				r.incarnations[host]++
				r.report(host, &apiv1.WorkerCrash{AtMs: 1000, Worked: []*apiv1.RunWork{{
					Task: r.task(uint32(host)).Ref(), Run: 1, WorkedMs: 2900, AtMostMs: atMost, Began: true,
				}}})
			}
			excused := atMost == UnknownMs
			if n := r.m.Task(r.task(0)).Crashes.Similar(); (n == 0) != excused {
				t.Errorf("%d crashes count against the task", n)
			}
		})
	}
}

// Guards against a job that fails although another worker that crashed at the same moment was reported
// while further ones were silent.
func TestVerdictWaitsWhileOthersOfTheMomentAreSilent(t *testing.T) {
	r := newCrashHarness(t)
	r.start(0, 0)
	r.crashAt(0, 1000, 0, time.Millisecond)
	r.startTogether(0, 1)
	r.incarnations[1]++
	r.report(1, &apiv1.WorkerCrash{AtMs: 20_000, OthersSilent: true, Worked: []*apiv1.RunWork{{
		Task: r.task(1).Ref(), Run: 1, WorkedMs: 2000, AtMostMs: 2000, Began: true,
	}}})
	r.crashAt(0, 20_000, 0, time.Millisecond)
	if !r.m.Job(crashedJob).Open() {
		t.Fatal("the job has failed at once")
	}
	r.m.Apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{Term: 1}}}, 1+verdictDelayMs, 1)
	if r.m.Job(crashedJob).Open() {
		t.Error("the job has not failed when its verdict is due")
	}
}

// Guards against extra starts of a task whose first crashes coincided with those of other workers.
func TestStartsAreLimitedAfterCrashesWithOtherCauses(t *testing.T) {
	r := newCrashHarness(t)
	for i, worked := range [][3]time.Duration{{1, 9, 4}, {3, 7, 6}, {2, 5, 8}, {2, 4, 3}} {
		r.startTogether(0, 1, 2)
		for _, host := range []int{1, 2, 0} {
			r.crashAt(host, int64(1000+10_000*i), uint32(host), worked[host]*time.Second)
		}
	}
	if !r.m.Job(crashedJob).Open() {
		t.Fatal("the job failed by crashes with another cause")
	}
	r.start(0, 0)
	r.crashAt(0, 50_000, 0, 3*time.Second)
	if r.m.Job(crashedJob).Open() {
		t.Error("the job is open after two starts since the third crash, and two similar crashes")
	}
}

// Guards against failing the job of a task that is out of starts although another step on the worker is
// as much a suspect.
func TestTaskOutOfStartsBesideEqualSuspectDoesNotFailJob(t *testing.T) {
	r := newCrashHarness(t)
	for i, worked := range [][3]time.Duration{{1, 9, 4}, {3, 7, 6}, {2, 5, 8}, {2, 4, 3}} {
		r.startTogether(0, 1, 2)
		for _, host := range []int{1, 2, 0} {
			r.crashAt(host, int64(1000+10_000*i), uint32(host), worked[host]*time.Second)
		}
	}
	r.start(1, 0)
	r.start(0, 0)
	r.crash(0, map[uint32]time.Duration{0: 3 * time.Second, 1: 9 * time.Second})
	if !r.m.Job(crashedJob).Open() {
		t.Error("the job has failed")
	}
}

// Guards against a further start of a task that is out of starts, while its verdict waits for silent workers.
func TestPendingVerdictHoldsTaskThatIsOutOfStarts(t *testing.T) {
	for _, restored := range []bool{false, true} {
		r := newCrashHarness(t)
		r.restoreEachTime = restored
		for i, worked := range [][3]time.Duration{{1, 9, 4}, {3, 7, 6}, {2, 5, 8}, {2, 4, 3}} {
			r.startTogether(0, 1, 2)
			for _, host := range []int{1, 2, 0} {
				r.crashAt(host, int64(1000+10_000*i), uint32(host), worked[host]*time.Second)
			}
		}
		r.start(0, 0)
		r.incarnations[0]++
		r.report(0, &apiv1.WorkerCrash{AtMs: 50_000, OthersSilent: true, Worked: []*apiv1.RunWork{{
			Task: r.task(0).Ref(), Run: r.m.Task(r.task(0)).LastRun, WorkedMs: 3000, AtMostMs: 3000, Began: true,
		}}})
		if len(r.m.VerdictsDue(1+verdictDelayMs)) != 1 {
			t.Fatalf("restored %v: no verdict is pending", restored)
		}
		if r.start(0, 0) {
			t.Errorf("restored %v: the task starts while its verdict is pending", restored)
		}
	}
}
