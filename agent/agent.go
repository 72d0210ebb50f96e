// Package agent is the process that runs next to the targets of one host. It controls the
// admission of requests to them, receives their announcements, sends heartbeats to the home
// entry, and maintains the leases of the platform's worker. The packages gate, home and lease
// make its decisions and do no I/O; this package is the driver around them.
package agent

import (
	"context"
	"hash/fnv"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/agent/forward"
	"github.com/cairnlift/cairnlift/agent/gate"
	"github.com/cairnlift/cairnlift/agent/home"
	"github.com/cairnlift/cairnlift/agent/latency"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/failstop"
	"github.com/cairnlift/cairnlift/settings"
	"github.com/cairnlift/cairnlift/worker"
)

const (
	// maxDispatchBytes bounds the size of an encoded dispatch request.
	maxDispatchBytes = 32 << 20
	// maxTargetResponseBytes bounds the size of a target's response.
	maxTargetResponseBytes = 16 << 20
	// expireInterval is the time between checks for expired announcements and attempts.
	expireInterval = 100 * time.Millisecond
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
)

// Options configures an agent.
type Options struct {
	Settings *settings.Agent
	// Logger defaults to a no-op logger, Metrics to a new registry.
	Logger  *zap.Logger
	Metrics metrics.Registry
	// Worker is nil on a host without a platform worker.
	Worker worker.Worker
	// Now defaults to the wall clock at the start plus the time that BootNow has advanced
	// since. BootNow defaults to worker.Now.
	Now     func() time.Time
	BootNow func() time.Duration
}

// Agent is an agent process.
type Agent struct {
	settings *settings.Agent
	log      *zap.Logger
	now      func() time.Time
	bootNow  func() time.Duration
	metrics  *agentMetrics

	incarnation   uint64
	entryListener net.Listener
	localListener net.Listener
	forwarder     *forward.Forwarder

	mu               sync.Mutex // Guards gate, latency and waiting.
	gate             *gate.Gate
	latency          *latency.Recorder
	pendingDecisions map[gate.Key]chan gate.Admission

	// worker is nil on a host without a platform worker.
	worker *workerDriver

	selector       *home.Selector
	entries        []apiv1.Control
	heartbeatState heartbeatState
	// heartbeatRequested requests a heartbeat before the interval has passed.
	heartbeatRequested chan struct{}
	// leaveAcknowledged is closed when an entry has acknowledged that the agent is leaving.
	leaveAcknowledged chan struct{}
	leaveOnce         sync.Once
}

// New returns an agent and binds its two addresses. Run serves them, and closes them when it
// returns.
func New(o Options) (*Agent, error) {
	if o.Settings == nil || len(o.Settings.Entries) == 0 {
		return nil, errors.New("agent settings must name at least one entry")
	}
	o.setDefaults()
	a := &Agent{
		settings:           o.Settings,
		log:                o.Logger.Named("agent"),
		now:                o.Now,
		bootNow:            o.BootNow,
		metrics:            newAgentMetrics(o.Metrics),
		incarnation:        newIncarnation(o.Now()),
		forwarder:          forward.New(maxTargetResponseBytes),
		heartbeatRequested: make(chan struct{}, 1),
		leaveAcknowledged:  make(chan struct{}),
		latency:            latency.New(o.Now()),
		pendingDecisions:   make(map[gate.Key]chan gate.Admission),
	}
	limits := gate.DefaultLimits()
	limits.StalenessBound = o.Settings.StalenessBound.Duration
	a.gate = gate.New(a.incarnation, limits)
	rng := rand.New(rand.NewSource(rngSeed(o.Settings.Name, a.incarnation)))
	interval := o.Settings.HeartbeatInterval.Duration
	timeouts := home.TimeoutBounds{
		Min: max(interval, minHeartbeatTimeout),
		// A confirmation dates from the sending of its heartbeat, so a response after the
		// staleness bound confirms nothing.
		Max: o.Settings.StalenessBound.Duration,
	}
	a.selector = home.New(len(o.Settings.Entries), interval, timeouts, rng)
	a.entries = entryClients(o.Settings.Entries)
	if o.Worker != nil {
		a.worker = newWorkerDriver(a, o.Worker, a.log)
	}
	return a, a.listen()
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.BootNow == nil {
		o.BootNow = worker.Now
	}
	if o.Now == nil {
		o.Now = steadyClock(o.BootNow)
	}
}

// steadyClock returns a clock that ignores changes of the wall clock and includes the time
// for which the host was suspended. The monotonic reading of time.Now stops meanwhile, so an
// agent that resumes would treat a configuration from before the suspension as just confirmed.
func steadyClock(bootNow func() time.Duration) func() time.Time {
	wall, boot := time.Now().Round(0), bootNow()
	return func() time.Time { return wall.Add(bootNow() - boot) }
}

// newIncarnation returns a number that distinguishes this start of the agent from all others.
// The agent has no disk on which to count starts, so it uses the wall clock in nanoseconds: two
// starts get the same number only if the clock was set back to the same nanosecond. After a
// clock was set back, a later incarnation may have the smaller number. Therefore the gate and
// member.Directory compare incarnations only for equality, and the one received last is
// current.
func newIncarnation(now time.Time) uint64 { return uint64(now.UnixNano()) }

func rngSeed(name string, incarnation uint64) int64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return int64(h.Sum64() ^ incarnation)
}

func (a *Agent) listen() (err error) {
	if a.entryListener, err = net.Listen("tcp", a.settings.Address); err != nil {
		return errors.Wrap(err, "address for entries")
	}
	if a.localListener, err = net.Listen("tcp", a.settings.LocalAddress); err != nil {
		_ = a.entryListener.Close()
		return errors.Wrap(err, "local address")
	}
	return nil
}

// Address returns the IP address and port to which entries dispatch.
func (a *Agent) Address() string { return a.entryListener.Addr().String() }

// LocalAddress returns the IP address and port at which targets announce themselves.
func (a *Agent) LocalAddress() string { return a.localListener.Addr().String() }

// Incarnation returns the number of this start of the agent; see newIncarnation.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Run serves until ctx ends and then shuts down gracefully: it announces to its home entry
// that it leaves, refuses new work, and finishes requests in progress within the bound in its
// settings.
func (a *Agent) Run(ctx context.Context) error {
	a.log.Info("serving", zap.String("address", a.Address()), zap.String("local_address", a.LocalAddress()),
		zap.Uint64("incarnation", a.incarnation))
	twirp := http.MaxBytesHandler(apiv1.NewAgentServer(&service{a}), maxDispatchBytes)
	gateServer := a.newServer(a.closeWhenRetiring(twirp))
	localServer := a.newServer(a.localHandler())
	localServer.ReadTimeout = headerTimeout
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	group := failstop.New()
	gateServer.Handler = group.Handler("gate", gateServer.Handler)
	localServer.Handler = group.Handler("local", localServer.Handler)
	if a.worker != nil {
		a.worker.group = group
		group.Go("worker", func() { a.worker.pollLoop(background) })
	}
	group.Go("gate", func() { serve(gateServer, a.entryListener, group) })
	group.Go("local", func() { serve(localServer, a.localListener, group) })
	group.Go("heartbeats", func() { a.heartbeatLoop(background) })
	group.Go("expiry", func() { a.expiryLoop(background) })

	var err error
	select {
	case <-ctx.Done():
		a.shutDown(background, gateServer, localServer)
	case err = <-group.Failed():
		_ = gateServer.Close()
		_ = localServer.Close()
	}
	stop()
	group.Wait()
	a.forwarder.Close()
	return err
}

func (a *Agent) newServer(h http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(a.log),
	}
}

func serve(s *http.Server, l net.Listener, group *failstop.Group) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		group.Fail(errors.Wrap(err, "serving"))
	}
}

// expiryLoop expires announcements and closes connections to targets that were removed.
func (a *Agent) expiryLoop(ctx context.Context) {
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		a.updateGate(func(g *gate.Gate) { g.Expire(a.now()) })
		a.updateGauges()
	}
}

// updateGauges sets the gauges, and closes idle connections to addresses without a target.
func (a *Agent) updateGauges() {
	a.mu.Lock()
	inFlight, waiting := a.gate.InFlight(), a.gate.Waiting()
	records, tombstones := a.gate.RecordCounts()
	addresses := a.gate.Addresses()
	a.mu.Unlock()
	a.metrics.inFlight.Update(int64(inFlight))
	a.metrics.waiting.Update(int64(waiting))
	a.metrics.records.Update(int64(records))
	a.metrics.tombstones.Update(int64(tombstones))
	a.metrics.targets.Update(int64(len(addresses)))
	a.forwarder.Retain(addresses)
}

// updateGate calls f with the gate, delivers the gate's decisions about waiting attempts, and
// requests a heartbeat if the change must be announced to entries.
func (a *Agent) updateGate(f func(*gate.Gate)) {
	a.mu.Lock()
	before := a.gate.Revision()
	f(a.gate)
	a.deliverDecisions()
	changed := a.gate.Revision() != before
	a.mu.Unlock()
	if changed {
		a.requestHeartbeat()
	}
}

// requestHeartbeat requests a heartbeat soon. Concurrent requests result in one heartbeat.
func (a *Agent) requestHeartbeat() {
	select {
	case a.heartbeatRequested <- struct{}{}:
	default:
	}
}
