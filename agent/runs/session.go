package runs

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// session is the time with one incarnation of the worker.
type session struct {
	d           *Driver
	incarnation string
	ctx         context.Context
	cancel      context.CancelFunc
	// alive ends when another life of the worker has answered in place of this one, or the worker
	// has said that it ends.
	alive      context.Context
	endAlive   context.CancelFunc
	startSlots chan struct{}
	// calls are the calls of the worker that are under way; they are begun with mu held.
	calls conc.WaitGroup
	// id tells the session from others of the same worker, and reports counts what
	// was sent to the leader; only watch sends.
	id, reportCount uint64
	// startedMs is what the worker's clock showed at its first answer under the number.
	startedMs int64
	// admitted: the leader may be told of the worker; only watch uses it.
	admitted bool
	// notRenewedLoggedAt is when a line last said that the lease is not renewed; only watch uses it.
	notRenewedLoggedAt time.Time
	// previousIncarnations are lives of the worker that came before this one; only watch uses it.
	previousIncarnations []string
	// previousEndReport is the report that the life before this one has ended, until the leader has it;
	// nil when there is none to tell of.
	previousEndReport *apiv1.JobsReportRequest

	mu        sync.Mutex
	announced Announcement
	// finished is set at the end; no call is begun after that.
	finished bool
	term     uint64
	// epoch is that of the lease; see order.epoch.
	epoch uint64
	// leaseDeadlineMs is the end of the leader's lease, a reading of the worker's clock.
	leaseDeadlineMs int64
	// status is what the worker last said of itself.
	status Status
	// clock is what the worker's clock last showed.
	clock        clockReading
	acknowledged uint64
	orders       map[jobqueue.RunID]*order
	// ordersReceived is set with the first orders, which an agent before this one may have had too.
	ordersReceived bool
	refusals       map[jobqueue.RunID]string
	callHistory    callHistory
}

// matchesWithoutStartTime reports whether a name is that of the session's worker without its start.
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
	alive, noteOther := context.WithCancel(ctx)
	return &session{
		d: d, incarnation: a.Worker.Id, ctx: ctx, cancel: cancel, alive: alive, endAlive: noteOther, announced: a, id: rand.Uint64(), term: d.term.Load(),
		startSlots: make(chan struct{}, maxConcurrentStarts),
		orders:     map[jobqueue.RunID]*order{}, refusals: map[jobqueue.RunID]string{}, callHistory: newCallHistory(),
	}
}

// run serves one incarnation until it is gone.
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

// endCalls has the session call its worker no more. A start that was made while the leader gives the
// worker's runs up would run beside the one elsewhere, if the worker has not ended yet.
func (s *session) endCalls() {
	s.mu.Lock()
	s.finished = true
	s.mu.Unlock()
	s.endAlive()
}

// updateAnnouncement takes in a further announcement of the incarnation, unless it names another
// pool: an incarnation stays in one. What goes wrong without that: an announcement that
// another program wrote takes a worker that is well out of use.
func (s *session) updateAnnouncement(a Announcement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pool := s.announced.Worker.Pool; a.Worker.Pool != pool {
		return errors.Newf("worker %.60q is of pool %.40q, not %.40q", s.incarnation, pool, a.Worker.Pool)
	}
	departed := s.announced.Departed
	draining := s.announced.Worker.Draining || a.Worker.Draining
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

// recordTerm takes in what a leader told of its term; s.mu is held.
func (s *session) recordTerm(term uint64) {
	s.term = max(s.term, term)
	s.d.term.Note(term)
}

func (s *session) announcement() Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced
}

// leaseLoop holds the worker's lease and reports, until the incarnation is gone.
func (s *session) leaseLoop() {
	defer s.cancel()
	wait := time.Duration(0)
	for s.ctx.Err() == nil {
		s.reportPreviousEnd()
		asked := s.d.opts.Now()
		status, answer, err := s.renew(wait)
		received := s.d.opts.Now()
		if answer == AnswerOtherIncarnation {
			s.endAlive()
		}
		replaced := s.alive.Err() != nil
		switch {
		case s.ctx.Err() != nil:
			return
		case replaced || s.announcement().Departed:
			s.reportDeparture(replaced)
			return
		case err == nil && answer == AnswerFenced:
			// A restarted agent does not know the term yet; the leader tells it. Nothing is
			// reported until the worker has confirmed which life it is: a report of an earlier
			// one would end the present one.
			_, _ = s.findLeader() // Without an answer, the next refusal asks again.
			s.sleep(retryInterval)
			continue
		case err != nil || answer != AnswerDone:
			s.logNotRenewed(answer, err)
			s.d.reportExpiry(s.ctx)
			wait = 0
			s.sleep(retryInterval)
			continue
		}
		s.recordStatus(status, received)
		if s.startedMs == 0 {
			s.recordListedRuns(status, received)
		}
		s.startedMs = cmp.Or(s.startedMs, status.ClockMs)
		if !s.admit(status) {
			wait = 0
			s.sleep(admissionRetryInterval)
			continue
		}
		s.refuseStoppedRuns(status, asked)
		reported := s.report(status, received)
		wait = renewalWait
		if !reported || status.Partial {
			// An end that can't be read is never acknowledged, so the worker would answer
			// each call at once.
			s.sleep(retryInterval)
		}
	}
}

func (s *session) renew(wait time.Duration) (Status, Answer, error) {
	s.mu.Lock()
	o := Order{Incarnation: s.incarnation, Term: s.term}
	r := Renewal{DeadlineMs: s.nextDeadline(), Acknowledged: s.acknowledged, Wait: wait}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.alive, wait+callTimeout)
	defer cancel()
	status, answer, err := s.d.opts.Worker.Renew(ctx, o, r)
	s.d.workerWatch.Note(err)
	s.recordCall("renew", answer, err)
	return status, answer, err
}

// notRenewedLogInterval is the time between two lines on a lease that is not renewed: a worker that is
// away is asked many times a second.
const notRenewedLogInterval = time.Second

func (s *session) logNotRenewed(answer Answer, err error) {
	now := s.d.opts.Now()
	if now.Sub(s.notRenewedLoggedAt) < notRenewedLogInterval {
		return
	}
	s.notRenewedLoggedAt = now
	event.LeaseNotRenewed.Write(s.d.logger, event.Worker(s.incarnation), event.Answer(answer), event.Err(err))
}

func (s *session) sleep(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-t.C:
	}
}
