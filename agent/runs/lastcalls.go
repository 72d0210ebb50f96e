package runs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// rememberStarts is how long a start is remembered: a run that has worked for longer is not
// what its worker crashed of at its start.
const rememberStarts = 10 * time.Second

// lastCalls is what an agent knows of the last calls of a worker. From it follows how long
// each run had worked when the worker crashed.
type lastCalls struct {
	starts map[jobqueue.RunID]startCalls
	// answeredAt is when the worker last answered a call, and brokenAt when the first call after
	// that failed at once, since nobody was there; zero while none did. A call without any answer
	// says nothing: it may have been lost.
	answeredAt, brokenAt time.Time
}

// startCalls is what is known of the start of a run. askedAt is when the worker was first asked for
// it, zero if an agent before this one did, and begunAt when it first said that the run is there.
type startCalls struct {
	askedAt, begunAt time.Time
	// maybeSent: a call for it may have reached the worker. unsent: none has, so far.
	maybeSent, unsent bool
}

func newLastCalls() lastCalls { return lastCalls{starts: map[jobqueue.RunID]startCalls{}} }

// ask notes that the worker is asked to start a run.
func (c *lastCalls) ask(id jobqueue.RunID, now time.Time) {
	for old, s := range c.starts {
		if old != id && now.Sub(s.askedAt) > rememberStarts && now.Sub(s.begunAt) > rememberStarts {
			delete(c.starts, old)
		}
	}
	if s, asked := c.starts[id]; !asked || s.unsent {
		c.starts[id] = startCalls{askedAt: now}
	}
}

// asked takes in the outcome of a call for a start that this agent was the first to be ordered.
func (c *lastCalls) asked(id jobqueue.RunID, err error) {
	s := c.starts[id]
	if errors.Is(err, ErrNotSent) && !s.maybeSent {
		s.unsent = true
	} else {
		s.maybeSent = true
	}
	c.starts[id] = s
}

// begun notes that the worker said that a run is there.
func (c *lastCalls) begun(id jobqueue.RunID, now time.Time) {
	s := c.starts[id]
	if s.begunAt.IsZero() {
		s.begunAt = now
		c.starts[id] = s
	}
}

// noteFound notes the runs that the worker lists at first: an agent before this one had them
// started.
func (s *session) noteFound(status Status, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range status.Running {
		s.lastCalls.begun(jobqueue.RunID{Task: jobqueue.TaskIDOf(r.Task), Number: r.Run}, now)
	}
}

// note takes in the outcome of a call.
func (c *lastCalls) note(answer Answer, err error, now time.Time) {
	unanswered := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	switch {
	case err == nil && answer != AnswerOther && answer != AnswerFenced:
		c.answeredAt, c.brokenAt = now, time.Time{}
	case err != nil && !unanswered && c.brokenAt.IsZero():
		c.brokenAt = now
	}
}

// worked lists the runs that may have begun on a worker that is known to have crashed by now, with
// bounds on how long they had worked, and those of which it never heard.
func (c *lastCalls) worked(now time.Time) []*apiv1.RunWork {
	crashed := now
	if !c.brokenAt.IsZero() {
		crashed = c.brokenAt
	}
	var list []*apiv1.RunWork
	for id, s := range c.starts {
		if s.unsent {
			list = append(list, &apiv1.RunWork{Task: id.Task.Ref(), Run: id.Number, NeverSent: true})
			continue
		}
		began := !s.begunAt.IsZero()
		if !began && s.askedAt.After(crashed) {
			continue
		}
		work := &apiv1.RunWork{Task: id.Task.Ref(), Run: id.Number, AtMostMs: jobqueue.UnknownMs, Began: began}
		if began {
			work.WorkedMs = max(0, c.answeredAt.Sub(s.begunAt)).Milliseconds()
		}
		if !s.askedAt.IsZero() {
			work.AtMostMs = max(0, crashed.Sub(s.askedAt)).Milliseconds()
		}
		list = append(list, work)
	}
	return list
}

// noteCall counts a call of the worker and takes in whether the worker answered it.
func (s *session) noteCall(name string, answer Answer, err error) {
	s.d.countCall(name, answer, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCalls.note(answer, err, s.d.opts.Now())
}

// endReport is the report that the incarnation is gone. One that neither drained nor said that
// it ends has crashed.
func (s *session) endReport() *apiv1.JobsReportRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &apiv1.JobsReportRequest{Worker: s.announced.Worker, Departed: true}
	if !s.announced.Departed && !s.announced.Worker.Draining {
		r.Crashed, r.Worked = true, s.lastCalls.worked(s.d.opts.Now())
	}
	return r
}
