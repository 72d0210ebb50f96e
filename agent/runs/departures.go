package runs

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

const (
	// departureHintRetention is how long a departure that does not name the incarnation counts for the
	// current one.
	departureHintRetention = 5 * time.Second
	// defaultAcknowledgementDelay is the default of Options.MaxAcknowledgementDelay.
	defaultAcknowledgementDelay = 4 * time.Second
	// departurePollInterval is the time between two checks whether a departure has been reported.
	departurePollInterval = 20 * time.Millisecond
	// maxDrainWait bounds how long a stopping agent waits for a worker that drains to announce its
	// departure. A worker may drain for minutes, and the agent's successor serves it.
	maxDrainWait = 2500 * time.Millisecond
)

// endProof is the proof that an incarnation has ended.
type endProof int

const (
	endUnproved endProof = iota
	// endReplaced: another incarnation of the worker has answered.
	endReplaced
	// endNotListening: the incarnation announced its departure, and no process listens in its place.
	endNotListening
)

// departures are the announcements of departures that this agent received.
type departures struct {
	mu sync.Mutex
	// hintedAt contains, by the name in it, when a departure that does not name the incarnation of the session
	// was acknowledged, or when it arrived until then.
	hintedAt map[string]time.Time
	// pending are the departures that are not acknowledged.
	pending []*pendingDeparture
	// acknowledgedName is the name in the last departure that was acknowledged, at acknowledgedAt.
	acknowledgedName string
	acknowledgedAt   time.Time
}

// pendingDeparture is a departure that is not acknowledged.
type pendingDeparture struct {
	name         string
	arrivedAt    time.Time
	acknowledged chan struct{}
	timeout      *time.Timer
}

// recordHint records a departure that does not name the incarnation of the session.
func (d *departures) recordHint(name string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.hintedAt, func(name string, at time.Time) bool {
		return now.Sub(at) > departureHintRetention && !d.isPending(name)
	})
	if d.hintedAt == nil {
		d.hintedAt = map[string]time.Time{}
	}
	d.hintedAt[name] = now
}

// isPending reports whether a departure under a name is not acknowledged. The caller must hold d.mu.
func (d *departures) isPending(name string) bool {
	return slices.ContainsFunc(d.pending, func(p *pendingDeparture) bool { return p.name == name })
}

// hints reports whether a departure under a name counted at a given time.
func (d *departures) hints(name string, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	hintedAt, hinted := d.hintedAt[name]
	return hinted && at.Sub(hintedAt) <= departureHintRetention
}

// list returns the departures that are not acknowledged.
func (d *departures) list() []*pendingDeparture {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.pending)
}

func (d *departures) anyPending() bool { return len(d.list()) > 0 }

// acknowledge acknowledges departures, unless they were acknowledged before, and returns how many.
func (d *departures) acknowledge(list []*pendingDeparture, now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	acknowledged := 0
	for _, p := range list {
		i := slices.Index(d.pending, p)
		if i < 0 {
			continue
		}
		d.pending = slices.Delete(d.pending, i, i+1)
		p.timeout.Stop()
		close(p.acknowledged)
		if _, hinted := d.hintedAt[p.name]; hinted {
			d.hintedAt[p.name] = now
		}
		d.acknowledgedName, d.acknowledgedAt = p.name, now
		acknowledged++
	}
	return acknowledged
}

// acknowledgedBefore reports whether a departure repeats one that was acknowledged. One by the id alone
// counts for departureHintRetention only, since it may be that of a later incarnation.
func (d *departures) acknowledgedBefore(name string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	named := jobqueue.ParseIncarnation(name).StartedMs != 0
	return d.acknowledgedName == name && (named || now.Sub(d.acknowledgedAt) <= departureHintRetention)
}

// forgetAcknowledged forgets which departure was acknowledged, because another incarnation may announce
// its own under the same name.
func (d *departures) forgetAcknowledged() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acknowledgedName = ""
}

// Depart records that the worker announced its departure, and returns a channel that is closed once
// that may be acknowledged: after a leader has answered a report that was sent after the call, and
// after Options.MaxAcknowledgementDelay in any case. The worker runs until then. Without this wait, its host
// could stop, and the agent with it, while there is no leader to report to. A departure that was
// acknowledged before, whose end is reported or that concerns no worker of this agent is acknowledged at
// once.
//
// A departure that does not name the incarnation of the session may be a late one of a previous
// incarnation. It ends nothing by itself; see session.leftAsAnnounced. It may also be that of an incarnation
// whose announcement is still to come; see session.confirmed.
func (d *Driver) Depart(incarnation string) (acknowledge <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.session
	now := d.opts.Now()
	p := &pendingDeparture{name: incarnation, arrivedAt: now, acknowledged: make(chan struct{})}
	atOnce := d.departures.acknowledgedBefore(incarnation, now)
	switch {
	case s != nil && s.incarnation == incarnation:
		s.recordDeparture()
	case s == nil && d.departed[incarnation]:
		atOnce = true // Its end has been reported.
	case s == nil || s.matchesWithoutStartTime(incarnation) || !d.departed[incarnation] && !s.confirmed():
		event.DepartureUnnamed.Write(d.logger, event.Worker(incarnation), event.PreviousWorker(incarnationOf(s)))
		d.departures.recordHint(incarnation, now)
		atOnce = atOnce || s == nil && !d.successorExpected && d.anyDepartedOf(incarnation)
	default:
		d.recordDeparted(incarnation)
		atOnce = atOnce || !s.hasPendingEnd(incarnation)
	}
	if atOnce {
		close(p.acknowledged)
		return p.acknowledged
	}
	d.departures.add(p, d.opts.MaxAcknowledgementDelay, func() { d.acknowledgeLate(p) })
	if s != nil {
		s.requestReport()
	}
	return p.acknowledged
}

// anyDepartedOf reports whether an incarnation of a worker is known to have ended. The caller must hold
// d.mu.
func (d *Driver) anyDepartedOf(worker string) bool {
	for incarnation := range d.departed {
		if jobqueue.ParseIncarnation(incarnation).WorkerID == worker {
			return true
		}
	}
	return false
}

// confirmed reports whether the worker has answered this agent as the session's incarnation. If not, the
// session may have begun with a late announcement, and a departure may be that of a later incarnation that
// an agent before this one has served. The later one may have another id: on some platforms ids are not reused.
func (s *session) confirmed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.clock.received.IsZero()
}

// settledDepartures returns the departures that are not acknowledged and may be once a leader has
// acknowledged the end of the session's incarnation.
func (s *session) settledDepartures() []*pendingDeparture {
	confirmed := s.confirmed()
	return slices.DeleteFunc(s.d.departures.list(), func(p *pendingDeparture) bool {
		return !confirmed && p.name != s.incarnation
	})
}

// hasPendingEnd reports whether the end of a previous incarnation is still to be reported.
func (s *session) hasPendingEnd(incarnation string) bool {
	return slices.ContainsFunc(s.pendingEnds(), func(e *endReport) bool { return e.request.Worker.Id == incarnation })
}

// add adds a departure, and calls late if it is not acknowledged within maxDelay.
func (d *departures) add(p *pendingDeparture, maxDelay time.Duration, late func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.timeout = time.AfterFunc(maxDelay, late)
	d.pending = append(d.pending, p)
}

// acknowledgeLate acknowledges a departure although no leader has answered a report.
func (d *Driver) acknowledgeLate(p *pendingDeparture) {
	acknowledged := d.departures.acknowledge([]*pendingDeparture{p}, d.opts.Now()) > 0
	if acknowledged && !d.leaderAnswers.since(p.arrivedAt) {
		event.DepartureUnconfirmed.Write(d.logger, event.Worker(p.name))
	}
}

// acknowledgeOnAnswer acknowledges departures as soon as a leader answers anything, until ctx ends. It is
// called while nothing is reported.
func (s *session) acknowledgeOnAnswer(ctx context.Context) {
	for ctx.Err() == nil {
		if list := s.settledDepartures(); len(list) > 0 {
			call, cancel := context.WithTimeout(ctx, reportTimeout)
			_, err := s.d.opts.Leader.HostLease(call, s.d.opts.Host)
			cancel()
			if err == nil {
				s.d.departures.acknowledge(list, s.d.opts.Now())
			}
		}
		sleep(ctx, retryInterval)
	}
}

// requestReport makes leaseLoop send a report at once.
func (s *session) requestReport() {
	select {
	case s.reportRequested <- struct{}{}:
	default:
	}
}

// leftAsAnnounced reports whether the failure of a call proves that an incarnation has ended whose
// departure was announced without naming it: it has answered before, drains, and no process has listened
// in its place for minRefusedSpan. A call that is broken off or gets no answer proves nothing, because a network partition
// has the same effect, and neither does a departure alone, because it may be late.
func (s *session) leftAsAnnounced(err error) bool {
	if !errors.Is(err, ErrNotListening) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.callHistory.stoppedListening() || s.clock.received.IsZero() || !s.announced.Worker.Draining {
		return false
	}
	// What counts is when the worker ended: the agent may notice that later.
	ended := s.callHistory.failedAt
	if ended.IsZero() {
		ended = s.d.opts.Now()
	}
	return s.d.departures.hints(jobqueue.ParseIncarnation(s.incarnation).WorkerID, ended)
}

// AwaitDeparture returns once no departure of the worker is left to report, or when ctx ends. An agent
// that is stopped calls it while it still serves, because its host may be stopped together with its
// worker. A worker that drains and has not announced its departure is waited for up to maxDrainWait.
func (d *Driver) AwaitDeparture(ctx context.Context) {
	began := d.opts.Now()
	for ctx.Err() == nil && d.expectsDeparture(d.opts.Now().Sub(began)) {
		sleep(ctx, departurePollInterval)
	}
}

// expectsDeparture reports whether the worker has departed or is about to, and the leader has not
// acknowledged the report of its end. waited is how long the agent has waited for that.
func (d *Driver) expectsDeparture(waited time.Duration) bool {
	if d.departures.anyPending() {
		return true
	}
	s := d.current()
	if s == nil {
		return false
	}
	return len(s.pendingEnds()) > 0 || s.isDeparting() || waited < maxDrainWait && s.announcement().Worker.Draining
}

// isDeparting reports whether the incarnation has ended or its departure was announced, possibly by the
// id alone.
func (s *session) isDeparting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced.Departed || s.end != nil ||
		s.d.departures.hints(jobqueue.ParseIncarnation(s.incarnation).WorkerID, s.d.opts.Now())
}
