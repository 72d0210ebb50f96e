package schedule

import (
	"testing"
	"time"
)

// setHeavyPressure has the planner know that image heavy takes most of what the serving image has.
func setHeavyPressure(r *harness) {
	serving := r.planner.interference.servingImage("serving", r.now)
	serving.usualHeadroom = 2
	serving.pressures["heavy"] = &pressure{updatedAt: r.now, mean: 0.3, variance: 0.01}
}

// Symptom: after a power cut the tails of serving tasks are ten times over their objectives
// for two seconds.
// Sequence: all that ran is started again in one round, the serving task first, then batch
// tasks of an image that is known to disturb it, on the only worker that is back.
// Cause: the slack of a worker did not count the serving tasks that the same round gave it.
func TestBatchBesideAServingTaskOfTheSameRound(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 32_000, 64_000)
	setHeavyPressure(r)
	r.submit("urgent", "s1", servingTasks(1, 16_000))
	r.submit("batch", "b1", backfillTasks(4, 3000, "heavy"))
	r.plan()
	// One task takes 0.3 of a headroom of 2 per part, and three parts.
	if runs := len(r.runsOn("w1")); runs > 2 {
		t.Errorf("%d tasks start beside a serving task that bears one", runs-1)
	}
}

// Symptom: as above, where the worker's batch tasks are older than the serving task.
// Sequence: a serving task starts on a worker whose batch tasks go at full speed; its tail
// counts from when it is at work.
// Cause: paces knew only of serving tasks that have reported a tail, and the first report
// shows one that is over the objective already.
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
		t.Errorf("batch work goes at %.2f of its speed beside a serving task that is about to be at work", pace)
	}
}
