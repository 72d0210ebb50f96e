package state

import apiv1 "github.com/cairnlift/cairnlift/api/v1"

// noIndex is the queueIndex or workerIndex of a task that is not in the respective list.
const noIndex = -1

// task is the record of one task. While it is granted or stopping, its grant counts
// against the capacity of its worker and the quota of its team.
type task struct {
	id      string
	job     *job
	number  int
	state   apiv1.TaskState
	attempt uint64
	worker  *worker
	// lastWorker is the name of the worker of the last attempt.
	lastWorker    string
	grant         Resources
	checkpoint    string
	failures      int32
	evictions     int32
	queuedMs      int64
	grantedMs     int64
	notBeforeMs   int64
	reason        string
	failedWorkers []string
	// queueIndex and workerIndex are the indexes in the team's queue and in the
	// worker's tasks.
	queueIndex  int
	workerIndex int
}

func (t *task) live() bool { return t.worker != nil }

// surplus reports whether the task's number is beyond the number of tasks that the job
// has after a change.
func (t *task) surplus() bool { return t.number >= int(t.job.definition.Tasks) }

// countsAsRemaining reports whether the task must still succeed before its job has
// succeeded.
func (t *task) countsAsRemaining() bool {
	return !t.surplus() && t.state != apiv1.TaskState_TASK_STATE_SUCCEEDED
}

// setState sets a task's state and updates its job's counts.
func (m *Machine) setState(t *task, s apiv1.TaskState) {
	j := t.job
	remained := t.countsAsRemaining()
	j.taskCounts[t.state]--
	t.state = s
	j.taskCounts[s]++
	if t.live() {
		t.worker.changedIndex = m.index
	}
	if remained && !t.countsAsRemaining() {
		j.remaining--
	}
}

// enqueue adds a queued task of a ready job to its team's queue.
func (m *Machine) enqueue(t *task) {
	if t.state != apiv1.TaskState_TASK_STATE_QUEUED || !t.job.enqueued || t.queueIndex != noIndex {
		return
	}
	tm := m.teamOf(t.job)
	t.queueIndex = len(tm.queue)
	tm.queue = append(tm.queue, t)
}

func (m *Machine) dequeue(t *task) {
	if t.queueIndex == noIndex {
		return
	}
	tm := m.teamOf(t.job)
	last := len(tm.queue) - 1
	moved := tm.queue[last]
	tm.queue[t.queueIndex] = moved
	moved.queueIndex = t.queueIndex
	tm.queue[last] = nil
	tm.queue = tm.queue[:last]
	t.queueIndex = noIndex
}

// cancelTask prevents further attempts of a task. A live attempt is to be stopped, and its
// grant counts until it has ended.
func (m *Machine) cancelTask(t *task, reason string) {
	switch t.state {
	case apiv1.TaskState_TASK_STATE_QUEUED:
		m.dequeue(t)
		m.setState(t, apiv1.TaskState_TASK_STATE_CANCELED)
		t.reason = reason
	case apiv1.TaskState_TASK_STATE_GRANTED:
		m.setState(t, apiv1.TaskState_TASK_STATE_STOPPING)
		t.reason = reason
	}
}

// requeueCanceledTask queues a task that was canceled because its job had fewer tasks.
func (m *Machine) requeueCanceledTask(t *task) {
	if t.job.canceled || t.state != apiv1.TaskState_TASK_STATE_CANCELED {
		return
	}
	m.setState(t, apiv1.TaskState_TASK_STATE_QUEUED)
	t.queuedMs = m.timeMs
	t.reason = ""
}

func stateName(s apiv1.TaskState) string {
	switch s {
	case apiv1.TaskState_TASK_STATE_QUEUED:
		return "queued"
	case apiv1.TaskState_TASK_STATE_GRANTED:
		return "granted"
	case apiv1.TaskState_TASK_STATE_STOPPING:
		return "stopping"
	case apiv1.TaskState_TASK_STATE_SUCCEEDED:
		return "succeeded"
	case apiv1.TaskState_TASK_STATE_FAILED:
		return "failed"
	case apiv1.TaskState_TASK_STATE_CANCELED:
		return "canceled"
	}
	return "in an unknown state"
}
