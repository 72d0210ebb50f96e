package schedule

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// harness holds a queue machine, a planner and the clock of a test, and implements Fleet.
type harness struct {
	t            testing.TB
	machine      *jobqueue.Machine
	planner      *Planner
	now          time.Time
	observations map[jobqueue.RunID]Observation
	unresponsive map[string]bool
	// unresponsiveAt is the time at which a worker was last found unresponsive.
	unresponsiveAt  map[string]time.Time
	nextEndSequence map[string]uint64
	// accountOf returns the account of jobs in a queue, and beforeApply is called with each decision. Both
	// are nil in most tests.
	accountOf   func(queue string) string
	beforeApply func(Decision)
}

const (
	testTerm = 1
	testHost = "queues.example"
	testPool = "pool"
)

// newHarness returns a harness with one pool, and an urgent and a batch queue for it.
func newHarness(t *testing.T) *harness { return newHarnessFor(t) }

func newHarnessFor(t testing.TB) *harness {
	r := &harness{
		t: t, machine: jobqueue.New(), planner: New(), now: time.UnixMilli(1_000_000),
		observations: map[jobqueue.RunID]Observation{}, unresponsive: map[string]bool{}, unresponsiveAt: map[string]time.Time{}, nextEndSequence: map[string]uint64{},
	}
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{
		Configuration: &apiv1.QueueConfiguration{
			Version: 1,
			Pools:   []*apiv1.WorkerPool{{Name: testPool}},
			Queues: []*apiv1.JobQueue{
				{Name: "urgent", Host: testHost, PathPrefix: "/urgent/", Pool: testPool, MaxAttempts: 3, Stretch: 2, AllowanceMs: 250, TimeoutMs: 1000},
				{Name: "batch", Host: testHost, PathPrefix: "/batch/", Pool: testPool, Priority: 2, MaxAttempts: 3, Stretch: 2, AllowanceMs: 1000, TimeoutMs: 1000},
			},
		},
	}}})
	return r
}

func (r *harness) apply(c *apiv1.JobsCommand) {
	r.t.Helper()
	if o := r.machine.Apply(c, r.now.UnixMilli(), testTerm); o != apiv1.JobOutcome_JOB_OUTCOME_OK {
		r.t.Fatalf("%v: %v", c, o)
	}
}

func (r *harness) addWorker(id string, cpuMilli, memoryMB int64, labels ...string) {
	r.t.Helper()
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker: &apiv1.JobWorker{Id: id, Host: "host-" + id, Pool: testPool, CpuMilli: cpuMilli, MemoryMb: memoryMB, Labels: labels},
	}}})
}

func (r *harness) submit(queue, id string, steps ...*apiv1.JobStep) {
	r.t.Helper()
	account := ""
	if r.accountOf != nil {
		account = r.accountOf(queue)
	}
	r.submitAs(account, queue, id, steps...)
}

func (r *harness) submitAs(account, queue, id string, steps ...*apiv1.JobStep) {
	r.t.Helper()
	path := fmt.Sprintf("/%s/%s", queue, id)
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
		Id: id, Host: testHost, Path: path, Steps: steps, Account: account,
	}}}})
}

// reportEnd reports the end of a run by its worker.
func (r *harness) reportEnd(id jobqueue.RunID, kind apiv1.RunEndKind) {
	r.t.Helper()
	run := r.machine.Run(id)
	w := r.machine.Worker(run.Worker)
	r.planner.RecordRunEnd(EndedRun{Worker: run.Worker, Run: id, Kind: kind, Step: run.Step, At: r.now})
	r.nextEndSequence[run.Worker]++
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker: w.Spec,
		Ends: []*apiv1.RunEnd{{
			Sequence: r.nextEndSequence[run.Worker], Task: id.Task.Ref(), Run: id.Number, Kind: kind,
		}},
	}}})
}

// Reachable implements Fleet.
func (r *harness) Reachable(worker string) bool { return !r.unresponsive[worker] }

// ReportingSince implements Fleet.
func (r *harness) ReportingSince(worker string) (time.Time, bool) {
	if r.unresponsive[worker] {
		r.unresponsiveAt[worker] = r.now
	}
	return r.unresponsiveAt[worker], !r.unresponsive[worker]
}

// Availability implements Fleet.
func (r *harness) Availability(w *jobqueue.Worker) jobqueue.Availability {
	return jobqueue.Availability{Capacity: w.Capacity(), Reserved: w.Used}
}

// Observed implements Fleet.
func (r *harness) Observed(id jobqueue.RunID) (Observation, bool) {
	o, ok := r.observations[id]
	return o, ok
}

// plan makes one decision and commits it.
func (r *harness) plan() Decision {
	r.t.Helper()
	d := r.planner.Plan(r.machine, r, r.now, r.now.UnixMilli())
	if r.beforeApply != nil {
		r.beforeApply(d)
	}
	if !d.Empty() {
		r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{
			Term: testTerm, Starts: d.Starts, Stops: d.Stops, TrialsOver: d.EndedProbations,
		}}})
	}
	return d
}

// startAll starts the tasks of a job's first step on a worker without consulting the planner.
func (r *harness) startAll(worker, job string) {
	r.t.Helper()
	var starts []*apiv1.StartRun
	for i := range r.machine.Job(job).Occurrences[0].Steps[0].Tasks {
		starts = append(starts, &apiv1.StartRun{
			Task: &apiv1.TaskRef{Job: job, Index: uint32(i)}, Run: 1, Worker: worker,
		})
	}
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{Term: testTerm, Starts: starts}}})
	if got := len(r.runsOn(worker)); got < len(starts) {
		r.t.Fatalf("%d runs on %s", got, worker)
	}
}

func (r *harness) advance(d time.Duration) { r.now = r.now.Add(d) }

// observe reports a run's percent and figure at the current time.
func (r *harness) observe(id jobqueue.RunID, percent uint32, figure int64) {
	o, seen := r.observations[id]
	if !seen {
		o.FirstAt = r.now
	}
	if !seen || o.Percent != percent {
		o.ProgressAt = r.now
	}
	o.At, o.Percent, o.Figure = r.now, percent, figure
	r.observations[id] = o
}

// runsOn returns the runs on a worker.
func (r *harness) runsOn(worker string) []jobqueue.RunID {
	return r.machine.Worker(worker).SortedRunIDs()
}

// observeAll reports all runs of a worker: serving tasks with the given tail latency, backfill
// tasks with full use of their processors.
func (r *harness) observeAll(worker string, tail func(serving int) int64) {
	w := r.machine.Worker(worker)
	serving := 0
	for _, id := range w.SortedRunIDs() {
		step := w.Runs[id].Step
		if step.TailObjectiveMs > 0 {
			r.observe(id, fullPace, tail(serving))
			serving++
			continue
		}
		r.observe(id, uint32(r.now.UnixMilli()/100%100), step.CpuMilli)
	}
	r.planner.Observe(w, r, r.now)
}
