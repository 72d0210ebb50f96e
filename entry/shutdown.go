package entry

import (
	"context"
	"time"

	"go.uber.org/zap"
)

// shutdown ends the entry without cutting off a request.
//
// The order matters. A balancer that still sends callers here while the entry
// refuses them would turn a planned stop into refusals that another host could have
// served. So the entry first reports not ready and goes on serving for the drain
// delay, with each answer closing its connection; idle connections stay open that
// long, since a request may be on its way over one of them. Then it stops accepting
// and finishes what is in progress; the control group's leadership is handed over;
// and only then the addresses that agents and other entries use close.
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

// countCutOff records the requests that the shutdown bound ends.
func (e *Entry) countCutOff() {
	n := e.inProgress.Load()
	e.metrics.cutOff.Inc(n)
	e.log.Error("shutdown bound reached; requests cut off", zap.Int64("requests", n))
}

// sleepContext waits for a time; false when the context ended before.
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
