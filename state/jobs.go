package state

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// taskStateCount is one above the largest apiv1.TaskState.
const taskStateCount = int(apiv1.TaskState_TASK_STATE_CANCELED) + 1

// job is one life of a job: from the configuration that brought it until the one
// that dropped it, and on until its last attempt has ended. A name that returns
// later starts a new life with task ids of its own, so that attempt numbers, the
// fencing tokens, never start over under an id that a worker has seen.
//
// A changed definition applies to attempts granted from then on; live ones keep
// the room they were granted. More tasks are added as queued; surplus ones are
// canceled, and queued again from their checkpoint when the number grows back.
// A job that was canceled stays so until it leaves the configuration.
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
	// remaining counts the tasks that the definition asks for and that have not
	// succeeded.
	remaining int
	// enqueued: its queued tasks are in the team's queue.
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
		// It was parked for what it asked for until now.
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

// removeJob cancels a job that left the configuration and forgets it, at once
// or when its last attempt ends.
func (m *Machine) removeJob(j *job) {
	m.cancelJob(j, "removed from the configuration")
	m.unlinkDependencies(j)
	j.removed = true
	delete(m.jobs, j.definition.Name)
	m.removedJobs[j.id] = j
	m.removedCount[j.definition.Name]++
	m.deleteEndedJob(j)
}

// deleteEndedJob drops a removed job once nothing of it is live.
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
		return repeated("no job of these names is there to be canceled")
	}
	return accepted("")
}

func cancelReason(c *apiv1.Cancel) string {
	if c.Reason == "" {
		return "canceled by " + c.Operator
	}
	return fmt.Sprintf("canceled by %s: %s", c.Operator, c.Reason)
}

// park keeps the queued tasks of jobs out of planning for a reason, or ends that.
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
