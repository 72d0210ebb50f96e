package schedule

import "testing"

// Guards against a run that stays slowed down by a previous leader: the next one orders no pace for a
// run that may work at full speed.
func TestFirstPacesOfAWorkerAreAllOrdered(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 32_000, 64_000)
	r.submit("batch", "b1", backfillTasks(1, 3000, "some"))
	r.startAll("w1", "b1")
	model := newServingModel("some", 0.04)
	r.advance(paceInterval)
	model.report(r, "w1")
	for id := range r.machine.Worker("w1").Runs {
		if percent, ordered := r.planner.Pace("w1", id); !ordered || percent != fullPace {
			t.Errorf("the pace of %v is %d, ordered: %v", id, percent, ordered)
		}
	}
}
