package main

import (
	"fmt"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// reached reports whether a part of the run's length is reached at this tick.
func (r *run) reached(part float64) bool {
	return r.now.Equal(r.start.Add(time.Duration(part * float64(r.length)).Truncate(tick)))
}

// injectFaults are the same for every policy: a noisy wave, jobs that can never run, a
// worker that fails everything, a host and a rack lost, a wave of cancellations.
func (r *run) injectFaults() {
	switch {
	case r.reached(0.05):
		r.submit(r.workload.unplaceable(r.now))
	case r.reached(0.20):
		r.workers[1].failing = true
	case r.reached(0.35):
		r.workers[1].failing = false
	case r.reached(0.40):
		r.submit(r.workload.burst(r.now, r.deployment.services[0].name))
	case r.reached(0.48):
		r.cancelJobs()
	case r.reached(0.52):
		r.failWorkers(r.workers[10])
	case r.reached(0.58):
		r.recoverWorkers(r.workers[10])
	case r.reached(0.75):
		r.failWorkers(r.workers[3:6]...)
	case r.reached(0.80):
		r.recoverWorkers(r.workers[3:6]...)
	}
}

// cancelJobs ends every fourth job, queued or running.
func (r *run) cancelJobs() {
	const every = 4
	gone := func(t *task) bool {
		var n int
		_, _ = fmt.Sscanf(t.Job, "job-%d", &n)
		return n%every == 0
	}
	r.queued = slices.DeleteFunc(r.queued, gone)
	for _, w := range r.workers {
		for _, t := range w.tasks {
			if gone(t) {
				t.canceled = true
				r.stop(t)
			}
		}
	}
}

// failWorkers takes workers away; their leases run out before their tasks come back.
func (r *run) failWorkers(workers ...*worker) {
	for _, w := range workers {
		w.down, w.Alive = true, false
		w.pending = nil
		for _, t := range w.tasks {
			t.stopAt = r.now.Add(leaseExpiry)
			t.State = apiv1.TaskState_TASK_STATE_STOPPING
		}
	}
}

func (r *run) recoverWorkers(workers ...*worker) {
	for _, w := range workers {
		w.down, w.Alive = false, true
		w.Incarnation++
	}
}
