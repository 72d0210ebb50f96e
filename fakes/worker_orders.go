package fakes

import (
	"strings"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/worker"
)

// Start runs an attempt until its deadline.
func (w *Worker) Start(t *apiv1.StartTask, deadline, now time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	task, attempt := t.GetTask().GetTask(), t.GetTask().GetAttempt()
	if r := w.runs[task]; r != nil && r.attempt() == attempt {
		return nil
	}
	if newest := w.newest[task]; attempt <= newest {
		return newRefusal(worker.CodeFenced, "attempt %d of %s is not above %d", attempt, task, newest)
	}
	if r := w.runs[task]; r != nil && r.running() {
		return newRefusal(worker.CodeFenced, "attempt %d of %s still runs", r.attempt(), task)
	}
	if now >= deadline {
		return newRefusal(worker.CodeExpired, "the deadline of %s has passed", task)
	}
	w.startRun(t, deadline, now)
	return nil
}

func (w *Worker) startRun(t *apiv1.StartTask, deadline, now time.Duration) {
	work := time.Duration(float64(t.GetExpectedRunMs())*w.cfg.RunFactor) * time.Millisecond
	r := &run{
		start:        t,
		deadline:     deadline,
		work:         work,
		progress:     progressOf(t.GetCheckpoint()),
		progressTime: now,
		share:        fullShare,
		checkpoint:   t.GetCheckpoint(),
		phase:        apiv1.TaskPhase_TASK_PHASE_RUNNING,
	}
	w.runs[r.task()] = r
	w.newest[r.task()] = r.attempt()
	w.recordEvent(RunEvent{
		Kind: EventStart, At: now, Task: r.task(), Attempt: r.attempt(), Deadline: deadline,
		Checkpoint: r.checkpoint, Grant: amountOf(t.GetGrant()),
	})
	if w.cfg.FailEverything {
		w.end(r, apiv1.TaskPhase_TASK_PHASE_FAILED, now, EndReasonFailed)
	}
}

// progressOf reads the work done from a checkpoint's name; none is no work.
func progressOf(checkpoint string) time.Duration {
	d, err := time.ParseDuration(checkpoint[strings.LastIndex(checkpoint, "+")+1:])
	if err != nil {
		return 0
	}
	return d
}

// Renew moves deadlines forward; attempts that don't run are passed over.
func (w *Worker) Renew(tasks []*apiv1.TaskAttempt, deadline, now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for _, t := range tasks {
		r, err := w.find(t)
		if err != nil || deadline <= r.deadline {
			continue
		}
		r.deadline = deadline
		w.recordEvent(RunEvent{Kind: EventRenew, At: now, Task: r.task(), Attempt: r.attempt(), Deadline: deadline})
	}
}

// find returns the running attempt.
func (w *Worker) find(t *apiv1.TaskAttempt) (*run, error) {
	r := w.runs[t.GetTask()]
	if r == nil || r.attempt() != t.GetAttempt() || !r.running() {
		return nil, newRefusal(worker.CodeNotRunning, "attempt %d of %s does not run", t.GetAttempt(), t.GetTask())
	}
	return r, nil
}

// Throttle slows a task down to a share of its grant.
func (w *Worker) Throttle(t *apiv1.ThrottleTask, now time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	r, err := w.find(t.GetTask())
	if err != nil {
		return err
	}
	r.share = min(max(int64(t.GetShareMilli()), 0), fullShare)
	w.recordEvent(RunEvent{Kind: EventThrottle, At: now, Task: r.task(), Attempt: r.attempt(), ShareMilli: r.share})
	return nil
}

// Checkpoint stores a task's progress and returns the checkpoint's name.
func (w *Worker) Checkpoint(t *apiv1.TaskAttempt, now time.Duration) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	r, err := w.find(t)
	if err != nil {
		return "", err
	}
	r.checkpoint = checkpointName(r)
	w.recordEvent(RunEvent{Kind: EventCheckpoint, At: now, Task: r.task(), Attempt: r.attempt(), Checkpoint: r.checkpoint})
	return r.checkpoint, nil
}

// Stop ends an attempt. Ending one that has ended changes nothing.
func (w *Worker) Stop(t *apiv1.TaskAttempt, now time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	r := w.runs[t.GetTask()]
	if r == nil || r.attempt() != t.GetAttempt() {
		_, err := w.find(t)
		return err
	}
	if r.running() {
		w.end(r, apiv1.TaskPhase_TASK_PHASE_STOPPED, now, EndReasonStopped)
	}
	return nil
}

// Forget drops ended attempts. Their numbers stay fenced.
func (w *Worker) Forget(tasks []*apiv1.TaskAttempt) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range tasks {
		r := w.runs[t.GetTask()]
		if r != nil && r.attempt() == t.GetAttempt() && !r.running() {
			delete(w.runs, t.GetTask())
		}
	}
}
