// Package node runs a replica of the control group. It passes ticks, messages and proposals to the
// consensus core, stores and sends what the core returns, and applies committed entries to the
// state machine. One goroutine, the event loop, owns the core, the log on disk and the state
// machine. Proposals that arrive while the log is being synced share the next sync (group commit).
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/wal"
)

// Storage is a replica's data folder. *wal.Log implements it.
type Storage interface {
	quorum.Storage
	// Identity returns nil for an empty folder.
	Identity() (*apiv1.ReplicaIdentity, error)
	SaveIdentity(*apiv1.ReplicaIdentity) error
	// StageSnapshot stores a snapshot and may run concurrently with other calls. CommitSnapshot
	// then drops the log before the snapshot.
	StageSnapshot(*apiv1.QuorumSnapshot) error
	CommitSnapshot(*apiv1.SnapshotMeta) error
}

// Leadership reports whether this replica is the leader of a term.
type Leadership struct {
	Term uint64
	// Leading is set once an entry of the replica's own term is applied. The state machine then
	// holds everything that any earlier leader acknowledged.
	Leading bool
}

// Node is a running replica. Its methods are safe for concurrent use.
type Node struct {
	opts      Options
	logger    *zap.Logger
	metrics   metricSet
	storage   Storage
	transport Transport
	rand      *rand.Rand
	identity  atomic.Pointer[apiv1.ReplicaIdentity]
	// storedTerm is the term found on disk at start.
	storedTerm uint64

	// Inputs of the event loop.
	inbox        chan *apiv1.QuorumMessage
	proposals    chan *proposal
	barriers     chan *barrier
	calls        chan func() error
	unreachable  chan uint64
	stop         chan struct{}
	stopOnce     sync.Once
	closeOnce    sync.Once
	shuttingDown atomic.Bool

	// Owned by the event loop.
	raft      *quorum.Raft
	stored    quorum.StoredState
	hardState *apiv1.HardState
	applied   uint64
	// appliedBytes is the size of the entries applied since the newest snapshot, and lastSnapshotBytes that
	// of the snapshot.
	appliedBytes, lastSnapshotBytes uint64
	// snapshotIndex is the index of the newest snapshot, including one that is still being stored.
	snapshotIndex       uint64
	snapshotInProgress  bool
	pendingProposals    []*proposal
	reads               readQueue
	leadership          Leadership
	ticksSinceReconcile int
	leavers             leavers

	// Owned by the goroutine that forms or joins the group.
	loggedAnswers joinAnswers
	// withoutReplica holds the names of peers that reported that they keep no replica.
	withoutReplica     map[string]bool
	leaderlessLoggedAt time.Time

	view       view
	goroutines conc.WaitGroup
	// staging tracks the goroutines that write snapshot files. The folder is closed after they
	// end.
	staging conc.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
	// done is closed when the event loop has ended; err is final before that.
	done   chan struct{}
	err    error
	failed chan error
}

// Start reads the data folder and starts the replica. It returns before the replica belongs to a
// group, because the other replicas must reach its handler to form one. Errors are
// *wal.LockedError, *wal.DamageError, *wal.WriteError and *FolderError.
func Start(o Options) (*Node, error) {
	o.setDefaults()
	n := &Node{
		opts:          o,
		logger:        o.Logger,
		metrics:       newMetricSet(o.Metrics),
		storage:       o.Storage,
		transport:     o.Transport,
		rand:          rand.New(rand.NewPCG(o.Seed, 0)),
		inbox:         make(chan *apiv1.QuorumMessage, inboxLength),
		proposals:     make(chan *proposal, maxUncommitted),
		barriers:      make(chan *barrier, maxUncommitted),
		calls:         make(chan func() error),
		unreachable:   make(chan uint64, quorum.MaxReplicas),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
		failed:        make(chan error, 1),
		loggedAnswers: joinAnswers{},
		leavers:       newLeavers(),

		withoutReplica: map[string]bool{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if n.storage == nil {
		l, err := wal.Open(wal.Options{Folder: o.Folder, Logger: o.Logger})
		if err != nil {
			return nil, err
		}
		n.storage = l
	}
	if err := n.load(); err != nil {
		n.storage.Close()
		return nil, err
	}
	if n.transport == nil {
		n.transport = NewTwirpTransport(TwirpOptions{Cell: o.Cell, Address: o.Address, Logger: n.logger, Metrics: o.Metrics})
	}
	n.transport.Start(n.reportUnreachable)
	n.goroutines.Go(n.run)
	return n, nil
}

// load reads the data folder. It stores the identity first: a replica that answered under an id
// and then lost that id would be counted twice.
func (n *Node) load() error {
	id, err := n.storage.Identity()
	if err != nil {
		return err
	}
	if id == nil {
		id = &apiv1.ReplicaIdentity{Cell: n.opts.Cell, Name: n.opts.Name, ReplicaId: newReplicaID()}
		if err := n.storage.SaveIdentity(id); err != nil {
			return err
		}
	}
	if id.Cell != n.opts.Cell || id.Name != n.opts.Name {
		return &FolderError{Cell: id.Cell, Name: id.Name}
	}
	n.identity.Store(id)
	n.stored, err = n.storage.Load()
	if err != nil {
		return err
	}
	n.storedTerm = n.stored.HardState.GetTerm()
	if n.stored.Snapshot == nil {
		return nil
	}
	n.view.pendingMembership = n.stored.Snapshot.Meta.Membership
	return n.restore(n.stored.Snapshot)
}

func (n *Node) restore(s *apiv1.QuorumSnapshot) error {
	if err := n.opts.StateMachine.Restore(s.Data); err != nil {
		return errors.Wrapf(err, "snapshot at %d can't be restored", s.Meta.Index)
	}
	n.applied = s.Meta.Index
	n.recordSnapshot(s.Meta.Index, len(s.Data))
	return nil
}

func (n *Node) id() uint64 { return n.identity.Load().ReplicaId }

// run is the replica's main goroutine.
func (n *Node) run() {
	defer func() {
		if v := recover(); v != nil {
			// conc would keep the panic until Stop, and the daemon would continue without its
			// replica. finish reports the panic through Failed immediately.
			n.finish(&InvariantError{Value: v})
			panic(v)
		}
	}()
	n.finish(n.runUntilStopped())
}

func (n *Node) runUntilStopped() error {
	joining, err := n.form()
	if err != nil || n.stopping() {
		return err
	}
	if err := n.startCore(); err != nil {
		return err
	}
	n.goroutines.Go(func() { n.joinGroup(joining) })
	return n.loop()
}

func (n *Node) startCore() error {
	r, err := quorum.New(quorum.Config{
		ID:                   n.id(),
		ElectionTicks:        n.opts.ElectionTicks,
		HeartbeatTicks:       n.opts.HeartbeatTicks,
		MaxEntriesPerMessage: maxEntriesPerMessage,
		MaxInflight:          maxInflight,
		MaxUncommitted:       maxUncommitted,
		Rand:                 n.rand,
	}, n.stored)
	if err != nil {
		return err
	}
	n.raft = r
	n.hardState = n.stored.HardState
	n.stored = quorum.StoredState{}
	n.publishStatus()
	return nil
}

func (n *Node) stopping() bool {
	select {
	case <-n.stop:
		return true
	default:
		return false
	}
}

// finish ends the replica. err is nil for a planned stop. A failure is reported before the files are closed,
// because a stalled disk may hold that up for any time.
func (n *Node) finish(err error) {
	n.err = err
	n.setLeadership(Leadership{Term: n.leadership.Term})
	n.failPendingProposals("the replica stopped")
	n.cancel()
	n.publishStopped()
	n.reportFailure(err)
	n.staging.Wait()
	if closeErr := n.storage.Close(); err == nil && closeErr != nil {
		n.err = closeErr
		n.reportFailure(closeErr)
	}
	close(n.done)
}

func (n *Node) reportFailure(err error) {
	if err != nil {
		event.ReplicaStopped.Write(n.logger, event.Err(err))
		n.failed <- err
	}
}

// Failed returns a channel that receives the error that stopped the replica: a *wal.WriteError, a
// *wal.DamageError, quorum.ErrLostEntries or an *InvariantError. All calls fail afterwards.
func (n *Node) Failed() <-chan error { return n.failed }

// stoppedError returns the error that every call on a stopped replica returns.
func (n *Node) stoppedError() error { return &StoppedError{Cause: n.err} }

// Stop transfers leadership, has the leader take this replica's vote if the group is better off
// without it, then syncs and closes the log. If ctx ends first, it stops without these. It may be called
// repeatedly.
func (n *Node) Stop(ctx context.Context) error {
	n.shuttingDown.Store(true)
	if err := n.TransferLeadership(ctx); err != nil && ctx.Err() != nil {
		event.LeaderReplicaStopping.Write(n.logger, event.Err(err))
	}
	n.leave(ctx)
	n.stopOnce.Do(func() { close(n.stop) })
	n.cancel()
	<-n.done
	n.closeOnce.Do(n.transport.Close)
	n.goroutines.Wait()
	return n.err
}

// callOnLoop runs f on the event loop and waits for it to return. An error from f stops the
// replica.
func (n *Node) callOnLoop(ctx context.Context, f func() error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	finished := make(chan struct{})
	call := func() error {
		defer close(finished)
		return f()
	}
	select {
	case n.calls <- call:
	case <-n.done:
		return n.stoppedError()
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-finished:
		return nil
	case <-n.done:
		return n.stoppedError()
	}
}

func (n *Node) reportUnreachable(id uint64) {
	select {
	case n.unreachable <- id:
	default:
		// The core also detects lost messages from heartbeat responses.
	}
}
