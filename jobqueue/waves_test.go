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

// Symptom: more hosts are down at once than the operator allowed, or one goes down
// out of its turn.
// Sequence: a leader decides on a state that has changed since, or another leads.
// Cause: a step of a host is taken without a look at the state it is applied to.
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
		t.Error("the wrong workers are leaving")
	}
	restored, err := Restore(m.Snapshot(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if !proto.Equal(restored.Snapshot(), m.Snapshot()) || !restored.Leaving("worker-b") {
		t.Error("a snapshot does not hold the wave")
	}
}
