package schedule

import (
	"maps"
	"math/rand"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against tasks that are placed on full workers, or not placed on workers that have become
// free, because a change of a worker's runs or paces did not update the cached use. Tasks start,
// end, are slowed down and recover in random rounds, and the cached use of each worker and the
// state of each step are compared with a recount.
func TestCachedUseMatchesRuns(t *testing.T) {
	for seed := range int64(60) {
		random := rand.New(rand.NewSource(seed))
		r := newCrowdedFleet(t, random)
		for range 12 {
			for _, w := range r.machine.Workers() {
				switch runs := w.SortedRunIDs(); {
				case random.Intn(3) == 0:
					r.observeAll(w.Spec.Id, func(int) int64 { return int64(random.Intn(150)) })
				case len(runs) > 0 && random.Intn(2) == 0:
					id := runs[random.Intn(len(runs))]
					if w.Runs[id].Step.Backfill {
						r.reportEnd(id, apiv1.RunEndKind_RUN_END_KIND_DONE)
					}
				}
			}
			r.plan()
			r.checkCovered()
			r.advance(paceInterval)
			round := r.openRound()
			for _, s := range round.slots {
				cached, counted := s.use, round.planner.countUse(s.worker)
				if cached.backfillMilli != counted.backfillMilli || cached.otherMilli != counted.otherMilli || !maps.Equal(cached.servingByImage, counted.servingByImage) {
					t.Fatalf("seed %d: the cached use of %s is %+v, its runs use %+v", seed, s.worker.Spec.Id, cached, counted)
				}
			}
		}
	}
}

// checkCovered compares what the queue machine records of each step with the tasks of the step.
func (r *harness) checkCovered() {
	r.t.Helper()
	for _, j := range r.machine.Active() {
		for _, s := range j.Occurrences[0].Steps {
			waiting := 0
			for _, t := range s.Tasks {
				if !t.Done && len(t.Runs) == 0 {
					waiting++
				}
			}
			if s.FullyScheduled() != (waiting == 0) {
				r.t.Fatalf("job %s: covered %v, %d tasks wait", j.ID(), s.FullyScheduled(), waiting)
			}
		}
	}
}
