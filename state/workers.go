package state

import (
	"fmt"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// worker is the record of one worker and the resources granted on it.
type worker struct {
	name             string
	incarnation      uint64
	region           string
	availabilityZone string
	rack             string
	capacity         Resources
	reserved         Resources
	draining         bool
	granted          Resources
	tasks            []*task
	// changedIndex is the log index of the last change of the worker or its tasks.
	changedIndex uint64
}

// fits reports whether a further grant keeps the worker within its capacity. Nothing
// fits on a worker that was registered again with less capacity than is granted on it.
func (w *worker) fits(size Resources) bool {
	sum, ok := w.granted.plus(w.reserved)
	if !ok {
		return false
	}
	sum, ok = sum.plus(size)
	return ok && sum.Within(w.capacity)
}

func (w *worker) attach(t *task) {
	if !w.fits(t.grant) {
		panic(fmt.Sprintf("state: grants never exceed a worker's capacity: %s on %s", t.id, w.name))
	}
	w.addGrant(t)
}

// addGrant adds a task's grant without a capacity check. Restore uses it for workers whose
// capacity may have shrunk below their grants.
func (w *worker) addGrant(t *task) {
	w.granted = mustPlus(w.granted, t.grant)
	t.worker = w
	t.workerIndex = len(w.tasks)
	w.tasks = append(w.tasks, t)
}

func (w *worker) detach(t *task) {
	last := len(w.tasks) - 1
	moved := w.tasks[last]
	w.tasks[t.workerIndex] = moved
	moved.workerIndex = t.workerIndex
	w.tasks[last] = nil
	w.tasks = w.tasks[:last]
	t.workerIndex = noIndex
	t.worker = nil
	w.granted = w.granted.Minus(t.grant)
	if w.granted.negative() {
		panic(fmt.Sprintf("state: a worker's granted resources are never negative: %s after %s", w.name, t.id))
	}
}

// mustPlus adds amounts whose sum was checked before, and panics if it overflows.
func mustPlus(a, b Resources) Resources {
	sum, ok := a.plus(b)
	if !ok {
		panic("state: the sum of granted resources never overflows")
	}
	return sum
}

// registerWorker records a worker's location, capacity and reserved resources. A higher
// incarnation means that its agent restarted and read the list of running attempts from
// the worker, so attempts that are not in that list have ended. Within an incarnation the
// list is ignored, since it may be older than a grant that the worker already runs.
func (m *Machine) registerWorker(r *apiv1.RegisterWorker) *apiv1.Result {
	capacity, reserved := ResourcesOf(r.GetCapacity()), ResourcesOf(r.GetReserved())
	if r.GetWorker() == "" || capacity.negative() || reserved.negative() {
		return refused("a worker needs a name and amounts that are not negative")
	}
	w := m.workers[r.Worker]
	if w == nil {
		w = &worker{name: r.Worker, incarnation: r.Incarnation}
		m.workers[r.Worker] = w
	}
	if r.Incarnation < w.incarnation {
		return conflict(fmt.Sprintf("the worker's incarnation is %d", w.incarnation))
	}
	w.changedIndex = m.index
	w.region = r.Region
	w.availabilityZone = r.AvailabilityZone
	w.rack = r.Rack
	w.capacity = capacity
	w.reserved = reserved
	if r.Incarnation > w.incarnation {
		w.incarnation = r.Incarnation
		m.recordCheckpoints(r.Checkpoints)
		m.endMissing(w, r.Running)
	}
	return accepted("")
}

// endMissing ends the worker's attempts that are not in the list of running ones.
func (m *Machine) endMissing(w *worker, running []*apiv1.TaskAttempt) {
	runs := make(map[string]uint64, len(running))
	for _, a := range running {
		runs[a.GetTask()] = a.GetAttempt()
	}
	var missing []*task
	for _, t := range w.tasks {
		if runs[t.id] != t.attempt {
			missing = append(missing, t)
		}
	}
	for _, t := range missing {
		m.endAttempt(t, apiv1.TaskState_TASK_STATE_QUEUED, "not found when the worker's agent started anew")
	}
}

func (m *Machine) drain(d *apiv1.Drain) *apiv1.Result {
	w := m.workers[d.GetWorker()]
	if w == nil {
		return refused(fmt.Sprintf("no worker %q is known", d.GetWorker()))
	}
	if w.draining == !d.Off {
		return repeated("")
	}
	w.draining = !d.Off
	w.changedIndex = m.index
	if d.Off {
		return accepted("")
	}
	for _, t := range w.tasks {
		if t.state == apiv1.TaskState_TASK_STATE_GRANTED {
			m.setState(t, apiv1.TaskState_TASK_STATE_STOPPING)
			t.reason = "the worker is drained"
		}
	}
	return accepted("")
}

// forgetWorkers deletes workers that have not reported to the leader for a long time.
// Otherwise the records of hosts that were replaced under new names would accumulate. A
// worker that returns registers again. A drained worker is kept, since an operator
// ordered the drain.
func (m *Machine) forgetWorkers(f *apiv1.ForgetWorkers) *apiv1.Result {
	changed := false
	for _, s := range f.GetWorkers() {
		w := m.workers[s.GetWorker()]
		if w == nil || w.incarnation != s.GetIncarnation() || w.draining || len(w.tasks) > 0 {
			continue
		}
		delete(m.workers, w.name)
		changed = true
	}
	if !changed {
		return repeated("")
	}
	return accepted("")
}
