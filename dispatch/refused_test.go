package dispatch_test

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Guards against refusals that say nothing of the worker and keep its tasks waiting, and against ones that say so and don't.
func TestOnlyWorkerRefusalsPauseWorker(t *testing.T) {
	const pause = 900 * time.Millisecond
	for reason, pauses := range map[string]bool{
		jobqueue.RefusedNoCapacity: true, jobqueue.RefusedUnwilling: true,
		"stopped before it began": false, "worker drains": false, "no ticket": false,
	} {
		t.Run(reason, func(t *testing.T) {
			runSim(t, 1, 0, func(t *testing.T, s *sim) {
				w := newScriptedWorker(s, "w1")
				s.sleep(time.Second)
				s.submitLongRunning("q", "set")
				s.waitForRun("set", 1)
				w.refuseStart(s.runsOn("w1")[0], reason)
				if took := s.waitForRun("set", 2); pauses != (took > pause) {
					t.Errorf("it was ordered again after %v", took)
				}
			})
		})
	}
}

// refuseStart has the worker refuse a start.
func (w *scriptedWorker) refuseStart(id jobqueue.RunID, reason string) {
	r := w.nextReport()
	r.Running = nil
	r.Refusals = []*apiv1.RunRefusal{{Task: id.Task.Ref(), Run: id.Number, Reason: reason}}
	w.send(r)
}
