package jobqueue

import (
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	moveLeaving  = apiv1.MoveState_MOVE_STATE_LEAVING
	moveOrdered  = apiv1.MoveState_MOVE_STATE_ORDERED
	moveBegun    = apiv1.MoveState_MOVE_STATE_BEGUN
	moveDone     = apiv1.MoveState_MOVE_STATE_DONE
	moveGone     = apiv1.MoveState_MOVE_STATE_GONE
	moveRefused  = apiv1.MoveState_MOVE_STATE_REFUSED
	moveCanceled = apiv1.MoveState_MOVE_STATE_CANCELED
)

const (
	outcomeOK       = apiv1.JobOutcome_JOB_OUTCOME_OK
	outcomeStale    = apiv1.JobOutcome_JOB_OUTCOME_STALE
	outcomeConflict = apiv1.JobOutcome_JOB_OUTCOME_CONFLICT
)

// poolsMachine returns a machine with the pools web, batch and reserve, of which reserve is a
// standby pool, and a queue for web.
func poolsMachine(t *testing.T) *Machine {
	t.Helper()
	m := New()
	mustApply(t, m, 1, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{
		Configuration: &apiv1.QueueConfiguration{
			Version: 1, Pools: []*apiv1.WorkerPool{{Name: "web"}, {Name: "batch"}, {Name: "reserve", Standby: true}},
			Queues: []*apiv1.JobQueue{{Name: "q", Host: "h", PathPrefix: "/q/", Pool: "web", MaxAttempts: 3, TimeoutMs: 1}},
		},
	}}})
	return m
}

func mustApply(t *testing.T, m *Machine, nowMs int64, c *apiv1.JobsCommand) {
	t.Helper()
	if got := m.Apply(c, nowMs, waveTerm); got != outcomeOK {
		t.Fatalf("%v: %v", c, got)
	}
}

func poolWorker(id, agentHost, pool string) *apiv1.JobsCommand {
	return &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker: &apiv1.JobWorker{Id: id, Host: agentHost, Pool: pool, CpuMilli: 1000, MemoryMb: 1000},
	}}}
}

func requestMove(host, pool string) *apiv1.JobsCommand {
	return &apiv1.JobsCommand{Body: &apiv1.JobsCommand_RequestMove{RequestMove: &apiv1.RequestMove{Host: host, Pool: pool}}}
}

func moveCommand(term uint64, host, from, pool, worker string, s apiv1.MoveState) *apiv1.JobsCommand {
	return &apiv1.JobsCommand{Body: &apiv1.JobsCommand_MoveHost{MoveHost: &apiv1.MoveHost{
		Term: term, Host: host, Pool: pool, From: from, Worker: worker, State: s,
	}}}
}

// TestMoveStepsAreValidated guards against a host that is moved twice, while it runs work, back
// immediately, or together with too many others, and against recording an order of a previous
// leader. A leader decides on state that has changed since, or another leader has replaced it. The
// fault occurs if a step of a move is applied without checking the current state.
func TestMoveStepsAreValidated(t *testing.T) {
	m := poolsMachine(t)
	for _, w := range []string{"a", "b", "c", "d", "e", "f"} {
		mustApply(t, m, 1, poolWorker("w-"+w, "agent-"+w, "web"))
	}
	step := func(host string, s apiv1.MoveState) *apiv1.JobsCommand {
		return moveCommand(waveTerm, host, "web", "batch", "w-"+host, s)
	}
	const cooldownOver = 1 + moveCooldownMs
	for i, x := range []struct {
		nowMs   int64
		command *apiv1.JobsCommand
		want    apiv1.JobOutcome
	}{
		{1, requestMove("", "batch"), apiv1.JobOutcome_JOB_OUTCOME_INVALID},
		{1, requestMove("z", ""), apiv1.JobOutcome_JOB_OUTCOME_INVALID},
		{1, requestMove("z", "nosuch"), apiv1.JobOutcome_JOB_OUTCOME_NO_POOL},
		{1, step("a", moveOrdered), outcomeStale},
		{1, moveCommand(waveTerm-1, "a", "web", "batch", "w-a", moveLeaving), outcomeStale},
		{1, moveCommand(waveTerm, "a", "web", "web", "w-a", moveLeaving), outcomeStale},
		{1, moveCommand(waveTerm, "a", "web", "nosuch", "w-a", moveLeaving), outcomeStale},
		{1, step("a", moveLeaving), outcomeOK},
		{1, step("a", moveBegun), outcomeStale},
		{1, step("a", moveRefused), outcomeStale},
		{1, moveCommand(waveTerm, "a", "web", "reserve", "w-a", moveOrdered), outcomeStale},
		{1, moveCommand(waveTerm, "a", "web", "batch", "w-other", moveOrdered), outcomeStale},
		{1, step("a", moveOrdered), outcomeOK},
		{1, step("a", moveOrdered), outcomeStale},
		{1, step("a", moveLeaving), outcomeStale},
		{1, step("a", moveCanceled), outcomeStale},
		{1, step("b", moveLeaving), outcomeOK},
		{1, step("c", moveLeaving), outcomeOK},
		{1, step("d", moveLeaving), outcomeOK},
		// Four moves are in progress. An operator may request more, but they are not ordered yet.
		{1, step("e", moveLeaving), outcomeStale},
		{1, step("b", moveOrdered), outcomeOK},
		{1, step("c", moveOrdered), outcomeOK},
		{1, step("d", moveOrdered), outcomeOK},
		{1, requestMove("e", "batch"), outcomeOK},
		{1, requestMove("e", "batch"), outcomeOK},
		{1, requestMove("e", "reserve"), outcomeConflict},
		{1, step("e", moveLeaving), outcomeOK},
		{1, step("e", moveOrdered), outcomeStale},
		{1, step("d", moveRefused), outcomeOK},
		{1, step("e", moveOrdered), outcomeOK},
		{1, step("a", moveBegun), outcomeOK},
		{1, moveCommand(waveTerm, "a", "web", "batch", "w-a2", moveDone), outcomeOK},
		{1, step("a", moveGone), outcomeStale},
		// The host stays in its pool for the cooldown.
		{cooldownOver - 1, requestMove("a", "web"), outcomeConflict},
		{cooldownOver - 1, moveCommand(waveTerm, "a", "batch", "web", "w-a2", moveLeaving), outcomeStale},
		{cooldownOver, moveCommand(waveTerm, "a", "batch", "web", "w-a2", moveLeaving), outcomeOK},
		{cooldownOver, moveCommand(waveTerm, "a", "batch", "web", "w-a2", moveCanceled), outcomeOK},
		// The platform recently refused this move, so only an operator retries it.
		{cooldownOver, step("d", moveLeaving), outcomeStale},
		{cooldownOver, requestMove("d", "batch"), outcomeOK},
		{cooldownOver, step("c", moveGone), outcomeOK},
	} {
		if got := m.Apply(x.command, x.nowMs, waveTerm); got != x.want {
			t.Errorf("%d: %v: %v, want %v", i, x.command, got, x.want)
		}
	}
	if m.HostOrders() != 5 {
		t.Errorf("%d host orders, want 5", m.HostOrders())
	}
	if !m.Leaving("w-b") || !m.Leaving("w-e") || m.Leaving("w-c") || m.Leaving("w-f") {
		t.Error("unexpected workers are leaving")
	}
	if m.Worker("w-a") != nil {
		t.Error("the incarnation from before the move has not departed")
	}
	restored, err := Restore(m.Snapshot(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(restored.Snapshot(), m.Snapshot()) || !restored.Leaving("w-b") || restored.HostOrders() != 5 {
		t.Error("a restored snapshot differs")
	}
}

// TestHostWithRunsIsNotMoved guards against a move that ends running tasks. A task starts after the
// leader checked the host and before its decision to move it is applied. The fault occurs if the
// order is recorded without checking what runs on the host at that time.
func TestHostWithRunsIsNotMoved(t *testing.T) {
	m := poolsMachine(t)
	mustApply(t, m, 1, poolWorker("w-a", "agent-a", "web"))
	job := func(id string) *apiv1.JobsCommand {
		return &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
			Id: id, Host: "h", Path: "/q/" + id, Steps: []*apiv1.JobStep{{Count: 1, CpuMilli: 100, MemoryMb: 1}},
		}}}}
	}
	start := func(id string) *apiv1.JobsCommand {
		return &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{Term: waveTerm, Starts: []*apiv1.StartRun{
			{Task: &apiv1.TaskRef{Job: id}, Run: 1, Worker: "w-a"},
		}}}}
	}
	mustApply(t, m, 1, job("j1"))
	mustApply(t, m, 1, start("j1"))
	if got := m.Apply(moveCommand(waveTerm, "a", "web", "batch", "w-a", moveLeaving), 1, waveTerm); got != outcomeStale {
		t.Errorf("a leader's own move of a host with a run: %v", got)
	}
	mustApply(t, m, 1, requestMove("a", "batch"))
	mustApply(t, m, 1, moveCommand(waveTerm, "a", "web", "batch", "w-a", moveLeaving))
	if got := m.Apply(moveCommand(waveTerm, "a", "web", "batch", "w-a", moveOrdered), 1, waveTerm); got != outcomeStale {
		t.Errorf("ordering a move of a host with a run: %v", got)
	}
	mustApply(t, m, 1, job("j2"))
	mustApply(t, m, 1, start("j2"))
	if n := len(m.Worker("w-a").Runs); n != 1 {
		t.Errorf("%d runs: a draining worker got a task", n)
	}
}

// TestNextIncarnationIsPartOfMove guards against a move that ends running tasks. The order gets no
// response; the worker crashes, and its next incarnation gets work in the old pool; then the order
// is executed late. The fault occurs if only the first incarnation counts as leaving.
func TestNextIncarnationIsPartOfMove(t *testing.T) {
	m := poolsMachine(t)
	mustApply(t, m, 1, poolWorker("w1", "agent-a", "web"))
	mustApply(t, m, 1, moveCommand(waveTerm, "a", "web", "batch", "w1", moveLeaving))
	mustApply(t, m, 1, moveCommand(waveTerm, "a", "web", "batch", "w1", moveOrdered))
	mustApply(t, m, 1, poolWorker("w2", "agent-a", "web"))
	if v, _ := m.MoveOf("a"); !m.Leaving("w2") || v.State != moveOrdered {
		t.Errorf("the next incarnation accepts work while the order may still be executed: %v", v)
	}
	mustApply(t, m, 1, poolWorker("w3", "agent-a", "batch"))
	if v, _ := m.MoveOf("a"); m.Leaving("w3") || v.State != moveDone || v.Worker != "w3" {
		t.Errorf("the incarnation in the destination pool does not end the move: %v", v)
	}
}

// TestWavesAndMovesExcludeEachOther guards against ordering a host away for maintenance and to
// another pool at once. An operator's wave and a move name the same host. The fault occurs if the
// two are validated independently.
func TestWavesAndMovesExcludeEachOther(t *testing.T) {
	m := poolsMachine(t)
	mustApply(t, m, 1, moveCommand(waveTerm, "a", "web", "batch", "worker-a", moveLeaving))
	mustApply(t, m, 1, wave(2, "a", "b"))
	if got := m.Apply(maintainHost(waveTerm, "a", apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING), 1, waveTerm); got != outcomeStale {
		t.Errorf("maintenance of a host in a move: %v", got)
	}
	if got := m.Apply(requestMove("b", "batch"), 1, waveTerm); got != outcomeConflict {
		t.Errorf("a move of a host in a wave: %v", got)
	}
	if got := m.Apply(moveCommand(waveTerm, "b", "web", "batch", "", moveLeaving), 1, waveTerm); got != outcomeStale {
		t.Errorf("a leader's move of a host in a wave: %v", got)
	}
	mustApply(t, m, 1, moveCommand(waveTerm, "a", "web", "batch", "worker-a", moveCanceled))
	mustApply(t, m, 1, maintainHost(waveTerm, "a", apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING))
}
