package control

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/state"
)

// coordinatorHarness drives a coordinator and a state machine step by step.
type coordinatorHarness struct {
	t     *testing.T
	c     *coordinator
	m     *state.Machine
	now   time.Time
	index uint64
	hb    *apiv1.WorkerHeartbeat
}

func newCoordinatorHarness(t *testing.T, jobs ...*apiv1.Job) *coordinatorHarness {
	now := time.UnixMilli(1e12)
	b := &coordinatorHarness{
		t: t, m: state.New(), now: now,
		c:  newCoordinator(1, newLeases(time.Second, 1000, now), &firstFit{}, map[string]throttle{}),
		hb: &apiv1.WorkerHeartbeat{Worker: "w", Incarnation: 1, Info: info("w", 1000)},
	}
	b.apply(&apiv1.Command{Body: &apiv1.Command_Lead{Lead: &apiv1.Lead{Term: 1}}})
	b.apply(submission("s", 0, jobs...))
	return b
}

func (b *coordinatorHarness) apply(cmds ...*apiv1.Command) {
	for _, cmd := range cmds {
		if cmd == nil {
			continue
		}
		b.index++
		b.m.Apply(b.index, cmd)
		if err := b.m.Check(); err != nil {
			b.t.Fatal(err)
		}
	}
}

// heartbeat handles a heartbeat that reports the given attempts, and returns the orders.
func (b *coordinatorHarness) heartbeat(tasks ...*apiv1.TaskStatus) *apiv1.WorkerOrders {
	b.hb.Sequence++
	b.hb.Tasks = tasks
	b.apply(b.c.observe(b.now, b.hb, b.m))
	if !b.c.renew(b.now, b.hb, b.m) {
		return notRenewedOrders(b.hb)
	}
	return b.c.orders(b.hb, b.m)
}

func (b *coordinatorHarness) plan() {
	cmds, _ := b.c.plan(b.now, b.c.snapshot(b.now, b.m))
	b.apply(cmds...)
}

func runningAttempt(id string) *apiv1.TaskStatus {
	return &apiv1.TaskStatus{Task: &apiv1.TaskAttempt{Task: id, Attempt: 1}, Phase: apiv1.TaskPhase_TASK_PHASE_RUNNING, Checkpoint: "c1"}
}

// A task must not start on a worker whose attempt is being ended, and then again on another worker.
// A start order is lost while the worker is partitioned, and its leases expire. The worker
// reconnects while the Expire command is in flight, in this log or delayed until after another
// leader's term. A renewal by this leader or a later one would let the attempt start that the
// Expire command then ends.
func TestNoRenewalWhileExpiryIsInFlight(t *testing.T) {
	b := newCoordinatorHarness(t, &apiv1.Job{Name: "j", Tasks: 1, Size: processors(1)})
	b.heartbeat()
	b.plan()
	b.now = b.now.Add(leaderExpiryWait(time.Second, 1000) + 1)
	expiries, _ := b.c.dueCommands(b.now, b.m)
	if o := b.heartbeat(); o.Renewed || len(o.Start) > 0 {
		t.Fatalf("renewed while the attempt expires: %v", o)
	}
	delayed := expiries["w"]
	b.apply(&apiv1.Command{Body: &apiv1.Command_Lead{Lead: &apiv1.Lead{Term: 2}}}, delayed)
	if task, _ := b.m.Task("j@1/0"); !task.Live() {
		t.Fatal("the Expire command of a previous leader was accepted")
	}
	b.c.term = 2
	next, _ := b.c.dueCommands(b.now, b.m)
	b.apply(next["w"])
	b.c.leases.endExpiry("w")
	if o := b.heartbeat(); !o.Renewed || len(o.Start) > 0 {
		t.Fatalf("after the expiry: %v", o)
	}
	b.plan()
	if o := b.heartbeat(); len(o.Start) != 1 || o.Start[0].Task.Attempt != 2 {
		t.Fatalf("the next attempt: %v", o)
	}
}

// A canceled task must not start. The task is granted, its start order is lost and the job is
// canceled, or the response to an older heartbeat arrives late. Only the worker's own report that
// the attempt stopped confirms that no start is in flight, so the stop is ordered although the
// worker never reported the attempt.
func TestCanceledBeforeStartNeverStarts(t *testing.T) {
	b := newCoordinatorHarness(t, &apiv1.Job{Name: "j", Tasks: 1, Size: processors(1)})
	b.heartbeat()
	b.plan()
	b.apply(&apiv1.Command{Body: &apiv1.Command_Cancel{Cancel: &apiv1.Cancel{Jobs: []string{"j"}}}})
	if o := b.heartbeat(); len(o.Start) != 0 || len(o.Stop) != 1 || o.Stop[0].Checkpoint {
		t.Fatalf("orders %v", o)
	}
	b.hb.Sequence -= 2
	if o := b.heartbeat(); o.Renewed {
		t.Fatalf("an older heartbeat was answered: %v", o)
	}
	b.hb.Sequence++
	stopped := runningAttempt("j@1/0")
	stopped.Phase = apiv1.TaskPhase_TASK_PHASE_STOPPED
	o := b.heartbeat(stopped)
	if task, _ := b.m.Task("j@1/0"); len(o.Acknowledged) != 1 || task.State != apiv1.TaskState_TASK_STATE_CANCELED {
		t.Fatalf("orders %v, task %v", o, task.State)
	}
}

// A worker must not run more than its capacity after it came back smaller. Two attempts run when
// the worker announces half its processors. The grants were correct when they were made; the
// cheaper attempt must be evicted and nothing new placed.
func TestShrunkWorkerEvictsTheExcess(t *testing.T) {
	b := newCoordinatorHarness(t,
		&apiv1.Job{Name: "cheap", Tasks: 1, Size: processors(400), EvictionCost: 1},
		&apiv1.Job{Name: "dear", Tasks: 1, Size: processors(400), EvictionCost: 9},
		&apiv1.Job{Name: "tiny", Tasks: 1, Size: processors(300)})
	b.heartbeat()
	b.plan()
	cheap, dear := runningAttempt("cheap@1/0"), runningAttempt("dear@1/0")
	b.heartbeat(cheap, dear)
	b.hb.Info = info("w", 500)
	b.heartbeat(cheap, dear)
	b.plan()
	o := b.heartbeat(cheap, dear)
	if len(o.Stop) != 1 || o.Stop[0].Task.Task != "cheap@1/0" || !o.Stop[0].Checkpoint || len(o.Start) != 0 {
		t.Fatalf("orders %v", o)
	}
	cheap.Phase = apiv1.TaskPhase_TASK_PHASE_STOPPED
	b.heartbeat(cheap, dear)
	if w, _ := b.m.Worker("w"); overCapacity(w) || w.Granted.MilliProcessors != 400 {
		t.Fatalf("worker %+v", w)
	}
}

// A job that fits on no worker must not delay others by staying in the queue, and must be requeued
// when a worker registers on which it fits.
func TestParkedJobWakesForALargerWorker(t *testing.T) {
	b := newCoordinatorHarness(t, &apiv1.Job{Name: "large", Tasks: 1, Size: processors(2000)})
	b.heartbeat()
	b.apply(parkCommands(map[string]string{"large": "no worker is large enough"})...)
	queued := func() int { return len(b.c.snapshot(b.now, b.m).Queued) }
	if queued() != 0 || wakeCommand(state.Resources{MilliProcessors: 1999}, b.m) != nil {
		t.Fatal("a parked job is in the queue")
	}
	b.apply(wakeCommand(state.Resources{MilliProcessors: 2000}, b.m))
	if queued() != 1 {
		t.Fatal("the job was not requeued")
	}
}

// A task's work must not be done twice or resume from further back than needed. The worker's host
// restarts and does not report an attempt whose checkpoint the leader received before. A late
// heartbeat of the previous incarnation must change nothing.
func TestRestartedWorkerResumesFromLastCheckpoint(t *testing.T) {
	b := newCoordinatorHarness(t, &apiv1.Job{Name: "j", Tasks: 1, Size: processors(1)})
	b.heartbeat()
	b.plan()
	b.heartbeat(runningAttempt("j@1/0"))
	previous := b.hb
	b.hb = &apiv1.WorkerHeartbeat{Worker: "w", Incarnation: 2, Info: info("w", 1000)}
	b.c.observe(b.now, b.hb, b.m)
	if b.c.renew(b.now, b.hb, b.m) {
		t.Error("renewed before its registration was applied")
	}
	b.heartbeat() // The commands of the previous heartbeat are lost.
	b.plan()
	o := b.heartbeat()
	if len(o.Start) != 1 || o.Start[0].Task.Attempt != 2 || o.Start[0].Checkpoint != "c1" {
		t.Fatalf("orders %v", o)
	}
	b.hb = previous
	if o := b.heartbeat(runningAttempt("j@1/0")); o.Renewed {
		t.Fatalf("the previous incarnation was renewed: %v", o)
	}
}

// A charge must not run again under a key that is a minute old. A leader's wall clock is set days
// ahead, and then a host with such a clock becomes leader. If the log's time followed, it would
// exceed the windows of every claim.
func TestLogTimeIgnoresWallClockJumps(t *testing.T) {
	const start, day = int64(1e12), int64(86_400_000)
	c := &logClock{}
	for i, step := range []struct {
		term      uint64
		wall      int64
		monotonic time.Duration
		logTime   int64
		want      int64
	}{
		{1, start, 0, 0, start},
		{1, start + 1000, time.Second, start, start + 1000},
		{1, start + 5*day, 11 * time.Second, start + 1000, start + 80_000},
		{2, start + 5*day, time.Second, start + 80_000, start + 140_000},
		{2, start + 5*day, 2 * time.Second, start + 140_000, start + 142_000},
		{3, start + 30_000, time.Second, start + 142_000, start + 142_000},
		{3, start + 30_000, 6 * time.Second, start + 142_000, start + 147_000},
	} {
		if got := c.stamp(step.term, step.wall, step.monotonic, step.logTime); got != step.want {
			t.Errorf("step %d: stamp %d, want %d", i, got-start, step.want-start)
		}
	}
}

// A job must not start before the service that it depends on has a target. Only the heartbeats of
// live workers show whether a service has one.
func TestJobWaitsForServiceWithLiveTarget(t *testing.T) {
	b := newCoordinatorHarness(t)
	submit := submission("s2", 1, &apiv1.Job{Name: "j", Tasks: 1, Size: processors(1), DependsOn: []string{"auction"}})
	submit.GetSubmit().Configuration.Services = []*apiv1.Service{{Name: "auction", Size: processors(600)}}
	b.apply(submit)
	b.heartbeat()
	queued := func() int { return len(b.c.snapshot(b.now, b.m).Queued) }
	if queued() != 0 {
		t.Fatal("queued without a target")
	}
	b.hb.Targets = []*apiv1.TargetInfo{{Service: "auction"}, {Service: "auction"}}
	b.heartbeat()
	if w, _ := b.m.Worker("w"); queued() != 1 || w.Reserved.MilliProcessors != 1200 || !overCapacity(w) {
		t.Fatalf("%d queued, worker %+v", queued(), w)
	}
	b.now = b.now.Add(time.Second)
	if queued() != 0 {
		t.Fatal("queued although the worker is unresponsive")
	}
}

// A service must not stay slow because its neighbor counts as throttled and is not. The planner
// throttles a task, and leadership moves away and returns. The leader in between had no throttle
// for the task and lifted it. The planner keeps its view across terms and orders only changes, so
// the coordinator must repeat the throttles.
func TestThrottlesPersistAcrossTerms(t *testing.T) {
	b := newCoordinatorHarness(t, &apiv1.Job{Name: "j", Tasks: 1, Size: processors(1)})
	b.heartbeat()
	b.plan()
	b.heartbeat(runningAttempt("j@1/0"))
	ownThrottles := map[string]throttle{"j@1/0": {attempt: 1, share: 500}}
	for share, known := range map[int32]map[string]throttle{fullShare: {}, 500: ownThrottles} {
		b.c = newCoordinator(2, newLeases(time.Second, 1000, b.now), &firstFit{}, known)
		if o := b.heartbeat(runningAttempt("j@1/0")); len(o.Throttle) != 1 || o.Throttle[0].ShareMilli != share {
			t.Errorf("throttle %v, want %d", o.Throttle, share)
		}
	}
}
