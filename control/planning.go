package control

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/place"
	"github.com/cairnlift/cairnlift/state"
)

const (
	// grantsPerCommand bounds the size of one log entry.
	grantsPerCommand = 256
	// forgetWorkerAfter is how long a worker that holds nothing may be silent.
	forgetWorkerAfter = 24 * time.Hour
)

// plan runs one planning round on a snapshot and returns the commands that carry
// it out.
func (c *coordinator) plan(now time.Time, s *place.Snapshot) ([]*apiv1.Command, place.Plan) {
	p := c.planner.Plan(now, s)
	for _, t := range p.Throttles {
		c.throttles[t.Task] = throttle{attempt: t.Attempt, share: t.ShareMilli}
	}
	var cmds []*apiv1.Command
	cmds = append(cmds, evictCommands(p.Evictions)...)
	cmds = append(cmds, placeCommands(p.Grants)...)
	cmds = append(cmds, parkCommands(p.Unplaceable)...)
	return cmds, p
}

// dropThrottles forgets the throttles of attempts that ended.
func (c *coordinator) dropThrottles(m *state.Machine) {
	for id, th := range c.throttles {
		if t, ok := m.Task(id); !ok || !t.Live() || t.Attempt != th.attempt {
			delete(c.throttles, id)
		}
	}
}

func evictCommands(list []place.Eviction) []*apiv1.Command {
	byReason := map[string][]*apiv1.TaskAttempt{}
	for _, e := range list {
		byReason[e.Reason] = append(byReason[e.Reason], &apiv1.TaskAttempt{Task: e.Task, Attempt: e.Attempt})
	}
	var cmds []*apiv1.Command
	for _, reason := range sortedKeys(byReason) {
		cmds = append(cmds, evictCommand(byReason[reason], reason))
	}
	return cmds
}

func evictCommand(tasks []*apiv1.TaskAttempt, reason string) *apiv1.Command {
	return &apiv1.Command{Body: &apiv1.Command_Evict{Evict: &apiv1.Evict{Tasks: tasks, Reason: reason}}}
}

func placeCommands(list []place.Grant) []*apiv1.Command {
	var cmds []*apiv1.Command
	for part := range slices.Chunk(list, grantsPerCommand) {
		p := &apiv1.Place{}
		for _, g := range part {
			p.Grants = append(p.Grants, &apiv1.Grant{
				Task:              g.Task.ID,
				Attempt:           g.Task.Attempt + 1,
				Worker:            g.Worker,
				WorkerIncarnation: g.WorkerIncarnation,
				Resources:         state.Resources(g.Resources).Message(),
			})
		}
		cmds = append(cmds, &apiv1.Command{Body: &apiv1.Command_Place{Place: p}})
	}
	return cmds
}

func parkCommands(unplaceable map[string]string) []*apiv1.Command {
	var cmds []*apiv1.Command
	for _, job := range sortedKeys(unplaceable) {
		p := &apiv1.Park{Jobs: []string{job}, Reason: unplaceable[job]}
		cmds = append(cmds, &apiv1.Command{Body: &apiv1.Command_Park{Park: p}})
	}
	return cmds
}

// wakeCommand returns a command for the parked jobs that a worker of a new shape could
// hold when it is empty, nil when there are none.
func wakeCommand(capacity state.Resources, m *state.Machine) *apiv1.Command {
	p := &apiv1.Park{Wake: true}
	m.EachParked(func(d *apiv1.Job) {
		if state.ResourcesOf(d.Size).Within(capacity) {
			p.Jobs = append(p.Jobs, d.Name)
		}
	})
	if len(p.Jobs) == 0 {
		return nil
	}
	slices.Sort(p.Jobs)
	return &apiv1.Command{Body: &apiv1.Command_Park{Park: p}}
}

// dueCommands returns the commands that the passing of time asks for: ends of attempts
// whose leases ran out, by worker, and the workers to forget, nil when none.
func (c *coordinator) dueCommands(now time.Time, m *state.Machine) (expiries map[string]*apiv1.Command, forget *apiv1.Command) {
	expiries = map[string]*apiv1.Command{}
	silent := &apiv1.ForgetWorkers{}
	m.EachWorker(func(w state.Worker) {
		switch {
		case w.Tasks > 0 && c.leases.expired(w.Name, now):
			c.leases.beginExpiry(w.Name)
			expiries[w.Name] = c.expireCommand(w.Name, m)
		case w.Tasks == 0 && !w.Draining && c.leases.sinceRenewal(w.Name, now) > forgetWorkerAfter:
			silent.Workers = append(silent.Workers, &apiv1.SilentWorker{Worker: w.Name, Incarnation: w.Incarnation})
		}
	})
	if len(silent.Workers) == 0 {
		return expiries, nil
	}
	c.dropWorkers(silent.Workers)
	return expiries, &apiv1.Command{Body: &apiv1.Command_ForgetWorkers{ForgetWorkers: silent}}
}

func (c *coordinator) dropWorkers(workers []*apiv1.SilentWorker) {
	for _, w := range workers {
		c.leases.forget(w.Worker)
		delete(c.reports, w.Worker)
		delete(c.cache, w.Worker)
		c.planner.Forget(w.Worker)
	}
}

func (c *coordinator) expireCommand(worker string, m *state.Machine) *apiv1.Command {
	e := &apiv1.Expire{Term: c.term}
	m.EachTaskOf(worker, func(t state.Task) {
		e.Tasks = append(e.Tasks, &apiv1.TaskAttempt{Task: t.ID, Attempt: t.Attempt})
	})
	if r := c.reports[worker]; r != nil {
		e.Checkpoints = r.checkpoints()
	}
	return &apiv1.Command{Body: &apiv1.Command_Expire{Expire: e}}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
