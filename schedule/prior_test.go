package schedule

import "testing"

// Symptom: whenever a batch image that is known to disturb comes to a worker whose serving
// image it was not seen beside, the tails there are over their objectives for a second or two.
// Sequence: a heavy image runs beside one serving image until it is known; then its tasks start
// beside another one. Cause: each pair of images is learnt from nothing.
func TestHeavyImageBesideANewServingImage(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 32_000, 64_000)
	r.submit("urgent", "s1", servingTasks(1, 16_000))
	r.startAll("w1", "s1")
	r.submit("batch", "b1", backfillTasks(2, 3000, "heavy"))
	r.startAll("w1", "b1")
	model := newServingModel("heavy", 0.09)
	for range 40 {
		r.advance(paceInterval)
		model.report(r, "w1")
	}
	r.addWorker("w2", 32_000, 64_000)
	other := servingTasks(1, 16_000)
	other.Image = "other"
	r.submit("urgent", "s2", other)
	r.startAll("w2", "s2")
	for range 10 {
		r.advance(paceInterval)
		model.report(r, "w2")
	}
	r.submit("batch", "b2", backfillTasks(6, 3000, "heavy"))
	over, worked := 0, 0.0
	for range 8 {
		r.plan()
		r.advance(paceInterval)
		tail, work := model.report(r, "w2")
		if tail > 1 {
			over++
		}
		worked += work
	}
	if over > 1 {
		t.Errorf("the tail was over its objective in %d of the first 8 reports", over)
	}
	if worked == 0 {
		t.Error("batch work never went on")
	}
}
