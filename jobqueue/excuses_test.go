package jobqueue

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
)

// bystanderTask is the only task of a long-running job that crashes nothing.
var bystanderTask = TaskID{Job: "b1"}

func (r *crashHarness) submitBystander() {
	r.t.Helper()
	job := bystanderTask.Job
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
		Id: job, Host: "h", Path: "/q/" + job, Steps: []*apiv1.JobStep{{Count: 1, CpuMilli: 1, MemoryMb: 1, LongRunning: true}},
	}}}})
}

func (r *crashHarness) startBystander(host int) {
	r.t.Helper()
	run := r.m.Task(bystanderTask).LastRun + 1
	r.plan(&apiv1.PlanRuns{Starts: []*apiv1.StartRun{{Task: bystanderTask.Ref(), Run: run, Worker: r.worker(host)}}})
}

// Guards against crashes that still count against a task after the one beside it has failed its job by
// the crash limit.
func TestTaskBesideFailedOneIsExcused(t *testing.T) {
	r := newCrashHarness(t)
	r.submitBystander()
	r.startBystander(1)
	r.start(0, 0)
	r.crash(0, map[uint32]time.Duration{0: time.Millisecond})
	r.start(0, 1)
	r.incarnations[1]++
	r.report(1, &apiv1.WorkerCrash{Worked: []*apiv1.RunWork{
		{Task: r.task(0).Ref(), Run: 2, AtMostMs: 1, Began: true},
		{Task: bystanderTask.Ref(), Run: 1, WorkedMs: 3000, AtMostMs: 3000, Began: true},
	}})
	if r.m.Job(crashedJob).Open() {
		t.Fatal("the crashing task has not failed its job")
	}
	if n := r.m.Task(bystanderTask).Crashes.Similar(); n != 0 {
		t.Errorf("%d crashes count against the bystander", n)
	}
}

// Guards against excusing a task that has crashed a worker without the failed step.
func TestTaskWithCrashOfItsOwnIsNotExcusedBesideFailedOne(t *testing.T) {
	r := newCrashHarness(t)
	r.submitBystander()
	r.startBystander(2)
	r.incarnations[2]++
	r.report(2, &apiv1.WorkerCrash{Worked: []*apiv1.RunWork{{Task: bystanderTask.Ref(), Run: 1, WorkedMs: 3000, AtMostMs: 3000, Began: true}}})
	r.start(0, 0)
	r.crash(0, map[uint32]time.Duration{0: time.Millisecond})
	r.startBystander(1)
	r.start(0, 1)
	r.incarnations[1]++
	r.report(1, &apiv1.WorkerCrash{Worked: []*apiv1.RunWork{
		{Task: r.task(0).Ref(), Run: 2, AtMostMs: 1, Began: true},
		{Task: bystanderTask.Ref(), Run: 2, WorkedMs: 3000, AtMostMs: 3000, Began: true},
	}})
	if r.m.Job(crashedJob).Open() {
		t.Fatal("the crashing task has not failed its job")
	}
	if n := r.m.Task(bystanderTask).Crashes.Similar(); n != 2 {
		t.Errorf("%d crashes count against the task", n)
	}
}

// Guards against excusing a task from a crash that the failed step cannot have caused: its run had worked for
// less than the time after which it crashes its workers.
func TestTaskBesideYoungRunOfFailedStepIsNotExcused(t *testing.T) {
	for name, test := range map[string]struct {
		guiltyWorked time.Duration
		want         int
	}{
		"younger": {300 * time.Millisecond, 1},
		"as old":  {2 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCrashHarness(t)
			r.submitBystander()
			r.start(0, 0)
			r.crash(0, map[uint32]time.Duration{0: 2 * time.Second})
			r.start(0, 1)
			r.startBystander(1)
			r.incarnations[1]++
			r.report(1, &apiv1.WorkerCrash{Worked: []*apiv1.RunWork{
				{Task: r.task(0).Ref(), Run: 2, WorkedMs: test.guiltyWorked.Milliseconds(), AtMostMs: test.guiltyWorked.Milliseconds(), Began: true},
				{Task: bystanderTask.Ref(), Run: 1, WorkedMs: 3000, AtMostMs: 3000, Began: true},
			}})
			for i := 0; r.m.Job(crashedJob).Open(); i++ {
				r.start(0, 0)
				r.crash(0, map[uint32]time.Duration{0: 2 * time.Second})
			}
			if n := r.m.Task(bystanderTask).Crashes.Similar(); n != test.want {
				t.Errorf("%d crashes count against the bystander", n)
			}
		})
	}
}

// guiltyTask returns a task of a step that crashes its workers, of another job than crashedJob.
func guiltyTask(index uint32) TaskID { return TaskID{Job: "g1", Index: index} }

func (r *crashHarness) submitGuilty() {
	r.t.Helper()
	job := guiltyTask(0).Job
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
		Id: job, Host: "h", Path: "/q/" + job, Steps: []*apiv1.JobStep{{Count: 3, CpuMilli: 1, MemoryMb: 1}},
	}}}})
}

// crashUnderGuilty starts a guilty task on a host, and then the task of step 0 if beside is set. Both have
// worked for the same time when the worker crashes.
func (r *crashHarness) crashUnderGuilty(host int, index uint32, beside bool, atMs int64, worked time.Duration) {
	r.t.Helper()
	runs := []TaskID{guiltyTask(index)}
	r.plan(&apiv1.PlanRuns{Starts: []*apiv1.StartRun{{Task: runs[0].Ref(), Run: r.m.Task(runs[0]).LastRun + 1, Worker: r.worker(host)}}})
	if beside {
		runs = append(runs, r.task(0))
		if !r.start(0, host) {
			r.t.Fatal("the task does not start")
		}
	}
	crash := &apiv1.WorkerCrash{AtMs: atMs}
	for _, id := range runs {
		crash.Worked = append(crash.Worked, &apiv1.RunWork{
			Task: id.Ref(), Run: r.m.Task(id).LastRun, WorkedMs: worked.Milliseconds(), AtMostMs: worked.Milliseconds(), Began: true,
		})
	}
	r.incarnations[host]++
	r.report(host, crash)
}

// crashTwiceUnderGuilty crashes two workers under the task of step 0, each beside a guilty run that began
// before. Then the task starts on workers that become unreachable, until it is out of starts.
func (r *crashHarness) crashTwiceUnderGuilty(worked time.Duration) {
	r.t.Helper()
	for host := range 2 {
		r.crashUnderGuilty(host, uint32(host), true, int64(50_000+10_000*host), worked)
	}
	for range crashloop.MaxStartsAfterRepeatedCrashes {
		r.start(0, 0)
		r.plan(&apiv1.PlanRuns{Lapsed: []string{r.worker(0)}})
		r.report(0, nil)
	}
}

// Guards against failing a job for crashes that another step explains, which crashed a worker without it:
// its own runs had ended, unnoticed.
func TestCrashesThatAnotherStepExplainsDoNotFailJob(t *testing.T) {
	r := newCrashHarness(t)
	r.submitGuilty()
	r.crashUnderGuilty(2, 2, false, 1000, time.Second)
	r.crashTwiceUnderGuilty(time.Second)
	if !r.m.Job(crashedJob).Open() {
		t.Error("the job has failed")
	}
}

// Guards against the same where a run was on probation: only the starts of other steps are held back then,
// and a run that began before it may have crashed the worker.
func TestCrashOnProbationThatAnotherStepExplainsDoesNotFailJob(t *testing.T) {
	r := newCrashHarness(t)
	r.submitGuilty()
	r.crashUnderGuilty(2, 2, false, 1000, 300*time.Millisecond)
	r.crashTwiceUnderGuilty(300 * time.Millisecond)
	if !r.m.Job(crashedJob).Open() {
		t.Fatal("the job has failed")
	}
	if crashes := r.m.Task(r.task(0)).Crashes.Crashes; !crashes[1].OnProbation {
		t.Errorf("the second crash did not come on probation: %+v", crashes)
	}
}

// Guards against excusing a task that crashes its workers from crashes that the step beside it does not
// explain.
func TestCrashesThatAnotherStepDoesNotExplainFailJob(t *testing.T) {
	for name, before := range map[string]func(*crashHarness){
		"no crash without the task":  func(*crashHarness) {},
		"a crash after another time": func(r *crashHarness) { r.crashUnderGuilty(2, 2, false, 1000, 3*time.Second) },
		"the crash has another cause": func(r *crashHarness) {
			r.crashUnderGuilty(2, 2, false, 1000, time.Second)
			r.m.Task(guiltyTask(2)).Crashes.Excuse(r.m.lastCrashEvent)
		},
		"its run has worked for longer before": func(r *crashHarness) {
			r.crashUnderGuilty(2, 2, false, 1000, 3*time.Second)
			r.crashUnderGuilty(2, 2, false, 10_000, time.Second)
		},
		"the runs beside it have worked for longer before": func(r *crashHarness) {
			r.crashUnderGuilty(2, 2, false, 1000, time.Second)
			r.crashUnderGuilty(2, 0, false, 10_000, 3*time.Second)
			r.crashUnderGuilty(2, 1, false, 20_000, 3*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCrashHarness(t)
			r.submitGuilty()
			before(r)
			r.crashTwiceUnderGuilty(time.Second)
			if r.m.Job(crashedJob).Open() {
				t.Error("the job is open")
			}
		})
	}
}

// Guards against suspecting a task without other crashes beside one that has crashed several workers.
func TestTaskBesideRepeatedlySuspectedOneIsExcused(t *testing.T) {
	for name, test := range map[string]struct {
		guiltyWorked time.Duration
		crashes      int
		ownCrash     bool
		want         int
	}{
		"several crashes":              {2 * time.Second, 2, false, 0},
		"one crash":                    {2 * time.Second, 1, false, 1},
		"several, after a longer time": {300 * time.Millisecond, 2, false, 1},
		"one without it":               {2 * time.Second, 2, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCrashHarness(t)
			for range test.crashes {
				r.start(0, 0)
				r.crash(0, map[uint32]time.Duration{0: 2 * time.Second})
			}
			if test.ownCrash {
				r.start(1, 1)
				r.crash(1, map[uint32]time.Duration{1: 3 * time.Second})
			}
			r.start(1, 1)
			r.start(0, 1)
			r.crash(1, map[uint32]time.Duration{0: test.guiltyWorked, 1: 3 * time.Second})
			if n := r.m.Task(r.task(1)).Crashes.Similar(); n != test.want {
				t.Errorf("%d crashes count", n)
			}
		})
	}
}

// Guards against failing a job by two crashes at the starts of its task at which another step started too.
func TestCrashAtStartsOfTwoStepsIsNotSoleCause(t *testing.T) {
	r := newCrashHarness(t)
	r.start(0, 0)
	r.start(1, 0)
	r.crash(0, map[uint32]time.Duration{0: time.Millisecond, 1: time.Millisecond})
	r.start(0, 0)
	r.crash(0, map[uint32]time.Duration{0: time.Millisecond})
	if !r.m.Job(crashedJob).Open() {
		t.Error("the job has failed")
	}
}
