package fakes

import (
	"context"
	"math/rand"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/worker"
)

func taskAttempt(n uint64) *apiv1.TaskAttempt { return &apiv1.TaskAttempt{Task: "job/0", Attempt: n} }

func startTask(n uint64, checkpoint string) *apiv1.StartTask {
	return &apiv1.StartTask{Task: taskAttempt(n), ExpectedRunMs: 1000, Checkpoint: checkpoint}
}

// Random orders at random times, some looked at late: the record must never
// show a run past its deadline, a lower attempt, or a second run of an attempt,
// and work resumed from a checkpoint must add up.
func TestWorkerEnforcesDeadlinesAndFencing(t *testing.T) {
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		record, _ := NewRecorder[RunEvent]("")
		w := NewWorker(WorkerConfig{Info: &apiv1.WorkerInfo{Name: "w1", Incarnation: 1}}, record, 0)
		now := time.Duration(0)
		checkpoint := ""
		for range 60 {
			now += time.Duration(rng.Intn(300)) * time.Millisecond
			n := uint64(rng.Intn(8) + 1)
			deadline := now + time.Duration(rng.Intn(1000)-100)*time.Millisecond
			switch rng.Intn(6) {
			case 0:
				_ = w.Start(startTask(n, checkpoint), deadline, now)
			case 1:
				w.Renew([]*apiv1.TaskAttempt{taskAttempt(n)}, deadline, now)
			case 2:
				if name, err := w.Checkpoint(taskAttempt(n), now); err == nil {
					checkpoint = name
				}
			case 3:
				_ = w.Throttle(&apiv1.ThrottleTask{Task: taskAttempt(n), ShareMilli: int32(rng.Intn(1000))}, now)
			case 4:
				_ = w.Stop(taskAttempt(n), now)
			case 5:
				w.Forget([]*apiv1.TaskAttempt{taskAttempt(n)})
			}
		}
		if faults := Check(Records{Workers: record.Values()}, Rules{AllowRerun: true}); len(faults) > 0 {
			t.Fatalf("seed %d: %q", seed, faults)
		}
	}
}

// A checkpoint taken halfway leaves the other half for the next attempt, on a
// worker that has only its name.
func TestRunResumesFromCheckpoint(t *testing.T) {
	record, _ := NewRecorder[RunEvent]("")
	cfg := WorkerConfig{Info: &apiv1.WorkerInfo{Name: "w"}}
	first, second := NewWorker(cfg, record, 0), NewWorker(cfg, record, 0)
	const far = time.Hour
	_ = first.Start(startTask(1, ""), far, 0)
	name, err := first.Checkpoint(taskAttempt(1), 400*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	_ = second.Start(startTask(2, name), far, time.Second)
	phases := []apiv1.TaskPhase{
		second.Tasks(1599 * time.Millisecond)[0].GetPhase(),
		second.Tasks(1600 * time.Millisecond)[0].GetPhase(),
	}
	want := []apiv1.TaskPhase{apiv1.TaskPhase_TASK_PHASE_RUNNING, apiv1.TaskPhase_TASK_PHASE_SUCCEEDED}
	if phases[0] != want[0] || phases[1] != want[1] {
		t.Fatalf("phases around the end are %v, want %v", phases, want)
	}
}

// Symptom: a start whose reply was lost is sent again and the task runs twice.
// Sequence: start, lost reply, start again, doubled stop. Cause: an order that
// is not idempotent.
func TestClientToleratesLostAndDuplicatedReplies(t *testing.T) {
	record, _ := NewRecorder[RunEvent]("")
	s := NewWorkerServer(WorkerConfig{Info: &apiv1.WorkerInfo{Name: "w1", Incarnation: 1}}, record)
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	client := worker.NewClient(server.Listener.Addr().String())
	defer http.DefaultClient.CloseIdleConnections()
	ctx := context.Background()
	s.faults.Add(ReplyFault{Path: worker.PathStart, Mode: ReplyLost, Times: 1})
	s.faults.Add(ReplyFault{Path: worker.PathStop, Mode: OrderDuplicated, Times: 1})

	deadline := worker.Now() + time.Hour
	if err := client.Start(ctx, startTask(3, ""), deadline); err == nil || worker.Refused(err, worker.CodeFenced) {
		t.Fatalf("a lost reply gave %v, want an error that leaves the order's fate open", err)
	}
	if err := client.Start(ctx, startTask(3, ""), deadline); err != nil {
		t.Fatalf("a resent start: %v", err)
	}
	if err := client.Stop(ctx, taskAttempt(3)); err != nil {
		t.Fatalf("a doubled stop: %v", err)
	}
	if err := client.Start(ctx, startTask(2, ""), deadline); !worker.Refused(err, worker.CodeFenced) {
		t.Fatalf("a lower attempt gave %v, want a refusal as fenced", err)
	}
	if _, err := client.Checkpoint(ctx, taskAttempt(3)); !worker.Refused(err, worker.CodeNotRunning) {
		t.Fatalf("a checkpoint of an ended attempt gave %v", err)
	}
	if tasks, err := client.Tasks(ctx); err != nil || len(tasks) != 1 || tasks[0].GetPhase() != apiv1.TaskPhase_TASK_PHASE_STOPPED {
		t.Fatalf("tasks are %v, %v; want one, stopped", tasks, err)
	}
	starts := 0
	for _, e := range record.Values() {
		if e.Kind == EventStart {
			starts++
		}
	}
	if starts != 1 {
		t.Fatalf("the task started %d times", starts)
	}
}
