package schedule

import (
	"testing"
)

// Guards against a start that goes to the worker that refuses it, again and again.
func TestRefusedStartGoesToAnotherWorker(t *testing.T) {
	r := newRig(t)
	r.worker("full", 8000, 8000)
	r.submit("urgent", "beside", lasting(1))
	r.startAll("full", "beside")
	r.worker("free", 8000, 8000)
	r.submit("urgent", "set", lasting(1))
	refused := 0
	for began := r.now; r.now.Sub(began) < longestWait; r.pass(simStep) {
		for _, start := range r.plan().Starts {
			if start.Worker == "full" {
				refused++
				r.refuse(startedRun(start), start.Worker)
			}
		}
	}
	if len(r.runsOn("free")) != 1 {
		t.Errorf("the task has no run after %v, %d starts were refused by one worker", longestWait, refused)
	}
}
