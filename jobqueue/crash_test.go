package jobqueue

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
)

// crashHarness is a machine with one job whose workers crash one after the other.
type crashHarness struct {
	t *testing.T
	m *Machine
	// incarnations counts the crashed incarnations of each host's worker.
	incarnations [scheduledWorkers]int
	// restoreEachTime restores the machine from a snapshot before each command.
	restoreEachTime bool
}

const crashedJob = "j1"

func newCrashHarness(t *testing.T) *crashHarness {
	r := &crashHarness{t: t, m: New()}
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{Configuration: &apiv1.QueueConfiguration{
		Version: 1, Pools: []*apiv1.WorkerPool{{Name: "p"}},
		Queues: []*apiv1.JobQueue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Stretch: 2, TimeoutMs: 1000}},
	}}}})
	for host := range scheduledWorkers {
		r.report(host, nil)
	}
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
		Id: crashedJob, Host: "h", Path: "/q/" + crashedJob, Steps: []*apiv1.JobStep{
			{Count: 1, CpuMilli: 1, MemoryMb: 1}, {Count: 1, CpuMilli: 1, MemoryMb: 1}, {Count: 1, CpuMilli: 1, MemoryMb: 1},
		},
	}}}})
	return r
}

func (r *crashHarness) apply(c *apiv1.JobsCommand) {
	r.t.Helper()
	if r.restoreEachTime {
		restored, err := Restore(r.m.Snapshot(), 1)
		if err != nil {
			r.t.Fatal(err)
		}
		r.m = restored
	}
	if o := r.m.Apply(c, 1, 1); o != apiv1.JobOutcome_JOB_OUTCOME_OK {
		r.t.Fatalf("%v: %v", c, o)
	}
}

func (r *crashHarness) worker(host int) string {
	return fmt.Sprintf("w%d@%d", host, r.incarnations[host]+1)
}

// report sends a report of the current incarnation of a host's worker. crash describes the crash of
// the previous incarnation, if any.
func (r *crashHarness) report(host int, crash *apiv1.WorkerCrash) {
	r.t.Helper()
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker: &apiv1.JobWorker{Id: r.worker(host), Host: fmt.Sprint("h", host), Pool: "p", CpuMilli: 1000, MemoryMb: 1000}, Crash: crash,
	}}})
}

func (r *crashHarness) plan(p *apiv1.PlanRuns) {
	r.t.Helper()
	p.Term = 1
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: p}})
}

// task returns the only task of a step.
func (r *crashHarness) task(step uint32) TaskID { return TaskID{Job: crashedJob, Step: step} }

// start orders a run and reports whether the machine allows it.
func (r *crashHarness) start(step uint32, host int) bool {
	r.t.Helper()
	before := r.m.Task(r.task(step)).LastRun
	r.plan(&apiv1.PlanRuns{Starts: []*apiv1.StartRun{{Task: r.task(step).Ref(), Run: before + 1, Worker: r.worker(host)}}})
	return r.m.Task(r.task(step)).LastRun > before
}

// crash crashes a host's worker. worked is how long its runs have worked, by step.
func (r *crashHarness) crash(host int, worked map[uint32]time.Duration) {
	r.t.Helper()
	crash := &apiv1.WorkerCrash{}
	for step, d := range worked {
		crash.Worked = append(crash.Worked, &apiv1.RunWork{
			Task: r.task(step).Ref(), Run: r.m.Task(r.task(step)).LastRun, WorkedMs: d.Milliseconds(), AtMostMs: d.Milliseconds(), Began: true,
		})
	}
	r.incarnations[host]++
	r.report(host, crash)
}

// TestCrashLimitFailsJobAcrossSnapshots guards against snapshots that lose the recorded crashes.
func TestCrashLimitFailsJobAcrossSnapshots(t *testing.T) {
	for _, restored := range []bool{false, true} {
		r := newCrashHarness(t)
		r.restoreEachTime = restored
		for range crashloop.MaxSoleCauseCrashes {
			if !r.start(0, 0) {
				t.Fatal("the task does not start")
			}
			r.crash(0, map[uint32]time.Duration{0: time.Millisecond})
		}
		j := r.m.Job(crashedJob)
		if j.State != apiv1.JobState_JOB_STATE_FAILED || j.Failure != apiv1.JobFailure_JOB_FAILURE_CRASHES || j.FailedTask != r.task(0) {
			t.Errorf("restored %v: the job is %v for %v of %v", restored, j.State, j.Failure, j.FailedTask)
		}
	}
}

// TestNothingStartsBesideRunOnProbation guards against starting work beside a task that may crash
// its worker.
func TestNothingStartsBesideRunOnProbation(t *testing.T) {
	r := newCrashHarness(t)
	r.start(0, 0)
	r.start(1, 0)
	r.crash(0, map[uint32]time.Duration{0: time.Millisecond, 1: time.Millisecond})
	if !r.start(0, 1) || r.start(1, 1) || r.start(2, 1) {
		t.Error("a start beside a run on probation is allowed, or the run on probation is not")
	}
	r.plan(&apiv1.PlanRuns{TrialsOver: []*apiv1.RunRef{{Task: r.task(0).Ref(), Run: 2}}})
	if !r.start(2, 1) {
		t.Error("nothing starts after the probation")
	}
}

// TestCrashReportedAfterLeaseExpiryCounts guards against ignoring a crash because the run was lost
// before the crash was reported.
func TestCrashReportedAfterLeaseExpiryCounts(t *testing.T) {
	r := newCrashHarness(t)
	for host := range crashloop.MaxSoleCauseCrashes {
		r.start(0, host)
		r.plan(&apiv1.PlanRuns{Lapsed: []string{r.worker(host)}})
		r.crash(host, map[uint32]time.Duration{0: time.Millisecond})
	}
	if j := r.m.Job(crashedJob); j.Failure != apiv1.JobFailure_JOB_FAILURE_CRASHES {
		t.Errorf("the job is %v for %v", j.State, j.Failure)
	}
}

// TestUnreachableWorkerDidNotCrash guards against counting a crash for a lost run if its worker was
// only unreachable and reported again in between.
func TestUnreachableWorkerDidNotCrash(t *testing.T) {
	r := newCrashHarness(t)
	for range crashloop.MaxSoleCauseCrashes {
		r.start(0, 0)
		r.plan(&apiv1.PlanRuns{Lapsed: []string{r.worker(0)}})
		r.report(0, nil)
		r.crash(0, map[uint32]time.Duration{0: time.Millisecond})
	}
	if c := r.m.Task(r.task(0)).Crashes; c.Count() > 0 {
		t.Errorf("%+v counts against the task", c)
	}
}

// Guards against counting a start that never reached its worker, where the run was lost before that is
// known.
func TestLostStartThatNeverBeganDoesNotCount(t *testing.T) {
	for name, departed := range map[string]bool{"the worker reports again": false, "the worker has ended": true} {
		for _, restored := range []bool{false, true} {
			r := newCrashHarness(t)
			r.restoreEachTime = restored
			for range crashloop.RepeatedCrashes {
				r.start(0, 0)
				r.crash(0, map[uint32]time.Duration{0: 2 * time.Second})
			}
			r.start(0, 0)
			r.plan(&apiv1.PlanRuns{Lapsed: []string{r.worker(0)}})
			r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
				Worker:   &apiv1.JobWorker{Id: r.worker(0), Host: "h0", Pool: "p", CpuMilli: 1000, MemoryMb: 1000},
				Departed: departed, Refusals: []*apiv1.RunRefusal{{Task: r.task(0).Ref(), Run: r.m.Task(r.task(0)).LastRun}},
			}}})
			history := r.m.Task(r.task(0)).Crashes
			if last := history.Crashes[len(history.Crashes)-1]; last.Starts != 0 || len(history.Crashes) != crashloop.RepeatedCrashes {
				t.Errorf("%s, restored %v: the history is %+v", name, restored, history)
			}
		}
	}
}

// TestUnrelatedCrashesDoNotFailJob guards against failing a job although its workers crash for
// other reasons.
func TestUnrelatedCrashesDoNotFailJob(t *testing.T) {
	r := newCrashHarness(t)
	for i, ms := range []int{3000, 700, 9000, 40, 5000, 1500, 2500, 12000} {
		if !r.start(0, i%scheduledWorkers) {
			t.Fatalf("the task does not start after %d crashes", i)
		}
		r.crash(i%scheduledWorkers, map[uint32]time.Duration{0: time.Duration(ms) * time.Millisecond})
	}
	if j := r.m.Job(crashedJob); !j.Open() {
		t.Errorf("the job is %v", j.State)
	}
}

// TestStartsAfterRepeatedCrashesAreLimited guards against an extra start of a task that crashes its
// workers after some work.
func TestStartsAfterRepeatedCrashesAreLimited(t *testing.T) {
	r := newCrashHarness(t)
	starts := 0
	for i := range 20 {
		if !r.m.Job(crashedJob).Open() || !r.start(0, i%scheduledWorkers) {
			break
		}
		starts++
		r.crash(i%scheduledWorkers, map[uint32]time.Duration{0: 2 * time.Second})
	}
	if starts != crashloop.RepeatedCrashes+crashloop.MaxStartsAfterRepeatedCrashes {
		t.Errorf("the task was started %d times", starts)
	}
}

// TestRunEndingByItselfResetsCrashes guards against failing a long-running task for crashes that
// others caused, although its runs have ended by themselves since.
func TestRunEndingByItselfResetsCrashes(t *testing.T) {
	r := newCrashHarness(t)
	const job = "l1"
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
		Id: job, Host: "h", Path: "/q/" + job, Steps: []*apiv1.JobStep{{Count: 1, CpuMilli: 1, MemoryMb: 1, LongRunning: true}},
	}}}})
	task := TaskID{Job: job}
	start := func(host int) {
		if r.m.Task(task) == nil {
			t.Fatalf("the job is %v for %v", r.m.Job(job).State, r.m.Job(job).Failure)
		}
		run := r.m.Task(task).LastRun + 1
		r.plan(&apiv1.PlanRuns{Starts: []*apiv1.StartRun{{Task: task.Ref(), Run: run, Worker: r.worker(host)}}})
		if r.m.Task(task).LastRun != run {
			t.Fatalf("run %d does not start", run)
		}
	}
	for host := range crashloop.RepeatedCrashes {
		start(host)
		r.incarnations[host]++
		r.report(host, &apiv1.WorkerCrash{Worked: []*apiv1.RunWork{{
			Task: task.Ref(), Run: r.m.Task(task).LastRun, WorkedMs: 4000, AtMostMs: 4000, Began: true,
		}}})
	}
	for sequence := range uint64(crashloop.MaxStartsAfterRepeatedCrashes + 1) {
		start(0)
		r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
			Worker: &apiv1.JobWorker{Id: r.worker(0), Host: "h0", Pool: "p", CpuMilli: 1000, MemoryMb: 1000},
			Ends: []*apiv1.RunEnd{{
				Sequence: sequence + 1, Task: task.Ref(), Run: r.m.Task(task).LastRun, Kind: apiv1.RunEndKind_RUN_END_KIND_FAILED,
			}},
		}}})
	}
	if j := r.m.Job(job); !j.Open() {
		t.Errorf("the job is %v for %v", j.State, j.Failure)
	}
}
