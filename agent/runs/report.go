package runs

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// reportDeparture reports to the leader that the incarnation has ended, once it has, and before that the
// ends of previous ones: there may be no later session that reports these.
func (s *session) reportDeparture(proof endProof) {
	s.d.mu.Lock()
	s.d.recordDeparted(s.incarnation)
	s.d.mu.Unlock()
	event.WorkerLeft.Write(s.d.logger, event.Worker(s.incarnation), event.Replaced(proof == endReplaced))
	s.dropLease()
	if proof == endUnproved {
		proof = s.awaitWorkerEnd()
	}
	s.endCalls()
	end := s.departureReport(proof)
	for s.ctx.Err() == nil {
		err := s.reportPreviousEnds()
		if err == nil {
			err = s.reportEnd(end)
		}
		if err == nil {
			s.endReported = true
			s.d.departures.acknowledge(s.settledDepartures(), s.d.opts.Now())
			return
		}
		s.sleep(retryInterval)
	}
}

// awaitWorkerEnd returns once a worker that reported its departure runs nothing any more: it lists
// nothing when no start can arrive any more, no process has listened in its place for minRefusedSpan,
// another incarnation answers, or its lease has expired. A worker whose departure report was not acknowledged continues
// for seconds, and tasks that the leader recorded as lost meanwhile would run elsewhere as well. A
// call that is refused or lost proves nothing. It returns the proof that the worker has ended, if there
// is one.
func (s *session) awaitWorkerEnd() endProof {
	ctx, cancel := context.WithCancel(s.ctx)
	var acknowledgement conc.WaitGroup
	defer acknowledgement.Wait()
	defer cancel()
	acknowledgement.Go(func() { s.acknowledgeOnAnswer(ctx) })
	for s.ctx.Err() == nil && s.d.lease.untilCheck(s.d.opts.Now()) > 0 {
		s.barAllStarts()
		requested := s.d.opts.Now()
		status, answer, err := s.renew(s.alive, 0)
		switch {
		case s.alive.Err() != nil && s.ctx.Err() == nil:
			return endReplaced // A stop may have been answered by another incarnation.
		case errors.Is(err, ErrNotListening) && s.stoppedListening():
			return endNotListening
		case err == nil && answer == AnswerOtherIncarnation:
			return endReplaced
		case err == nil && answer == AnswerDone:
			s.recordStatus(status, requested, s.d.opts.Now())
			if s.startsSettled() && len(status.Running) == 0 && !status.Partial {
				return endUnproved
			}
		}
		s.sleep(retryInterval)
	}
	return endUnproved
}

// reportPreviousEnds reports to the leader that previous incarnations have ended. The first report of this
// incarnation would imply that too, but the incarnation may end before it.
func (s *session) reportPreviousEnds() error {
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	for _, end := range s.pendingEnds() {
		if err := s.sendEnd(ctx, end); err != nil {
			return err
		}
		s.dropEnds([]*endReport{end})
	}
	return nil
}

func (s *session) reportEnd(end *endReport) error {
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	return s.sendEnd(ctx, end)
}

// pendingEnds returns the reports of the ends of previous incarnations that no leader has acknowledged.
func (s *session) pendingEnds() []*endReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.previousEnds)
}

func (s *session) dropEnds(acknowledged []*endReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previousEnds = slices.DeleteFunc(s.previousEnds, func(e *endReport) bool { return slices.Contains(acknowledged, e) })
}

// addEnd adds the report of the end of a previous incarnation, unless there is one.
func (s *session) addEnd(end *endReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.ContainsFunc(s.previousEnds, func(e *endReport) bool { return e.request.Worker.Id == end.request.Worker.Id }) {
		s.previousEnds = append(s.previousEnds, end)
	}
}

// resetID makes the leader treat the following reports as those of a new session. Only leaseLoop
// calls it.
func (s *session) resetID() {
	s.id, s.reportCount, s.startedMs, s.number = rand.Uint64(), 0, 0, sessionNumber{}
}

// sessionNumber is the order of a session among those of its host: a number that a leader issued,
// and the leader's term.
type sessionNumber struct{ term, number uint64 }

// obtainNumber has the leader issue the session's number, unless it has one. A leader of the previous
// release issues none.
func (s *session) obtainNumber(ctx context.Context) error {
	if s.number.term != 0 {
		return nil
	}
	resp, err := s.d.opts.Leader.HostLease(ctx, s.d.opts.Host)
	if err != nil {
		return err
	}
	s.number = sessionNumber{resp.Term, resp.SessionNumber}
	return nil
}

// resolveIncarnationOrder lists the incarnation that the leader takes for the newest as a
// previous one, and has its end reported if it has a lease. The worker has confirmed the
// incarnation of this session and there is only one worker, so any other that the leader knows
// came before it.
func (s *session) resolveIncarnationOrder(ctx context.Context) {
	counted, err := s.d.opts.Leader.HostLease(ctx, s.d.opts.Host)
	if err != nil {
		return
	}
	if counted.LastLife != "" && counted.LastLife != s.incarnation {
		s.addPreviousIncarnation(counted.LastLife)
	}
	if counted.LeaseWorker != "" && counted.LeaseWorker != s.incarnation {
		s.addPreviousIncarnation(counted.LeaseWorker)
		s.addEnd(&endReport{request: &apiv1.JobsReportRequest{
			Worker: &apiv1.JobWorker{Id: counted.LeaseWorker, Host: s.d.opts.Host}, Departed: true, Crashed: true,
		}})
	}
}

func (s *session) addPreviousIncarnation(incarnation string) {
	if !slices.Contains(s.previousIncarnations, incarnation) {
		s.previousIncarnations = append(s.previousIncarnations, incarnation)
	}
}

// report sends the worker's status to the leader and applies the lease in the response. It
// returns false when no leader accepted the report.
func (s *session) report(status Status, received time.Time) bool {
	a := s.announcement()
	r := &apiv1.JobsReportRequest{
		Worker: a.Worker, Ends: status.Ended, Running: status.Running,
		RemainingMs: a.Remaining.Milliseconds(), Refusals: s.pendingRefusals(),
		Partial: status.Partial, ClockMs: status.ClockMs, CapacityAgeMs: proto.Int64(s.reviewCapacityAge().Milliseconds()),
	}
	ends := s.pendingEnds()
	for _, end := range ends {
		r.PreviousEnds = append(r.PreviousEnds, end.requestAt(s.d.opts.Now()))
	}
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	sent := s.d.opts.Now()
	if a.Worker.Draining && status.ClockMs > 0 {
		r.LeaseBoundMs = s.capLease(status.ClockMs)
	}
	resp, err := s.sendNumbered(ctx, r)
	if err != nil {
		s.d.metrics.reportsLost.Inc(1)
		event.ReportLost.Write(s.d.logger, event.Worker(s.incarnation), event.EndCount(len(r.Ends)),
			event.RunningCount(len(r.Running)), event.Err(err))
		return false
	}
	switch {
	case s.needsNewNumber(resp):
		return false
	case resp.SessionSuperseded:
		event.SessionSuperseded.Write(s.d.logger, event.Worker(s.incarnation))
		s.resetID()
		return false
	case resp.Outcome == apiv1.JobOutcome_JOB_OUTCOME_STALE:
		event.WorkerMisidentified.Write(s.d.logger, event.Worker(s.incarnation))
		s.resolveIncarnationOrder(ctx)
		return false
	}
	s.applyLease(resp, status.ClockMs, received, sent)
	s.dropRefusals(r.Refusals)
	s.dropEnds(ends)
	return true
}

// sendNumbered sends a report under the session's number. A leader accepts only numbers that it
// issued, so the report is sent again under a number of the leader that rejected the first one. The
// report of a proved end may have the number of an earlier leader; leaders of an earlier release reject it.
func (s *session) sendNumbered(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	if err := s.obtainNumber(ctx); err != nil {
		return nil, err
	}
	resp, err := s.send(ctx, r)
	if err != nil || !s.needsNewNumber(resp) {
		return resp, err
	}
	s.number = sessionNumber{}
	if err := s.obtainNumber(ctx); err != nil {
		return nil, err
	}
	return s.send(ctx, r)
}

// needsNewNumber reports whether a report was rejected only because a previous leader issued the
// session's number.
func (s *session) needsNewNumber(resp *apiv1.JobsReportResponse) bool {
	return resp.SessionSuperseded && s.number.number != 0 && resp.Term > s.number.term
}

// errNumberRejected means that the leader changed again while a session obtained its number.
var errNumberRejected = errors.New("leader did not issue the session's number")

// sendEnd sends a report that an incarnation has ended. It is not repeated if a leader rejects it because
// it knows a later session with the worker, which reports the worker's end itself.
func (s *session) sendEnd(ctx context.Context, end *endReport) error {
	resp, err := s.sendNumbered(ctx, end.requestAt(s.d.opts.Now()))
	if err == nil && s.needsNewNumber(resp) {
		return errNumberRejected
	}
	return err
}

// send numbers a report and sends it to the leader. Without the number, the leader would accept a
// report that the network delivers seconds after its sender abandoned it: it would believe
// outdated statements about a worker that has become unresponsive since, or record runs as lost
// that began since.
func (s *session) send(ctx context.Context, r *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	s.reportCount++
	r.Session, r.Sequence, r.SessionBeganMs = s.id, s.reportCount, s.startedMs
	r.SessionTerm, r.SessionNumber = s.number.term, s.number.number
	r.Follows = s.previousIncarnations
	return s.d.opts.Leader.Report(ctx, r)
}

// applyLease records a lease. The lease starts when the report was sent and is converted to a
// reading of the worker's clock: that clock showed clockMs no later than received, and may run
// slower than this host's clock by the bound on its rate error. Without a reading (clockMs is 0)
// the lease cannot be converted; the next report brings another.
func (s *session) applyLease(resp *apiv1.JobsReportResponse, clockMs int64, received, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordTerm(resp.Term)
	s.cordon.record(resp.Term, resp.Cordon)
	s.acknowledged = max(s.acknowledged, resp.Acknowledged)
	if resp.LeaseMs == 0 || clockMs == 0 {
		return
	}
	s.cordon.confirm(sent, clockMs)
	if resp.Epoch > s.epoch && s.barStarts(resp.Epoch) {
		// The leader has recorded these runs as lost. Under a new lease they could still begin.
		return
	}
	left := sent.Sub(received).Milliseconds() + resp.LeaseMs
	s.leaseDeadlineMs = max(s.leaseDeadlineMs, clockMs+left*(ppm-clockRateErrorPPM)/ppm)
	s.epoch = max(s.epoch, resp.Epoch)
	s.endUnleased()
}

func (s *session) pendingRefusals() []*apiv1.RunRefusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.returnedStarts()
}

// returnedStarts returns the runs that are returned to the leader. The caller must hold s.mu.
func (s *session) returnedStarts() []*apiv1.RunRefusal {
	var list []*apiv1.RunRefusal
	for id, reason := range s.refusals {
		list = append(list, &apiv1.RunRefusal{Task: id.Task.Ref(), Run: id.Number, Reason: reason})
	}
	return list
}

func (s *session) dropRefusals(list []*apiv1.RunRefusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range list {
		delete(s.refusals, jobqueue.RunID{Task: jobqueue.TaskIDOf(r.Task), Number: r.Run})
	}
}
