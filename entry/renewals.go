package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/failstop"
)

const (
	// renewalBatchDelay is the time from the first heartbeat of a batch to its sending, so
	// that one message to the leader carries many heartbeats.
	renewalBatchDelay = 10 * time.Millisecond
	// renewalTimeout bounds one message to the leader. It is shorter than an agent's heartbeat
	// interval, since the next heartbeat carries the same information.
	renewalTimeout = 800 * time.Millisecond
	// maxRenewalBatch is the maximum number of heartbeats in one message.
	maxRenewalBatch = 256
)

// renewalBatcher forwards workers' heartbeats to the leader in batches.
type renewalBatcher struct {
	control control.Service
	log     *zap.Logger
	queue   chan renewal
}

// renewal is a worker's heartbeat that waits for the leader's orders.
type renewal struct {
	heartbeat *apiv1.WorkerHeartbeat
	// orders receives the leader's orders, nil when there was no response.
	orders chan *apiv1.WorkerOrders
}

func newRenewalBatcher(c control.Service, log *zap.Logger) *renewalBatcher {
	return &renewalBatcher{control: c, log: log, queue: make(chan renewal, maxRenewalBatch)}
}

// renew returns the leader's orders for a worker, or nil when its lease was not renewed.
func (r *renewalBatcher) renew(ctx context.Context, heartbeat *apiv1.WorkerHeartbeat) *apiv1.WorkerOrders {
	request := renewal{heartbeat: heartbeat, orders: make(chan *apiv1.WorkerOrders, 1)}
	select {
	case r.queue <- request:
	case <-ctx.Done():
		return nil
	}
	select {
	case orders := <-request.orders:
		return orders
	case <-ctx.Done():
		return nil
	}
}

// run forwards batches until the context ends. Batches are sent concurrently, so that one that
// waits for an unavailable leader does not delay the next.
func (r *renewalBatcher) run(ctx context.Context, group *failstop.Group) {
	for {
		batch := r.collectBatch(ctx)
		if batch == nil {
			return
		}
		group.Go("renewal", func() { r.sendBatch(ctx, batch) })
	}
}

// collectBatch waits for the first heartbeat and adds those that arrive within renewalBatchDelay.
// It returns nil when the context ends before the first heartbeat.
func (r *renewalBatcher) collectBatch(ctx context.Context) []renewal {
	var batch []renewal
	select {
	case first := <-r.queue:
		batch = append(batch, first)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(renewalBatchDelay)
	defer timer.Stop()
	for len(batch) < maxRenewalBatch {
		select {
		case next := <-r.queue:
			batch = append(batch, next)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// sendBatch sends one batch to the leader and returns each worker's orders to its waiting request.
func (r *renewalBatcher) sendBatch(ctx context.Context, batch []renewal) {
	ctx, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	heartbeats := make([]*apiv1.WorkerHeartbeat, 0, len(batch))
	for _, request := range batch {
		heartbeats = append(heartbeats, request.heartbeat)
	}
	orders, err := r.control.Renew(ctx, heartbeats)
	if err != nil {
		r.log.Debug("forwarding worker heartbeats to the leader failed", zap.Int("workers", len(batch)), zap.Error(err))
	}
	byWorker := make(map[string]*apiv1.WorkerOrders, len(orders))
	for _, o := range orders {
		byWorker[o.GetWorker()] = o
	}
	for _, request := range batch {
		request.orders <- byWorker[request.heartbeat.GetWorker()]
	}
}
