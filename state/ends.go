package state

import (
	"fmt"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// maxFailedWorkers bounds the workers remembered per task.
	maxFailedWorkers = 8
	// defaultMaxFailures holds for jobs that declare none.
	defaultMaxFailures = 3
	firstBackoff       = time.Second
	maxBackoff         = 5 * time.Minute
)

// endAttempt releases the attempt and moves the task on: to its final state, back to
// the queue, or to canceled where it must not run again.
func (m *Machine) endAttempt(t *task, next apiv1.TaskState, reason string) {
	m.release(t)
	if next == apiv1.TaskState_TASK_STATE_QUEUED && (t.job.canceled || t.surplus()) {
		next = apiv1.TaskState_TASK_STATE_CANCELED
	}
	m.setState(t, next)
	t.reason = reason
	if next == apiv1.TaskState_TASK_STATE_QUEUED {
		t.queuedMs = m.timeMs
		m.enqueue(t)
	}
	if next == apiv1.TaskState_TASK_STATE_SUCCEEDED && t.job.succeeded() {
		m.requeueWithDependents(t.job)
	}
	m.deleteEndedJob(t.job)
}

// liveAttempt returns the task when exactly this attempt of it is live. Late and
// repeated reports name an attempt that is not, and change nothing.
func (m *Machine) liveAttempt(a *apiv1.TaskAttempt) *task {
	t := m.tasks[a.GetTask()]
	if t == nil || !t.live() || t.attempt != a.GetAttempt() {
		return nil
	}
	return t
}

// recordTasks takes in the ends that a worker reports. An end counts for the
// attempt it names only, and only from the worker that held it.
func (m *Machine) recordTasks(r *apiv1.RecordTasks) *apiv1.Result {
	w := m.workers[r.GetWorker()]
	if w == nil || w.incarnation != r.GetWorkerIncarnation() {
		return conflict("the worker is not known under this incarnation")
	}
	changed := false
	for _, e := range r.GetEnds() {
		if t := m.liveAttempt(e.GetTask()); t != nil && t.worker == w {
			changed = m.recordEnd(t, e) || changed
			continue
		}
		if t := m.tasks[e.GetTask().GetTask()]; t != nil && t.queuedAfterAttempt(e.GetTask().GetAttempt(), w) {
			changed = m.recordLateEnd(t, e) || changed
		}
	}
	if !changed {
		return repeated("none of these attempts is live")
	}
	return accepted("")
}

func (m *Machine) recordEnd(t *task, e *apiv1.TaskEnd) bool {
	if e.GetCheckpoint() != "" {
		t.checkpoint = e.Checkpoint
	}
	switch e.GetKind() {
	case apiv1.EndKind_END_KIND_SUCCEEDED:
		m.endAttempt(t, apiv1.TaskState_TASK_STATE_SUCCEEDED, e.Message)
	case apiv1.EndKind_END_KIND_FAILED:
		m.recordFailure(t, e.Message)
	case apiv1.EndKind_END_KIND_STOPPED:
		m.recordStop(t)
	default:
		return false
	}
	return true
}

// queuedAfterAttempt reports whether the attempt is the task's last, was granted
// to this worker, has been counted as over, and has no successor yet.
func (t *task) queuedAfterAttempt(attempt uint64, w *worker) bool {
	return t.state == apiv1.TaskState_TASK_STATE_QUEUED && t.attempt > 0 &&
		t.attempt == attempt && t.lastWorker == w.name
}

// recordLateEnd takes in the end of an attempt whose lease ran out before its
// worker could report. A success found in time keeps the work from being done
// again, a checkpoint from being done from further back.
func (m *Machine) recordLateEnd(t *task, e *apiv1.TaskEnd) bool {
	checkpoint := e.GetCheckpoint()
	switch {
	case e.GetKind() == apiv1.EndKind_END_KIND_SUCCEEDED:
		m.dequeue(t)
		m.setState(t, apiv1.TaskState_TASK_STATE_SUCCEEDED)
		t.reason = e.Message
		if t.job.succeeded() {
			m.requeueWithDependents(t.job)
		}
		return true
	case checkpoint != "" && checkpoint != t.checkpoint:
		t.checkpoint = checkpoint
		return true
	}
	return false
}

func (m *Machine) recordFailure(t *task, message string) {
	t.failures++
	t.failedWorkers = append(t.failedWorkers, t.worker.name)
	if len(t.failedWorkers) > maxFailedWorkers {
		t.failedWorkers = t.failedWorkers[1:]
	}
	t.notBeforeMs = m.timeMs + backoff(t.failures).Milliseconds()
	limit := t.job.definition.MaxFailures
	if limit <= 0 {
		limit = defaultMaxFailures
	}
	next := apiv1.TaskState_TASK_STATE_QUEUED
	if t.failures >= limit {
		next = apiv1.TaskState_TASK_STATE_FAILED
	}
	m.endAttempt(t, next, message)
}

func (m *Machine) recordStop(t *task) {
	if t.state == apiv1.TaskState_TASK_STATE_STOPPING {
		t.evictions++
	}
	m.endAttempt(t, apiv1.TaskState_TASK_STATE_QUEUED, t.reason)
}

// backoff doubles with each failure, so that a job that fails everywhere does
// not take room from others for nothing.
func backoff(failures int32) time.Duration {
	d := firstBackoff
	for i := int32(1); i < failures && d < maxBackoff; i++ {
		d *= 2
	}
	return min(d, maxBackoff)
}

// expire ends attempts whose leases ran out by the table of the leader that is
// ready; an earlier leader's table says nothing any more.
func (m *Machine) expire(e *apiv1.Expire) *apiv1.Result {
	if e.GetTerm() != m.leaderTerm {
		return conflict(fmt.Sprintf("the leader of term %d is ready", m.leaderTerm))
	}
	m.recordCheckpoints(e.GetCheckpoints())
	changed := false
	for _, a := range e.GetTasks() {
		t := m.liveAttempt(a)
		if t == nil {
			continue
		}
		m.endAttempt(t, apiv1.TaskState_TASK_STATE_QUEUED, "the lease ran out")
		changed = true
	}
	if !changed {
		return repeated("none of these attempts is live")
	}
	return accepted("")
}

// recordCheckpoints notes the last durable checkpoints of attempts that are about
// to end without a report of their own.
func (m *Machine) recordCheckpoints(list []*apiv1.TaskCheckpoint) {
	for _, c := range list {
		t := m.liveAttempt(c.GetTask())
		if t != nil && c.GetCheckpoint() != "" {
			t.checkpoint = c.Checkpoint
		}
	}
}
