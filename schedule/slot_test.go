package schedule

import (
	"maps"
	"math/rand"
	"testing"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Symptom: tasks are placed on workers that are full, or not on those that became free.
// Sequence: tasks start, end, are slowed down and let up again, round after round; what
// the planner keeps of each worker is compared with a count of its runs, and what is kept
// of each step with its tasks.
// Cause: a change of a worker's runs or paces that the planner does not notice.
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
				kept, counted := s.use, round.countUse(s.worker)
				if kept.backfillMilli != counted.backfillMilli || kept.otherMilli != counted.otherMilli || !maps.Equal(kept.servingByImage, counted.servingByImage) {
					t.Fatalf("seed %d: %s keeps %+v, its runs use %+v", seed, s.worker.Spec.Id, kept, counted)
				}
			}
		}
	}
}

// checkCovered compares what the queue machine keeps of each step with its tasks.
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
