package state

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against a declared task that is granted a worker in a cordoned zone, by a plan made before the
// cordon.
func TestGrantInCordonedZoneIsRefused(t *testing.T) {
	m := New()
	apply := func(c *apiv1.Command) *apiv1.Result { return m.Apply(m.index+1, c) }
	apply(&apiv1.Command{Body: &apiv1.Command_RegisterWorker{RegisterWorker: &apiv1.RegisterWorker{
		Worker: "w", Incarnation: 1, AvailabilityZone: "north", Capacity: &apiv1.Resources{MilliProcessors: 1000},
	}}})
	cordon := func(cordoned bool, revision uint64) {
		t.Helper()
		res := apply(&apiv1.Command{Body: &apiv1.Command_Jobs{Jobs: &apiv1.JobsCommand{Body: &apiv1.JobsCommand_SetCordon{
			SetCordon: &apiv1.SetCordon{Zone: "north", Cordoned: cordoned, ReadRevision: revision},
		}}}})
		if res.Job != apiv1.JobOutcome_JOB_OUTCOME_OK {
			t.Fatal(res)
		}
	}
	j := &job{definition: &apiv1.Job{Name: "j"}}
	m.jobs["j"] = j
	m.tasks["j/0"] = &task{id: "j/0", job: j, state: apiv1.TaskState_TASK_STATE_QUEUED, workerIndex: noIndex}
	grant := &apiv1.Grant{Task: "j/0", Attempt: 1, Worker: "w", WorkerIncarnation: 1, Resources: &apiv1.Resources{MilliProcessors: 1}}
	cordon(true, 0)
	if got := m.validateGrant(grant); got.Verdict != apiv1.Verdict_VERDICT_CONFLICT {
		t.Errorf("in the cordoned zone: %v", got)
	}
	if w, _ := m.Worker("w"); !w.Cordoned {
		t.Error("the planner does not see the cordon")
	}
	cordon(false, 1)
	if got := m.validateGrant(grant); got.Message == "the worker's availability zone is cordoned" {
		t.Errorf("after the cordon: %v", got)
	}
}
