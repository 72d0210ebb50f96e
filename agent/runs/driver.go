package runs

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/internal/highest"
	"github.com/cairnlift/cairnlift/logging/dependency"
	"github.com/cairnlift/cairnlift/logging/event"
)

const (
	// renewalWait is how long the worker may hold a call that waits for an end. It is
	// also the time between reports of a worker where nothing ends.
	renewalWait = 500 * time.Millisecond
	// callTimeout bounds a call of the worker beside the time that it may wait. The
	// worker is on the same host and answers within a millisecond or never.
	callTimeout = 400 * time.Millisecond
	// reportTimeout bounds the delivery of one report, tries at several control
	// hosts included.
	reportTimeout = 1500 * time.Millisecond
	retryInterval = 50 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the pause before a call of the worker is
	// repeated. The first is short, since a call whose answer was lost is often the
	// only one. Without a pause, the calls of a few runs to a worker that is down fill
	// the queue of its new connections, and it answers nobody for seconds after it is
	// back.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxConcurrentStarts bounds the calls that wait for the worker together.
	maxConcurrentStarts = 24
	// clockRateErrorPPM bounds how much slower the worker's clock may run than this
	// host's, parts per million.
	clockRateErrorPPM = 20_000
	ppm               = 1_000_000
	defaultMaxLease   = 6 * time.Second
)

// Options set up a Driver.
type Options struct {
	Worker Worker
	Leader Leader
	// Host is the name of this host, as the worker's announcements have it.
	Host    string
	Logger  *zap.Logger
	Metrics metrics.Registry
	// MaxLease is the longest that the worker runs on after a call that renews its
	// lease; 6 s when 0. The leader's lease may be longer: while the agent lives, it
	// keeps the worker running through cuts and elections, and if the agent dies, the
	// worker stops after this time.
	MaxLease time.Duration
	// Now reads the clock; time.Now when unset.
	Now func() time.Time
}

// Driver is the agent's part in submitted jobs, for the one worker of its host.
type Driver struct {
	opts            Options
	logger          *zap.Logger
	metrics         metricSet
	workerAnnounced chan struct{}
	workerWatch     *dependency.Watch
	// term is the newest that a leader told. It holds for all sessions: a worker that was
	// asked under it refuses calls under an older one.
	term  highest.Number
	lease hostLease

	mu      sync.Mutex
	session *session
	// servedIncarnations are the lives that sessions were of, the newest last.
	servedIncarnations []string
	// departed holds incarnations that are gone: a late announcement of one must not
	// bring it back.
	departed map[string]bool
}

// New returns a driver; Run makes it work.
func New(o Options) *Driver {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	o.MaxLease = cmp.Or(o.MaxLease, defaultMaxLease)
	d := &Driver{
		opts: o, logger: event.Runs.Named(o.Logger), metrics: newMetricSet(o.Metrics),
		workerWatch:     dependency.New("worker", o.Logger, o.Now),
		workerAnnounced: make(chan struct{}, 1), departed: map[string]bool{},
	}
	// The agent before this one may have renewed the worker's lease until now.
	d.lease.extend(o.Now().Add(maxLeaseOnHostClock(o.MaxLease)))
	return d
}

// Announce takes in what the worker says of itself. It may take callTimeout. An error
// means that the worker can't have said it; nothing is changed then.
func (d *Driver) Announce(a Announcement) error {
	id := a.Worker.Id
	if !d.confirm(id) {
		event.AnnouncementFalse.Write(d.logger, event.Worker(id))
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.session
	switch {
	case d.departed[id]:
		return nil
	case s != nil && s.incarnation == id:
		return s.updateAnnouncement(a)
	default:
		event.WorkerFound.Write(d.logger, event.Worker(id), event.Before(incarnationOf(s)))
		d.session = d.newSession(a)
		d.session.previousIncarnations = d.recordServed(id)
		if s != nil {
			d.recordDeparted(s.incarnation)
			s.cancel()
			d.session.previousEndReport = s.departureReport()
		}
	}
	d.signalAnnounced()
	return nil
}

// confirm reports whether an announcement may be believed. One of an earlier
// incarnation may come late, after its successor is known, and another program may send
// one: so the worker is asked which one it is, unless that is known. What goes wrong
// without it: the announcement ends the session with the worker that is there, and that
// one is never taken again. No lock is held while it is asked.
func (d *Driver) confirm(incarnation string) bool {
	s := d.current()
	return s == nil || s.incarnation == incarnation || d.workerConfirms(incarnation)
}

// Depart takes in that an incarnation says that it ends. An error means that it does not
// say which life of the worker it is; nothing is changed then. What goes wrong without
// that: late words of an earlier life end the session with the present one, whose tasks run
// on and start elsewhere as well.
func (d *Driver) Depart(incarnation string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.session
	switch {
	case s != nil && s.incarnation == incarnation:
		s.recordDeparture()
	case s != nil && s.matchesWithoutStartTime(incarnation):
		return errors.Newf("worker %.60q ends, and does not say which life of it", incarnation)
	}
	d.recordDeparted(incarnation)
	return nil
}

// maxServedIncarnations bounds the lives that are remembered as served.
const maxServedIncarnations = 16

// recordServed notes that a life is served from now on, and returns those before it; d.mu is held.
func (d *Driver) recordServed(incarnation string) []string {
	before := slices.DeleteFunc(d.servedIncarnations, func(id string) bool { return id == incarnation })
	before = before[max(0, len(before)-maxServedIncarnations):]
	d.servedIncarnations = append(slices.Clone(before), incarnation)
	return before
}

// maxDeparted bounds the incarnations that are remembered as gone. One that is forgotten
// comes back only if the worker says that it is the one.
const maxDeparted = 256

// recordDeparted remembers that an incarnation is gone; d.mu is held.
func (d *Driver) recordDeparted(incarnation string) {
	if len(d.departed) >= maxDeparted {
		clear(d.departed)
	}
	d.departed[incarnation] = true
}

// workerConfirms asks the worker whether it is the named incarnation. A refusal for an old term is
// no yes: a worker may refuse before it looks whom a call is for.
func (d *Driver) workerConfirms(incarnation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, answer, err := d.opts.Worker.Renew(ctx, Order{Incarnation: incarnation, Term: d.term.Load()}, Renewal{})
	return err == nil && answer == AnswerDone
}

func (d *Driver) signalAnnounced() {
	select {
	case d.workerAnnounced <- struct{}{}:
	default:
	}
}

// Run serves the worker until ctx ends, one incarnation after another.
func (d *Driver) Run(ctx context.Context) {
	for ctx.Err() == nil {
		s := d.current()
		if s == nil {
			d.awaitWorker(ctx)
			continue
		}
		stop := context.AfterFunc(ctx, s.cancel)
		s.run()
		stop()
		d.removeSession(s)
	}
}

// firstAbsenceLogDelay is how long no worker is known when the first line says so; each further line
// comes after twice the time.
const firstAbsenceLogDelay = 3 * time.Second

// awaitWorker returns once a worker was announced, or when ctx ends.
func (d *Driver) awaitWorker(ctx context.Context) {
	since := d.opts.Now()
	tellAbsence := firstAbsenceLogDelay
	for ctx.Err() == nil {
		now := d.opts.Now()
		absent := now.Sub(since)
		if absent >= tellAbsence {
			event.WorkerAbsent.Write(d.logger, event.Silent(absent))
			tellAbsence *= 2
		}
		wait := min(tellAbsence-absent, d.lease.untilCheck(now))
		if d.awaitAnnouncement(ctx, wait) {
			return
		}
		d.reportExpiry(ctx)
	}
}

// awaitAnnouncement reports whether a worker was announced within a time.
func (d *Driver) awaitAnnouncement(ctx context.Context, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-d.workerAnnounced:
		return true
	case <-t.C:
	}
	return false
}

func (d *Driver) current() *session {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.session
}

// removeSession forgets a session that is over, unless another one has followed it.
func (d *Driver) removeSession(s *session) {
	s.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session == s {
		d.session = nil
	}
}
