package state

import (
	"fmt"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// team keeps what a team's live attempts hold, and its tasks that may be placed.
type team struct {
	definition *apiv1.Team
	quota      Resources
	granted    Resources
	queue      []*task
}

// team returns the team of a name, also one that is not declared, such as the
// empty name of jobs that belong to none.
func (m *Machine) team(name string) *team {
	t := m.teams[name]
	if t == nil {
		t = &team{}
		m.teams[name] = t
	}
	return t
}

func (m *Machine) teamOf(j *job) *team { return m.team(j.definition.Team) }

func (m *Machine) applyTeams(teams []*apiv1.Team) {
	for _, t := range m.teams {
		t.definition = nil
		t.quota = Resources{}
	}
	for _, d := range teams {
		t := m.team(d.GetName())
		t.definition = d
		t.quota = ResourcesOf(d.Quota)
	}
	for name, t := range m.teams {
		if t.definition == nil && t.granted == (Resources{}) && len(t.queue) == 0 {
			delete(m.teams, name)
		}
	}
}

// moveGrantsToTeam charges the job's live attempts to another team.
func (m *Machine) moveGrantsToTeam(j *job, name string) {
	if j.definition.Team == name {
		return
	}
	from := m.teamOf(j)
	to := m.team(name)
	for _, t := range j.tasks {
		if !t.live() {
			continue
		}
		from.granted = from.granted.Minus(t.grant)
		to.granted = mustPlus(to.granted, t.grant)
	}
}

func (m *Machine) linkDependencies(j *job) {
	for _, name := range j.definition.DependsOn {
		set := m.dependents[name]
		if set == nil {
			set = map[*job]struct{}{}
			m.dependents[name] = set
		}
		set[j] = struct{}{}
	}
}

func (m *Machine) unlinkDependencies(j *job) {
	for _, name := range j.definition.DependsOn {
		delete(m.dependents[name], j)
		if len(m.dependents[name]) == 0 {
			delete(m.dependents, name)
		}
	}
}

// requeueWithDependents brings the queues of a job and its dependents up to date.
func (m *Machine) requeueWithDependents(j *job) {
	if j.removed {
		return
	}
	m.requeue(j)
	for d := range m.dependents[j.definition.Name] {
		m.requeue(d)
	}
}

// waitsFor says what keeps a job's tasks from being placed, empty when nothing
// does. Whether a service has targets is not part of the replicated state: the
// leader judges that from workers' heartbeats.
func (m *Machine) waitsFor(j *job) string {
	switch {
	case j.canceled:
		return "the job is canceled"
	case j.parkedReason != "":
		return "the job is parked: " + j.parkedReason
	case m.removedCount[j.definition.Name] > 0:
		return "attempts of the job's earlier life have not ended"
	}
	for _, name := range j.definition.DependsOn {
		if why := m.unmetDependency(name); why != "" {
			return why
		}
	}
	return ""
}

func (m *Machine) unmetDependency(name string) string {
	if d := m.jobs[name]; d != nil {
		if d.succeeded() {
			return ""
		}
		return fmt.Sprintf("job %q has not succeeded", name)
	}
	if m.services[name] != nil {
		return ""
	}
	return fmt.Sprintf("%q is neither a job nor a service", name)
}

// requeue puts a job's queued tasks into its team's queue or takes them out.
func (m *Machine) requeue(j *job) {
	ready := m.waitsFor(j) == ""
	if ready == j.enqueued {
		return
	}
	if !ready {
		m.dequeueAll(j)
		return
	}
	j.enqueued = true
	for _, t := range j.tasks {
		m.enqueue(t)
	}
}

func (m *Machine) dequeueAll(j *job) {
	if !j.enqueued {
		return
	}
	j.enqueued = false
	for _, t := range j.tasks {
		m.dequeue(t)
	}
}
