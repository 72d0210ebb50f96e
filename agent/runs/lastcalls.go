package runs

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// startRetention is how long a start is remembered: a run that has worked for longer is not
// what its worker crashed of at its start.
const startRetention = 10 * time.Second

// callHistory is what an agent knows of the last calls of a worker. From it follows how long
// each run had worked when the worker crashed.
type callHistory struct {
	starts map[jobqueue.RunID]startRecord
	// lastAnsweredAt is when the worker last answered a call, and failedAt when the first call after
	// that failed at once, since nobody was there; zero while none did. A call without any answer
	// says nothing: it may have been lost.
	lastAnsweredAt, failedAt time.Time
}

// startRecord is what is known of the start of a run. requestedAt is when the worker was first asked for
// it, zero if an agent before this one did, and confirmedAt when it first said that the run is there.
type startRecord struct {
	requestedAt, confirmedAt time.Time
	// maybeSent: a call for it may have reached the worker. unsent: none has, so far.
	maybeSent, neverSent bool
}

func newCallHistory() callHistory { return callHistory{starts: map[jobqueue.RunID]startRecord{}} }

// recordStartRequest notes that the worker is asked to start a run.
func (c *callHistory) recordStartRequest(id jobqueue.RunID, now time.Time) {
	for old, s := range c.starts {
		if old != id && now.Sub(s.requestedAt) > startRetention && now.Sub(s.confirmedAt) > startRetention {
			delete(c.starts, old)
		}
	}
	if s, asked := c.starts[id]; !asked || s.neverSent {
		c.starts[id] = startRecord{requestedAt: now}
	}
}

// recordStartResult takes in the outcome of a call for a start that this agent was the first to be ordered.
func (c *callHistory) recordStartResult(id jobqueue.RunID, err error) {
	s := c.starts[id]
	if errors.Is(err, ErrNotSent) && !s.maybeSent {
		s.neverSent = true
	} else {
		s.maybeSent = true
	}
	c.starts[id] = s
}

// recordConfirmed notes that the worker said that a run is there.
func (c *callHistory) recordConfirmed(id jobqueue.RunID, now time.Time) {
	s := c.starts[id]
	if s.confirmedAt.IsZero() {
		s.confirmedAt = now
		c.starts[id] = s
	}
}

// recordListedRuns notes the runs that the worker lists at first: an agent before this one had them
// started.
func (s *session) recordListedRuns(status Status, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range status.Running {
		s.callHistory.recordConfirmed(jobqueue.RunID{Task: jobqueue.TaskIDOf(r.Task), Number: r.Run}, now)
	}
}

// recordResult takes in the outcome of a call.
func (c *callHistory) recordResult(answer Answer, err error, now time.Time) {
	unanswered := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
	switch {
	case err == nil && answer != AnswerOtherIncarnation && answer != AnswerFenced:
		c.lastAnsweredAt, c.failedAt = now, time.Time{}
	case err != nil && !unanswered && c.failedAt.IsZero():
		c.failedAt = now
	}
}

// workAtCrash lists the runs that may have begun on a worker that is known to have crashed by now, with
// bounds on how long they had worked, and those of which it never heard.
func (c *callHistory) workAtCrash(now time.Time) []*apiv1.RunWork {
	crashed := now
	if !c.failedAt.IsZero() {
		crashed = c.failedAt
	}
	var list []*apiv1.RunWork
	for id, s := range c.starts {
		if s.neverSent {
			list = append(list, &apiv1.RunWork{Task: id.Task.Ref(), Run: id.Number, NeverSent: true})
			continue
		}
		began := !s.confirmedAt.IsZero()
		if !began && s.requestedAt.After(crashed) {
			continue
		}
		work := &apiv1.RunWork{Task: id.Task.Ref(), Run: id.Number, AtMostMs: jobqueue.UnknownMs, Began: began}
		if began {
			work.WorkedMs = max(0, c.lastAnsweredAt.Sub(s.confirmedAt)).Milliseconds()
		}
		if !s.requestedAt.IsZero() {
			work.AtMostMs = max(0, crashed.Sub(s.requestedAt)).Milliseconds()
		}
		list = append(list, work)
	}
	return list
}

// recordCall counts a call of the worker and takes in whether the worker answered it.
func (s *session) recordCall(name string, answer Answer, err error) {
	s.d.countCall(name, answer, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callHistory.recordResult(answer, err, s.d.opts.Now())
}

// departureReport is the report that the incarnation is gone. One that neither drained nor said that
// it ends has crashed.
func (s *session) departureReport() *apiv1.JobsReportRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &apiv1.JobsReportRequest{Worker: s.announced.Worker, Departed: true}
	if !s.announced.Departed && !s.announced.Worker.Draining {
		r.Crashed, r.Worked = true, s.callHistory.workAtCrash(s.d.opts.Now())
	}
	return r
}
