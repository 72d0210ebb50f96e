package runs

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// startRetention is how long a start is remembered. A run that has worked for longer did not
// crash its worker at its start.
const startRetention = 10 * time.Second

// callHistory records the results of the last calls of a worker. They bound how long each run had
// worked when the worker crashed.
type callHistory struct {
	starts map[jobqueue.RunID]startRecord
	// lastAnsweredAt is when the worker last answered a call. failedAt is when the first call
	// after that failed at once because no process was listening; zero if none did. A call
	// without any answer proves nothing, since it may have been lost.
	lastAnsweredAt, failedAt time.Time
	// refusedAt is when the first call since the last answer of any kind found no process listening, and
	// refusedUntil when the last one did; zero if none did.
	refusedAt, refusedUntil time.Time
	// brokeOff: the call that failed at failedAt had been sent, so that the worker ran until then.
	brokeOff bool
}

// startRecord is the history of the start of one run. requestedAt is when the start was first
// sent to the worker, zero if a previous agent sent it. confirmedAt is when the worker first
// reported the run as present.
type startRecord struct {
	requestedAt, confirmedAt time.Time
	// maybeSent: a start call may have reached the worker. neverSent: none has reached it so far.
	maybeSent, neverSent bool
	// ended: the worker listed the end of the run.
	ended bool
}

func newCallHistory() callHistory { return callHistory{starts: map[jobqueue.RunID]startRecord{}} }

// recordStartRequest records that a start is about to be sent to the worker.
func (c *callHistory) recordStartRequest(id jobqueue.RunID, now time.Time) {
	for old, s := range c.starts {
		// While the worker gives no answer it may have crashed, so that its runs work no longer.
		if old != id && c.lastAnsweredAt.Sub(s.requestedAt) > startRetention && c.lastAnsweredAt.Sub(s.confirmedAt) > startRetention {
			delete(c.starts, old)
		}
	}
	if s, known := c.starts[id]; !known || s.neverSent {
		c.starts[id] = startRecord{requestedAt: now}
	}
}

// recordStartResult records the result of a call for a start that no previous agent was ordered
// to make.
func (c *callHistory) recordStartResult(id jobqueue.RunID, err error) {
	s := c.starts[id]
	if errors.Is(err, ErrNotSent) && !s.maybeSent {
		s.neverSent = true
	} else {
		s.maybeSent = true
	}
	c.starts[id] = s
}

// neverSent reports whether no start call for a run has reached the worker.
func (c *callHistory) neverSent(id jobqueue.RunID) bool { return c.starts[id].neverSent }

// recordConfirmed records that the worker reported a run as present.
func (c *callHistory) recordConfirmed(id jobqueue.RunID, now time.Time) {
	s := c.starts[id]
	if s.confirmedAt.IsZero() {
		s.confirmedAt = now
		c.starts[id] = s
	}
}

// recordListed records that the worker lists runs, which may have begun by a start without an answer or by that of
// a previous agent. listedBefore are the runs in the status before; of those, ones that are not remembered have
// worked for long.
func (c *callHistory) recordListed(running []*apiv1.RunObservation, listedBefore map[jobqueue.RunID]bool, now time.Time) {
	for _, r := range running {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(r.Task), Number: r.Run}
		if s, known := c.starts[id]; s.confirmedAt.IsZero() && (known || !listedBefore[id]) {
			s.confirmedAt, s.maybeSent, s.neverSent = now, true, false
			c.starts[id] = s
		}
	}
}

// recordEnded records that the worker listed the end of a run.
func (c *callHistory) recordEnded(id jobqueue.RunID) {
	if s, known := c.starts[id]; known {
		s.ended = true
		c.starts[id] = s
	}
}

// isUnanswered reports whether a call got no answer until its deadline, so that it may have been lost.
func isUnanswered(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}

// recordResult records the result of a call.
func (c *callHistory) recordResult(answer Answer, err error, now time.Time) {
	switch {
	case err == nil:
		c.refusedAt, c.refusedUntil = time.Time{}, time.Time{}
	case errors.Is(err, ErrNotListening):
		if c.refusedAt.IsZero() {
			c.refusedAt = now
		}
		c.refusedUntil = now
	}
	switch {
	case err == nil && answer != AnswerOtherIncarnation && answer != AnswerFenced:
		c.lastAnsweredAt, c.failedAt, c.brokeOff = now, time.Time{}, false
	case err != nil && !isUnanswered(err) && c.failedAt.IsZero():
		c.failedAt, c.brokeOff = now, !errors.IsAny(err, ErrNotSent, ErrNotListening)
	}
}

// minRefusedSpan is the time over which calls have to find no process listening, without an answer in
// between, before that shows that the worker has ended: the port of a worker that works on may be closed
// for a moment. It is short because the agent's host may stop 1 s after the worker, and because
// long-running tasks have to run again within 3 s.
const minRefusedSpan = 400 * time.Millisecond

// stoppedListening reports whether calls have found no process listening for minRefusedSpan.
func (c *callHistory) stoppedListening() bool {
	return !c.refusedAt.IsZero() && c.refusedUntil.Sub(c.refusedAt) >= minRefusedSpan
}

// stoppedListening reports whether calls of the worker have found no process listening for minRefusedSpan.
func (s *session) stoppedListening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.callHistory.stoppedListening()
}

// workAtCrash lists the runs that may have begun on a worker that has crashed, with bounds on how
// long they had worked, and the runs that were certainly not there: their start never reached it, or
// it listed their end.
func (c *callHistory) workAtCrash(now time.Time) []*apiv1.RunWork {
	crashed, ranUntil := now, c.lastAnsweredAt
	if !c.failedAt.IsZero() {
		crashed = c.failedAt
	}
	if c.brokeOff {
		ranUntil = c.failedAt
	}
	var list []*apiv1.RunWork
	for id, s := range c.starts {
		if s.neverSent || s.ended {
			list = append(list, &apiv1.RunWork{Task: id.Task.Ref(), Run: id.Number, NeverSent: s.neverSent, Began: s.ended, Ended: s.ended})
			continue
		}
		began := !s.confirmedAt.IsZero()
		if !began && s.requestedAt.After(crashed) {
			continue
		}
		work := &apiv1.RunWork{Task: id.Task.Ref(), Run: id.Number, AtMostMs: jobqueue.UnknownMs, Began: began}
		if began {
			work.WorkedMs = max(0, ranUntil.Sub(s.confirmedAt)).Milliseconds()
		}
		if !s.requestedAt.IsZero() {
			work.AtMostMs = max(0, crashed.Sub(s.requestedAt)).Milliseconds()
		}
		list = append(list, work)
	}
	return list
}

// begunAtEnd lists the runs that are known to have begun on a worker that has ended or has no lease any more.
func (c *callHistory) begunAtEnd(now time.Time) []*apiv1.RunWork {
	return slices.DeleteFunc(c.workAtCrash(now), func(w *apiv1.RunWork) bool { return !w.Began })
}

// recordCall counts a call of the worker and records its result.
func (s *session) recordCall(name string, answer Answer, err error) {
	s.d.countCall(name, answer, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callHistory.recordResult(answer, err, s.d.opts.Now())
}

// crashedAt estimates when a worker that has crashed did so. It returns false if that is not known.
func (c *callHistory) crashedAt() (crashMoment, bool) {
	switch {
	case !c.failedAt.IsZero():
		return crashMoment{at: c.failedAt}, true
	case !c.lastAnsweredAt.IsZero():
		return crashMoment{c.lastAnsweredAt.Add(renewalWait / 2), renewalWait / 2}, true
	}
	return crashMoment{}, false
}

// crashMoment is an estimate of when a worker crashed, and its largest error. A renewal of the lease
// is in progress most of the time: it fails when the worker crashes, unless the host goes down too.
type crashMoment struct {
	at          time.Time
	uncertainty time.Duration
}

// endReport is a report that an incarnation has ended.
type endReport struct {
	request *apiv1.JobsReportRequest
	// crashed is when the incarnation crashed; nil if it did not or if that is not known.
	crashed *crashMoment
}

// requestAt returns the request, which states how long ago the crash was, as of now.
func (r endReport) requestAt(now time.Time) *apiv1.JobsReportRequest {
	request := proto.CloneOf(r.request)
	if r.crashed != nil {
		request.CrashedAgoMs = proto.Int64(now.Sub(r.crashed.at).Milliseconds())
		request.CrashUncertaintyMs = r.crashed.uncertainty.Milliseconds()
	}
	return request
}

// unacknowledgedEnds returns the ends in the last status that the leader has not acknowledged. The caller
// must hold s.mu.
func (s *session) unacknowledgedEnds() []*apiv1.RunEnd {
	return slices.DeleteFunc(slices.Clone(s.status.Ended), func(e *apiv1.RunEnd) bool { return e.Sequence <= s.acknowledged })
}

// endsForGood reports whether an incarnation is proved to have ended and never runs again. The name of one
// without a start time may be that of the worker's next process.
func (s *session) endsForGood(proof endProof) bool {
	return proof != endUnproved && jobqueue.ParseIncarnation(s.incarnation).StartedMs != 0
}

// departureReport returns the report that the incarnation has ended, and ends the session's calls. An
// incarnation that neither drained nor reported its departure has crashed.
func (s *session) departureReport(proof endProof) *endReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != nil {
		if s.endsForGood(proof) && !s.end.request.Ended {
			proved := proto.CloneOf(s.end.request)
			proved.Ended = true
			s.end = &endReport{request: proved, crashed: s.end.crashed}
		}
		return s.end
	}
	s.finished = true
	r := &endReport{request: &apiv1.JobsReportRequest{
		Worker: proto.CloneOf(s.announced.Worker), Departed: true, Ends: s.unacknowledgedEnds(), Refusals: s.startsNotBegun(),
		NoRunBegan: s.noRunBegan(), Ended: s.endsForGood(proof),
	}}
	s.end = r
	if s.announced.Departed || s.announced.Worker.Draining {
		r.request.Worked = s.callHistory.begunAtEnd(s.d.opts.Now())
		return r
	}
	r.request.Crashed, r.request.Worked = true, s.callHistory.workAtCrash(s.d.opts.Now())
	if at, known := s.callHistory.crashedAt(); known {
		r.crashed = &at
	}
	return r
}
