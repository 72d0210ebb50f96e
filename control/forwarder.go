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
	// triesPerDeadline divides the remaining time among tries that may be repeated, so that one
	// unresponsive host does not use all of it.
	triesPerDeadline = 3
	minTryTimeout    = 100 * time.Millisecond
	// maxHintsFollowed is the number of leader hints followed without a pause. It prevents a busy
	// loop between two hosts that each name the other as the leader.
	maxHintsFollowed = 3
	// defaultDeadline applies to callers that set no deadline.
	defaultDeadline = 5 * time.Second
)

// Forwarder implements Service on a host without a replica, and on a replica that is not the
// leader. It sends requests to the leader, which it finds by the hints in the responses of
// replicas. Adopt provides the configuration.
type Forwarder struct {
	client *http.Client
	// TryTimeout limits one try that may be repeated, in addition to its share of the caller's
	// deadline; 0 means no limit. It must be set before first use.
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

// NewForwarder returns a forwarder to the control hosts at the internal addresses peers (IP and
// port).
func NewForwarder(peers []string, client *http.Client) *Forwarder {
	return &Forwarder{
		peers:         slices.Clone(peers),
		client:        client,
		clients:       map[string]apiv1.Control{},
		configuration: &apiv1.Configuration{},
		changed:       make(chan struct{}),
	}
}

// SetPeers replaces the list of control hosts.
func (f *Forwarder) SetPeers(peers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peers = slices.Clone(peers)
}

// Propose implements Service.
func (f *Forwarder) Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	return f.propose(ctx, cmd, "", false)
}

// propose sends a command to the leader until it gets a result or ctx ends. maybeSent reports that
// an earlier try through another path may have committed the command. A try that may have committed
// is repeated only if safeToResend allows it, and its outcome remains unknown if the leader refuses the
// command then.
func (f *Forwarder) propose(ctx context.Context, cmd *apiv1.Command, hint string, maybeSent bool) (*apiv1.Result, error) {
	repeatable := safeToResend(cmd)
	cause := "no control host is known"
	var result *apiv1.Result
	tries := 0
	end, bounded := ctx.Deadline()
	f.tryControl(ctx, hint, repeatable, func(ctx context.Context, c apiv1.Control) (string, bool) {
		if tries > 0 && !maybeSent && bounded && time.Until(end) < minTryTimeout {
			return "", false // A try without an answer would leave the outcome open, which is certain so far.
		}
		tries++
		resp, err := c.Propose(ctx, &apiv1.ProposeRequest{Command: cmd})
		if err != nil {
			cause = err.Error()
			maybeSent = maybeSent || !failedBeforeSending(err)
			return "", !failedBeforeSending(err) && !repeatable
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
		return "", !repeatable
	})
	switch {
	case result != nil && maybeSent && decidedAnew(cmd, result):
		return nil, &UnknownError{Cause: "an earlier attempt without a response may still be committed: " + result.GetJob().String() + " " + result.GetMessage()}
	case result != nil:
		return result, nil
	case maybeSent:
		return nil, &UnknownError{Cause: cause}
	}
	return nil, &UnavailableError{RetryAfter: retryAfter, Cause: cause}
}

// Renew implements Service.
func (f *Forwarder) Renew(ctx context.Context, heartbeats []*apiv1.WorkerHeartbeat) ([]*apiv1.WorkerOrders, error) {
	return f.renew(ctx, heartbeats, "")
}

// renew may send heartbeats twice. Handling a renewal again only makes the leader count the lease
// for longer, and the agent accepts one response per sequence number.
func (f *Forwarder) renew(ctx context.Context, heartbeats []*apiv1.WorkerHeartbeat, hint string) ([]*apiv1.WorkerOrders, error) {
	cause := "no control host is known"
	var orders []*apiv1.WorkerOrders
	done := false
	f.tryControl(ctx, hint, true, func(ctx context.Context, c apiv1.Control) (string, bool) {
		resp, err := c.Renew(ctx, &apiv1.RenewRequest{Workers: heartbeats})
		if err != nil {
			cause = err.Error()
			return "", false
		}
		if !resp.Leader {
			cause = "no leader is ready"
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

// tryControl calls try with one control host after another, starting with the leader if it is
// known, until try returns stop or ctx ends. try returns the address of the leader as a hint, if it
// has one.
func (f *Forwarder) tryControl(ctx context.Context, hint string, divideDeadline bool, try func(context.Context, apiv1.Control) (hint string, stop bool)) {
	f.tryHosts(ctx, hint, divideDeadline, true, func(ctx context.Context, address string) (string, bool) {
		return try(ctx, f.clientOf(address))
	})
}

// TryHosts calls try with the address of one control host after another, starting with the leader
// if it is known, until try returns stop or ctx ends. try must be repeatable, and returns the
// address of the leader as a hint, if it has one. onlyLeaderStops states that try returns stop for
// the leader only; the address is then remembered as the leader's.
func (f *Forwarder) TryHosts(ctx context.Context, onlyLeaderStops bool, try func(ctx context.Context, address string) (hint string, stop bool)) {
	f.tryHosts(ctx, "", true, onlyLeaderStops, try)
}

func (f *Forwarder) tryHosts(ctx context.Context, hint string, divideDeadline, onlyLeaderStops bool, try func(context.Context, string) (hint string, stop bool)) {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	wait, followed := initialBackoff, 0
	for ctx.Err() == nil {
		address := f.nextAddress(hint)
		if address == "" {
			return
		}
		tryCtx, cancelTry := f.tryContext(ctx, divideDeadline)
		next, stop := try(tryCtx, address)
		cancelTry()
		if stop {
			if onlyLeaderStops {
				f.SetLeader(address)
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

func (f *Forwarder) tryContext(ctx context.Context, divideDeadline bool) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	if !divideDeadline {
		return context.WithDeadline(ctx, deadline)
	}
	timeout := max(minTryTimeout, time.Until(deadline)/triesPerDeadline)
	if f.TryTimeout > 0 {
		timeout = min(timeout, f.TryTimeout)
	}
	return context.WithTimeout(ctx, timeout)
}

// nextAddress returns the hinted host, or else the last known leader, or else the next peer.
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

// SetLeader makes address the first host that is tried, until a call to it fails.
func (f *Forwarder) SetLeader(address string) {
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

// failedBeforeSending reports whether a call failed before anything was sent, because no connection
// could be established.
func failedBeforeSending(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Adopt stores a configuration received from another entry, if it is newer, and the time at which
// the given version was confirmed to be the newest.
func (f *Forwarder) Adopt(cfg *apiv1.Configuration, version uint64, confirmedAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cfg != nil && cfg.Version > f.configuration.Version {
		f.configuration = cfg
		close(f.changed)
		f.changed = make(chan struct{})
	}
	// A confirmation of a version that this host does not have says nothing about its own version.
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

// LeaderAddress returns the internal address of the last known leader, empty when none is known.
func (f *Forwarder) LeaderAddress() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader
}
