package nodetest

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum/node"
)

var errLinkCut = errors.New("link is cut")

const linkQueueLength = 4096

// link is the transport of a replica in a Group.
type link struct {
	g           *Group
	from        string
	unreachable func(uint64)
	mu          sync.Mutex
	addresses   node.AddressBook
	queue       chan *apiv1.QuorumMessage
	closing     chan struct{}
	sender      conc.WaitGroup
}

var _ node.Transport = (*link)(nil)

// Start implements node.Transport.
func (l *link) Start(unreachable func(uint64)) {
	l.unreachable = unreachable
	l.queue = make(chan *apiv1.QuorumMessage, linkQueueLength)
	l.closing = make(chan struct{})
	l.sender.Go(l.run)
}

func (l *link) run() {
	for {
		select {
		case m := <-l.queue:
			l.deliver(m)
		case <-l.closing:
			return
		}
	}
}

func (l *link) deliver(m *apiv1.QuorumMessage) {
	l.mu.Lock()
	to := l.addresses.Address(m.To)
	l.mu.Unlock()
	n, err := l.g.nodeAt(l.from, to)
	if err != nil {
		l.unreachable(m.To)
		return
	}
	request := &apiv1.DeliverRequest{Cell: cell, Messages: []*apiv1.QuorumMessage{proto.CloneOf(m)}, SenderAddress: l.g.AddressOf(l.from)}
	if _, err := n.Service().Deliver(context.Background(), request); err != nil {
		l.unreachable(m.To)
	}
}

// SetMembers implements node.Transport.
func (l *link) SetMembers(m *apiv1.Membership) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses.SetMembers(m)
}

// RecordSender implements node.Transport.
func (l *link) RecordSender(id uint64, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses.RecordSender(id, address)
}

// Send implements node.Transport.
func (l *link) Send(messages []*apiv1.QuorumMessage) {
	for _, m := range messages {
		select {
		case l.queue <- m:
		default:
		}
	}
}

// Identify implements node.Transport.
func (l *link) Identify(ctx context.Context, address string, founder uint64) (*apiv1.IdentifyResponse, error) {
	if slices.Contains(l.g.Unresponsive, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if slices.Contains(l.g.WithoutReplica, address) {
		return &apiv1.IdentifyResponse{Name: address}, nil
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	n, err := l.g.nodeAt(l.from, address)
	if err != nil {
		return nil, err
	}
	l.g.IdentifyDelay()
	answer, err := n.Service().Identify(ctx, &apiv1.IdentifyRequest{Cell: cell, Founder: founder})
	l.g.IdentifyDelay()
	return answer, err
}

// Join implements node.Transport.
func (l *link) Join(ctx context.Context, address string, r *apiv1.Replica) (*apiv1.JoinResponse, error) {
	if slices.Contains(l.g.Unresponsive, address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n, err := l.g.nodeAt(l.from, address)
	if err != nil {
		return nil, err
	}
	return n.Service().Join(ctx, &apiv1.JoinRequest{Cell: cell, Replica: r})
}

// Leave implements node.Transport.
func (l *link) Leave(ctx context.Context, address string, id uint64) (*apiv1.LeaveResponse, error) {
	n, err := l.g.nodeAt(l.from, address)
	if err != nil {
		return nil, err
	}
	return n.Service().Leave(ctx, &apiv1.LeaveRequest{Cell: cell, ReplicaId: id})
}

// Close implements node.Transport.
func (l *link) Close() {
	close(l.closing)
	l.sender.Wait()
}
