package schedule

import (
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Symptom: a wave is done though one of its hosts never had its maintenance.
// Sequence: the host's entry in the list of hosts can't be read, not even its name.
// Cause: a host that is not in the list counts as gone.
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
