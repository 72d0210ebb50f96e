package control

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/failstop"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/state"
)

const (
	// retryAfter is when a caller may come back that met no leader: about the time
	// of an election.
	retryAfter = time.Second
	// confirmationsPerBound is how often the configuration is confirmed within the
	// staleness bound, so that one lost round does not make this host stale.
	confirmationsPerBound      = 6
	confirmationTimeoutDivisor = 2
)

// Defaults of Config; the settings of a daemon have the same.
const (
	defaultLeaseDuration     = 6 * time.Second
	defaultClockRateErrorPPM = 1000
	defaultStalenessBound    = 3 * time.Second
	defaultPlanInterval      = 100 * time.Millisecond
)

// Config sets up a Replica. Values of zero take the defaults.
type Config struct {
	// LeaseDuration is how long a worker may run a task without a renewal.
	LeaseDuration time.Duration
	// ClockRateErrorPPM bounds the rate error of any host's clock, parts per million.
	ClockRateErrorPPM int64
	// StalenessBound is how old a confirmed configuration may be.
	StalenessBound time.Duration
	// PlanInterval is the least time between planning rounds.
	PlanInterval time.Duration
	Planner      Planner
	// Forwarder reaches the leader when it is not this replica. Without one,
	// commands and renewals are refused here.
	Forwarder *Forwarder
	// OnApplied is called after commands were applied or a snapshot was restored, by
	// the log's own goroutine; it must not block.
	OnApplied func()
	// Now reads the clock; time.Now when unset.
	Now     func() time.Time
	Logger  *zap.Logger
	Metrics metrics.Registry
}

func (c *Config) setDefaults() {
	c.LeaseDuration = cmp.Or(c.LeaseDuration, defaultLeaseDuration)
	c.ClockRateErrorPPM = cmp.Or(c.ClockRateErrorPPM, defaultClockRateErrorPPM)
	c.StalenessBound = cmp.Or(c.StalenessBound, defaultStalenessBound)
	c.PlanInterval = cmp.Or(c.PlanInterval, defaultPlanInterval)
	if c.OnApplied == nil {
		c.OnApplied = func() {}
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
}

// Replica is a member of the control group on an entry host: it applies the log
// to the state machine, and leads when the log elects it. It implements
// quorum.StateMachine for the log and Service for the entry.
type Replica struct {
	cfg       Config
	attached  atomic.Pointer[Log]
	clock     logClock
	started   time.Time // by its monotonic reading
	decisions decisionRing
	logger    *zap.Logger
	metrics   *replicaMetrics

	// mu guards the applied state and what follows from it.
	mu          sync.RWMutex
	machine     *state.Machine
	changed     chan struct{}
	confirmedAt time.Time

	// coordinatorMu guards the coordinator and its planner. It is taken before mu.
	coordinatorMu sync.Mutex
	coordinator   *coordinator
	throttles     map[string]throttle
}

var _ Service = (*Replica)(nil)

// NewReplica returns a replica with an empty state. Run makes it take part.
func NewReplica(cfg Config) *Replica {
	cfg.setDefaults()
	return &Replica{
		cfg:       cfg,
		logger:    event.Control.Named(cfg.Logger),
		metrics:   newReplicaMetrics(cfg.Metrics),
		machine:   state.New(),
		started:   cfg.Now(),
		changed:   make(chan struct{}),
		throttles: map[string]throttle{},
		decisions: decisionRing{logger: event.Place.Named(cfg.Logger)},
	}
}

// Attach gives the replica its log, which was built around it. Until then
// everything is refused: the other hosts have to reach this one for the log to
// come about.
func (r *Replica) Attach(log Log) { r.attached.Store(&log) }

func (r *Replica) log() Log {
	if l := r.attached.Load(); l != nil {
		return *l
	}
	return unattachedLog{}
}

// Run confirms the configuration and leads when elected, until ctx ends. It
// returns an error when an invariant is broken; the process must stop then.
func (r *Replica) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	group := failstop.New()
	defer group.Wait()
	defer cancel()
	group.Go("confirmation", func() { r.confirmLoop(ctx) })
	group.Go("leader", func() { r.leadLoop(ctx) })
	select {
	case err := <-group.Failed():
		return err
	case <-ctx.Done():
		return nil
	}
}

// Apply implements quorum.StateMachine.
func (r *Replica) Apply(index uint64, command []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.machine.Configuration().Version
	result := r.machine.ApplyEncoded(index, command)
	r.notifyChange(version)
	r.metrics.applied.Mark(1)
	r.cfg.OnApplied()
	return result
}

// ReadState runs f on the applied state, which f must not change nor keep.
func (r *Replica) ReadState(f func(*state.Machine)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.machine)
}

// Barrier returns once everything that was committed before the call is applied
// here; on a leader, success proves that it still led after the call.
func (r *Replica) Barrier(ctx context.Context) error {
	_, err := r.log().ReadBarrier(ctx)
	return err
}

// Leading returns this replica's term and whether it leads in it.
func (r *Replica) Leading() (term uint64, ok bool) { return r.log().Leading() }

// LeaderAddress returns the leader's internal address, empty when unknown.
func (r *Replica) LeaderAddress() string { return r.log().LeaderAddress() }

// Snapshot implements quorum.StateMachine.
func (r *Replica) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.machine.Snapshot()
}

// Restore implements quorum.StateMachine.
func (r *Replica) Restore(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	version := r.machine.Configuration().Version
	if err := r.machine.Restore(data); err != nil {
		return err
	}
	r.notifyChange(version)
	r.cfg.OnApplied()
	return nil
}

func (r *Replica) notifyChange(version uint64) {
	if r.machine.Configuration().Version == version {
		return
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Configuration implements Service.
func (r *Replica) Configuration() *apiv1.Configuration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.machine.Configuration()
}

// Changed implements Service.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// ConfirmedAt implements Service.
func (r *Replica) ConfirmedAt() time.Time {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.confirmedAt
}

// confirmLoop confirms by read barriers that the configuration here is the
// newest: everything committed before a barrier began is applied when it ends.
func (r *Replica) confirmLoop(ctx context.Context) {
	ticker := time.NewTicker(r.cfg.StalenessBound / confirmationsPerBound)
	defer ticker.Stop()
	for {
		r.confirm(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Replica) confirm(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.StalenessBound/confirmationTimeoutDivisor)
	defer cancel()
	began := r.cfg.Now()
	if _, err := r.log().ReadBarrier(ctx); err != nil {
		r.metrics.unconfirmed.Mark(1)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = began
}

// Propose implements Service: on the leader itself, or by way of it.
func (r *Replica) Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	res, err := r.ProposeLocal(ctx, cmd)
	if err == nil || r.cfg.Forwarder == nil {
		return res, unavailable(err)
	}
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		return r.cfg.Forwarder.propose(ctx, cmd, notLeader.LeaderAddress, false)
	}
	var unknown *UnknownError
	if errors.As(err, &unknown) && safeToResend(cmd) {
		return r.cfg.Forwarder.propose(ctx, cmd, r.log().LeaderAddress(), true)
	}
	return nil, err
}

// unavailable turns a NotLeaderError into what Service promises.
func unavailable(err error) error {
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		return &UnavailableError{RetryAfter: retryAfter, Cause: err.Error()}
	}
	return err
}

// ProposeLocal commits a command if this replica leads. Errors:
// *NotLeaderError, *UnavailableError, *UnknownError.
func (r *Replica) ProposeLocal(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	term, ok := r.log().Leading()
	if !ok {
		return nil, &NotLeaderError{LeaderAddress: r.log().LeaderAddress()}
	}
	// The leader's clock stamps the command: one clock per term, not one per host.
	now := r.cfg.Now()
	stamp := r.clock.stamp(term, now.UnixMilli(), now.Sub(r.started), r.timeMs())
	data, err := proto.Marshal(&apiv1.Command{TimeMs: stamp, ClockTerm: term, Body: cmd.Body})
	if err != nil {
		return nil, &UnavailableError{Cause: "command can't be encoded: " + err.Error()}
	}
	if len(data) > quorum.MaxCommandBytes {
		// No later try could succeed, so it is a refusal and not an absence.
		return &apiv1.Result{
			Verdict: apiv1.Verdict_VERDICT_REFUSED,
			Message: fmt.Sprintf("the command takes %d bytes, above the limit of %d", len(data), quorum.MaxCommandBytes),
		}, nil
	}
	began := time.Now()
	out, _, err := r.log().Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	r.metrics.commit.ObserveSince(began)
	res := &apiv1.Result{}
	if err := proto.Unmarshal(out, res); err != nil {
		return nil, &UnknownError{Cause: "result can't be decoded: " + err.Error()}
	}
	return res, nil
}

func (r *Replica) timeMs() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.machine.TimeMs()
}

// Renew implements Service.
func (r *Replica) Renew(ctx context.Context, beats []*apiv1.WorkerHeartbeat) ([]*apiv1.WorkerOrders, error) {
	orders, err := r.RenewLocal(ctx, beats)
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) && r.cfg.Forwarder != nil {
		return r.cfg.Forwarder.renew(ctx, beats, notLeader.LeaderAddress)
	}
	return orders, unavailable(err)
}
