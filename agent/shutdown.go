package agent

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/agent/gate"
)

const (
	// drainPollInterval is how often a closing agent looks whether everything has finished.
	drainPollInterval = 10 * time.Millisecond
	// leaveTimeout is how long a closing agent still takes work while it tries to tell
	// an entry that it leaves.
	leaveTimeout = time.Second
	// refusalPeriod is how long a closing agent goes on refusing after its last request
	// ended. A dispatch that finds its connection closed may have been read or not, and
	// its outcome is unknown; one that is refused is tried elsewhere. By then the
	// entries have heard.
	refusalPeriod = time.Second
)

// shutDown tells the home entry that the agent leaves, then refuses new work and
// waits for what is in progress. Telling comes first, so that the entries send
// elsewhere what would only be refused here. Heartbeats go on all the while: the
// worker's leases are renewed until the next agent takes over.
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
		_ = gateServer.Shutdown(ctx) // Waits for the last replies to be written.
	}
	_ = gateServer.Close()
	_ = localServer.Close()
	a.log.Info("stopped", zap.Int("cut_requests", cut), zap.Duration("took", a.now().Sub(started)))
}

// closeWhenRetiring asks for a connection to be closed with each reply of a closing
// agent, so that no entry holds one on which it could still send when the server stops.
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
		a.log.Warn("no entry heard that this agent leaves")
	}
}

func (a *Agent) inFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.InFlight()
}
