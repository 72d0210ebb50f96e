package schedule

import (
	"testing"
	"time"
)

// setHeavyPressure makes the planner assume that image heavy takes most of the serving image's
// headroom.
func setHeavyPressure(r *harness) {
	serving := r.planner.interference.servingImage("serving", r.now)
	serving.usualHeadroom = 2
	serving.pressures["heavy"] = &pressure{updatedAt: r.now, mean: 0.3, variance: 0.01}
}

// Guards against tail latencies of ten times the objective for two seconds after a power failure.
// All tasks start again in one round on the only worker that is back, a serving task first and then
// batch tasks with known interference, and the slack of the worker did not include serving tasks
// that start in the same round.
func TestBatchBesideAServingTaskOfTheSameRound(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 32_000, 64_000)
	setHeavyPressure(r)
	r.submit("urgent", "s1", servingTasks(1, 16_000))
	r.submit("batch", "b1", backfillTasks(4, 3000, "heavy"))
	r.plan()
	// One task takes 0.3 of a headroom of 2 per part, and has three parts.
	if runs := len(r.runsOn("w1")); runs > 2 {
		t.Errorf("%d tasks start beside a serving task that tolerates one", runs-1)
	}
}

// Guards against the same failure on a worker whose batch tasks started before the serving task.
// The tail latency counts from when the serving task is running, but paces considered only serving
// tasks that had reported a tail latency, and the first report already exceeds the objective.
func TestPacesBesideAServingTaskThatStartsUp(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 32_000, 64_000)
	r.submit("batch", "b1", backfillTasks(4, 3000, "heavy"))
	r.startAll("w1", "b1")
	setHeavyPressure(r)
	r.submit("urgent", "s1", servingTasks(1, 16_000))
	r.plan()
	r.advance(time.Second)
	for _, id := range r.runsOn("w1") {
		r.observe(id, 10, 0)
	}
	r.planner.Observe(r.machine.Worker("w1"), r, r.now)
	if pace := r.meanPace("w1", "heavy"); pace > 0.5 {
		t.Errorf("batch work runs at %.2f of its speed beside a serving task that is about to run", pace)
	}
}
