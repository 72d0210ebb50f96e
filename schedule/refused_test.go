package schedule

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a start that goes to the worker that refuses it, again and again.
func TestRefusedStartGoesToAnotherWorker(t *testing.T) {
	r := newHarness(t)
	r.addWorker("full", 8000, 8000)
	r.submit("urgent", "beside", longRunningTasks(1))
	r.startAll("full", "beside")
	r.addWorker("free", 8000, 8000)
	r.submit("urgent", "set", longRunningTasks(1))
	refused := 0
	for began := r.now; r.now.Sub(began) < maxWait; r.advance(simStep) {
		for _, start := range r.plan().Starts {
			if start.Worker == "full" {
				refused++
				r.refuseStart(startedRun(start), start.Worker)
			}
		}
	}
	if len(r.runsOn("free")) != 1 {
		t.Errorf("the task has no run after %v, %d starts were refused by one worker", maxWait, refused)
	}
}

// Guards against room that goes, in each decision anew, to a start that the state refuses.
func TestRefusedStartReservesNoCapacity(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 4000, 8000)
	r.addWorker("w2", 4000, 8000)
	r.submit("urgent", "failing", &apiv1.JobStep{Count: 8, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 100})
	for range 2 {
		r.plan()
		r.failAll("w1")
		r.failAll("w2")
		r.advance(maxAvoidance)
	}
	c := r.machine.Configuration()
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{
		Configuration: withAttempts(c, 2),
	}}})
	r.submit("batch", "set", longRunningTasks(1))
	refused := 0
	for began := r.now; r.now.Sub(began) < maxWait; r.advance(simStep) {
		for _, start := range r.plan().Starts {
			if r.machine.Run(startedRun(start)) == nil {
				refused++
			}
		}
	}
	if len(r.runsOn("w1"))+len(r.runsOn("w2")) == 0 {
		t.Errorf("the task waits beside two empty workers, the state refused %d starts of others", refused)
	}
}

// Guards against room for a task without attempts, of a job that an earlier release left open.
func TestTaskWithoutAttemptsReservesNoCapacity(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 4000, 8000)
	r.submit("urgent", "failing", &apiv1.JobStep{Count: 4, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 100})
	r.plan()
	r.failAll("w1")
	r.advance(maxAvoidance)
	snapshot := r.machine.Snapshot()
	snapshot.Configuration = withAttempts(snapshot.Configuration, 1)
	restored, err := jobqueue.Restore(snapshot, r.now.UnixMilli())
	if err != nil {
		t.Fatal(err)
	}
	r.machine = restored
	r.submit("batch", "set", longRunningTasks(1))
	if r.plan(); len(r.runsOn("w1")) != 1 {
		t.Errorf("%d runs", len(r.runsOn("w1")))
	}
}

// withAttempts is the next version of a configuration, with another bound on attempts.
func withAttempts(c *apiv1.QueueConfiguration, attempts uint32) *apiv1.QueueConfiguration {
	next := &apiv1.QueueConfiguration{Version: c.Version + 1, Pools: c.Pools}
	for _, q := range c.Queues {
		next.Queues = append(next.Queues, &apiv1.JobQueue{
			Name: q.Name, Host: q.Host, PathPrefix: q.PathPrefix, Pool: q.Pool, Priority: q.Priority, MaxAttempts: attempts,
			Stretch: q.Stretch, AllowanceMs: q.AllowanceMs, TimeoutMs: q.TimeoutMs,
		})
	}
	return next
}
