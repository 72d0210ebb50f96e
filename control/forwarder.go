package control

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
	// triesPerDeadline divides the time left among tries that may be repeated, so
	// that one frozen host does not use it all up.
	triesPerDeadline = 3
	minTryTimeout    = 100 * time.Millisecond
	// maxHintsFollowed is how many hints are followed without a pause: two hosts that each
	// take the other for the leader must not be asked in a busy loop.
	maxHintsFollowed = 3
	// defaultDeadline holds for callers that set none.
	defaultDeadline = 5 * time.Second
)

// Forwarder implements Service on a host that is no replica, and on a replica
// that does not lead: it sends to the leader, which it finds by the hints of the
// replicas that it asks. The configuration is handed to it by Adopt.
type Forwarder struct {
	client *http.Client
	// TryTimeout bounds one try that may be repeated, beside its share of the
	// caller's deadline; 0 is no bound. Set it before use.
	TryTimeout time.Duration

	mu            sync.Mutex
	peers         []string
	clients       map[string]apiv1.Control
	leader        string
	nextPeer      int
	configuration *apiv1.Configuration
	confirmedAt   time.Time
	changed       chan struct{}
}

var _ Service = (*Forwarder)(nil)

// NewForwarder returns a forwarder to the control hosts at peers, which are
// internal addresses (IP and port).
func NewForwarder(peers []string, client *http.Client) *Forwarder {
	return &Forwarder{
		peers:         slices.Clone(peers),
		client:        client,
		clients:       map[string]apiv1.Control{},
		configuration: &apiv1.Configuration{},
		changed:       make(chan struct{}),
	}
}

// SetPeers replaces the control hosts that are asked.
func (f *Forwarder) SetPeers(peers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = slices.Clone(peers)
}

// Propose implements Service.
func (f *Forwarder) Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	return f.propose(ctx, cmd, "", false)
}

// propose sends a command to the leader until it has an answer or ctx ends.
// maybeSent says that an earlier try, elsewhere, may have committed it. A try
// that may have committed is repeated only where resendable says so.
func (f *Forwarder) propose(ctx context.Context, cmd *apiv1.Command, hint string, maybeSent bool) (*apiv1.Result, error) {
	again := safeToResend(cmd)
	cause := "no control host is known"
	var result *apiv1.Result
	f.tryControl(ctx, hint, again, func(ctx context.Context, c apiv1.Control) (string, bool) {
		resp, err := c.Propose(ctx, &apiv1.ProposeRequest{Command: cmd})
		if err != nil {
			cause = err.Error()
			maybeSent = maybeSent || !failedBeforeSending(err)
			return "", !failedBeforeSending(err) && !again
		}
		res, err := decodeProposeResponse(resp)
		if err == nil {
			result = res
			return "", true
		}
		cause = err.Error()
		var notLeader *NotLeaderError
		if errors.As(err, &notLeader) {
			return notLeader.LeaderAddress, false
		}
		maybeSent = true
		return "", !again
	})
	switch {
	case result != nil:
		return result, nil
	case maybeSent:
		return nil, &UnknownError{Cause: cause}
	}
	return nil, &UnavailableError{RetryAfter: retryAfter, Cause: cause}
}

// Renew implements Service.
func (f *Forwarder) Renew(ctx context.Context, beats []*apiv1.WorkerHeartbeat) ([]*apiv1.WorkerOrders, error) {
	return f.renew(ctx, beats, "")
}

// renew may send heartbeats twice: a renewal that is handled again only makes the
// leader count longer, and the agent takes one answer per sequence number.
func (f *Forwarder) renew(ctx context.Context, beats []*apiv1.WorkerHeartbeat, hint string) ([]*apiv1.WorkerOrders, error) {
	cause := "no control host is known"
	var orders []*apiv1.WorkerOrders
	done := false
	f.tryControl(ctx, hint, true, func(ctx context.Context, c apiv1.Control) (string, bool) {
		resp, err := c.Renew(ctx, &apiv1.RenewRequest{Workers: beats})
		if err != nil {
			cause = err.Error()
			return "", false
		}
		if !resp.Leader {
			cause = "no leader that is ready"
			return resp.LeaderAddress, false
		}
		orders, done = resp.Orders, true
		return "", true
	})
	if !done {
		return nil, &UnavailableError{RetryAfter: retryAfter, Cause: cause}
	}
	return orders, nil
}

// tryControl calls try with one control host after another, the leader as far as it is
// known first, until try says stop or ctx ends. try returns a hint of the leader.
func (f *Forwarder) tryControl(ctx context.Context, hint string, divide bool, try func(context.Context, apiv1.Control) (hint string, stop bool)) {
	f.tryHosts(ctx, hint, divide, true, func(ctx context.Context, address string) (string, bool) {
		return try(ctx, f.clientOf(address))
	})
}

// TryHosts calls try with the address of one control host after another, the leader as
// far as it is known first, until try says stop or ctx ends. try returns a hint of
// the leader and is repeatable. leads says that only the leader stops it.
func (f *Forwarder) TryHosts(ctx context.Context, leads bool, try func(ctx context.Context, address string) (hint string, stop bool)) {
	f.tryHosts(ctx, "", true, leads, try)
}

func (f *Forwarder) tryHosts(ctx context.Context, hint string, divide, leads bool, try func(context.Context, string) (hint string, stop bool)) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	wait, followed := initialBackoff, 0
	for ctx.Err() == nil {
		address := f.nextAddress(hint)
		if address == "" {
			return
		}
		tryCtx, cancelTry := f.tryContext(ctx, divide)
		next, stop := try(tryCtx, address)
		cancelTry()
		if stop {
			if leads {
				f.setLeader(address)
			}
			return
		}
		f.clearLeader(address)
		if next != "" && next != address && followed < maxHintsFollowed {
			hint = next
			followed++
			continue
		}
		hint = ""
		followed = 0
		sleep(ctx, wait)
		wait = min(2*wait, maxBackoff)
	}
}

func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultDeadline)
}

func (f *Forwarder) tryContext(ctx context.Context, divide bool) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	if !divide {
		return context.WithDeadline(ctx, deadline)
	}
	timeout := max(minTryTimeout, time.Until(deadline)/triesPerDeadline)
	if f.TryTimeout > 0 {
		timeout = min(timeout, f.TryTimeout)
	}
	return context.WithTimeout(ctx, timeout)
}

// nextAddress returns the hinted host, else the last known leader, else the next peer.
func (f *Forwarder) nextAddress(hint string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	address := hint
	if address == "" {
		address = f.leader
	}
	if address == "" {
		if len(f.peers) == 0 {
			return ""
		}
		address = f.peers[f.nextPeer%len(f.peers)]
		f.nextPeer++
	}
	return address
}

func (f *Forwarder) clientOf(address string) apiv1.Control {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.clients[address]
	if c == nil {
		c = apiv1.NewControlProtobufClient("http://"+address, f.client)
		f.clients[address] = c
	}
	return c
}

func (f *Forwarder) setLeader(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = address
}

func (f *Forwarder) clearLeader(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == address {
		f.leader = ""
	}
}

// failedBeforeSending reports whether a call failed before anything was sent: no connection
// came about.
func failedBeforeSending(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Adopt takes over a configuration that another entry passed on, if it is newer,
// and the time at which it is known to have been the newest.
func (f *Forwarder) Adopt(cfg *apiv1.Configuration, version uint64, confirmedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cfg != nil && cfg.Version > f.configuration.Version {
		f.configuration = cfg
		close(f.changed)
		f.changed = make(chan struct{})
	}
	// A confirmation of a version that is not here says nothing about this one.
	if version <= f.configuration.Version && confirmedAt.After(f.confirmedAt) {
		f.confirmedAt = confirmedAt
	}
}

// Configuration implements Service.
func (f *Forwarder) Configuration() *apiv1.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configuration
}

// ConfirmedAt implements Service.
func (f *Forwarder) ConfirmedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

// Changed implements Service.
func (f *Forwarder) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// LeaderAddress returns the internal address of the leader as last learnt, empty
// when none is known.
func (f *Forwarder) LeaderAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}
