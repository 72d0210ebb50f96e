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
	// retryAfter is the delay suggested to a caller that found no leader: about the time of an
	// election.
	retryAfter = time.Second
	// confirmationsPerBound is the number of times that the configuration is confirmed within the
	// staleness bound, so that one lost confirmation does not make this host stale.
	confirmationsPerBound      = 6
	confirmationTimeoutDivisor = 2
)

// Defaults of Config. The settings of the daemons have the same defaults.
const (
	defaultLeaseDuration     = 6 * time.Second
	defaultClockRateErrorPPM = 1000
	defaultStalenessBound    = 3 * time.Second
	defaultPlanInterval      = 100 * time.Millisecond
)

// Config configures a Replica. Zero values select the defaults.
type Config struct {
	// LeaseDuration is how long a worker may run a task without a renewal.
	LeaseDuration time.Duration
	// ClockRateErrorPPM is the upper bound of the rate error of any host's clock, in parts per
	// million.
	ClockRateErrorPPM int64
	// StalenessBound is the maximum age of a confirmed configuration.
	StalenessBound time.Duration
	// PlanInterval is the minimum time from the end of one planning round to the start of the next.
	PlanInterval time.Duration
	Planner      Planner
	// Forwarder reaches the leader when this replica does not lead. Without a Forwarder, such a
	// replica refuses commands and renewals.
	Forwarder *Forwarder
	// SubmitJob decides on a submitted job on the leader; nil accepts all. It either calls propose,
	// which commits the submission, and returns its result, or returns a result of its own without any
	// proposal.
	SubmitJob func(ctx context.Context, spec *apiv1.JobSpec, propose ProposeFunc) (*apiv1.Result, error)
	// OnApplied is called after a command was applied or a snapshot was restored, by the log's own
	// goroutine; it must not block.
	OnApplied func()
	// Now reads the clock; the default is time.Now.
	Now     func() time.Time
	Logger  *zap.Logger
	Metrics metrics.Registry
}

// ProposeFunc commits a command; see Replica.ProposeLocal for errors.
type ProposeFunc func(ctx context.Context) (*apiv1.Result, error)

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

// Replica is a member of the control group on an entry host. It applies the log to the state
// machine, and leads when it is elected. It implements quorum.StateMachine for the log and Service
// for the entry.
type Replica struct {
	cfg       Config
	attached  atomic.Pointer[Log]
	clock     logClock
	started   time.Time // used for its monotonic reading
	decisions decisionRing
	logger    *zap.Logger
	metrics   *replicaMetrics

	// mu guards the applied state and what is derived from it.
	mu          sync.RWMutex
	machine     *state.Machine
	changed     chan struct{}
	confirmedAt time.Time

	// coordinatorMu guards the coordinator and its planner. It must be acquired before mu.
	coordinatorMu sync.Mutex
	coordinator   *coordinator
	throttles     map[string]throttle
}

var _ Service = (*Replica)(nil)

// NewReplica returns a replica with an empty state. Attach and Run start it.
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

// Attach sets the replica's log, which is created after the replica. Until then all requests are
// refused. The replica must already be reachable, because the other hosts have to reach this one
// before the log can be created.
func (r *Replica) Attach(log Log) { r.attached.Store(&log) }

func (r *Replica) log() Log {
	if l := r.attached.Load(); l != nil {
		return *l
	}
	return unattachedLog{}
}

// Run confirms the configuration, and leads when elected, until ctx ends. It returns an error when
// an invariant is violated; the process must then stop.
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

// ReadState calls f with the applied state, which f must neither change nor retain.
func (r *Replica) ReadState(f func(*state.Machine)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.machine)
}

// Barrier returns once everything that was committed before the call is applied on this replica. On
// a leader, success confirms that it still led after the call.
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

// confirmLoop confirms with read barriers that this replica's configuration is the newest:
// everything committed before a barrier began is applied when it returns.
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
	start := r.cfg.Now()
	if _, err := r.log().ReadBarrier(ctx); err != nil {
		r.metrics.unconfirmed.Mark(1)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = start
}

// Propose implements Service, on the leader itself or by forwarding to it.
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

// unavailable converts a NotLeaderError to the UnavailableError documented by Service.
func unavailable(err error) error {
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		return &UnavailableError{RetryAfter: retryAfter, Cause: err.Error()}
	}
	return err
}

// ProposeLocal commits a command if this replica leads, and in the term that the command names as its
// clock_term, if any. Errors: *NotLeaderError, *UnavailableError, *UnknownError.
func (r *Replica) ProposeLocal(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	term, ok := r.log().Leading()
	if !ok || cmd.ClockTerm != 0 && cmd.ClockTerm != term {
		return nil, &NotLeaderError{LeaderAddress: r.log().LeaderAddress()}
	}
	if spec := cmd.GetJobs().GetSubmit().GetSpec(); spec != nil && r.cfg.SubmitJob != nil {
		return r.cfg.SubmitJob(ctx, spec, func(ctx context.Context) (*apiv1.Result, error) {
			return r.proposeInTerm(ctx, term, cmd)
		})
	}
	return r.proposeInTerm(ctx, term, cmd)
}

// proposeInTerm commits a command under the clock of a term.
func (r *Replica) proposeInTerm(ctx context.Context, term uint64, cmd *apiv1.Command) (*apiv1.Result, error) {
	// The leader's clock sets the timestamp, so that a term uses one clock, not one per host.
	now := r.cfg.Now()
	stamp := r.clock.stamp(term, now.UnixMilli(), now.Sub(r.started), r.timeMs())
	data, err := proto.Marshal(&apiv1.Command{TimeMs: stamp, ClockTerm: term, Body: cmd.Body})
	if err != nil {
		return nil, &UnavailableError{Cause: "command cannot be encoded: " + err.Error()}
	}
	if len(data) > quorum.MaxCommandBytes {
		// No later try could succeed, so the command is refused instead of reported unavailable.
		return &apiv1.Result{
			Verdict: apiv1.Verdict_VERDICT_REFUSED,
			Message: fmt.Sprintf("the command of %d bytes exceeds the limit of %d bytes", len(data), quorum.MaxCommandBytes),
		}, nil
	}
	start := time.Now()
	out, _, err := r.log().Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	r.metrics.commit.ObserveSince(start)
	res := &apiv1.Result{}
	if err := proto.Unmarshal(out, res); err != nil {
		return nil, &UnknownError{Cause: "result cannot be decoded: " + err.Error()}
	}
	return res, nil
}

func (r *Replica) timeMs() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.machine.TimeMs()
}

// Renew implements Service.
func (r *Replica) Renew(ctx context.Context, heartbeats []*apiv1.WorkerHeartbeat) ([]*apiv1.WorkerOrders, error) {
	orders, err := r.RenewLocal(ctx, heartbeats)
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) && r.cfg.Forwarder != nil {
		return r.cfg.Forwarder.renew(ctx, heartbeats, notLeader.LeaderAddress)
	}
	return orders, unavailable(err)
}
