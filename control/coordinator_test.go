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

// heartbeat handles a heartbeat that reports the given attempts.
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

// Symptom: a task starts on a worker whose attempt is being ended, and again
// elsewhere. Sequence: a grant's start order is lost while the worker is cut off;
// its leases run out; while the Expire is on its way, in this log or delayed until
// after another leader's term, the worker is back. Cause: a renewal, or a later
// leader's, lets the attempt start that the Expire then ends.
func TestNoRenewalWhileExpiryIsInFlight(t *testing.T) {
	b := newCoordinatorHarness(t, &apiv1.Job{Name: "j", Tasks: 1, Size: processors(1)})
	b.heartbeat()
	b.plan()
	b.now = b.now.Add(leaderExpiryWait(time.Second, 1000) + 1)
	expiries, _ := b.c.dueCommands(b.now, b.m)
	if o := b.heartbeat(); o.Renewed || len(o.Start) > 0 {
		t.Fatalf("renewed while the attempt expires: %v", o)
	}
	late := expiries["w"]
	b.apply(&apiv1.Command{Body: &apiv1.Command_Lead{Lead: &apiv1.Lead{Term: 2}}}, late)
	if task, _ := b.m.Task("j@1/0"); !task.Live() {
		t.Fatal("an earlier leader's Expire was followed")
	}
	b.c.term = 2
	again, _ := b.c.dueCommands(b.now, b.m)
	b.apply(again["w"])
	b.c.leases.endExpiry("w")
	if o := b.heartbeat(); !o.Renewed || len(o.Start) > 0 {
		t.Fatalf("after the expiry: %v", o)
	}
	b.plan()
	if o := b.heartbeat(); len(o.Start) != 1 || o.Start[0].Task.Attempt != 2 {
		t.Fatalf("the next attempt: %v", o)
	}
}

// Symptom: a canceled task starts. Sequence: it is granted, its start order is
// lost, the job is canceled; or the answer to an older heartbeat comes late.
// Cause: only the worker's own word that it stopped proves that no start is on its
// way, so the stop is ordered though the worker never reported the attempt.
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

// Symptom: a host carries more than it has after it came back smaller. Sequence:
// two attempts run; the worker announces half its processors. Cause: grants that
// were right when they were made. The cheaper one goes, and nothing new comes.
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

// Symptom: a job that nothing could hold keeps others waiting, or never runs
// though a host came that could. Cause: it stays in the queue, or stays parked.
func TestParkedJobWakesForALargerWorker(t *testing.T) {
	b := newCoordinatorHarness(t, &apiv1.Job{Name: "large", Tasks: 1, Size: processors(2000)})
	b.heartbeat()
	b.apply(parkCommands(map[string]string{"large": "no worker could hold it"})...)
	queued := func() int { return len(b.c.snapshot(b.now, b.m).Queued) }
	if queued() != 0 || wakeCommand(state.Resources{MilliProcessors: 1999}, b.m) != nil {
		t.Fatal("a parked job waits in the queue")
	}
	b.apply(wakeCommand(state.Resources{MilliProcessors: 2000}, b.m))
	if queued() != 1 {
		t.Fatal("the job was not woken")
	}
}

// Symptom: a task's work is done twice or from further back than needed.
// Sequence: the worker's host starts anew and does not list an attempt; the leader
// saw its checkpoint before. The old incarnation's late heartbeat changes nothing.
func TestRestartedWorkerResumesFromLastCheckpoint(t *testing.T) {
	b := newCoordinatorHarness(t, &apiv1.Job{Name: "j", Tasks: 1, Size: processors(1)})
	b.heartbeat()
	b.plan()
	b.heartbeat(runningAttempt("j@1/0"))
	old := b.hb
	b.hb = &apiv1.WorkerHeartbeat{Worker: "w", Incarnation: 2, Info: info("w", 1000)}
	b.c.observe(b.now, b.hb, b.m)
	if b.c.renew(b.now, b.hb, b.m) {
		t.Error("renewed before its registration was applied")
	}
	b.heartbeat() // The commands of the heartbeat before are lost.
	b.plan()
	o := b.heartbeat()
	if len(o.Start) != 1 || o.Start[0].Task.Attempt != 2 || o.Start[0].Checkpoint != "c1" {
		t.Fatalf("orders %v", o)
	}
	b.hb = old
	if o := b.heartbeat(runningAttempt("j@1/0")); o.Renewed {
		t.Fatalf("the old incarnation was renewed: %v", o)
	}
}

// Symptom: a charge runs again under a key that is a minute old. Sequence: a
// leader's wall clock is set days ahead, then a host with such a clock comes to
// lead. Cause: the log's time leaps past every claim's windows.
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

// Symptom: a job starts before the service that it needs. Cause: whether a service
// has a target is known from live workers' heartbeats alone.
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
		t.Fatal("queued though the worker is silent")
	}
}

// Symptom: a service stays slow though its neighbour counts as held down.
// Sequence: the planner throttles a task, leadership goes away and comes back; the
// leader in between, who knew of no throttle, lifted it. Cause: the planner keeps
// its view over terms and orders only what changes.
func TestThrottlesPersistAcrossTerms(t *testing.T) {
	b := newCoordinatorHarness(t, &apiv1.Job{Name: "j", Tasks: 1, Size: processors(1)})
	b.heartbeat()
	b.plan()
	b.heartbeat(runningAttempt("j@1/0"))
	mine := map[string]throttle{"j@1/0": {attempt: 1, share: 500}}
	for share, known := range map[int32]map[string]throttle{fullShare: {}, 500: mine} {
		b.c = newCoordinator(2, newLeases(time.Second, 1000, b.now), &firstFit{}, known)
		if o := b.heartbeat(runningAttempt("j@1/0")); len(o.Throttle) != 1 || o.Throttle[0].ShareMilli != share {
			t.Errorf("throttle %v, want %d", o.Throttle, share)
		}
	}
}
