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

// poolsMachine has the pools web, batch and reserve, which is switched off, and a
// queue for web.
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

// Symptom: a host is moved twice, while work is on it, back at once, or together with
// too many others; a deposed leader's order is noted.
// Sequence: a leader decides on a state that has changed since, or another leads.
// Cause: a step of a move is taken without a look at the state it is applied to.
func TestMoveStepsAreValidated(t *testing.T) {
	m := poolsMachine(t)
	for _, w := range []string{"a", "b", "c", "d", "e", "f"} {
		mustApply(t, m, 1, poolWorker("w-"+w, "agent-"+w, "web"))
	}
	step := func(host string, s apiv1.MoveState) *apiv1.JobsCommand {
		return moveCommand(waveTerm, host, "web", "batch", "w-"+host, s)
	}
	const rested = 1 + moveCooldownMs
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
		// Four are under way: an operator may ask for more, but they are not ordered.
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
		// It stays for a while where it is.
		{rested - 1, requestMove("a", "web"), outcomeConflict},
		{rested - 1, moveCommand(waveTerm, "a", "batch", "web", "w-a2", moveLeaving), outcomeStale},
		{rested, moveCommand(waveTerm, "a", "batch", "web", "w-a2", moveLeaving), outcomeOK},
		{rested, moveCommand(waveTerm, "a", "batch", "web", "w-a2", moveCanceled), outcomeOK},
		// The platform refused it lately: only an operator tries again.
		{rested, step("d", moveLeaving), outcomeStale},
		{rested, requestMove("d", "batch"), outcomeOK},
		{rested, step("c", moveGone), outcomeOK},
	} {
		if got := m.Apply(x.command, x.nowMs, waveTerm); got != x.want {
			t.Errorf("%d: %v: %v, want %v", i, x.command, got, x.want)
		}
	}
	if m.HostOrders() != 5 {
		t.Errorf("%d orders", m.HostOrders())
	}
	if !m.Leaving("w-b") || !m.Leaving("w-e") || m.Leaving("w-c") || m.Leaving("w-f") {
		t.Error("the wrong workers are leaving")
	}
	if m.Worker("w-a") != nil {
		t.Error("the incarnation before the move is still there")
	}
	restored, err := Restore(m.Snapshot(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(restored.Snapshot(), m.Snapshot()) || !restored.Leaving("w-b") || restored.HostOrders() != 5 {
		t.Error("a snapshot does not hold the moves")
	}
}

// Symptom: a move ends tasks at work.
// Sequence: a task starts between the leader's look and its decision to move the host.
// Cause: the order is noted without a look at what runs there by then.
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
		t.Errorf("a leader moves a host with work by itself: %v", got)
	}
	mustApply(t, m, 1, requestMove("a", "batch"))
	mustApply(t, m, 1, moveCommand(waveTerm, "a", "web", "batch", "w-a", moveLeaving))
	if got := m.Apply(moveCommand(waveTerm, "a", "web", "batch", "w-a", moveOrdered), 1, waveTerm); got != outcomeStale {
		t.Errorf("ordered with a run on it: %v", got)
	}
	mustApply(t, m, 1, job("j2"))
	mustApply(t, m, 1, start("j2"))
	if n := len(m.Worker("w-a").Runs); n != 1 {
		t.Errorf("%d runs: a worker that is emptied got a task", n)
	}
}

// Symptom: a move ends tasks at work.
// Sequence: the order gets no answer; the worker crashes, its next incarnation gets
// work in the old pool; the order is carried out late.
// Cause: only the incarnation that was there at first counts as leaving.
func TestNextIncarnationIsPartOfMove(t *testing.T) {
	m := poolsMachine(t)
	mustApply(t, m, 1, poolWorker("w1", "agent-a", "web"))
	mustApply(t, m, 1, moveCommand(waveTerm, "a", "web", "batch", "w1", moveLeaving))
	mustApply(t, m, 1, moveCommand(waveTerm, "a", "web", "batch", "w1", moveOrdered))
	mustApply(t, m, 1, poolWorker("w2", "agent-a", "web"))
	if v, _ := m.MoveOf("a"); !m.Leaving("w2") || v.State != moveOrdered {
		t.Errorf("the next incarnation is free while the order may come: %v", v)
	}
	mustApply(t, m, 1, poolWorker("w3", "agent-a", "batch"))
	if v, _ := m.MoveOf("a"); m.Leaving("w3") || v.State != moveDone || v.Worker != "w3" {
		t.Errorf("the incarnation in the other pool does not end the move: %v", v)
	}
}

// Symptom: a host is ordered away for maintenance and to another pool at once.
// Sequence: an operator's wave and a move name the same host.
// Cause: each is judged by itself.
func TestWavesAndMovesExcludeEachOther(t *testing.T) {
	m := poolsMachine(t)
	mustApply(t, m, 1, moveCommand(waveTerm, "a", "web", "batch", "worker-a", moveLeaving))
	mustApply(t, m, 1, wave(2, "a", "b"))
	if got := m.Apply(maintainHost(waveTerm, "a", apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING), 1, waveTerm); got != outcomeStale {
		t.Errorf("maintenance of a host on the move: %v", got)
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
