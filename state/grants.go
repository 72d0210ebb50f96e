package state

import (
	"fmt"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// place validates each grant on its own, since the plan was made from a snapshot that
// may be outdated when the plan is applied.
func (m *Machine) place(p *apiv1.Place) *apiv1.Result {
	res := accepted("")
	for _, g := range p.GetGrants() {
		result := m.validateGrant(g)
		if result.Verdict == apiv1.Verdict_VERDICT_ACCEPTED {
			m.grant(m.tasks[g.Task], m.workers[g.Worker], ResourcesOf(g.Resources))
		}
		res.Grants = append(res.Grants, &apiv1.GrantResult{Verdict: result.Verdict, Message: result.Message})
	}
	return res
}

// validateGrant returns whether a grant may be made. It changes no state.
func (m *Machine) validateGrant(g *apiv1.Grant) *apiv1.Result {
	t := m.tasks[g.GetTask()]
	w := m.workers[g.GetWorker()]
	size := ResourcesOf(g.GetResources())
	switch {
	case t == nil:
		return conflict("no such task")
	case w == nil:
		return conflict("no such worker")
	case t.worker == w && t.attempt == g.Attempt && t.grant == size:
		return repeated("this attempt has its grant already")
	case t.state != apiv1.TaskState_TASK_STATE_QUEUED:
		return conflict("the task is " + stateName(t.state))
	case g.Attempt != t.attempt+1:
		return conflict(fmt.Sprintf("the task's last attempt is %d", t.attempt))
	case g.WorkerIncarnation != w.incarnation:
		return conflict(fmt.Sprintf("the worker's incarnation is %d", w.incarnation))
	case w.draining:
		return conflict("the worker is draining")
	case m.callerJobs.Cordoned(w.availabilityZone):
		return conflict("the worker's availability zone is cordoned")
	case size.negative():
		return refused("the grant is negative")
	}
	if why := m.waitsFor(t.job); why != "" {
		return conflict(why)
	}
	if !w.fits(size) {
		return refused("the worker does not have enough free capacity")
	}
	tm := m.teamOf(t.job)
	sum, ok := tm.granted.plus(size)
	if !ok || !sum.withinQuota(tm.quota) {
		return refused(fmt.Sprintf("team %q has used up its quota", t.job.definition.Team))
	}
	return accepted("")
}

// grant starts the task's next attempt and counts its resources at the worker and team.
func (m *Machine) grant(t *task, w *worker, size Resources) {
	if t.live() {
		panic(fmt.Sprintf("state: a task has at most one live attempt: %s is granted while attempt %d is live", t.id, t.attempt))
	}
	m.dequeue(t)
	t.attempt++
	t.lastWorker = w.name
	t.grant = size
	t.grantedMs = m.timeMs
	t.reason = ""
	m.setState(t, apiv1.TaskState_TASK_STATE_GRANTED)
	w.attach(t)
	w.changedIndex = m.index
	tm := m.teamOf(t.job)
	tm.granted = mustPlus(tm.granted, size)
}

// release stops counting the resources of a task whose attempt is known to have ended.
func (m *Machine) release(t *task) {
	t.worker.changedIndex = m.index
	t.worker.detach(t)
	tm := m.teamOf(t.job)
	tm.granted = tm.granted.Minus(t.grant)
	if tm.granted.negative() {
		panic(fmt.Sprintf("state: a team's granted resources are never negative: team %q after %s", t.job.definition.Team, t.id))
	}
	t.grant = Resources{}
}

func (m *Machine) evict(e *apiv1.Evict) *apiv1.Result {
	changed := false
	for _, a := range e.GetTasks() {
		t := m.liveAttempt(a)
		if t == nil || t.state != apiv1.TaskState_TASK_STATE_GRANTED {
			continue
		}
		m.setState(t, apiv1.TaskState_TASK_STATE_STOPPING)
		t.reason = e.Reason
		changed = true
	}
	if !changed {
		return repeated("none of these attempts is granted")
	}
	return accepted("")
}
