package jobqueue_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	host = "queues.example"
	pool = "pool"
	term = 7
)

type machine struct {
	*jobqueue.Machine
	now  int64
	ends map[string]uint64
}

func newMachine() *machine {
	m := &machine{Machine: jobqueue.New(), now: 1000, ends: map[string]uint64{}}
	m.put(configuration(1))
	return m
}

func configuration(version uint64, more ...*apiv1.JobQueue) *apiv1.QueueConfiguration {
	return &apiv1.QueueConfiguration{
		Version: version, Pools: []*apiv1.WorkerPool{{Name: pool}},
		Queues: append([]*apiv1.JobQueue{{
			Name: "q", Host: host, PathPrefix: "/q/", Pool: pool, MaxAttempts: 2, Stretch: 2, TimeoutMs: 1000,
		}}, more...),
	}
}

func (m *machine) apply(c *apiv1.JobsCommand) apiv1.JobOutcome {
	m.now++
	return m.Apply(c, m.now, term)
}

func (m *machine) put(c *apiv1.QueueConfiguration) apiv1.JobOutcome {
	return m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{Configuration: c}}})
}

func (m *machine) submit(id string, steps ...*apiv1.JobStep) apiv1.JobOutcome {
	return m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{
		Spec: &apiv1.JobSpec{Id: id, Host: host, Path: "/q/" + id, Steps: steps},
	}}})
}

func (m *machine) cancel(id string) apiv1.JobOutcome {
	return m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{
		Cancel: &apiv1.CancelJob{Id: id, Host: host, Path: "/q/" + id},
	}})
}

func (m *machine) report(r *apiv1.ReportWorker) apiv1.JobOutcome {
	return m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: r}})
}

func (m *machine) worker(id, host string, cpuMilli int64) apiv1.JobOutcome {
	return m.report(&apiv1.ReportWorker{Worker: spec(id, host, cpuMilli)})
}

func spec(id, host string, cpuMilli int64) *apiv1.JobWorker {
	return &apiv1.JobWorker{Id: id, Host: host, Pool: pool, CpuMilli: cpuMilli, MemoryMb: 1000}
}

func (m *machine) plan(p *apiv1.PlanRuns) apiv1.JobOutcome {
	p.Term = term
	return m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: p}})
}

func task(job string, step, index uint32) jobqueue.TaskID {
	return jobqueue.TaskID{Job: job, Step: step, Index: index}
}

func (m *machine) start(t jobqueue.TaskID, run uint64, worker string) bool {
	m.plan(&apiv1.PlanRuns{Starts: []*apiv1.StartRun{{Task: t.Ref(), Run: run, Worker: worker}}})
	return m.Run(jobqueue.RunID{Task: t, Number: run}) != nil
}

func (m *machine) end(worker string, t jobqueue.TaskID, run uint64, kind apiv1.RunEndKind) apiv1.JobOutcome {
	m.ends[worker]++
	w := m.Worker(worker)
	if w == nil {
		return apiv1.JobOutcome_JOB_OUTCOME_STALE
	}
	return m.report(&apiv1.ReportWorker{Worker: w.Spec, Ends: []*apiv1.RunEnd{{
		Sequence: m.ends[worker], Task: t.Ref(), Run: run, Kind: kind,
	}}})
}

func one(cpu int64, after ...uint32) *apiv1.JobStep {
	return &apiv1.JobStep{Count: 1, CpuMilli: cpu, MemoryMb: 1, After: after}
}

const (
	ok        = apiv1.JobOutcome_JOB_OUTCOME_OK
	done      = apiv1.RunEndKind_RUN_END_KIND_DONE
	failed    = apiv1.RunEndKind_RUN_END_KIND_FAILED
	succeeded = apiv1.JobState_JOB_STATE_SUCCEEDED
)

// TestPlanIsCheckedAgainstFreeCapacity guards against a worker that runs more than its capacity.
// Two starts of one plan exceed it together; later, a start requires the resources of a run that is
// being stopped. The fault occurs if plans are not validated, or if resources count as free before
// the end of the run is recorded.
func TestPlanIsCheckedAgainstFreeCapacity(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.submit("a", &apiv1.JobStep{Count: 2, CpuMilli: 600, MemoryMb: 1})
	m.plan(&apiv1.PlanRuns{Starts: []*apiv1.StartRun{
		{Task: task("a", 0, 0).Ref(), Run: 1, Worker: "w1"}, {Task: task("a", 0, 1).Ref(), Run: 1, Worker: "w1"},
	}})
	if n := len(m.Worker("w1").Runs); n != 1 {
		t.Fatalf("%d runs of 600 on a worker of 1000", n)
	}
	m.cancel("a")
	m.submit("b", one(600))
	if m.start(task("b", 0, 0), 1, "w1") {
		t.Fatal("resources of a run that is being stopped were reserved again")
	}
	m.end("w1", task("a", 0, 0), 1, apiv1.RunEndKind_RUN_END_KIND_STOPPED)
	if !m.start(task("b", 0, 0), 1, "w1") {
		t.Fatal("resources were not released at the end of the run")
	}
}

// TestInvalidStartsAreIgnored guards against a task that runs before its dependencies, twice at
// once, or after it succeeded. The test plans each such start; the fault occurs if only the planner
// enforces a rule.
func TestInvalidStartsAreIgnored(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 4000)
	m.worker("w2", "h2", 4000)
	m.submit("a", one(100), one(100, 0))
	if m.start(task("a", 1, 0), 1, "w1") {
		t.Error("a step started before the step that it depends on")
	}
	if !m.start(task("a", 0, 0), 1, "w1") || m.start(task("a", 0, 0), 2, "w2") {
		t.Error("a task must have exactly one run")
	}
	m.end("w1", task("a", 0, 0), 1, done)
	if m.start(task("a", 0, 0), 2, "w2") {
		t.Error("a task started after it succeeded")
	}
	if !m.start(task("a", 1, 0), 1, "w2") {
		t.Error("a ready step did not start")
	}
	m.end("w2", task("a", 1, 0), 1, done)
	if s := m.Job("a").State; s != succeeded {
		t.Errorf("the job is %v", s)
	}
}

// TestPlanOfEarlierTermIsRejected guards against the plan of a previous leader taking effect: it
// expires a worker's lease after its successor renewed that lease. The fault occurs if a plan is
// not bound to its term.
func TestPlanOfEarlierTermIsRejected(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.submit("a", one(100))
	m.start(task("a", 0, 0), 1, "w1")
	old := &apiv1.PlanRuns{Term: term - 1, Lapsed: []string{"w1"}}
	outcome := m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: old}})
	if outcome != apiv1.JobOutcome_JOB_OUTCOME_STALE || len(m.Worker("w1").Runs) != 1 {
		t.Fatalf("%v, %d runs", outcome, len(m.Worker("w1").Runs))
	}
}

// TestFailuresUseUpAttempts guards against a job that is retried forever although its task cannot
// succeed, or that fails too early. Two runs fail, one of them reported after the run was lost. The
// fault occurs if only the ends of runs that reserve resources are counted.
func TestFailuresUseUpAttempts(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.submit("a", one(100))
	m.start(task("a", 0, 0), 1, "w1")
	m.plan(&apiv1.PlanRuns{Lapsed: []string{"w1"}})
	m.end("w1", task("a", 0, 0), 1, failed)
	if s := m.Job("a").State; s != apiv1.JobState_JOB_STATE_RUNNING {
		t.Fatalf("the job is %v after one failure of two", s)
	}
	m.start(task("a", 0, 0), 2, "w1")
	m.end("w1", task("a", 0, 0), 2, failed)
	if s := m.Job("a").State; s != apiv1.JobState_JOB_STATE_FAILED {
		t.Fatalf("the job is %v", s)
	}
	if m.start(task("a", 0, 0), 3, "w1") {
		t.Fatal("a failed job started")
	}
}

// TestLoweredMaxAttemptsFailsJobs guards against a job that stays open permanently because the
// maximum number of attempts was lowered to the failures of its task.
func TestLoweredMaxAttemptsFailsJobs(t *testing.T) {
	for name, kept := range map[string]struct {
		step *apiv1.JobStep
		open bool
	}{
		"batch":        {one(100), false},
		"gang":         {&apiv1.JobStep{Count: 1, CpuMilli: 100, Gang: true}, false},
		"long-running": {&apiv1.JobStep{Count: 1, CpuMilli: 100, LongRunning: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			m := newMachine()
			m.worker("w1", "h1", 1000)
			m.submit("failed once", kept.step)
			m.submit("sound", kept.step)
			m.start(task("failed once", 0, 0), 1, "w1")
			m.end("w1", task("failed once", 0, 0), 1, failed)
			lower := configuration(2)
			lower.Queues[0].MaxAttempts = 1
			m.put(lower)
			if open := m.Job("failed once").Open(); open != kept.open {
				t.Errorf("open: %v", open)
			}
			if !kept.open && m.Job("failed once").State != apiv1.JobState_JOB_STATE_FAILED {
				t.Errorf("the job is %v", m.Job("failed once").State)
			}
			if !m.Job("sound").Open() {
				t.Error("a job without a failure is finished")
			}
			if starts := m.start(task("failed once", 0, 0), 2, "w1"); starts != kept.open {
				t.Errorf("starts again: %v", starts)
			}
		})
	}
}

// TestPreviousIncarnationIsRemoved guards against attributing a run of a worker's previous
// incarnation to the new one. The worker crashes and comes back under a new ID, and a report of the
// previous incarnation arrives late. The fault occurs if incarnations are distinguished by their
// host alone.
func TestPreviousIncarnationIsRemoved(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.submit("a", one(100))
	m.start(task("a", 0, 0), 1, "w1")
	m.worker("w2", "h1", 1000)
	if m.Worker("w1") != nil || m.Job("a").Running() {
		t.Fatal("the previous incarnation or its run still exists")
	}
	if outcome := m.worker("w1", "h1", 1000); outcome != apiv1.JobOutcome_JOB_OUTCOME_STALE {
		t.Fatalf("a late report of the previous incarnation: %v", outcome)
	}
	if !m.start(task("a", 0, 0), 2, "w2") {
		t.Fatal("its task did not start again")
	}
}

// TestCheckpointsAndGangs guards against work that restarts from the beginning, and against a
// member of a gang that runs alone. A run with a checkpoint is lost; a member of a gang fails. The
// fault occurs if checkpoints are not stored with the task, or if a gang is not ended as a whole.
func TestCheckpointsAndGangs(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.submit("a", one(100))
	m.start(task("a", 0, 0), 1, "w1")
	m.plan(&apiv1.PlanRuns{Lapsed: []string{"w1"}, Checkpoints: []*apiv1.RunCheckpoint{
		{Task: task("a", 0, 0).Ref(), Run: 1, Checkpoint: "c1"},
	}})
	if c := m.Job("a").Occurrences[0].Steps[0].Tasks[0].Checkpoint; c != "c1" {
		t.Errorf("the task resumes from %q", c)
	}
	m.submit("g", &apiv1.JobStep{Count: 2, CpuMilli: 100, MemoryMb: 1, Gang: true})
	if m.start(task("g", 0, 0), 1, "w1") {
		t.Error("one member of a gang started alone")
	}
	m.plan(&apiv1.PlanRuns{Starts: []*apiv1.StartRun{
		{Task: task("g", 0, 0).Ref(), Run: 1, Worker: "w1"}, {Task: task("g", 0, 1).Ref(), Run: 1, Worker: "w1"},
	}})
	m.end("w1", task("g", 0, 0), 1, failed)
	other := m.Run(jobqueue.RunID{Task: task("g", 0, 1), Number: 1})
	if other == nil || !other.Stopping {
		t.Error("the other member of a failed gang is not stopping")
	}
	m.end("w1", task("g", 0, 1), 1, failed)
	if s := m.Job("g").State; s != apiv1.JobState_JOB_STATE_RUNNING {
		t.Errorf("two ends of one run of a gang count as two attempts: %v", s)
	}
}

// TestHighestConfigurationVersionIsInEffect guards against reverting to an older configuration, and
// against refusing a retry of an acknowledged one. Versions arrive out of order, repeated, and with
// different content. The fault occurs if anything other than the highest version decides.
func TestHighestConfigurationVersionIsInEffect(t *testing.T) {
	m := newMachine()
	added := &apiv1.JobQueue{Name: "r", Host: host, PathPrefix: "/q/r/", Pool: pool, TimeoutMs: 1}
	for _, c := range []*apiv1.QueueConfiguration{configuration(9, added), configuration(5), configuration(9)} {
		if outcome := m.put(c); outcome != ok {
			t.Fatalf("version %d: %v", c.Version, outcome)
		}
	}
	if q := m.QueueFor(host, "/q/r/x"); m.Configuration().Version != 9 || q == nil || q.Name != "r" {
		t.Fatalf("version %d, queue %v", m.Configuration().Version, q)
	}
	unknown := configuration(10)
	unknown.Queues[0].Pool = "nowhere"
	if outcome := m.put(unknown); outcome != apiv1.JobOutcome_JOB_OUTCOME_INVALID {
		t.Fatalf("an unknown pool: %v", outcome)
	}
}

// TestSubmissions checks that submitting a known ID again has no effect, and that a submission that
// is invalid or matches no queue is refused with its reason and changes nothing.
func TestSubmissions(t *testing.T) {
	m := newMachine()
	cases := []struct {
		name string
		spec *apiv1.JobSpec
		want apiv1.JobOutcome
	}{
		{"new", &apiv1.JobSpec{Id: "a", Host: host, Path: "/q/a", Steps: []*apiv1.JobStep{one(1)}}, ok},
		{"again", &apiv1.JobSpec{Id: "a", Host: host, Path: "/q/a", Steps: []*apiv1.JobStep{one(1)}}, ok},
		{"no queue", &apiv1.JobSpec{Id: "b", Host: host, Path: "/x/b", Steps: []*apiv1.JobStep{one(1)}}, apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE},
		{"no step", &apiv1.JobSpec{Id: "b", Host: host, Path: "/q/b"}, apiv1.JobOutcome_JOB_OUTCOME_INVALID},
		{"later step", &apiv1.JobSpec{Id: "b", Host: host, Path: "/q/b", Steps: []*apiv1.JobStep{one(1, 0)}}, apiv1.JobOutcome_JOB_OUTCOME_INVALID},
		{"other id", &apiv1.JobSpec{Id: "b", Host: host, Path: "/q/c", Steps: []*apiv1.JobStep{one(1)}}, apiv1.JobOutcome_JOB_OUTCOME_INVALID},
		{"too many", &apiv1.JobSpec{Id: "b", Host: host, Path: "/q/b", Steps: []*apiv1.JobStep{{Count: jobqueue.MaxTasksPerJob + 1}}}, apiv1.JobOutcome_JOB_OUTCOME_INVALID},
	}
	for _, c := range cases {
		got := m.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: c.spec}}})
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if n := len(m.Active()); n != 1 {
		t.Errorf("%d jobs", n)
	}
	if pending, _ := m.Pending(host, "/q/", func(*jobqueue.Run) bool { return true }); pending != 1 {
		t.Errorf("%d jobs are pending", pending)
	}
}

// TestRandomCommands checks that, for random commands, no worker gets more than its capacity, and
// that restoring a snapshot yields the same state.
func TestRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine()
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			draw(t, m, i)
			checkRoom(t, m)
		}
		snapshot := m.Snapshot()
		restored, err := jobqueue.Restore(snapshot, m.now)
		if err != nil {
			t.Fatal(err)
		}
		if again := restored.Snapshot(); !proto.Equal(snapshot, again) {
			t.Fatalf("restored state differs:\n%v\n%v", snapshot, again)
		}
	})
}

func draw(t *rapid.T, m *machine, number int) {
	job := fmt.Sprintf("j%d", rapid.IntRange(0, 4).Draw(t, "job"))
	worker := fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(t, "worker"))
	id := task(job, uint32(rapid.IntRange(0, 1).Draw(t, "step")), uint32(rapid.IntRange(0, 2).Draw(t, "index")))
	run := uint64(rapid.IntRange(1, 4).Draw(t, "run"))
	switch rapid.IntRange(0, 6).Draw(t, "command") {
	case 0:
		gang := rapid.Bool().Draw(t, "gang")
		m.submit(job, &apiv1.JobStep{Count: 2, CpuMilli: 400, MemoryMb: 1, Gang: gang}, one(300, 0))
	case 1:
		m.worker(worker, "host-"+worker, 1000)
	case 2:
		m.start(id, run, worker)
	case 3:
		m.end(worker, id, run, apiv1.RunEndKind(rapid.IntRange(1, 6).Draw(t, "kind")))
	case 4:
		m.cancel(job)
	case 5:
		m.plan(&apiv1.PlanRuns{Lapsed: []string{worker}, Stops: []*apiv1.StopRun{{Task: id.Ref(), Run: run}}})
	case 6:
		m.worker(fmt.Sprintf("%s-%d", worker, number), "host-"+worker, 1000)
	}
}

func checkRoom(t *rapid.T, m *machine) {
	for _, w := range m.Workers() {
		var sum jobqueue.Resources
		for _, r := range w.Runs {
			sum = sum.Add(jobqueue.Reserved(r.Step))
		}
		if sum != w.Used || !sum.Fits(w.Capacity()) {
			t.Fatalf("%s: runs reserve %v, worker records %v, capacity is %v", w.Spec.Id, sum, w.Used, w.Capacity())
		}
	}
}

// TestDepartureOfUnknownIncarnationKeepsWorker guards against a task that runs in two places while
// its worker never gets work again. A newly started agent receives an incarnation that another
// program made up, finds that it does not exist, and reports that it departed. The fault occurs if
// the made-up incarnation replaces the worker on its host before it departs.
func TestDepartureOfUnknownIncarnationKeepsWorker(t *testing.T) {
	m := newMachine()
	m.submit("j", one(1))
	m.worker("w1", "h", 1000)
	if !m.start(task("j", 0, 0), 1, "w1") {
		t.Fatal("not started")
	}
	if o := m.report(&apiv1.ReportWorker{Worker: spec("w9", "h", 1000), Departed: true}); o != apiv1.JobOutcome_JOB_OUTCOME_OK {
		t.Fatal(o)
	}
	if w := m.Worker("w1"); w == nil || len(w.Runs) != 1 {
		t.Fatalf("the worker is %v", w)
	}
	if o := m.worker("w1", "h", 1000); o != apiv1.JobOutcome_JOB_OUTCOME_OK {
		t.Errorf("the worker's next report: %v", o)
	}
	if o := m.worker("w9", "h", 1000); o != apiv1.JobOutcome_JOB_OUTCOME_STALE || m.Worker("w9") != nil {
		t.Errorf("a delayed report of the departed incarnation: %v", o)
	}
}

// TestCancelledJobStartsNothing guards against starting a task after its caller was notified that
// the job is canceled. A task is planned, the job is canceled before the plan is applied, and the
// same job is submitted again. The fault occurs if plans are not validated, or if the retry reopens
// the job.
func TestCancelledJobStartsNothing(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.submit("a", one(100))
	if outcome := m.cancel("a"); outcome != ok {
		t.Fatal(outcome)
	}
	if m.start(task("a", 0, 0), 1, "w1") {
		t.Error("a task of a cancelled job started")
	}
	m.submit("a", one(100))
	if m.start(task("a", 0, 0), 1, "w1") || m.Job("a").State != apiv1.JobState_JOB_STATE_CANCELED {
		t.Errorf("a retry reopened the cancelled job: %v", m.Job("a").State)
	}
}

// TestDrainingWorkerGetsNoTasks guards against losing a task with a worker that had announced that
// it leaves. A start is planned, the worker reports that it is draining, and then the plan is
// applied. The fault occurs if only the planner checks the worker's report.
func TestDrainingWorkerGetsNoTasks(t *testing.T) {
	m := newMachine()
	m.worker("w1", "h1", 1000)
	m.submit("a", one(100))
	leaving := spec("w1", "h1", 1000)
	leaving.Draining = true
	m.report(&apiv1.ReportWorker{Worker: leaving})
	if m.start(task("a", 0, 0), 1, "w1") {
		t.Error("a task started on a draining worker")
	}
}
