package schedule

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a wave that finishes though one of its hosts never had its maintenance. The host's
// entry in the list of hosts can't be read, not even its name, and a host that is not in the list
// counted as gone.
func TestHostOfAnUnreadableEntryIsNotGone(t *testing.T) {
	r := newHarness(t)
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{Wave: &apiv1.MaintenanceWave{
		Number: 1, Hosts: []string{"m1", "m2"}, DurationMs: 1000, Cap: 1,
	}}}})
	steps := func(hosts map[string]HostView) map[string]apiv1.MaintenanceState {
		found := map[string]apiv1.MaintenanceState{}
		for _, s := range NextMaintenance(r.machine, hosts) {
			found[s.Host] = s.State
		}
		return found
	}
	up := HostView{Worker: "w1", Up: true}
	got := steps(map[string]HostView{"m1": up, UnnamedHost: {}})
	if len(got) != 1 || got["m1"] != apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING {
		t.Errorf("steps %v", got)
	}
	got = steps(map[string]HostView{"m1": up, "m2": {}})
	if len(got) != 1 {
		t.Errorf("steps %v", got)
	}
	if got = steps(map[string]HostView{"m1": up}); got["m2"] != apiv1.MaintenanceState_MAINTENANCE_STATE_GONE {
		t.Errorf("a host that left: steps %v", got)
	}
}

// Guards against an upkeep or move that ends running tasks: it is ordered by the id of a worker that crashes before
// its first report, and the next worker of the host gets work.
func TestHostIsOrderedAwayOnceItsWorkerIsKnown(t *testing.T) {
	r := newMoverHarness(t)
	ordered := func(view HostView) bool {
		view.Up = true
		steps := NextMaintenance(r.machine, map[string]HostView{"m1": view})
		moving := jobqueue.Move{HostMove: &apiv1.HostMove{
			Host: "m1", Pool: batchPool, From: view.Pool, Worker: view.Worker, State: apiv1.MoveState_MOVE_STATE_LEAVING,
		}}
		move := nextMoveStep(r.machine, moving, view, true)
		maintained := len(steps) == 1 && steps[0].State == apiv1.MaintenanceState_MAINTENANCE_STATE_ORDERED
		if moved := move != nil && move.State == apiv1.MoveState_MOVE_STATE_ORDERED; moved != maintained {
			t.Errorf("%v: maintenance ordered %v, move ordered %v", view, maintained, moved)
		}
		return maintained
	}
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutWave{PutWave: &apiv1.PutWave{Wave: &apiv1.MaintenanceWave{
		Number: 1, Hosts: []string{"m1"}, DurationMs: 1000, Cap: 1,
	}}}})
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Maintain{Maintain: &apiv1.MaintainHost{
		Term: testTerm, Wave: 1, Host: "m1", Worker: "w1", State: apiv1.MaintenanceState_MAINTENANCE_STATE_LEAVING,
	}}})
	if ordered(HostView{Worker: "w1", Pool: testPool}) {
		t.Error("a host is ordered away by a worker that the log does not know")
	}
	if !ordered(HostView{Worker: "w1", Pool: "not configured"}) {
		t.Error("a host of a pool that is not configured is not ordered away")
	}
	r.addWorker("w1", 1000, 1000)
	if !ordered(HostView{Worker: "w1", Pool: testPool}) {
		t.Error("a host whose worker has no runs is not ordered away")
	}
}
