package state

import (
	"fmt"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// worker is the record of one worker and the room granted on it.
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

// fits reports whether a grant keeps the worker within its capacity. A worker
// that came back smaller than what it holds fits nothing.
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

// addGrant adds a task's grant without judging it; Restore uses it for a worker
// that may have shrunk below what it holds.
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
		panic(fmt.Sprintf("state: a worker's granted room is never negative: %s after %s", w.name, t.id))
	}
}

// mustPlus adds amounts whose sum was checked before.
func mustPlus(a, b Resources) Resources {
	sum, ok := a.plus(b)
	if !ok {
		panic("state: granted room never overflows")
	}
	return sum
}

// registerWorker takes in what a worker is and has. A higher incarnation says
// that its agent started anew and read from the worker what runs: attempts that
// are not in that list have ended. Within an incarnation the list says nothing,
// since it may be older than a grant that the worker has begun to run.
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

// endMissing ends the worker's attempts that are not among those it runs.
func (m *Machine) endMissing(w *worker, running []*apiv1.TaskAttempt) {
	runs := make(map[string]uint64, len(running))
	for _, a := range running {
		runs[a.GetTask()] = a.GetAttempt()
	}
	var gone []*task
	for _, t := range w.tasks {
		if runs[t.id] != t.attempt {
			gone = append(gone, t)
		}
	}
	for _, t := range gone {
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

// forgetWorkers drops workers that the leader has not heard of for long, so that
// hosts that were replaced under new names do not pile up. One that returns
// registers anew; a drained one stays, since that is an operator's word.
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
