// Package agent is the process beside the targets of one host: the gate in front
// of them, their announcements, heartbeats to the home entry, and leases at the
// platform's worker. Its decisions are made by the packages gate, home and lease,
// which do no I/O; this package is the driver around them.
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
	// maxDispatchBytes bounds a dispatch as entries send it.
	maxDispatchBytes = 32 << 20
	// maxTargetResponseBytes bounds a target's answer.
	maxTargetResponseBytes = 16 << 20
	// expireInterval is how often targets and leases are looked over.
	expireInterval = 100 * time.Millisecond
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
)

// Options is what an agent is made from.
type Options struct {
	Settings *settings.Agent
	// Logger defaults to none, Metrics to a registry of its own.
	Logger  *zap.Logger
	Metrics metrics.Registry
	// Worker is nil on a host that runs no platform worker.
	Worker worker.Worker
	// Now defaults to the wall clock at the start plus what BootNow has counted
	// since, and BootNow to worker.Now.
	Now     func() time.Time
	BootNow func() time.Duration
}

// Agent is one agent process.
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

	// worker is nil on a host that runs no platform worker.
	worker *workerDriver

	selector       *home.Selector
	entries        []apiv1.Control
	heartbeatState heartbeatState
	// heartbeatRequested asks the heartbeat loop for a heartbeat soon.
	heartbeatRequested chan struct{}
	// leaveAcknowledged is closed once an entry knows that the agent is leaving.
	leaveAcknowledged chan struct{}
	leaveOnce         sync.Once
}

// New binds both addresses of an agent. Run serves them and closes them in the end.
func New(o Options) (*Agent, error) {
	if o.Settings == nil || len(o.Settings.Entries) == 0 {
		return nil, errors.New("agent needs settings with at least one entry")
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
		// What an answer confirms counts from when its heartbeat was sent: a later one confirms nothing.
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

// steadyClock is not moved when somebody sets the wall clock, and counts the time
// that the host was suspended. With time.Now, whose monotonic reading stands still
// meanwhile, an agent that wakes would take a configuration from before as confirmed
// a moment ago.
func steadyClock(bootNow func() time.Duration) func() time.Time {
	wall, boot := time.Now().Round(0), bootNow()
	return func() time.Time { return wall.Add(bootNow() - boot) }
}

// newIncarnation tells this start of the agent from every other one. There is no
// disk to count starts on, so it is the wall clock in nanoseconds: two starts never
// share it unless the clock was set back to the very nanosecond. When a clock was
// set back, a younger incarnation may be the smaller number; so the gate and
// member.Directory compare incarnations for equality only, and the one heard last
// is current.
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

// Address returns the IP and port that entries dispatch to.
func (a *Agent) Address() string { return a.entryListener.Addr().String() }

// LocalAddress returns the IP and port that targets announce themselves at.
func (a *Agent) LocalAddress() string { return a.localListener.Addr().String() }

// Incarnation returns what tells this start of the agent from others.
func (a *Agent) Incarnation() uint64 { return a.incarnation }

// Run serves until ctx ends and then shuts down gracefully: it tells its home
// entry, refuses new work, and finishes what is in progress within the bound in its
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

// expiryLoop lets announcements run out and closes connections to targets that are gone.
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

// updateGauges sets the gauges.
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

// updateGate runs f on the gate, delivers what it decided about waiting attempts, and
// wakes the heartbeat when entries have to hear of the change.
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

// requestHeartbeat asks for a heartbeat soon. Requests that come together make one heartbeat.
func (a *Agent) requestHeartbeat() {
	select {
	case a.heartbeatRequested <- struct{}{}:
	default:
	}
}
