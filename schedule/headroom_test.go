package schedule

import (
	"math"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// servingModel is a model of serving tasks on one worker: their own load swings, and
// backfilling runs take a part of what is left. Tails grow as in a queue, and
// workers report their moving average.
type servingModel struct {
	serviceMs float64
	swing     time.Duration
	// pressure is what an image takes of the server per part of the worker.
	pressure      map[string]float64
	reportedTails map[jobqueue.RunID]float64
}

// newServingModel returns a model whose load swings every ten seconds, and in which an image
// presses as given.
func newServingModel(image string, pressure float64) *servingModel {
	return &servingModel{
		serviceMs: 16, swing: 10 * time.Second, pressure: map[string]float64{image: pressure},
		reportedTails: map[jobqueue.RunID]float64{},
	}
}

// utilization is the load of the serving tasks by themselves.
func (l *servingModel) utilization(now time.Time) float64 {
	phase := 2 * math.Pi * float64(now.UnixMilli()%l.swing.Milliseconds()) / float64(l.swing.Milliseconds())
	return 0.48 + 0.24*math.Sin(phase)
}

// report reports the worker's runs after one interval, and returns the worst tail
// and what the backfilling runs worked, both as shares.
func (l *servingModel) report(r *harness, worker string) (tailShare, worked float64) {
	w := r.machine.Worker(worker)
	used, taken, demand := 0.0, 0.0, 0.0
	for _, id := range w.SortedRunIDs() {
		step := w.Runs[id].Step
		if step.TailObjectiveMs > 0 {
			continue
		}
		percent, set := r.planner.Pace(worker, id)
		if !set {
			percent = fullPace
		}
		use := float64(step.CpuMilli) * float64(percent) / fullPace
		r.observe(id, uint32(r.now.UnixMilli()/100%100), int64(use))
		used += use
		demand += float64(step.CpuMilli)
		taken += l.pressure[step.Image] * workerParts(int64(use), w.Spec.CpuMilli)
	}
	left := max(0.01, 1-l.utilization(r.now)-taken)
	for _, id := range w.SortedRunIDs() {
		step := w.Runs[id].Step
		if step.TailObjectiveMs == 0 {
			continue
		}
		tail := l.serviceMs / left
		kept := math.Exp(-paceInterval.Seconds() / averagingTime.Seconds())
		l.reportedTails[id] = kept*l.reportedTails[id] + (1-kept)*tail
		r.observe(id, fullPace, int64(l.reportedTails[id]))
		tailShare = max(tailShare, tail/float64(step.TailObjectiveMs))
	}
	r.planner.Observe(w, r, r.now)
	return tailShare, used / max(1, demand)
}

// Symptom: batch work stands still most of the day beside serving tasks that have
// room to spare half of the time, and yet their tails are over the objective once in
// each swing of their load.
// Sequence: the users' load of the serving tasks swings every ten seconds; batch
// work beside them takes a quarter of what they have left at most times.
// Cause: paces that follow the tails of the mean load, or only those of a second ago.
func TestPacesFollowTheLoad(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 32_000, 64_000)
	r.submit("urgent", "s1", servingTasks(1, 16_000))
	r.startAll("w1", "s1")
	r.submit("batch", "b1", backfillTasks(4, 3000, "some"))
	r.startAll("w1", "b1")
	model := newServingModel("some", 0.04)
	const learning, watched = 20, 80
	over, worked := 0, 0.0
	for i := range learning + watched {
		r.advance(paceInterval)
		tail, work := model.report(r, "w1")
		if i < learning {
			continue
		}
		worked += work / watched
		if tail > 1 {
			over++
		}
	}
	if over > watched/20 {
		t.Errorf("the tail was over its objective in %d of %d reports", over, watched)
	}
	if worked < 0.5 {
		t.Errorf("batch work went at %.2f of its speed", worked)
	}
}

// Symptom: whenever batch tasks start beside a serving task, its tail is over its
// objective for a second.
// Sequence: the image is known to disturb; its tasks start and work at full speed.
// Cause: a run has no pace until its worker's next report.
func TestRunStartsAtItsPace(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 32_000, 64_000)
	r.submit("urgent", "s1", servingTasks(1, 16_000))
	r.plan()
	id := r.runsOn("w1")[0]
	for range 20 {
		r.advance(paceInterval)
		r.observe(id, fullPace, 45)
		r.planner.Observe(r.machine.Worker("w1"), r, r.now)
		r.planner.interference.learn(tailSample{
			step: id.Task.StepID(), image: "serving", headroom: 1.2, parts: map[string]float64{"heavy": 3},
		}, r.now)
	}
	r.submit("batch", "b1", backfillTasks(1, 6000, "heavy"))
	for range 40 {
		r.advance(100 * time.Millisecond)
		d := r.plan()
		if len(d.Starts) == 0 {
			continue
		}
		if pace := r.meanPace("w1", "heavy"); pace > 0.6 || len(d.RepacedWorkers) != 1 {
			t.Fatalf("the run starts at %.2f of its speed, %v are told", pace, d.RepacedWorkers)
		}
		return
	}
	t.Fatal("the task did not start")
}

// Symptom: after an election, batch work that waited through it starts beside the
// serving tasks that it disturbs.
// Sequence: a planner learns that an image disturbs; another leader's planner follows,
// with a state that was restored from a snapshot.
// Cause: the new planner takes every image for harmless.
func TestNextPlannerRestoresLearnedImages(t *testing.T) {
	r := newHarness(t)
	for range 20 {
		r.advance(paceInterval)
		r.planner.interference.learn(tailSample{
			step: jobqueue.StepID{Job: "s1"}, image: "serving", headroom: 0.8, parts: map[string]float64{"heavy": 3},
		}, r.now)
	}
	before := r.planner.interference.pressureOf("serving", "heavy", r.now)
	r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{
		Term: testTerm, Learnt: r.planner.Learned(r.now),
	}}})
	restored, err := jobqueue.Restore(r.machine.Snapshot(), r.now.UnixMilli())
	if err != nil {
		t.Fatal(err)
	}
	next := New()
	next.RestoreLearned(restored.Learned(), r.now)
	if after := next.interference.pressureOf("serving", "heavy", r.now); math.Abs(after-before) > 0.01 {
		t.Errorf("the pressure was %.2f, the next planner believes %.2f", before, after)
	}
	if next.interference.usualHeadroom("serving") == priorHeadroom {
		t.Error("the next planner does not know the usual headroom")
	}
}

// Symptom: a batch task is slowed down right after its start though another worker
// had room to spare.
// Sequence: serving tasks of one image run on two workers; the users of one of them
// are many at the moment, those of the other few.
// Cause: the worker is chosen by what the image has left on the average.
func TestTaskGoesWhereTheLoadIsLow(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 32_000, 64_000)
	r.submit("urgent", "s1", servingTasks(1, 16_000))
	r.startAll("w1", "s1")
	r.addWorker("w2", 32_000, 64_000)
	r.submit("urgent", "s2", servingTasks(1, 16_000))
	r.startAll("w2", "s2")
	for range 8 {
		r.advance(paceInterval)
		r.observeAll("w1", func(int) int64 { return 60 })
		r.observeAll("w2", func(int) int64 { return 25 })
	}
	r.submit("batch", "b1", backfillTasks(2, 3000, "some"))
	r.plan()
	if len(r.runsOn("w2")) != 3 {
		t.Fatalf("%v run where many users are, %v where few", r.runsOn("w1"), r.runsOn("w2"))
	}
}

// Symptom: a serving task is over its objective for a second whenever a large batch
// step starts beside it.
// Sequence: nine tasks of a step start on one worker; each by itself would be slowed
// down a little.
// Cause: until the first paces have reached them they all work at full speed.
func TestStartsLeaveHeadroomBeforeFirstPace(t *testing.T) {
	r := newHarness(t)
	r.addWorker("w1", 32_000, 64_000)
	r.submit("urgent", "s1", servingTasks(1, 6000))
	r.plan()
	for range 8 {
		r.advance(paceInterval)
		r.observeAll("w1", func(int) int64 { return 50 })
	}
	beside := &pressure{updatedAt: r.now, mean: 0.08}
	r.planner.interference.servingImage("serving", r.now).pressures["some"] = beside
	r.submit("batch", "b1", backfillTasks(9, 2000, "some"))
	r.plan()
	started := float64(len(r.runsOn("w1")) - 1)
	if headroom := 2 - started*2*beside.mean; headroom < 1 || started == 0 {
		t.Fatalf("%v tasks start at once and leave a headroom of %.2f", started, headroom)
	}
}
