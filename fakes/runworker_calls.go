package fakes

import (
	"context"
	"time"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// call executes a call, or loses, delays or refuses it according to Fault. An error means that
// the call is not answered.
func (w *RunWorker) call(ctx context.Context, name string, f func() runs.Answer) (runs.Answer, error) {
	var fault OrderFault
	if w.Fault != nil {
		fault = w.Fault(name)
	}
	if fault.Refused && !w.hasCrashed() {
		return runs.AnswerUnhealthy, nil
	}
	calledAt := time.Now()
	execute := func() runs.Answer {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance()
		w.calledAt = calledAt
		return f()
	}
	if fault.Late > 0 {
		time.AfterFunc(fault.Late, func() { execute() })
	}
	if fault.Late > 0 && fault.Repeated {
		execute()
	}
	if fault.Lost || fault.Late > 0 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return execute(), nil
}

func (w *RunWorker) hasCrashed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashed
}

// check refuses calls for another incarnation or under an old term. The caller must hold
// w.mu.
func (w *RunWorker) check(o runs.Order) runs.Answer {
	switch {
	case w.crashed || o.Incarnation != w.Spec.Id:
		return runs.AnswerOtherIncarnation
	case o.Term < w.term:
		return runs.AnswerFenced
	}
	w.term = o.Term
	return runs.AnswerDone
}

// Start implements runs.Worker.
func (w *RunWorker) Start(ctx context.Context, o runs.Order, s runs.Start) (runs.Answer, error) {
	return w.call(ctx, "start", func() runs.Answer { return w.start(o, s) })
}

func (w *RunWorker) start(o runs.Order, s runs.Start) runs.Answer {
	if a := w.check(o); a != runs.AnswerDone {
		return a
	}
	if w.isLate(s) {
		return runs.AnswerDeadlinePassed
	}
	w.deadlineMs = max(w.deadlineMs, w.limitDeadline(s.DeadlineMs))
	task := s.Run.Task
	if r := w.running[task]; r != nil && r.id == s.Run {
		return runs.AnswerDone
	}
	if s.Run.Number <= w.newestRun[task] || w.running[task] != nil {
		return runs.AnswerEnded
	}
	if w.Advisor != nil && !w.Advisor.Valid(s.Run.Task.StepID(), w.Spec.Id, s.Ticket) {
		return runs.AnswerNoTicket
	}
	if w.GuardsCapacity && !w.hasCapacityFor(task) {
		return runs.AnswerNoCapacity
	}
	r := &workerRun{id: s.Run, startedAt: time.Now(), checkpoint: s.Checkpoint, work: w.workOf(s), pace: fullPercent}
	w.running[task] = r
	if !w.registered {
		w.registered = true
		w.Checker.addWorker(w)
	}
	w.Checker.checkStart(w, s.Run)
	if r.work.CrashAfter > 0 {
		time.AfterFunc(r.work.CrashAfter, func() { w.crashFrom(r) })
	}
	if w.Observer != nil {
		w.Observer.RunBegan(r.id, r.startedAt)
	}
	return runs.AnswerDone
}

// isLate reports whether a start arrives too late to be executed. The caller must hold w.mu.
func (w *RunWorker) isLate(s runs.Start) bool {
	deadline := s.DeadlineMs
	if w.LeaseDecidesDeadline {
		deadline = max(deadline, w.deadlineMs)
	}
	return deadline <= w.clockMs(time.Now())
}

// Stop implements runs.Worker.
func (w *RunWorker) Stop(ctx context.Context, o runs.Order, run jobqueue.RunID) (runs.Answer, error) {
	return w.call(ctx, "stop", func() runs.Answer { return w.stop(o, run) })
}

func (w *RunWorker) stop(o runs.Order, run jobqueue.RunID) runs.Answer {
	if a := w.check(o); a != runs.AnswerDone {
		return a
	}
	w.newestRun[run.Task] = max(w.newestRun[run.Task], run.Number)
	r := w.running[run.Task]
	switch {
	case r == nil || r.id.Number > run.Number:
	case w.StopTime != nil:
		if r.stopsAt.IsZero() {
			r.stopsAt = time.Now().Add(w.StopTime())
			time.AfterFunc(time.Until(r.stopsAt), w.endStopped)
		}
	default:
		w.end(run.Task, r, apiv1.RunEndKind_RUN_END_KIND_STOPPED, time.Now())
	}
	return runs.AnswerDone
}

// endStopped ends the runs whose stop has taken effect.
func (w *RunWorker) endStopped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
}

// Pace implements runs.Worker.
func (w *RunWorker) Pace(ctx context.Context, o runs.Order, run jobqueue.RunID, percent uint32) (runs.Answer, error) {
	return w.call(ctx, "pace", func() runs.Answer { return w.setPace(o, run, percent) })
}

func (w *RunWorker) setPace(o runs.Order, run jobqueue.RunID, percent uint32) runs.Answer {
	if a := w.check(o); a != runs.AnswerDone {
		return a
	}
	if r := w.running[run.Task]; r != nil && r.id == run {
		r.pace = percent
	}
	return runs.AnswerDone
}

// Renew implements runs.Worker.
func (w *RunWorker) Renew(ctx context.Context, o runs.Order, r runs.Renewal) (runs.Status, runs.Answer, error) {
	var status runs.Status
	var ended <-chan struct{}
	answer, err := w.call(ctx, "renew", func() runs.Answer {
		answer := w.renew(o, r)
		status, ended = w.status(), w.endSignal
		return answer
	})
	if err != nil {
		return runs.Status{}, 0, err
	}
	if answer != runs.AnswerDone || len(status.Ended) > 0 || r.Wait == 0 {
		return status, answer, nil
	}
	timer := time.NewTimer(min(r.Wait, w.untilNextEnd()))
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
	case <-ctx.Done():
		return status, 0, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.crashed {
		return status, runs.AnswerOtherIncarnation, nil
	}
	return w.status(), answer, nil
}

// untilNextEnd returns the time until the next run finishes its work.
func (w *RunWorker) untilNextEnd() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := time.Hour
	for _, r := range w.running {
		if r.work.Duration > 0 {
			next = min(next, max(time.Millisecond, time.Until(r.startedAt.Add(r.work.Duration))))
		}
	}
	return next
}

func (w *RunWorker) renew(o runs.Order, r runs.Renewal) runs.Answer {
	if a := w.check(o); a != runs.AnswerDone {
		return a
	}
	if r.DeadlineMs > w.clockMs(time.Now()) {
		w.deadlineMs = max(w.deadlineMs, w.limitDeadline(r.DeadlineMs))
	}
	w.cursor = max(w.cursor, r.Acknowledged)
	for len(w.ended) > 0 && w.ended[0].Sequence <= w.cursor {
		w.reportAcknowledgedEnd(w.ended[0])
		w.ended = w.ended[1:]
	}
	return runs.AnswerDone
}

// reportAcknowledgedEnd reports an acknowledged end to the checker, except one that
// precedes the expiry of the lease: the leader then had already declared the run lost.
func (w *RunWorker) reportAcknowledgedEnd(e *apiv1.RunEnd) {
	at := w.endedAt[e.Sequence]
	if e.Kind == apiv1.RunEndKind_RUN_END_KIND_DONE && !w.expiredAt.After(at) {
		w.Checker.recordAcknowledgedEnd(jobqueue.TaskIDOf(e.Task), at)
	}
}

func (w *RunWorker) status() runs.Status {
	listed := w.ended[:min(len(w.ended), maxListedEnds)]
	s := runs.Status{ClockMs: w.clockMs(time.Now()), Ended: append([]*apiv1.RunEnd(nil), listed...)}
	for task, r := range w.running {
		s.Running = append(s.Running, &apiv1.RunObservation{
			Task: task.Ref(), Run: r.id.Number, Percent: r.percent(), Checkpoint: r.lastCheckpoint(),
		})
	}
	return s
}
