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
	// renewalBatchDelay is how long heartbeats wait for others, so that one message
	// to the leader carries many.
	renewalBatchDelay = 10 * time.Millisecond
	// renewalTimeout bounds one message to the leader. It is shorter than an
	// agent's heartbeat interval: the next heartbeat carries the same news.
	renewalTimeout = 800 * time.Millisecond
	// maxRenewalBatch bounds the heartbeats in one message.
	maxRenewalBatch = 256
)

// renewalBatcher gathers workers' heartbeats and passes them on to the leader.
type renewalBatcher struct {
	control control.Service
	log     *zap.Logger
	queue   chan renewal
}

type renewal struct {
	heartbeat *apiv1.WorkerHeartbeat
	// orders gets the leader's answer, nil when it could not be had.
	orders chan *apiv1.WorkerOrders
}

func newRenewalBatcher(c control.Service, log *zap.Logger) *renewalBatcher {
	return &renewalBatcher{control: c, log: log, queue: make(chan renewal, maxRenewalBatch)}
}

// renew returns the leader's orders for a worker, nil when nothing was renewed.
func (r *renewalBatcher) renew(ctx context.Context, beat *apiv1.WorkerHeartbeat) *apiv1.WorkerOrders {
	one := renewal{heartbeat: beat, orders: make(chan *apiv1.WorkerOrders, 1)}
	select {
	case r.queue <- one:
	case <-ctx.Done():
		return nil
	}
	select {
	case orders := <-one.orders:
		return orders
	case <-ctx.Done():
		return nil
	}
}

// run passes batches on until the context ends. Batches overlap: one that waits
// for a leader that is gone does not hold up the next.
func (r *renewalBatcher) run(ctx context.Context, group *failstop.Group) {
	for {
		batch := r.collectBatch(ctx)
		if batch == nil {
			return
		}
		group.Go("renewal", func() { r.sendBatch(ctx, batch) })
	}
}

// collectBatch waits for the first heartbeat and takes what else comes soon; nil when
// the context ends.
func (r *renewalBatcher) collectBatch(ctx context.Context) []renewal {
	var batch []renewal
	select {
	case one := <-r.queue:
		batch = append(batch, one)
	case <-ctx.Done():
		return nil
	}
	timer := time.NewTimer(renewalBatchDelay)
	defer timer.Stop()
	for len(batch) < maxRenewalBatch {
		select {
		case one := <-r.queue:
			batch = append(batch, one)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

// sendBatch sends one batch and hands each worker its orders.
func (r *renewalBatcher) sendBatch(ctx context.Context, batch []renewal) {
	ctx, cancel := context.WithTimeout(ctx, renewalTimeout)
	defer cancel()
	beats := make([]*apiv1.WorkerHeartbeat, 0, len(batch))
	for _, one := range batch {
		beats = append(beats, one.heartbeat)
	}
	orders, err := r.control.Renew(ctx, beats)
	if err != nil {
		r.log.Debug("renewal not passed on", zap.Int("workers", len(batch)), zap.Error(err))
	}
	byWorker := make(map[string]*apiv1.WorkerOrders, len(orders))
	for _, o := range orders {
		byWorker[o.GetWorker()] = o
	}
	for _, one := range batch {
		one.orders <- byWorker[one.heartbeat.GetWorker()]
	}
}
