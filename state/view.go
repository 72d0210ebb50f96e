package state

import apiv1 "github.com/cairnlift/cairnlift/api/v1"

// Task is a copy of a task's record for planning and display.
type Task struct {
	ID         string
	Definition *apiv1.Job
	State      apiv1.TaskState
	// Attempt is the number of the last granted attempt, 0 if there was none.
	Attempt uint64
	Worker  string
	// LastWorker is the name of the worker of the last attempt.
	LastWorker    string
	Grant         Resources
	Checkpoint    string
	Failures      int32
	Evictions     int32
	QueuedMs      int64
	GrantedMs     int64
	NotBeforeMs   int64
	Reason        string
	FailedWorkers []string
	// Canceled reports whether the task must not run again: a live attempt is stopped
	// and does not resume on another worker.
	Canceled bool
}

// Live reports whether an attempt of the task is granted on a worker and has not ended.
func (t *Task) Live() bool { return t.Worker != "" }

// Worker is a copy of a worker's record.
type Worker struct {
	Name             string
	Incarnation      uint64
	Region           string
	AvailabilityZone string
	Rack             string
	Capacity         Resources
	Reserved         Resources
	Granted          Resources
	Draining         bool
	// Cordoned reports whether nothing may start in the worker's availability zone.
	Cordoned bool
	// Tasks is the number of live attempts.
	Tasks int
	// Changed is the log index of the last change of the worker or its tasks. It does
	// not cover the definitions of their jobs, which change with the version of the
	// configuration.
	Changed uint64
}

// Job is a copy of a job's record with the number of its tasks per state.
type Job struct {
	Definition   *apiv1.Job
	Canceled     bool
	ParkedReason string
	CreatedMs    int64
	Tasks        map[apiv1.TaskState]int
	// WaitsFor is the reason why its queued tasks may not be placed, empty if they may.
	WaitsFor string
}

// Team is a copy of a team's record: its limits, the resources granted to its live
// attempts, and the number of its tasks that may be placed.
type Team struct {
	Name    string
	Quota   Resources
	Weight  int32
	Granted Resources
	Queued  int
}

// Index returns the last applied log index.
func (m *Machine) Index() uint64 { return m.index }

// TimeMs returns the log's time, Unix milliseconds.
func (m *Machine) TimeMs() int64 { return m.timeMs }

// Configuration returns the current configuration. It must not be changed.
func (m *Machine) Configuration() *apiv1.Configuration { return m.configuration }

// Service returns a service's declaration, nil if there is none.
func (m *Machine) Service(name string) *apiv1.Service { return m.services[name] }

// Services returns the declared services by name. The map must not be changed; each
// configuration has a new map.
func (m *Machine) Services() map[string]*apiv1.Service { return m.services }

func (t *task) view() Task {
	v := Task{
		ID:            t.id,
		Definition:    t.job.definition,
		State:         t.state,
		Attempt:       t.attempt,
		LastWorker:    t.lastWorker,
		Grant:         t.grant,
		Checkpoint:    t.checkpoint,
		Failures:      t.failures,
		Evictions:     t.evictions,
		QueuedMs:      t.queuedMs,
		GrantedMs:     t.grantedMs,
		NotBeforeMs:   t.notBeforeMs,
		Reason:        t.reason,
		FailedWorkers: t.failedWorkers,
		Canceled:      t.job.canceled || t.surplus(),
	}
	if t.live() {
		v.Worker = t.worker.name
	}
	return v
}

func (w *worker) view() Worker {
	return Worker{
		Name:             w.name,
		Incarnation:      w.incarnation,
		Region:           w.region,
		AvailabilityZone: w.availabilityZone,
		Rack:             w.rack,
		Capacity:         w.capacity,
		Reserved:         w.reserved,
		Granted:          w.granted,
		Draining:         w.draining,
		Tasks:            len(w.tasks),
		Changed:          w.changedIndex,
	}
}

// Task returns a task by id.
func (m *Machine) Task(id string) (Task, bool) {
	t := m.tasks[id]
	if t == nil {
		return Task{}, false
	}
	return t.view(), true
}

// Worker returns a worker by name.
func (m *Machine) Worker(name string) (Worker, bool) {
	w := m.workers[name]
	if w == nil {
		return Worker{}, false
	}
	return m.workerView(w), true
}

// EachWorker calls f for each worker, in no particular order.
func (m *Machine) EachWorker(f func(Worker)) {
	for _, w := range m.workers {
		f(m.workerView(w))
	}
}

func (m *Machine) workerView(w *worker) Worker {
	v := w.view()
	v.Cordoned = m.callerJobs.Cordoned(w.availabilityZone)
	return v
}

// EachTaskOf calls f for each task with a live attempt on a worker, in no particular
// order.
func (m *Machine) EachTaskOf(worker string, f func(Task)) {
	w := m.workers[worker]
	if w == nil {
		return
	}
	for _, t := range w.tasks {
		f(t.view())
	}
}

// EachQueued calls f for each queued task whose job may be placed according to the
// replicated state, in no particular order. It includes tasks whose backoff after a
// failure has not elapsed.
func (m *Machine) EachQueued(f func(Task)) {
	for _, tm := range m.teams {
		for _, t := range tm.queue {
			f(t.view())
		}
	}
}

// Teams returns the teams in order of their names.
func (m *Machine) Teams() []Team {
	var list []Team
	for _, name := range sortedKeys(m.teams) {
		t := m.teams[name]
		list = append(list, Team{
			Name:    name,
			Quota:   t.quota,
			Weight:  t.definition.GetWeight(),
			Granted: t.granted,
			Queued:  len(t.queue),
		})
	}
	return list
}

// Job returns a job of the configuration with all of its tasks.
func (m *Machine) Job(name string) (Job, []Task, bool) {
	j := m.jobs[name]
	if j == nil {
		return Job{}, nil, false
	}
	tasks := make([]Task, len(j.tasks))
	for i, t := range j.tasks {
		tasks[i] = t.view()
	}
	return m.jobView(j), tasks, true
}

// Jobs returns the jobs of the configuration in order of their names.
func (m *Machine) Jobs() []Job {
	list := make([]Job, 0, len(m.jobs))
	for _, name := range sortedKeys(m.jobs) {
		list = append(list, m.jobView(m.jobs[name]))
	}
	return list
}

// EachParked calls f for each parked job, in no particular order.
func (m *Machine) EachParked(f func(*apiv1.Job)) {
	for _, j := range m.jobs {
		if j.parkedReason != "" {
			f(j.definition)
		}
	}
}

func (m *Machine) jobView(j *job) Job {
	v := Job{
		Definition:   j.definition,
		Canceled:     j.canceled,
		ParkedReason: j.parkedReason,
		CreatedMs:    j.createdMs,
		Tasks:        map[apiv1.TaskState]int{},
		WaitsFor:     m.waitsFor(j),
	}
	for s, n := range j.taskCounts {
		if n > 0 {
			v.Tasks[apiv1.TaskState(s)] = n
		}
	}
	return v
}
