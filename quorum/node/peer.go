package node

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
)

// peer queues messages for one replica and sends them in order, one request at a
// time. Snapshots are sent beside them: one takes long, and the heartbeats that
// wait behind it would cost the leader its majority.
type peer struct {
	t       *TwirpTransport
	id      uint64
	address string
	client  apiv1.Quorum

	mu        sync.Mutex
	queue     []*apiv1.QuorumMessage
	wake      chan struct{}
	snapshots chan *apiv1.QuorumMessage
	ctx       context.Context
	close     context.CancelFunc
}

// startPeerLocked starts a replica's senders; t.mu is held.
func (t *TwirpTransport) startPeerLocked(id uint64, address string) *peer {
	p := &peer{
		t: t, id: id, address: address,
		client:    t.clientForLocked(address),
		wake:      make(chan struct{}, 1),
		snapshots: make(chan *apiv1.QuorumMessage, 1),
	}
	p.ctx, p.close = context.WithCancel(t.ctx)
	t.senders.Go(p.sendMessages)
	t.senders.Go(p.sendSnapshots)
	return p
}

// enqueue queues a message. When the queue is full the oldest goes: every message may
// be lost, and the newer one says more about the leader and its log.
func (p *peer) enqueue(m *apiv1.QuorumMessage) {
	if m.Kind == apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT {
		select {
		case p.snapshots <- m:
		default:
			p.t.dropped.Inc(1)
		}
		return
	}
	p.mu.Lock()
	if len(p.queue) >= queueLength {
		p.queue = p.queue[1:]
		p.t.dropped.Inc(1)
	}
	p.queue = append(p.queue, m)
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// nextBatch removes the messages of the next request from the queue.
func (p *peer) nextBatch() []*apiv1.QuorumMessage {
	p.mu.Lock()
	defer p.mu.Unlock()
	size, count := 0, 0
	for _, m := range p.queue {
		size += proto.Size(m)
		if count > 0 && size > maxBatchBytes {
			break
		}
		count++
	}
	batch := p.queue[:count:count]
	p.queue = p.queue[count:]
	return batch
}

func (p *peer) sendMessages() {
	for {
		select {
		case <-p.wake:
		case <-p.ctx.Done():
			return
		}
		for batch := p.nextBatch(); len(batch) > 0 && p.ctx.Err() == nil; batch = p.nextBatch() {
			p.deliver(batch, p.t.opts.DeliverTimeout)
		}
	}
}

func (p *peer) sendSnapshots() {
	for {
		select {
		case m := <-p.snapshots:
			p.deliver([]*apiv1.QuorumMessage{m}, p.t.opts.SnapshotTimeout)
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *peer) deliver(batch []*apiv1.QuorumMessage, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(p.ctx, timeout)
	defer cancel()
	_, err := p.client.Deliver(ctx, &apiv1.DeliverRequest{
		Cell: p.t.opts.Cell, Messages: batch, SenderAddress: p.t.opts.Address,
	})
	if err == nil || p.ctx.Err() != nil {
		return
	}
	p.t.failures.Inc(1)
	event.MessagesLost.Write(p.t.opts.Logger, event.Address(p.address), event.Err(err))
	p.t.unreachable(p.id)
}
