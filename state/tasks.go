package state

import apiv1 "github.com/cairnlift/cairnlift/api/v1"

// noIndex is the queueIndex or workerIndex of a task that is not in that list.
const noIndex = -1

// task is the record of one task. While it is granted or stopping, its grant is
// counted against its worker and its team.
type task struct {
	id      string
	job     *job
	number  int
	state   apiv1.TaskState
	attempt uint64
	worker  *worker
	// lastWorker is where the last attempt was granted.
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
	// queueIndex and workerIndex are positions in the team's queue and in the
	// worker's list.
	queueIndex  int
	workerIndex int
}

func (t *task) live() bool { return t.worker != nil }

// surplus reports whether the job has shrunk below this task.
func (t *task) surplus() bool { return t.number >= int(t.job.definition.Tasks) }

// countsAsRemaining reports whether the task keeps its job from having succeeded.
func (t *task) countsAsRemaining() bool {
	return !t.surplus() && t.state != apiv1.TaskState_TASK_STATE_SUCCEEDED
}

// setState moves a task to a state and keeps its job's counts in step.
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

// cancelTask keeps a task from ever being granted again; a live attempt is to be
// stopped and stays counted until it ended.
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

// requeueCanceledTask queues a task again that was canceled because its job had shrunk.
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
	return "in no known state"
}
