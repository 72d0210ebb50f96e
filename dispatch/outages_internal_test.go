package dispatch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/schedule"
)

// BenchmarkCheckLongRunning checks the long-running tasks of a fleet of the design size,
// all running.
func BenchmarkCheckLongRunning(b *testing.B) {
	const workers, tasksPerWorker, tasksPerJob, term = 3700, 6, 6, 1
	m := jobqueue.New()
	apply := func(c *apiv1.JobsCommand) { m.Apply(c, 1, term) }
	apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{Configuration: &apiv1.QueueConfiguration{
		Version: 1, Pools: []*apiv1.WorkerPool{{Name: "p"}}, Queues: []*apiv1.JobQueue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 2, Stretch: 2, TimeoutMs: 1000}},
	}}}})
	now := time.Now()
	l := &leaderState{term: term, leases: newLeaseTable(now, time.Hour, time.Hour), observed: map[jobqueue.RunID]schedule.Observation{}, outages: newOutages()}
	for w := range workers {
		name := fmt.Sprint("w", w)
		apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
			Worker: &apiv1.JobWorker{Id: name, Host: name, Pool: "p", CpuMilli: 32_000, MemoryMb: 128_000},
		}}})
		job := fmt.Sprint("j", w)
		apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
			Id: job, Host: "h", Path: "/q/" + job, Steps: []*apiv1.JobStep{{Count: tasksPerJob, CpuMilli: 1000, MemoryMb: 10, LongRunning: true}},
		}}}})
		plan := &apiv1.PlanRuns{Term: term}
		for i := range uint32(tasksPerWorker) {
			plan.Starts = append(plan.Starts, &apiv1.StartRun{Task: &apiv1.TaskRef{Job: job, Index: i}, Run: 1, Worker: name})
		}
		apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: plan}})
		for id := range m.Worker(name).Runs {
			l.observed[id] = schedule.Observation{At: now, Percent: 100}
		}
		l.leases.renew(name, 0, now, 0)
	}
	d := &Dispatcher{logger: zap.NewNop(), metrics: newMetricSet(metrics.NewRegistry())}
	if n := len(slices.Collect(longRunningTasks(m, now.UnixMilli()))); n != workers*tasksPerWorker {
		b.Fatalf("%d long-running tasks", n)
	}
	for b.Loop() {
		l.outages.checkedAt = time.Time{}
		d.checkLongRunning(l, m, schedule.Decision{}, now)
	}
}

// outageCheck is a leader whose long-running tasks are checked once a second. Its log is kept, and each task
// is named as in deployments: the length of a line matters.
type outageCheck struct {
	machine *jobqueue.Machine
	leader  *leaderState
	log     bytes.Buffer
	now     time.Time
	tasks   []jobqueue.TaskID
	*Dispatcher
}

func newOutageCheck(t *testing.T, jobs, tasksPerJob int) *outageCheck {
	metrics.NewMeter().Stop()
	c := &outageCheck{machine: jobqueue.New(), now: time.Unix(1_000_000, 0)}
	c.apply(t, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{Configuration: &apiv1.QueueConfiguration{
		Version: 1, Pools: []*apiv1.WorkerPool{{Name: "p"}}, Queues: []*apiv1.JobQueue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "p", MaxAttempts: 2, Stretch: 2, TimeoutMs: 1000}},
	}}}})
	for j := range jobs {
		job := fmt.Sprintf("123e4567-e89b-12d3-a456-4266141%05d", j)
		c.apply(t, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
			Id: job, Host: "h", Path: "/q/" + job, Steps: []*apiv1.JobStep{{Count: uint32(tasksPerJob), CpuMilli: 1000, MemoryMb: 10, LongRunning: true}},
		}}}})
		for i := range uint32(tasksPerJob) {
			c.tasks = append(c.tasks, jobqueue.TaskID{Job: job, Index: i})
		}
	}
	c.leader = &leaderState{
		term: 1, leases: newLeaseTable(c.now, time.Hour, time.Hour), observed: map[jobqueue.RunID]schedule.Observation{},
		outages: newOutages(), attention: newAttention(c.now),
	}
	logger := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&c.log), zap.DebugLevel))
	c.Dispatcher = &Dispatcher{logger: logger, metrics: newMetricSet(metrics.NewRegistry())}
	return c
}

func (c *outageCheck) apply(t *testing.T, cmd *apiv1.JobsCommand) {
	t.Helper()
	if o := c.machine.Apply(cmd, 1, 1); o != apiv1.JobOutcome_JOB_OUTCOME_OK {
		t.Fatal(o)
	}
}

// loseRuns records that each task's last run ended with its worker's lease.
func (c *outageCheck) loseRuns() {
	for i, id := range c.tasks {
		c.leader.outages.lastEnds[id] = outage{since: c.now, run: 12, worker: fmt.Sprintf("worker-zone-a-%04d", i), endReason: "lease ran out"}
	}
}

// check checks the tasks, and returns what was logged. The next check is a little more than a second later.
func (c *outageCheck) check() string {
	c.log.Reset()
	c.checkLongRunning(c.leader, c.machine, schedule.Decision{}, c.now)
	c.now = c.now.Add(outageCheckInterval + 5*time.Millisecond)
	return c.log.String()
}

// Guards against outages that never get a line, because more of them last than one check logs and the first
// ones are due again before the last ones' turn.
func TestEveryOutageIsLogged(t *testing.T) {
	c := newOutageCheck(t, 100, 14)
	c.loseRuns()
	var log strings.Builder
	for range 20 {
		log.WriteString(c.check())
	}
	never := 0
	for _, id := range c.tasks {
		if !strings.Contains(log.String(), `"`+id.String()+" ") {
			never++
		}
	}
	if never > 0 {
		t.Errorf("%d of %d outages have no line", never, len(c.tasks))
	}
}

// Guards against outages of tasks with long names that exceed the log's budget of warnings, so that lines
// about other faults are dropped.
func TestOutagesLeaveBudgetForOtherWarnings(t *testing.T) {
	const warningsPerSecond = 32 << 10
	c := newOutageCheck(t, 100, 14)
	c.loseRuns()
	for id, last := range c.leader.outages.lastEnds {
		last.worker += strings.Repeat("-long", 20)
		last.endReason = "refused: " + strings.Repeat("reason ", 20)
		c.leader.outages.lastEnds[id] = last
	}
	lines := 0
	for range 20 {
		log := c.check()
		lines += strings.Count(log, "\n")
		if len(log) > warningsPerSecond*6/10 {
			t.Errorf("a check wrote %d bytes", len(log))
		}
	}
	if lines == 0 {
		t.Error("no outage was logged")
	}
}

// Guards against lines about tasks that run again which exceed the log's budget of rare lines, so that they
// and the line about a change of leader are dropped, and against a recovery that is told at the wrong time.
func TestRecoveriesOfManyTasksAreAllLogged(t *testing.T) {
	const rareBytesPerSecond = 8 << 10
	c := newOutageCheck(t, 40, 10)
	c.apply(t, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker: &apiv1.JobWorker{Id: "w", Host: "w", Pool: "p", CpuMilli: 32_000_000, MemoryMb: 128_000_000},
	}}})
	for range 6 {
		c.check()
	}
	plan := &apiv1.PlanRuns{Term: 1}
	for _, id := range c.tasks {
		plan.Starts = append(plan.Starts, &apiv1.StartRun{Task: id.Ref(), Run: 1, Worker: "w"})
	}
	c.apply(t, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: plan}})
	recoveredAt := c.now
	var all bytes.Buffer
	for range 20 {
		for id := range c.machine.Worker("w").Runs {
			c.leader.observed[id] = schedule.Observation{At: c.now, Percent: 100}
		}
		c.leader.leases.renew("w", 0, c.now, 0)
		log := c.check()
		if len(log) > rareBytesPerSecond*6/10 {
			t.Errorf("a check wrote %d bytes", len(log))
		}
		all.WriteString(log)
	}
	counts := map[string]int{}
	for line := range strings.Lines(all.String()) {
		var entry struct {
			Back map[string][]string `json:"tasks_back"`
		}
		if err := json.Unmarshal([]byte(line), &entry); err != nil {
			t.Fatal(err)
		}
		for _, text := range entry.Back["w"] {
			var id string
			var run, outageMs, ageMs int64
			if _, err := fmt.Sscan(text, &id, &run, &outageMs, &ageMs); err != nil {
				t.Fatal(err)
			}
			counts[id]++
			if ageMs < 0 || ageMs > c.now.Sub(recoveredAt).Milliseconds() || outageMs > 10_000 {
				t.Errorf("entry %q", text)
			}
		}
	}
	for _, id := range c.tasks {
		if n := counts[id.String()]; n != 1 {
			t.Errorf("the recovery of %s is logged %d times", id, n)
		}
	}
	if len(c.leader.outages.byTask)+len(c.leader.outages.recoveries) != 0 {
		t.Errorf("%d outages and %d recoveries are left", len(c.leader.outages.byTask), len(c.leader.outages.recoveries))
	}
}

// Guards against recoveries that take ever more memory while they come faster than they are logged.
func TestQueuedRecoveriesAreBounded(t *testing.T) {
	c := newOutageCheck(t, 1, 1)
	task := longRunningTask{c.tasks[0], &jobqueue.Task{Runs: []*jobqueue.Run{{ID: jobqueue.RunID{Task: c.tasks[0]}, Worker: "w"}}}}
	o := c.leader.outages
	const more = 10
	for n := range uint64(maxQueuedRecoveries + more) {
		task.task.Runs[0].ID.Number = n
		o.byTask[task.id] = &outage{since: c.now, loggedAt: c.now}
		c.endOutage(o, task, c.now)
	}
	if n := len(o.recoveries); n != maxQueuedRecoveries || o.recoveries[0].run.Number != more {
		t.Errorf("%d recoveries are queued, the first is of run %d", n, o.recoveries[0].run.Number)
	}
}

// Guards against a task that is told not to be seen by the planner while the planner orders its start
// or the crash limit holds it, so that the wait has no reason in the record.
func TestReasonOfTaskWithoutRun(t *testing.T) {
	task := longRunningTask{jobqueue.TaskID{Job: "l1"}, &jobqueue.Task{}}
	decision := schedule.Decision{Unplaced: []schedule.UnplacedStep{{Step: task.id.StepID(), Tasks: 1}}}
	decision.Unplaced[0].WorkersByReason[schedule.ReasonMemory] = 3
	check := func(want string) {
		t.Helper()
		if got := reasonsInRound(jobqueue.New(), decision).reason(task); got != want {
			t.Errorf("reason %q, want %q", got, want)
		}
	}
	check("memory 3")
	decision.Starts = []*apiv1.StartRun{{Task: task.id.Ref(), Run: 1}}
	check("ordered, not begun")
	decision = schedule.Decision{}
	check("no candidate")
	for run := uint64(1); !task.task.Crashes.LimitReached() && run < 100; run++ {
		task.task.Crashes.Add(crashloop.Crash{Run: run, Event: run, Began: true, RecentStart: true, SoleCause: true})
	}
	check("held by the crash limit")
}
