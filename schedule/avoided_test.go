package schedule

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against failures that are minutes apart and count as failures in a row.
func TestRunThatFailsEachTenMinutesStartsAgainAtOnce(t *testing.T) {
	r := newRig(t)
	r.worker("w1", 8000, 8000)
	r.submit("urgent", "set", lasting(1))
	r.untilRunning("set")
	for failure := 1; failure <= 5; failure++ {
		r.pass(10 * time.Minute)
		r.failAll("w1")
		if took := r.untilRunning("set"); took > starvingAfter {
			t.Errorf("after failure %d the task started after %v on the only worker", failure, took)
		}
	}
}

// Guards against one incident that counts as many failures in a row.
func TestRunsThatFailTogetherDoNotLengthenEachOthersWait(t *testing.T) {
	r := newRig(t)
	r.worker("w1", 8000, 8000)
	r.submit("urgent", "set", lasting(4))
	r.untilRunning("set")
	r.failAll("w1")
	if took := r.untilRunning("set"); took > firstAvoidance {
		t.Errorf("after one incident the tasks started after %v on the only worker", took)
	}
}

// failAll has all runs of a worker fail.
func (r *rig) failAll(worker string) {
	r.t.Helper()
	for _, id := range r.runsOn(worker) {
		r.end(id, apiv1.RunEndKind_RUN_END_KIND_FAILED)
	}
}
