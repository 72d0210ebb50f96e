package entry

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// shutdown stops the entry gracefully within the shutdown bound.
//
// The order matters. If the entry refused callers while the load balancer still sends them here, a
// planned stop would refuse requests that another host could have served. So the entry first
// reports not ready and continues to serve for the drain delay, with each response closing its
// connection; idle connections stay open for that time, since a request may be in transit on one
// of them. Then it stops accepting connections and finishes the requests in progress, transfers
// the leadership of the control group, and only then closes the addresses that agents and other
// entries use.
func (e *Entry) shutdown(internal, admin, callers *server) error {
	started := e.now()
	e.leaving.Store(true)
	e.log.Info("entry leaves", zap.Duration("bound", e.settings.ShutdownBound.Duration))
	ctx, cancel := context.WithTimeout(context.Background(), e.settings.ShutdownBound.Duration)
	defer cancel()
	sleepContext(ctx, e.settings.DrainDelay.Duration)
	if err := callers.http.Shutdown(ctx); err != nil {
		e.countCutOff()
		_ = callers.http.Close()
	}
	if !e.background.WaitUntil(ctx) {
		e.log.Warn("shutdown bound reached; outcomes not stored")
	}
	e.stopNode(ctx)
	_ = internal.http.Shutdown(ctx)
	closeAll(internal, admin)
	e.log.Info("entry stopped", zap.Duration("took", e.now().Sub(started)))
	return nil
}

// countCutOff records the requests that are aborted at the shutdown bound.
func (e *Entry) countCutOff() {
	n := e.inProgress.Load()
	e.metrics.cutOff.Inc(n)
	e.log.Error("shutdown bound reached; requests cut off", zap.Int64("requests", n))
}

// sleepContext waits for d. It returns false when the context ends first.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
