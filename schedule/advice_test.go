package schedule

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// enableAdvice makes the batch queue require placement advice.
func (r *harness) enableAdvice() {
	c := r.machine.Configuration()
	for _, q := range c.Queues {
		q.Advised = q.Name == "batch"
	}
	c.Version++
}

// Guards against tasks of an advised queue that wait indefinitely, and against starts without a
// valid ticket, which the worker refuses each time. The advisor approves some workers and refuses
// others, tickets expire before all tasks have started, and a request gets no response, after which
// it has to be sent again.
func TestAdvisedQueue(t *testing.T) {
	r := newHarness(t)
	r.enableAdvice()
	r.addWorker("w1", 1000, 64_000)
	r.addWorker("w2", 1000, 64_000)
	step := &apiv1.JobStep{Count: 2, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 1000}
	r.submit("batch", "b1", step)
	d := r.plan()
	if len(d.Starts) > 0 || len(d.AdviceRequests) != 1 || len(d.AdviceRequests[0].Workers) != 2 {
		t.Fatalf("before any advice: starts %v, requests %v", d.Starts, d.AdviceRequests)
	}
	q := d.AdviceRequests[0]
	if d := r.plan(); len(d.AdviceRequests) > 0 {
		t.Fatal("the same request is sent twice")
	}
	r.planner.RecordAdviceFailure(q, r.now)
	r.advance(adviceRetryDelay)
	if d := r.plan(); len(d.AdviceRequests) != 1 {
		t.Fatal("a request without a response is not sent again")
	}
	r.planner.RecordAdvice(q, Advice{Tickets: map[string]string{"w1": "t1"}, Valid: 2 * time.Second}, r.now)
	d = r.plan()
	if len(d.Starts) != 1 || d.Starts[0].Worker != "w1" || d.Starts[0].Ticket != "t1" {
		t.Fatalf("started %v", d.Starts)
	}
	if d.Unplaced[0].WorkersByReason[ReasonRefused] != 1 {
		t.Errorf("the other task waits because of %s", d.Unplaced[0].ReasonSummary())
	}
	r.reportEnd(jobqueue.RunID{Task: jobqueue.TaskIDOf(d.Starts[0].Task), Number: 1}, apiv1.RunEndKind_RUN_END_KIND_DONE)
	r.advance(2 * time.Second)
	if d := r.plan(); len(d.Starts) > 0 || len(d.AdviceRequests) != 1 || len(d.AdviceRequests[0].Workers) != 1 {
		t.Fatalf("after the ticket expired: starts %v, requests %v", d.Starts, d.AdviceRequests)
	}
	r.planner.RecordAdvice(q, Advice{Tickets: map[string]string{"w1": "t2"}, Valid: 2 * time.Second}, r.now)
	r.planner.RecordRefusal(RefusedStart{Step: q.Step, Worker: "w1", At: r.now})
	if d := r.plan(); len(d.Starts) > 0 || len(d.AdviceRequests) != 1 {
		t.Fatal("a ticket that a worker refused is used again")
	}
}

// Guards against a worker that never gets the tasks of a step, since the row of its approval can't be
// read.
func TestWorkerMissingInPartialAdviceIsNotRefused(t *testing.T) {
	r := newHarness(t)
	r.enableAdvice()
	r.addWorker("w1", 1000, 64_000)
	r.submit("batch", "b1", &apiv1.JobStep{Count: 1, CpuMilli: 1000, MemoryMb: 100, EstimatedMs: 1000})
	q := r.plan().AdviceRequests[0]
	r.planner.RecordAdvice(q, Advice{Partial: true, Valid: 2 * time.Second}, r.now)
	if d := r.plan(); len(d.AdviceRequests) > 0 {
		t.Error("the request is sent again at once")
	}
	r.advance(adviceRetryDelay)
	if d := r.plan(); len(d.AdviceRequests) != 1 {
		t.Errorf("the task waits because of %s", d.Unplaced[0].ReasonSummary())
	}
}
