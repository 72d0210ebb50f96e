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
	// renewalWait is how long the worker may wait for a run to end before it answers a renewal.
	// It is also the interval between reports of a worker on which no run ends.
	renewalWait = 500 * time.Millisecond
	// callTimeout bounds a call of the worker, in addition to the time that the call may wait.
	// The worker runs on the same host and answers within a millisecond or not at all.
	callTimeout = 400 * time.Millisecond
	// reportTimeout bounds the delivery of one report, including attempts at several control
	// hosts.
	reportTimeout = 1500 * time.Millisecond
	retryInterval = 50 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay before a call of the worker is repeated.
	// The first delay is short because a call whose answer was lost is often the only pending
	// one. Without a delay, the calls for a few runs fill the connection queue of a worker that
	// is down, and it answers no call for seconds after it is back.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// maxConcurrentStarts bounds the number of concurrent start calls of the worker.
	maxConcurrentStarts = 24
	// clockRateErrorPPM bounds how much slower the worker's clock may run than this host's, in
	// parts per million.
	clockRateErrorPPM = 20_000
	ppm               = 1_000_000
	defaultMaxLease   = 6 * time.Second
)

// Options configure a Driver.
type Options struct {
	Worker Worker
	Leader Leader
	// Host is the name of this host as given in the worker's announcements.
	Host string
	// Pool is the pool of the host's worker, empty if it is not known. An announcement of another pool
	// is believed once it is repeated, because a worker may be moved.
	Pool    string
	Logger  *zap.Logger
	Metrics metrics.Registry
	// MaxLease is the longest time that the worker keeps running after a call that renews its
	// lease; 6 s when 0. The leader's lease may be longer: while the agent runs, it renews the
	// worker's lease through network partitions and elections. If the agent dies, the worker
	// stops after this time.
	MaxLease time.Duration
	// MaxCapacityAge is the age of the worker's announcement of its capacity from which on nothing is
	// started; 0 means none.
	MaxCapacityAge time.Duration
	// MaxCordonAge is how long after the last answered report nothing may be started any more, because
	// the worker's availability zone may have been cordoned since; 0 means never.
	MaxCordonAge time.Duration
	// MaxAcknowledgementDelay bounds the time until a worker's announced departure is acknowledged, if no
	// leader answers; 0 means 4 s.
	MaxAcknowledgementDelay time.Duration
	// Now reads the clock; it defaults to time.Now.
	Now func() time.Time
}

// Driver manages the runs of submitted jobs on the one worker of its host.
type Driver struct {
	opts            Options
	logger          *zap.Logger
	metrics         metricSet
	workerAnnounced chan struct{}
	workerWatch     *dependency.Watch
	capacityWatch   *dependency.Watch
	// term is the highest term that a leader has reported. All sessions share it: a worker that
	// received a call under this term refuses calls under a lower one.
	term  highest.Number
	lease hostLease
	// previousCallsUntil is until when the worker may carry out calls of a previous agent.
	previousCallsUntil time.Time
	departures         departures
	leaderAnswers      *leaderAnswers

	mu      sync.Mutex
	session *session
	claims  placementClaims
	// servedIncarnations are the incarnations of previous and current sessions, newest last.
	servedIncarnations []string
	// departed contains incarnations that have ended, so that a late announcement does not start
	// a session with one of them.
	departed map[string]bool
	// successorExpected: the last session ended although the worker never answered as its incarnation, so
	// that another one may run which is not announced yet.
	successorExpected bool
}

// New returns a driver. Run starts it.
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
	o.MaxAcknowledgementDelay = cmp.Or(o.MaxAcknowledgementDelay, defaultAcknowledgementDelay)
	answers := &leaderAnswers{leader: o.Leader, now: o.Now}
	o.Leader = answers
	d := &Driver{
		opts: o, leaderAnswers: answers, logger: event.Runs.Named(o.Logger), metrics: newMetricSet(o.Metrics),
		workerWatch:     dependency.New("worker", o.Logger, o.Now),
		capacityWatch:   dependency.New("announcements of capacity", o.Logger, o.Now),
		workerAnnounced: make(chan struct{}, 1), departed: map[string]bool{}, claims: placementClaims{expectedPool: o.Pool},
	}
	// A previous agent may have renewed the worker's lease until this moment.
	previousLease := maxLeaseOnHostClock(o.MaxLease)
	d.lease.extend(o.Now().Add(previousLease))
	d.previousCallsUntil = o.Now().Add(max(previousLease, lateCallBound))
	return d
}

// Announce records an announcement of the worker. It may block for callTimeout, and again for each
// session that begins meanwhile. An error means that the worker cannot have sent the announcement; then
// nothing changes.
func (d *Driver) Announce(a Announcement) error {
	for {
		s := d.current()
		if answer, err := d.confirm(s, a.Worker.Id); err != nil || answer != AnswerDone {
			event.AnnouncementUnconfirmed.Write(d.logger, event.Worker(a.Worker.Id), event.Answer(answer), event.Err(err))
			return nil
		}
		if recorded, err := d.recordAnnouncement(a, s); recorded {
			return err
		}
	}
}

// recordAnnouncement records an announcement that is credible beside a session, which may be nil. It
// returns false if another session has begun or ended since: the announcement must be confirmed again,
// because one of a previous incarnation would end the present one in the log, as proved.
func (d *Driver) recordAnnouncement(a Announcement, confirmedBeside *session) (recorded bool, err error) {
	id := a.Worker.Id
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.session
	switch {
	case d.departed[id]:
		return true, nil
	case s != nil && s.incarnation == id:
		return true, s.updateAnnouncement(a, d.claims.believed(a, s.placement(), d.opts.Now()))
	case s != confirmedBeside:
		return false, nil
	case !d.claims.believed(a, nil, d.opts.Now()):
		return true, errors.Newf("worker %.60q names pool %.40q, the host's settings %.40q; it is believed once it is repeated", id, a.Worker.Pool, d.opts.Pool)
	default:
		event.WorkerFound.Write(d.logger, event.Worker(id), event.PreviousWorker(incarnationOf(s)))
		d.departures.forgetAcknowledged()
		a.Departed = a.Departed || d.departures.hints(id, d.opts.Now())
		d.session = d.newSession(a)
		d.session.previousIncarnations = d.recordServed(id)
		if s != nil {
			d.recordDeparted(s.incarnation)
			s.cancel()
			ends := append(s.pendingEnds(), s.departureReport(endReplaced))
			d.session.previousEnds = ends[max(0, len(ends)-maxServedIncarnations):]
		}
	}
	d.signalAnnounced()
	return true, nil
}

// confirm returns AnswerDone if an announcement is credible. An announcement of a previous incarnation
// may arrive late, after its successor is known, and another program may send a forged one.
// Unless the announcement is of the session's incarnation, confirm therefore queries the worker for
// its incarnation. Without this check, such an announcement would end the session with the
// running worker, whose incarnation would never be accepted again. The caller must not hold d.mu,
// since the call blocks.
func (d *Driver) confirm(s *session, incarnation string) (Answer, error) {
	if s == nil || s.incarnation == incarnation {
		return AnswerDone, nil
	}
	return d.askWorker(incarnation)
}

// maxServedIncarnations bounds the length of servedIncarnations, and the reports of their ends.
const maxServedIncarnations = 16

// recordServed records that a session serves an incarnation, and returns the incarnations served
// before it. The caller must hold d.mu.
func (d *Driver) recordServed(incarnation string) []string {
	before := slices.DeleteFunc(d.servedIncarnations, func(id string) bool { return id == incarnation })
	before = before[max(0, len(before)-maxServedIncarnations):]
	d.servedIncarnations = append(slices.Clone(before), incarnation)
	return before
}

// maxDeparted bounds the number of departed incarnations that are remembered. A forgotten one is
// accepted again only if the worker confirms it as its own.
const maxDeparted = 256

// recordDeparted records that an incarnation has ended. The caller must hold d.mu.
func (d *Driver) recordDeparted(incarnation string) {
	if len(d.departed) >= maxDeparted {
		clear(d.departed)
	}
	d.departed[incarnation] = true
}

// askWorker returns AnswerDone if the worker confirms that it is the named incarnation. A refusal
// because of an old term does not confirm it: a worker may check the term before the incarnation.
func (d *Driver) askWorker(incarnation string) (Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, answer, err := d.opts.Worker.Renew(ctx, Order{Incarnation: incarnation, Term: d.term.Load()}, Renewal{})
	return answer, err
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

// firstAbsenceLogDelay is the time from the loss of the last known worker, or from the start of
// Run, to the first log line about it. The delay doubles for each further line.
const firstAbsenceLogDelay = 3 * time.Second

// awaitWorker returns once a worker was announced, or when ctx ends.
func (d *Driver) awaitWorker(ctx context.Context) {
	since := d.opts.Now()
	logDelay := firstAbsenceLogDelay
	for ctx.Err() == nil {
		now := d.opts.Now()
		absent := now.Sub(since)
		if absent >= logDelay {
			event.WorkerAbsent.Write(d.logger, event.UnresponsiveFor(absent))
			logDelay *= 2
		}
		wait := min(logDelay-absent, d.lease.untilCheck(now))
		if d.awaitAnnouncement(ctx, wait) {
			return
		}
		d.reportExpiry(ctx)
	}
}

// awaitAnnouncement waits up to a given time and reports whether a worker was announced.
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

// removeSession removes a finished session unless another one has replaced it.
func (d *Driver) removeSession(s *session) {
	s.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.session == s {
		d.session, d.successorExpected = nil, !s.confirmed()
		if s.endReported {
			d.departures.acknowledge(s.settledDepartures(), d.opts.Now())
		}
	}
}
