package agent

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/agent/gate"
)

const (
	// drainPollInterval is the time between checks whether all requests have finished.
	drainPollInterval = 10 * time.Millisecond
	// leaveTimeout is how long an agent that shuts down still admits work while it waits for
	// an entry to acknowledge that it leaves.
	leaveTimeout = time.Second
	// refusalPeriod is how long the agent still answers dispatches with refusals after its
	// last request has ended. If a dispatch finds its connection closed, it is uncertain
	// whether it was read, and its outcome is unknown; a refused dispatch is retried on
	// another target. After this period the entries know that the agent leaves.
	refusalPeriod = time.Second
)

// shutDown announces to the home entry that the agent leaves, then refuses new work and waits
// for requests in progress. The announcement comes first, so that entries choose other targets
// instead of being refused here. Heartbeats continue throughout: the worker's leases are
// renewed until the next agent takes over.
func (a *Agent) shutDown(ctx context.Context, gateServer, localServer *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, a.settings.ShutdownBound.Duration)
	defer cancel()
	started := a.now()
	a.updateGate((*gate.Gate).Retire)
	a.log.Info("shutting down", zap.Int("in_flight", a.inFlight()))
	a.awaitLeaveAcknowledged(ctx)
	a.updateGate(func(g *gate.Gate) { g.Close(a.now()) })
	for a.inFlight() > 0 && sleep(ctx, drainPollInterval) {
	}
	cut := a.inFlight()
	a.metrics.cutRequests.Inc(int64(cut))
	if cut == 0 {
		sleep(ctx, refusalPeriod)
		_ = gateServer.Shutdown(ctx) // Waits until the last replies are written.
	}
	_ = gateServer.Close()
	_ = localServer.Close()
	a.log.Info("stopped", zap.Int("cut_requests", cut), zap.Duration("took", a.now().Sub(started)))
}

// closeWhenRetiring closes a connection after each reply of an agent that shuts down, so that
// no entry keeps a connection on which it could still send when the server stops.
func (a *Agent) closeWhenRetiring(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a.mu.Lock()
		retiring := a.gate.Retiring()
		a.mu.Unlock()
		if retiring {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, req)
	})
}

func (a *Agent) awaitLeaveAcknowledged(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	select {
	case <-a.leaveAcknowledged:
	case <-ctx.Done():
		a.log.Warn("no entry acknowledged that this agent leaves")
	}
}

func (a *Agent) inFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.InFlight()
}
