package schedule

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// crash ends a worker without notice just after its runs have started, and begins its next
// incarnation.
func (r *harness) crash(id, next string) { r.crashBesideSilentWorkers(id, next, false) }

// crashBesideSilentWorkers is like crash, while several other workers are silent or not.
func (r *harness) crashBesideSilentWorkers(id, next string, othersSilent bool) {
	r.t.Helper()
	w := r.machine.Worker(id)
	crash := &apiv1.WorkerCrash{OthersSilent: othersSilent}
	for _, run := range w.SortedRunIDs() {
		crash.Worked = append(crash.Worked, &apiv1.RunWork{Task: run.Task.Ref(), Run: run.Number, Began: true})
	}
	spec := w.Spec
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker: &apiv1.JobWorker{Id: next, Host: spec.Host, Pool: testPool, CpuMilli: spec.CpuMilli, MemoryMb: spec.MemoryMb}, Crash: crash,
	}}})
}

func shortTasks(count uint32) *apiv1.JobStep {
	return &apiv1.JobStep{Count: count, CpuMilli: 100, MemoryMb: 100, EstimatedMs: 500}
}

// observeRuns reports all runs of a worker as running.
func (r *harness) observeRuns(worker string) {
	for _, id := range r.runsOn(worker) {
		r.observe(id, uint32(r.now.UnixMilli()/100%100), 100)
	}
}

// Guards against a suspect that never gets its probation beside a stream of other work.
func TestSuspectGetsProbationOnBusyWorker(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 32_000, 64_000)
	r.submit("batch", "suspect", shortTasks(1))
	r.plan()
	r.crash("w1", "w2")
	for i := range 40 {
		r.submit("urgent", fmt.Sprint("u", i), shortTasks(1))
		r.plan()
		r.advance(100 * time.Millisecond)
		if i%5 == 4 {
			r.observeRuns("w2")
		}
	}
	if task := r.machine.Task(jobqueue.TaskID{Job: "suspect"}); task.LastRun != 2 || task.Crashes.Suspect() {
		t.Errorf("the last run of the suspect is %d, its crash record %+v", task.LastRun, task.Crashes)
	}
}

// Guards against starts that are proposed in each round although the machine rejects them: the task's job
// may fail by the crash limit once silent workers have reported.
func TestTaskHeldByCrashLimitIsNotProposed(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w0", 32_000, 64_000)
	r.submit("batch", "suspect", shortTasks(1))
	for i := range crashloop.MaxSoleCauseCrashes {
		r.plan()
		r.crashBesideSilentWorkers(fmt.Sprint("w", i), fmt.Sprint("w", i+1), true)
	}
	if !r.machine.Job("suspect").Open() {
		t.Fatal("the job has failed")
	}
	if d := r.plan(); len(d.Starts) > 0 {
		t.Errorf("%v is proposed", d.Starts)
	}
}

// Guards against probations that use more than their share of a pool, at two sizes of fleet.
func TestProbationsUseLimitedShareOfPool(t *testing.T) {
	for _, workers := range []int{6, 60} {
		r := newHarness(t)
		for i := range workers {
			r.addWorker(fmt.Sprint("w", i), 32_000, 64_000)
		}
		for i := range 2 * workers {
			job := fmt.Sprint("suspect", i)
			r.submit("batch", job, shortTasks(1))
			r.startAll("w0", job)
		}
		r.crash("w0", "w0b")
		r.plan()
		if onProbation := len(r.machine.Workers()) - len(workersWithoutProbation(r)); onProbation != workers/probationPoolDivisor {
			t.Errorf("%d of %d workers have runs on probation", onProbation, workers)
		}
	}
}

func workersWithoutProbation(r *harness) []*jobqueue.Worker {
	var found []*jobqueue.Worker
	for _, w := range r.machine.Workers() {
		if !w.HasRunOnProbation() {
			found = append(found, w)
		}
	}
	return found
}
