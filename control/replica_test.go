package control

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/place"
	"github.com/cairnlift/cairnlift/quorum"
)

// startReplica starts a replica with a log of its own.
func startReplica(t *testing.T) *Replica {
	r := NewReplica(Config{Planner: &firstFit{}, PlanInterval: time.Millisecond, StalenessBound: 60 * time.Millisecond})
	startReplicaWithLog(t, r, NewMemoryLog(r, "127.0.0.1:1"))
	return r
}

func startReplicaWithLog(t *testing.T, r *Replica, log Log) {
	r.Attach(log)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { r.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
}

// heartbeatUntil sends heartbeats until done returns true for the orders.
func heartbeatUntil(t *testing.T, r *Replica, hb *apiv1.WorkerHeartbeat, done func(*apiv1.WorkerOrders) bool) *apiv1.WorkerOrders {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		hb.Sequence++
		orders, err := r.Renew(ctx, []*apiv1.WorkerHeartbeat{hb})
		if err == nil && done(orders[0]) {
			return orders[0]
		}
		sleep(ctx, time.Millisecond)
	}
	t.Fatalf("the expected orders never arrived for %v", hb)
	return nil
}

// A job is submitted, placed, started, evicted with a checkpoint, resumed from it under the next
// attempt, and finished; the worker's reports are acknowledged.
func TestReplicaTaskLifecycle(t *testing.T) {
	r := startReplica(t)
	ctx := context.Background()
	changed := r.Changed()
	large := submission("s0", 0)
	large.GetSubmit().Configuration.Text = strings.Repeat("#", quorum.MaxCommandBytes)
	if res, err := r.Propose(ctx, large); err != nil || res.Verdict != apiv1.Verdict_VERDICT_REFUSED {
		t.Fatal(res.GetVerdict(), err)
	}
	res, err := r.Propose(ctx, submission("s1", 0, &apiv1.Job{Name: "renewals", Tasks: 1, Size: processors(100)}))
	if err != nil || res.ConfigurationVersion != 1 {
		t.Fatal(res, err)
	}
	<-changed
	hb := &apiv1.WorkerHeartbeat{Worker: "w1", Incarnation: 7, Info: info("w1", 1000)}
	started := func(attempt uint64) *apiv1.StartTask {
		o := heartbeatUntil(t, r, hb, func(o *apiv1.WorkerOrders) bool { return len(o.Start) == 1 && o.Start[0].Task.Attempt == attempt })
		return o.Start[0]
	}
	report := func(a *apiv1.TaskAttempt, p apiv1.TaskPhase, checkpoint string) {
		hb.Tasks = []*apiv1.TaskStatus{{Task: a, Phase: p, Checkpoint: checkpoint}}
	}
	first := started(1).Task
	report(first, apiv1.TaskPhase_TASK_PHASE_RUNNING, "")
	heartbeatUntil(t, r, hb, func(o *apiv1.WorkerOrders) bool { return o.Renewed && len(o.Start) == 0 })
	if _, err := r.Propose(ctx, &apiv1.Command{Body: &apiv1.Command_Drain{Drain: &apiv1.Drain{Worker: "w1"}}}); err != nil {
		t.Fatal(err)
	}
	heartbeatUntil(t, r, hb, func(o *apiv1.WorkerOrders) bool { return len(o.Stop) == 1 && o.Stop[0].Checkpoint })
	report(first, apiv1.TaskPhase_TASK_PHASE_STOPPED, "c1")
	heartbeatUntil(t, r, hb, func(o *apiv1.WorkerOrders) bool { return len(o.Acknowledged) == 1 && len(o.Start) == 0 })
	hb.Tasks = nil
	if _, err := r.Propose(ctx, &apiv1.Command{Body: &apiv1.Command_Drain{Drain: &apiv1.Drain{Worker: "w1", Off: true}}}); err != nil {
		t.Fatal(err)
	}
	second := started(2)
	if second.Checkpoint != "c1" || second.Task.Task != first.Task {
		t.Fatalf("resumed as %v", second)
	}
	report(second.Task, apiv1.TaskPhase_TASK_PHASE_SUCCEEDED, "")
	heartbeatUntil(t, r, hb, func(o *apiv1.WorkerOrders) bool { return len(o.Acknowledged) == 1 })
	e, ok := r.Explain("renewals")
	if !ok || e.Job.Tasks[apiv1.TaskState_TASK_STATE_SUCCEEDED] != 1 || len(e.Decisions) == 0 {
		t.Fatalf("explained as %+v", e)
	}
	if s := r.Status(); r.ConfirmedAt().IsZero() || len(s.Workers) != 1 || s.Workers[0].Granted.MilliProcessors != 0 {
		t.Fatalf("status %+v", s)
	}
}

// scriptedLog is a MemoryLog whose leadership is controlled by a test.
type scriptedLog struct {
	*MemoryLog
	term atomic.Uint64
	// barrier, if set, replaces the read barrier.
	barrier atomic.Pointer[func() error]
}

func (l *scriptedLog) Leading() (uint64, bool) { return l.term.Load(), l.term.Load() > 0 }

func (l *scriptedLog) ReadBarrier(ctx context.Context) (uint64, error) {
	if f := l.barrier.Load(); f != nil {
		return 0, (*f)()
	}
	return l.MemoryLog.ReadBarrier(ctx)
}

// A host that no longer leads must not extend a worker's lease, nor let a process treat its
// configuration as fresh. The leader is partitioned, or loses and regains leadership while it waits
// for its barrier. An answer must be confirmed after the renewal was handled, in the same term.
func TestDeposedLeaderAnswersNoRequests(t *testing.T) {
	r := NewReplica(Config{Planner: &firstFit{}, PlanInterval: time.Millisecond, StalenessBound: 6 * time.Millisecond})
	log := &scriptedLog{MemoryLog: NewMemoryLog(r, "127.0.0.1:1")}
	log.term.Store(1)
	hb := &apiv1.WorkerHeartbeat{Worker: "w1", Incarnation: 1, Info: info("w1", 1000)}
	if _, err := r.Renew(context.Background(), []*apiv1.WorkerHeartbeat{hb}); err == nil || r.Status().Leading {
		t.Error("answered before there is a log")
	}
	startReplicaWithLog(t, r, log)
	heartbeatUntil(t, r, hb, func(o *apiv1.WorkerOrders) bool { return o.Renewed })

	refused := make(chan struct{})
	partitioned := func() error {
		select {
		case refused <- struct{}{}:
		default:
		}
		return &NotLeaderError{}
	}
	log.barrier.Store(&partitioned)
	for range 2 { // Barriers that began earlier have finished after that.
		<-refused
	}
	confirmed := r.ConfirmedAt()
	hb.Sequence++
	orders, err := r.Renew(context.Background(), []*apiv1.WorkerHeartbeat{hb})
	if err == nil {
		t.Errorf("answered without a barrier: %v", orders)
	}
	for range 3 {
		<-refused
	}
	if at := r.ConfirmedAt(); at != confirmed {
		t.Errorf("confirmed at %v after %v", at, confirmed)
	}
	regains := func() error {
		log.term.Add(1) // At each barrier, including those that confirm the configuration.
		return nil
	}
	log.barrier.Store(&regains)
	hb.Sequence++
	if orders, err := r.RenewLocal(context.Background(), []*apiv1.WorkerHeartbeat{hb}); err == nil {
		t.Errorf("answered for an earlier term: %v", orders)
	}
	log.term.Store(0)
	var unavailable *UnavailableError
	if _, err := r.Propose(context.Background(), submission("s", 0)); !errors.As(err, &unavailable) || unavailable.RetryAfter == 0 {
		t.Errorf("proposed without a leader: %v", err)
	}
}

// An explanation must not report for minutes that no worker's leases were renewed while all workers
// are alive. A new leader plans before the workers renew, and later rounds refuse the task for
// other causes. The test guards against keeping only changes of the summarized reason.
func TestExplainReportsTheNewestRefusals(t *testing.T) {
	d := decisionRing{logger: zap.NewNop()}
	for _, filter := range []string{"alive", "room"} {
		dec := place.Decision{Task: "a@1/0", Reason: "no worker can take it", Refused: map[string]int{filter: 1}}
		d.add(time.Time{}, []place.Decision{dec})
	}
	list := d.forTasks(map[string]bool{"a@1/0": true})
	if last := list[len(list)-1]; last.Refused["room"] != 1 {
		t.Fatalf("explained with %v", last.Refused)
	}
	if n := len(d.list()); n != 1 {
		t.Fatalf("%d decisions were logged, want the change only", n)
	}
}

// Guards against a command that the leader of a later term commits although an earlier one decided it.
func TestCommandOfAnotherTermIsNotProposed(t *testing.T) {
	r := startReplica(t)
	term, _ := r.Leading()
	command := &apiv1.Command{ClockTerm: term + 1, Body: &apiv1.Command_Lead{Lead: &apiv1.Lead{Term: term}}}
	var notLeader *NotLeaderError
	if _, err := r.ProposeLocal(t.Context(), command); !errors.As(err, &notLeader) {
		t.Errorf("error %v", err)
	}
	command.ClockTerm = term
	if _, err := r.ProposeLocal(t.Context(), command); err != nil {
		t.Error(err)
	}
}
