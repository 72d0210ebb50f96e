package schedule

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against a missing task of a set that reserves no processors, which waits as long as another one runs.
func TestMissingTaskOfBackfillSetEventuallyStarts(t *testing.T) {
	for name, count := range map[string]uint32{"its only task": 1, "one of two tasks": 2} {
		t.Run(name, func(t *testing.T) {
			r := newHarness(t)
			r.addWorker("w1", 32_000, 64_000)
			r.submit("urgent", "s1", servingTasks(1, 6000))
			r.plan()
			step := backfillTasks(count, 3000, "heavy")
			step.LongRunning = true
			r.submit("batch", "set", step)
			r.startFirst("set", "w1", int(count)-1)
			r.learnHeavyImage()
			began := r.now
			for r.now.Sub(began) < time.Minute && !r.machine.Job("set").Occurrences[0].Steps[0].FullyScheduled() {
				r.plan()
				r.advance(simStep)
				r.learnHeavyImage()
			}
			if took := r.now.Sub(began); took > maxWait {
				t.Errorf("it started after %v on a worker that is three quarters free", took)
			}
		})
	}
}

// startFirst starts the first tasks of a job on a worker.
func (r *harness) startFirst(job, worker string, count int) {
	r.t.Helper()
	for i := range count {
		r.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Plan{Plan: &apiv1.PlanRuns{Term: testTerm, Starts: []*apiv1.StartRun{{
			Task: &apiv1.TaskRef{Job: job, Index: uint32(i)}, Run: 1, Worker: worker,
		}}}}})
	}
}

// learnHeavyImage teaches that an image brings the tails beside it over their objective.
func (r *harness) learnHeavyImage() {
	for range 20 {
		r.planner.interference.learn(tailSample{
			step: jobqueue.StepID{Job: "s1"}, image: "serving", headroom: 0.5, parts: map[string]float64{"heavy": 3},
		}, r.now)
	}
}

// Guards against a worker that the score rules out for a task that reserves what it uses.
func TestScoreExcludesNoWorkerForReservingTasks(t *testing.T) {
	for seed := range int64(50) {
		random := rand.New(rand.NewSource(seed))
		r := newCrowdedFleet(t, random)
		step := servingTasks(1, 500+int64(random.Intn(6000)))
		step.RequiredLabel = fmt.Sprint("rack", random.Intn(4))
		r.submit("batch", "set", step)
		round := r.openRound()
		for _, c := range round.candidates() {
			for _, s := range round.slots {
				feasible := round.feasible(c, s)
				if _, judged := round.evaluate(c, s); !c.step.Spec.Backfill && judged != feasible {
					t.Fatalf("seed %d: %v on %s is %v by the rules and %v by the score", seed, c.key(), s.worker.Spec.Id, feasible, judged)
				}
			}
		}
	}
}
