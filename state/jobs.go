package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// taskStateCount is one above the largest apiv1.TaskState.
const taskStateCount = int(apiv1.TaskState_TASK_STATE_CANCELED) + 1

// job is the record of a job from the configuration version that added it until it is
// removed and its last attempt has ended. If the name is declared again later, it is a
// new job with its own task ids, so that attempt numbers, which are the fencing tokens,
// never restart under a task id that a worker has seen.
//
// A changed definition applies to attempts granted after the change; live ones keep their
// grants. If the number of tasks grows, the new ones are queued. If it shrinks, surplus
// tasks are canceled, and queued again from their checkpoints if it grows again. A
// canceled job stays canceled until it is removed from the configuration.
type job struct {
	id             string
	definition     *apiv1.Job
	createdVersion uint64
	createdMs      int64
	canceled       bool
	removed        bool
	parkedReason   string
	tasks          []*task
	taskCounts     [taskStateCount]int
	// remaining counts the tasks of the definition that have not succeeded.
	remaining int
	// enqueued reports whether its queued tasks are in the team's queue.
	enqueued bool
}

func jobID(name string, version uint64) string { return fmt.Sprintf("%s@%d", name, version) }

func taskID(jobID string, number int) string { return fmt.Sprintf("%s/%d", jobID, number) }

func (j *job) live() int {
	return j.taskCounts[apiv1.TaskState_TASK_STATE_GRANTED] + j.taskCounts[apiv1.TaskState_TASK_STATE_STOPPING]
}

// succeeded reports whether every task of the job has succeeded.
func (j *job) succeeded() bool { return j.remaining == 0 }

func (j *job) countRemaining() {
	j.remaining = 0
	for _, t := range j.tasks {
		if t.countsAsRemaining() {
			j.remaining++
		}
	}
}

func (m *Machine) addJob(d *apiv1.Job) {
	j := &job{
		id:             jobID(d.Name, m.configuration.Version),
		definition:     d,
		createdVersion: m.configuration.Version,
		createdMs:      m.timeMs,
	}
	m.jobs[d.Name] = j
	m.linkDependencies(j)
	m.addTasks(j)
}

func (m *Machine) addTasks(j *job) {
	for n := len(j.tasks); n < int(j.definition.Tasks); n++ {
		t := &task{
			id:          taskID(j.id, n),
			job:         j,
			number:      n,
			state:       apiv1.TaskState_TASK_STATE_QUEUED,
			queuedMs:    m.timeMs,
			queueIndex:  noIndex,
			workerIndex: noIndex,
		}
		j.tasks = append(j.tasks, t)
		j.taskCounts[t.state]++
		m.tasks[t.id] = t
	}
	j.countRemaining()
}

func (m *Machine) changeJob(j *job, d *apiv1.Job) {
	if proto.Equal(j.definition, d) {
		j.definition = d
		return
	}
	m.dequeueAll(j)
	m.unlinkDependencies(j)
	m.moveGrantsToTeam(j, d.Team)
	if ResourcesOf(j.definition.Size) != ResourcesOf(d.Size) {
		// The job was parked because of its previous size.
		j.parkedReason = ""
	}
	j.definition = d
	m.linkDependencies(j)
	m.addTasks(j)
	for _, t := range j.tasks {
		switch {
		case j.canceled:
			m.cancelTask(t, "the job is canceled")
		case t.surplus():
			m.cancelTask(t, "the job has fewer tasks now")
		default:
			m.requeueCanceledTask(t)
		}
	}
	m.requeueWithDependents(j)
}

// removeJob cancels a job that is no longer in the configuration. Its record is deleted
// at once, or when its last attempt ends.
func (m *Machine) removeJob(j *job) {
	m.cancelJob(j, "removed from the configuration")
	m.unlinkDependencies(j)
	j.removed = true
	delete(m.jobs, j.definition.Name)
	m.removedJobs[j.id] = j
	m.removedCount[j.definition.Name]++
	m.deleteEndedJob(j)
}

// deleteEndedJob deletes a removed job if none of its attempts is live.
func (m *Machine) deleteEndedJob(j *job) {
	if !j.removed || j.live() > 0 {
		return
	}
	for _, t := range j.tasks {
		delete(m.tasks, t.id)
	}
	delete(m.removedJobs, j.id)
	name := j.definition.Name
	m.removedCount[name]--
	if m.removedCount[name] > 0 {
		return
	}
	delete(m.removedCount, name)
	if next := m.jobs[name]; next != nil {
		m.requeue(next)
	}
}

func (m *Machine) cancelJob(j *job, reason string) {
	if j.canceled {
		return
	}
	m.dequeueAll(j)
	j.canceled = true
	for _, t := range j.tasks {
		m.cancelTask(t, reason)
	}
}

func (m *Machine) cancel(c *apiv1.Cancel) *apiv1.Result {
	changed := false
	for _, name := range c.GetJobs() {
		j := m.jobs[name]
		if j == nil || j.canceled {
			continue
		}
		m.cancelJob(j, cancelReason(c))
		changed = true
	}
	if !changed {
		return repeated("each of these jobs is unknown or canceled already")
	}
	return accepted("")
}

func cancelReason(c *apiv1.Cancel) string {
	if c.Reason == "" {
		return "canceled by " + c.Operator
	}
	return fmt.Sprintf("canceled by %s: %s", c.Operator, c.Reason)
}

// park excludes the queued tasks of jobs from planning for a reason, or includes them
// again.
func (m *Machine) park(p *apiv1.Park) *apiv1.Result {
	reason := p.GetReason()
	if p.GetWake() {
		reason = ""
	} else if reason == "" {
		return refused("parking needs a reason")
	}
	changed := false
	for _, name := range p.GetJobs() {
		j := m.jobs[name]
		if j == nil || j.parkedReason == reason {
			continue
		}
		j.parkedReason = reason
		m.requeue(j)
		changed = true
	}
	if !changed {
		return repeated("")
	}
	return accepted("")
}
