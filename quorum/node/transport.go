package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/redial"
)

// Transport carries messages to the other replicas. It may lose, delay and repeat them.
type Transport interface {
	// Start is called once, before all other methods. The transport calls unreachable when
	// messages to a replica were lost.
	Start(unreachable func(id uint64))
	// SetMembers sets the addresses of the members.
	SetMembers(*apiv1.Membership)
	// RecordSender records the address of the sender of a message. The sender may be a member that
	// this replica does not know yet; see AddressBook.
	RecordSender(id uint64, address string)
	// Send queues messages and never blocks.
	Send([]*apiv1.QuorumMessage)
	// Identify requests the identity of the replica at an address; see apiv1.IdentifyRequest for
	// founder.
	Identify(ctx context.Context, address string, founder uint64) (*apiv1.IdentifyResponse, error)
	Join(ctx context.Context, address string, r *apiv1.Replica) (*apiv1.JoinResponse, error)
	// Leave requests that the leader at an address take the vote of the replica with the given id.
	Leave(ctx context.Context, address string, id uint64) (*apiv1.LeaveResponse, error)
	Close()
}

const (
	// queueLength is the maximum number of messages queued for one replica.
	queueLength = 1024
	// maxBatchBytes is the maximum size of the messages in a request, unless the first one alone
	// is larger.
	maxBatchBytes = 4 << 20

	defaultDeliverTimeout  = time.Second
	defaultSnapshotTimeout = 30 * time.Second
	dialTimeout            = time.Second
	idleTimeout            = time.Minute
)

// TwirpOptions configures a TwirpTransport.
type TwirpOptions struct {
	Cell string
	// Address is the address at which the other replicas reach this one.
	Address string
	Logger  *zap.Logger
	Metrics metrics.Registry
	// DeliverTimeout limits a request with messages; the default is 1 s. SnapshotTimeout limits a
	// request with a snapshot; the default is 30 s.
	DeliverTimeout  time.Duration
	SnapshotTimeout time.Duration
}

// TwirpTransport sends messages over HTTP. Each replica has its own queue and sender, so that an
// unresponsive replica does not delay messages to the others.
type TwirpTransport struct {
	opts        TwirpOptions
	client      *http.Client
	unreachable func(id uint64)
	ctx         context.Context
	cancel      context.CancelFunc
	senders     conc.WaitGroup
	dropped     metrics.Counter
	failures    metrics.Counter

	mu        sync.Mutex
	closed    bool
	addresses AddressBook
	peers     map[uint64]*peer
	clients   map[string]apiv1.Quorum
}

// NewTwirpTransport returns a transport to peers that serve Node.Handler.
func NewTwirpTransport(o TwirpOptions) *TwirpTransport {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.DeliverTimeout == 0 {
		o.DeliverTimeout = defaultDeliverTimeout
	}
	if o.SnapshotTimeout == 0 {
		o.SnapshotTimeout = defaultSnapshotTimeout
	}
	t := &TwirpTransport{
		opts:     o,
		client:   &http.Client{Transport: redial.New(redial.Options{DialTimeout: dialTimeout, IdleTimeout: idleTimeout})},
		dropped:  metrics.GetOrRegisterCounter("quorum.messages_queue_dropped", o.Metrics),
		failures: metrics.GetOrRegisterCounter("quorum.deliver_failures", o.Metrics),
		peers:    map[uint64]*peer{},
		clients:  map[string]apiv1.Quorum{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	return t
}

// Start implements Transport.
func (t *TwirpTransport) Start(unreachable func(id uint64)) { t.unreachable = unreachable }

// SetMembers implements Transport. It drops replicas that are no longer members, except recorded
// senders.
func (t *TwirpTransport) SetMembers(m *apiv1.Membership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addresses.SetMembers(m)
	t.updatePeersLocked()
}

// RecordSender implements Transport.
func (t *TwirpTransport) RecordSender(id uint64, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.addresses.Address(id) == address {
		return
	}
	t.addresses.RecordSender(id, address)
	t.updatePeersLocked()
}

// updatePeersLocked starts and stops peers to match the known addresses. The caller must hold
// t.mu.
func (t *TwirpTransport) updatePeersLocked() {
	if t.closed {
		return
	}
	all := t.addresses.All()
	for id, p := range t.peers {
		if all[id] != p.address {
			p.close()
			delete(t.peers, id)
		}
	}
	for id, address := range all {
		if t.peers[id] == nil {
			t.peers[id] = t.startPeerLocked(id, address)
		}
	}
}

// Send implements Transport.
func (t *TwirpTransport) Send(messages []*apiv1.QuorumMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range messages {
		p := t.peers[m.To]
		if p == nil {
			t.dropped.Inc(1)
			continue
		}
		p.enqueue(m)
	}
}

// clientForLocked returns the client for an address. The caller must hold t.mu.
func (t *TwirpTransport) clientForLocked(address string) apiv1.Quorum {
	c := t.clients[address]
	if c == nil {
		c = apiv1.NewQuorumProtobufClient("http://"+address, t.client)
		t.clients[address] = c
	}
	return c
}

func (t *TwirpTransport) clientFor(address string) apiv1.Quorum {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.clientForLocked(address)
}

// Identify implements Transport.
func (t *TwirpTransport) Identify(ctx context.Context, address string, founder uint64) (*apiv1.IdentifyResponse, error) {
	return t.clientFor(address).Identify(ctx, &apiv1.IdentifyRequest{Cell: t.opts.Cell, Founder: founder})
}

// Join implements Transport.
func (t *TwirpTransport) Join(ctx context.Context, address string, r *apiv1.Replica) (*apiv1.JoinResponse, error) {
	return t.clientFor(address).Join(ctx, &apiv1.JoinRequest{Cell: t.opts.Cell, Replica: r})
}

// Leave implements Transport.
func (t *TwirpTransport) Leave(ctx context.Context, address string, id uint64) (*apiv1.LeaveResponse, error) {
	return t.clientFor(address).Leave(ctx, &apiv1.LeaveRequest{Cell: t.opts.Cell, ReplicaId: id})
}

// Close implements Transport. It drops queued messages.
func (t *TwirpTransport) Close() {
	t.mu.Lock()
	t.closed = true
	for _, p := range t.peers {
		p.close()
	}
	t.mu.Unlock()
	t.cancel()
	t.senders.Wait()
	t.client.CloseIdleConnections()
}
