package control

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/place"
	"github.com/cairnlift/cairnlift/state"
)

// snapshot copies the data that a planning round needs. Its order depends only on the state, so
// that a round can be replayed.
func (c *coordinator) snapshot(now time.Time, m *state.Machine) *place.Snapshot {
	c.dropThrottles(m)
	s := &place.Snapshot{
		Teams:    map[string]*place.Team{},
		Services: m.Services(),
		Policy:   m.Configuration().Policy,
	}
	for _, t := range m.Teams() {
		s.Teams[t.Name] = &place.Team{Name: t.Name, Quota: place.Resources(t.Quota), Weight: max(1, t.Weight)}
	}
	m.EachWorker(func(w state.Worker) { s.Workers = append(s.Workers, c.snapshotWorker(now, w, m)) })
	slices.SortFunc(s.Workers, func(a, b *place.Worker) int { return cmp.Compare(a.Name, b.Name) })
	served := servedServices(s.Workers)
	c.served = served
	m.EachQueued(func(t state.Task) {
		if missingService(t.Definition, m, served) == "" {
			s.Queued = append(s.Queued, c.snapshotTask(t))
		}
	})
	slices.SortFunc(s.Queued, func(a, b *place.Task) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// cachedWorker is a worker of the last snapshot, with the versions of the data that it was built
// from. Most workers do not change from one round to the next.
type cachedWorker struct {
	changed       uint64
	configuration uint64
	report        *workerReport
	worker        *place.Worker
}

func (c *coordinator) snapshotWorker(now time.Time, w state.Worker, m *state.Machine) *place.Worker {
	r := c.reports[w.Name]
	version := m.Configuration().Version
	cached, ok := c.cache[w.Name]
	if !ok || cached.changed != w.Changed || cached.configuration != version || cached.report != r ||
		cached.worker.Cordoned != w.Cordoned {
		cached = cachedWorker{w.Changed, version, r, c.newSnapshotWorker(w, m)}
	}
	alive := r != nil && r.incarnation == w.Incarnation && c.leases.alive(w.Name, now)
	if cached.worker.Alive != alive {
		// The last round's snapshot may still be in use and must not change.
		fresh := *cached.worker
		fresh.Alive = alive
		cached.worker = &fresh
	}
	c.cache[w.Name] = cached
	return cached.worker
}

func (c *coordinator) newSnapshotWorker(w state.Worker, m *state.Machine) *place.Worker {
	p := &place.Worker{
		Name:             w.Name,
		Incarnation:      w.Incarnation,
		Region:           w.Region,
		AvailabilityZone: w.AvailabilityZone,
		Rack:             w.Rack,
		Capacity:         place.Resources(w.Capacity),
		Reserved:         place.Resources(w.Reserved),
		Draining:         w.Draining,
		Cordoned:         w.Cordoned,
	}
	if r := c.reports[w.Name]; r != nil && r.incarnation == w.Incarnation {
		p.Services = r.services
	}
	m.EachTaskOf(w.Name, func(t state.Task) { p.Running = append(p.Running, c.snapshotTask(t)) })
	slices.SortFunc(p.Running, func(a, b *place.Task) int { return cmp.Compare(a.ID, b.ID) })
	return p
}

func (c *coordinator) snapshotTask(t state.Task) *place.Task {
	d := t.Definition
	p := &place.Task{
		ID:            t.ID,
		Job:           d.Name,
		Kind:          d.Kind,
		Team:          d.Team,
		Priority:      d.Priority,
		State:         t.State,
		Attempt:       t.Attempt,
		Size:          place.Resources(state.ResourcesOf(d.Size)),
		Worker:        t.Worker,
		Checkpoint:    t.Checkpoint,
		Failures:      t.Failures,
		Evictions:     t.Evictions,
		EvictionCost:  max(1, d.EvictionCost),
		ExpectedRun:   time.Duration(d.ExpectedRunMs) * time.Millisecond,
		QueuedAt:      time.UnixMilli(t.QueuedMs),
		GrantedAt:     time.UnixMilli(t.GrantedMs),
		NotBefore:     time.UnixMilli(t.NotBeforeMs),
		FailedWorkers: t.FailedWorkers,
	}
	if t.Live() {
		// The granted resources count, not the size that the job declares now.
		p.Size = place.Resources(t.Grant)
		p.Declared = place.Resources(state.ResourcesOf(d.Size))
		c.addProgress(p)
	}
	return p
}

func (c *coordinator) addProgress(p *place.Task) {
	r := c.reports[p.Worker]
	if r == nil {
		return
	}
	t := r.tasks[p.ID]
	if t == nil || t.status.Task.Attempt != p.Attempt {
		return
	}
	p.CheckpointedAt = t.checkpointedAt
	p.ProgressMilli = t.status.ProgressMilli
}

// servedServices returns the services that have a target on a live worker.
func servedServices(workers []*place.Worker) map[string]bool {
	served := map[string]bool{}
	for _, w := range workers {
		if !w.Alive {
			continue
		}
		for _, name := range w.Services {
			served[name] = true
		}
	}
	return served
}

// missingService checks a job's dependencies on services; the replicated state has already checked
// those on jobs. It returns the first service without a target on a live worker, or an empty string
// if there is none.
func missingService(d *apiv1.Job, m *state.Machine, served map[string]bool) string {
	for _, name := range d.DependsOn {
		if m.Service(name) != nil && !served[name] {
			return name
		}
	}
	return ""
}
