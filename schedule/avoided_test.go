package schedule

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a long-running task that waits until workers are avoided no longer, where all are.
func TestLongRunningTaskStartsThoughAllWorkersAreAvoided(t *testing.T) {
	for failures := avoidAfterFailures; failures <= 4; failures++ {
		t.Run(fmt.Sprintf("%d failures each", failures), func(t *testing.T) {
			r := newHarness(t)
			workers := []string{"w1", "w2", "w3"}
			for _, w := range workers {
				r.addWorker(w, 8000, 8000)
			}
			r.failBatch(workers, failures)
			r.submit("urgent", "set", longRunningTasks(1))
			if took := r.planUntilRunning("set"); took > starvationTimeout {
				t.Errorf("started after %v beside three empty workers", took)
			}
		})
	}
}

// Guards against a job that waits, with nothing running, until workers are avoided no longer, where all are.
func TestStarvingJobStartsThoughAllWorkersAreAvoided(t *testing.T) {
	for name, step := range map[string]*apiv1.JobStep{
		"batch":    {Count: 2, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 300},
		"gang":     {Count: 2, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 300, Gang: true},
		"backfill": {Count: 2, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 300, Backfill: true, Image: "fills"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			workers := []string{"w1", "w2", "w3"}
			for _, w := range workers {
				r.addWorker(w, 8000, 8000)
			}
			r.failBatch(workers, avoidAfterFailures+2)
			r.submit("batch", "job", step)
			began := r.now
			for r.now.Sub(began) < time.Minute && !r.machine.Job("job").Running() {
				r.advance(simStep)
				r.plan()
			}
			if took := r.now.Sub(began); took > maxWait {
				t.Errorf("started after %v beside three empty workers", took)
			}
		})
	}
}

// Guards against a broken worker, the only one, that is given long-running tasks without a pause.
func TestWorkerThatFailsAllItGetsIsTriedOnceASecond(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 8000, 8000)
	r.submit("urgent", "set", longRunningTasks(1))
	const span = 20 * time.Second
	tries := 0
	for began := r.now; r.now.Sub(began) < span; r.advance(simStep) {
		tries += len(r.plan().Starts)
		r.failAll("w1")
	}
	if most := int(span/avoidedRetryInterval) + avoidAfterFailures; tries > most {
		t.Errorf("%d starts in %v, %d at most", tries, span, most)
	}
}

// Guards against failures that are minutes apart and count as failures in a row.
func TestRunThatFailsEachTenMinutesStartsAgainAtOnce(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 8000, 8000)
	r.submit("urgent", "set", longRunningTasks(1))
	r.planUntilRunning("set")
	for failure := 1; failure <= 5; failure++ {
		r.advance(10 * time.Minute)
		r.failAll("w1")
		if took := r.planUntilRunning("set"); took > starvationTimeout {
			t.Errorf("after failure %d the task started after %v on the only worker", failure, took)
		}
	}
}

// Guards against one incident that counts as many failures in a row.
func TestRunsThatFailTogetherDoNotLengthenEachOthersWait(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 8000, 8000)
	r.submit("urgent", "set", longRunningTasks(4))
	r.planUntilRunning("set")
	r.failAll("w1")
	if took := r.planUntilRunning("set"); took > initialAvoidance {
		t.Errorf("after one incident the tasks started after %v on the only worker", took)
	}
}

// Guards against a set without a worker once a run more has failed on each of its workers.
func TestOneMoreFailureOnEachWorkerLeavesATaskAWorker(t *testing.T) {
	for before := 1; before <= 3; before++ {
		t.Run(fmt.Sprintf("%d failures before", before), func(t *testing.T) {
			r := newHarness(t)
			workers := []string{"w1", "w2", "w3"}
			step := longRunningTasks(1)
			step.RequiredLabel = "ssd"
			for i, w := range workers {
				r.addWorker(w, 8000, 8000, "ssd")
				r.submit("urgent", fmt.Sprint("set", i), step)
			}
			r.failBatch(workers, before)
			r.advance(maxAvoidance)
			for i, w := range workers {
				r.startAll(w, fmt.Sprint("set", i))
			}
			for i := range workers {
				r.advance(1300 * time.Millisecond)
				r.reportEnd(jobqueue.RunID{Task: jobqueue.TaskID{Job: fmt.Sprint("set", i)}, Number: 1}, apiv1.RunEndKind_RUN_END_KIND_FAILED)
				r.plan()
			}
			for i := range workers {
				if took := r.planUntilRunning(fmt.Sprint("set", i)); took > starvationTimeout {
					t.Errorf("set%d started after %v", i, took)
				}
			}
		})
	}
}

// failAll has all runs of a worker fail.
func (r *harness) failAll(worker string) {
	r.t.Helper()
	for _, id := range r.runsOn(worker) {
		r.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_FAILED)
	}
}

// failBatch has tasks of batch jobs fail on each worker, one after the other.
func (r *harness) failBatch(workers []string, times int) {
	r.t.Helper()
	for i := range times {
		if i > 0 {
			r.advance(incidentWindow)
		}
		for _, w := range workers {
			r.failBatchOn(w)
		}
	}
}

func (r *harness) failBatchOn(worker string) {
	r.t.Helper()
	job := fmt.Sprintf("fails%d-%s", r.nextEndSequence[worker], worker)
	r.submit("batch", job, &apiv1.JobStep{Count: 1, CpuMilli: 100, MemoryMb: 1, EstimatedMs: 100})
	r.startAll(worker, job)
	id := jobqueue.RunID{Task: jobqueue.TaskID{Job: job}, Number: 1}
	r.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_FAILED)
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Cancel{Cancel: &apiv1.CancelJob{
		Id: job, Host: testHost, Path: "/batch/" + job,
	}}})
}
