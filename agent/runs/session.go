package runs

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// session manages one incarnation of the worker.
type session struct {
	d           *Driver
	incarnation string
	ctx         context.Context
	cancel      context.CancelFunc
	// alive ends when another incarnation of the worker has answered in place of this one, or the
	// worker has reported its departure.
	alive    context.Context
	endAlive context.CancelFunc
	// unleased ends when the session gets its first lease.
	unleased    context.Context
	endUnleased context.CancelFunc
	startSlots  chan struct{}
	// reportRequested makes leaseLoop report without waiting for a run to end.
	reportRequested chan struct{}
	// calls are the calls of the worker in progress. They are started with mu held.
	calls conc.WaitGroup
	// id distinguishes the session from others of the same worker, and reportCount counts the
	// reports sent to the leader under it. Only leaseLoop sends reports.
	id, reportCount uint64
	// startedMs is the reading of the worker's clock at its first answer under the current id.
	startedMs int64
	// number orders the sessions of the host's agents; zero until a leader has issued it.
	number sessionNumber
	// unreadableEnd is the first end that can't be read in the last status. Only leaseLoop uses it.
	unreadableEnd unreadableEnd
	// endReported: a leader has acknowledged the report that the incarnation has ended. Only leaseLoop
	// sets it; it is read once the session has ended.
	endReported bool
	// admitted: the worker may be reported to the leader. Only leaseLoop uses it.
	admitted bool
	// notRenewedLoggedAt is when a failed renewal of the lease was last logged. Only leaseLoop
	// uses it.
	notRenewedLoggedAt time.Time
	// previousIncarnations are the incarnations of the worker before this one. Only leaseLoop
	// uses it once the session runs.
	previousIncarnations []string

	mu sync.Mutex
	// previousEnds are the reports that previous incarnations have ended, oldest first, kept until a
	// leader has acknowledged them. end is that of this incarnation; nil until it has ended.
	previousEnds []*endReport
	end          *endReport
	announced    Announcement
	// announcedAt is when the first announcement with this sequence number arrived.
	announcedAt time.Time
	// finished is set at the end of the session. No call is started after that.
	finished bool
	term     uint64
	// epoch is that of the lease; see order.epoch.
	epoch uint64
	// leaseDeadlineMs is the end of the leader's lease, as a reading of the worker's clock; 0
	// when there is no lease.
	leaseDeadlineMs int64
	// status is the last status that the worker reported.
	status Status
	// clock is the last reading of the worker's clock.
	clock        clockReading
	acknowledged uint64
	orders       map[jobqueue.RunID]*order
	// orderedBefore are the starts in the first orders of the session, which a previous agent may have
	// received too; nil before.
	orderedBefore  map[jobqueue.RunID]bool
	refusals       map[jobqueue.RunID]string
	reservations   reservations
	cordon         cordonState
	callHistory    callHistory
	startsInFlight startsInFlight
	// previousCallsSettled: the status shows all starts that a previous agent sent.
	previousCallsSettled bool
	// runsPresent are the runs that the last complete status listed, as running or ended, and those that
	// may have begun since. allRunsKnown: there was such a status after the calls of a previous agent
	// were settled.
	runsPresent  map[jobqueue.RunID]bool
	allRunsKnown bool
	// anyStartSent: a start call was made.
	anyStartSent bool
}

// matchesWithoutStartTime reports whether a name is that of the session's worker without its
// start time.
func (s *session) matchesWithoutStartTime(incarnation string) bool {
	return incarnation == jobqueue.ParseIncarnation(s.incarnation).WorkerID
}

func incarnationOf(s *session) string {
	if s == nil {
		return ""
	}
	return s.incarnation
}

func (d *Driver) newSession(a Announcement) *session {
	ctx, cancel := context.WithCancel(context.Background())
	alive, endAlive := context.WithCancel(ctx)
	unleased, endUnleased := context.WithCancel(ctx)
	return &session{
		d: d, incarnation: a.Worker.Id, ctx: ctx, cancel: cancel, alive: alive, endAlive: endAlive,
		unleased: unleased, endUnleased: endUnleased,
		announced: a, announcedAt: d.opts.Now(), id: rand.Uint64(), term: d.term.Load(),
		startSlots: make(chan struct{}, maxConcurrentStarts), reportRequested: make(chan struct{}, 1),
		orders: map[jobqueue.RunID]*order{}, refusals: map[jobqueue.RunID]string{}, callHistory: newCallHistory(),
		startsInFlight: startsInFlight{}, reservations: newReservations(), runsPresent: map[jobqueue.RunID]bool{},
	}
}

// run serves the incarnation until it has ended.
func (s *session) run() {
	var loops conc.WaitGroup
	loops.Go(s.leaseLoop)
	loops.Go(s.ordersLoop)
	loops.Wait()
	s.cancel()
	s.mu.Lock()
	s.finished = true
	s.mu.Unlock()
	s.calls.Wait()
}

// endCalls prevents further calls of the worker. If the worker has not ended yet, a start sent
// while the leader records its runs as lost would run in parallel with the one elsewhere.
func (s *session) endCalls() {
	s.mu.Lock()
	s.finished = true
	s.mu.Unlock()
	s.endAlive()
}

// placement returns where the incarnation is believed to be.
func (s *session) placement() *placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.announced.placement()
	return &p
}

// updateAnnouncement records a further announcement of the incarnation. It refuses one that names another pool
// or availability zone and is not believed, because an incarnation stays in both: otherwise an announcement
// forged by another program would take a healthy worker out of use, or its starts past a cordon. Another
// placement that is believed replaces that of an earlier announcement, which then was not the worker's.
func (s *session) updateAnnouncement(a Announcement, believed bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, after := s.announced.placement(), a.placement()
	if !believed {
		return errors.Newf("worker %.60q belongs to pool %.40q in availability zone %.40q, not to %.40q in %.40q",
			s.incarnation, before.pool, before.zone, after.pool, after.zone)
	}
	departed := s.announced.Departed
	if after != before {
		event.WorkerPlacementCorrected.Write(s.d.logger, event.Worker(s.incarnation), event.FromPool(before.pool), event.Pool(after.pool), event.AvailabilityZone(after.zone))
		s.announced, s.announcedAt = a, s.d.opts.Now()
		s.announced.Departed = departed
		return nil
	}
	draining := s.announced.Worker.Draining || a.Worker.Draining
	if a.Sequence > s.announced.Sequence {
		s.announcedAt = s.d.opts.Now()
	}
	if a.Sequence >= s.announced.Sequence {
		s.announced = a
	}
	s.announced.Departed = departed
	s.announced.Worker.Draining = draining
	return nil
}

func (s *session) recordDeparture() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.announced.Departed = true
}

// recordTerm records a term that a leader reported. The caller must hold s.mu.
func (s *session) recordTerm(term uint64) {
	s.term = max(s.term, term)
	s.d.term.Record(term)
}

// currentTerm returns the highest term that a leader reported to the session.
func (s *session) currentTerm() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

func (s *session) announcement() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced
}

// leaseLoop renews the worker's lease and reports to the leader until the incarnation has ended.
func (s *session) leaseLoop() {
	defer s.cancel()
	wait := time.Duration(0)
	for s.ctx.Err() == nil {
		_ = s.reportPreviousEnds() // The report below carries those that are left.
		if s.d.departures.anyPending() {
			wait = 0
		}
		r := s.renewRepeatedly(s.alive, wait)
		status, answer, err := r.status, r.answer, r.err
		if answer == AnswerOtherIncarnation {
			s.endAlive()
		}
		replaced := s.alive.Err() != nil
		switch {
		case s.ctx.Err() != nil:
			return
		case replaced:
			s.reportDeparture(endReplaced)
			return
		case s.leftAsAnnounced(err):
			s.reportDeparture(endNotListening)
			return
		case s.announcement().Departed && (errors.Is(err, ErrNotListening) || !s.d.departures.anyPending()):
			s.reportDeparture(endUnproved)
			return
		case err == nil && answer == AnswerFenced:
			// A restarted agent does not know the term until the leader reports it. Nothing is
			// reported before the worker has confirmed its incarnation: a report of a previous
			// one would end the current one.
			_, _ = s.findLeader() // After an error, the next refused renewal tries again.
			s.sleep(retryInterval)
			continue
		case err != nil || answer != AnswerDone:
			s.logNotRenewed(answer, err)
			s.d.reportExpiry(s.ctx)
			wait = 0
			s.sleep(retryInterval)
			continue
		}
		s.recordStatus(status, r.requestedAt, r.receivedAt)
		s.startedMs = cmp.Or(s.startedMs, status.ClockMs)
		if !s.admit(status) {
			wait = 0
			s.sleep(admissionRetryInterval)
			continue
		}
		s.reviewStops(status, r.requestedAt)
		endWatch := s.watchWorker()
		departures := s.d.departures.list()
		reported := s.report(s.withoutUnconfirmedEnds(status, r.receivedAt), r.receivedAt)
		endWatch()
		if reported {
			s.d.departures.acknowledge(departures, s.d.opts.Now())
		}
		wait = renewalWait
		if !reported || status.Partial {
			// An end that cannot be read is never acknowledged, so the worker would answer each
			// call at once.
			s.sleep(retryInterval)
		}
	}
}

// unreadableEndWait is how long the ends after one that can't be read are held back: half of the time
// within which the end of a run has to be recorded.
const unreadableEndWait = 2 * time.Second

// minUnreadableStatuses is the number of statuses in a row from which on an end counts as one that stays
// unreadable. While no leader responds, a few statuses take longer than unreadableEndWait.
const minUnreadableStatuses = 10

// unreadableEnd is an end that can't be read: the sequence number of the one before it, and since when
// and in how many statuses in a row it was listed.
type unreadableEnd struct {
	after    uint64
	since    time.Time
	statuses int
}

// withoutUnconfirmedEnds returns a status without the ends that the worker listed after one that
// can't be read. The leader would acknowledge them, and the worker would discard the unreadable one
// with them before it was ever read: its task would run again although it may have succeeded. An end
// that stays unreadable is given up, so that it holds the others back only once.
func (s *session) withoutUnconfirmedEnds(status Status, received time.Time) Status {
	if status.EndsAfterUnreadable == 0 {
		s.unreadableEnd = unreadableEnd{}
		return status
	}
	confirmed := status.Ended[:len(status.Ended)-status.EndsAfterUnreadable]
	after := s.lastAcknowledged()
	if n := len(confirmed); n > 0 {
		after = max(after, confirmed[n-1].Sequence)
	}
	if s.unreadableEnd.statuses == 0 || s.unreadableEnd.after != after {
		s.unreadableEnd = unreadableEnd{after: after, since: received}
	}
	s.unreadableEnd.statuses++
	if received.Sub(s.unreadableEnd.since) < unreadableEndWait || s.unreadableEnd.statuses < minUnreadableStatuses {
		status.Ended = confirmed
	}
	return status
}

func (s *session) lastAcknowledged() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acknowledged
}

// statusPollInterval is the time between two reads of the worker's status during a report.
const statusPollInterval = 100 * time.Millisecond

// watchWorker reads the worker's status every so often until the returned function is called. A
// report takes seconds if no leader responds; without the watch, a run that ended in that time would
// count as crashed with its worker.
func (s *session) watchWorker() (end func()) {
	ctx, cancel := context.WithCancel(s.alive)
	var watch conc.WaitGroup
	watch.Go(func() {
		ticker := time.NewTicker(statusPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			if r := s.renewRepeatedly(ctx, 0); r.err == nil && r.answer == AnswerDone {
				s.recordStatus(r.status, r.requestedAt, r.receivedAt)
			}
		}
	})
	return func() {
		cancel()
		watch.Wait()
	}
}

// renewalResult is the result of a renewal, and when it was sent and answered.
type renewalResult struct {
	status                  Status
	answer                  Answer
	err                     error
	requestedAt, receivedAt time.Time
}

// renewalOverdue is how long after its wait a renewal without an answer is repeated. The worker runs
// on the same host and answers within a millisecond or not at all.
const renewalOverdue = 100 * time.Millisecond

// renewRepeatedly renews the lease. If the answer is overdue or a report is requested, it makes a second
// call beside the first and returns the first result of either. Otherwise an answer that was lost would
// hide for the whole timeout which runs have ended, and a run that ended in that time would count as
// crashed if its worker crashes.
func (s *session) renewRepeatedly(ctx context.Context, wait time.Duration) renewalResult {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan renewalResult, 2)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	call := func(wait time.Duration) {
		calls.Go(func() {
			r := renewalResult{requestedAt: s.d.opts.Now()}
			r.status, r.answer, r.err = s.renew(ctx, wait)
			r.receivedAt = s.d.opts.Now()
			results <- r
		})
	}
	call(wait)
	overdue := time.NewTimer(wait + renewalOverdue)
	defer overdue.Stop()
	select {
	case r := <-results:
		return r
	case <-overdue.C:
	case <-s.reportRequested:
	}
	call(0)
	return <-results
}

func (s *session) renew(ctx context.Context, wait time.Duration) (Status, Answer, error) {
	s.mu.Lock()
	o := Order{Incarnation: s.incarnation, Term: s.term}
	r := Renewal{DeadlineMs: s.nextDeadline(), Acknowledged: s.acknowledged, Wait: wait}
	s.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	status, answer, err := s.d.opts.Worker.Renew(call, o, r)
	if err != nil && ctx.Err() != nil {
		return status, answer, err // The agent abandoned the call, which says nothing about the worker.
	}
	s.d.workerWatch.Record(err)
	s.recordCall("renew", answer, err)
	return status, answer, err
}

// notRenewedLogInterval is the time between two log lines about a lease that is not renewed. An
// unreachable worker is called many times a second.
const notRenewedLogInterval = time.Second

func (s *session) logNotRenewed(answer Answer, err error) {
	now := s.d.opts.Now()
	if now.Sub(s.notRenewedLoggedAt) < notRenewedLogInterval {
		return
	}
	s.notRenewedLoggedAt = now
	event.LeaseNotRenewed.Write(s.d.logger, event.Worker(s.incarnation), event.Answer(answer), event.Err(err))
}

func (s *session) sleep(d time.Duration) { sleep(s.ctx, d) }

// sleep returns after a time, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
