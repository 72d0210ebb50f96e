package jobqueue

import (
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const waveTerm = 4

func wave(cap uint32, hosts ...string) *apiv1.JobsCommand {
	return &apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{
		Wave: &apiv1.MaintenanceWave{Number: 1, Hosts: hosts, DurationMs: 1000, Cap: cap},
	}}}
}

func maintainHost(term uint64, host string, s apiv1.MaintenanceState) *apiv1.JobsCommand {
	return &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Maintain{Maintain: &apiv1.MaintainHost{
		Term: term, Wave: 1, Host: host, State: s, Worker: "worker-" + host,
	}}}
}

// TestWaveStepsAreValidated guards against more hosts being down at once than the operator allowed,
// and against a host that goes down out of turn. A leader decides on state that has changed since,
// or another leader has replaced it. The fault occurs if a step of a host is applied without
// checking the current state.
func TestWaveStepsAreValidated(t *testing.T) {
	const (
		waiting = apiv1.MaintenanceState_MAINTENANCE_STATE_WAITING
		leaving = apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING
		ordered = apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED
		begun   = apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN
		done    = apiv1.MaintenanceState_MAINTENANCE_STATE_DONE
		gone    = apiv1.MaintenanceState_MAINTENANCE_STATE_GONE
	)
	m := New()
	for _, x := range []struct {
		command *apiv1.JobsCommand
		want    apiv1.JobOutcome
	}{
		{wave(0, "a"), apiv1.JobOutcome_JOB_OUTCOME_INVALID},
		{wave(1, "a", "a"), apiv1.JobOutcome_JOB_OUTCOME_INVALID},
		{wave(1, "a", "b", "c"), outcomeOK},
		{wave(9, "z"), outcomeOK},
		{maintainHost(waveTerm-1, "a", leaving), outcomeStale},
		{maintainHost(waveTerm, "z", leaving), outcomeStale},
		{maintainHost(waveTerm, "a", ordered), outcomeStale},
		{maintainHost(waveTerm, "a", leaving), outcomeOK},
		{maintainHost(waveTerm, "b", leaving), outcomeOK},
		{maintainHost(waveTerm, "a", begun), outcomeStale},
		{maintainHost(waveTerm, "a", ordered), outcomeOK},
		{maintainHost(waveTerm, "b", ordered), outcomeStale},
		{maintainHost(waveTerm, "a", leaving), outcomeStale},
		{maintainHost(waveTerm, "a", begun), outcomeOK},
		{maintainHost(waveTerm, "b", ordered), outcomeStale},
		{maintainHost(waveTerm, "a", done), outcomeOK},
		{maintainHost(waveTerm, "a", gone), outcomeStale},
		{maintainHost(waveTerm, "b", ordered), outcomeOK},
		{maintainHost(waveTerm, "c", gone), outcomeOK},
		{maintainHost(waveTerm, "b", waiting), outcomeStale},
	} {
		if got := m.Apply(x.command, 1, waveTerm); got != x.want {
			t.Errorf("%v: %v, want %v", x.command, got, x.want)
		}
	}
	if w := m.Wave(1); w.Finished() || w.Spec.Cap != 1 {
		t.Errorf("the wave is %v", w.Record())
	}
	if !m.Leaving("worker-b") || m.Leaving("worker-a") {
		t.Error("unexpected workers are leaving")
	}
	restored, err := Restore(m.Snapshot(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(restored.Snapshot(), m.Snapshot()) || !restored.Leaving("worker-b") {
		t.Error("a restored snapshot differs")
	}
}

// Guards against an upkeep that ends running tasks: it is ordered and not yet carried out, and its host's worker
// crashes and comes back.
func TestNextIncarnationGetsNoWorkWhileUpkeepIsOrdered(t *testing.T) {
	step := func(s apiv1.MaintenanceState, worker string) *apiv1.JobsCommand {
		c := maintainHost(waveTerm, "a", s)
		c.GetMaintain().Worker = worker
		return c
	}
	for name, ordered := range map[string]bool{"crash after the order": true, "crash before the order": false} {
		m := poolsMachine(t)
		mustApply(t, m, 1, wave(1, "a", "b"))
		mustApply(t, m, 1, poolWorker("w1", "agent-a", "web"))
		mustApply(t, m, 1, step(apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING, "w1"))
		order := step(apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED, "w1")
		if ordered {
			mustApply(t, m, 1, order)
		}
		mustApply(t, m, 1, poolWorker("w2", "agent-a", "web"))
		if !ordered {
			mustApply(t, m, 1, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Submit{Submit: &apiv1.SubmitJob{Spec: &apiv1.JobSpec{
				Id: "j", Host: "h", Path: "/q/j", Steps: []*apiv1.JobStep{{Count: 1, CpuMilli: 100, MemoryMb: 1}},
			}}}})
			mustApply(t, m, 1, &apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{Term: waveTerm, Starts: []*apiv1.StartRun{
				{Task: &apiv1.TaskRef{Job: "j"}, Run: 1, Worker: "w2"},
			}}}})
			if got := m.Apply(order, 1, waveTerm); got != outcomeStale {
				t.Errorf("%s: the order beside running tasks is %v", name, got)
			}
			continue
		}
		if !m.Leaving("w2") {
			t.Errorf("%s: the next incarnation may get work", name)
		}
		mustApply(t, m, 1, step(apiv1.MaintenanceState_MAINTENANCE_STATE_BEGUN, "w1"))
		if m.Leaving("w2") {
			t.Errorf("%s: the incarnation after the upkeep gets no work", name)
		}
	}
}
