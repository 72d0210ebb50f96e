package agent

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/agent/gate"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/configdelta"
	"github.com/cairnlift/cairnlift/settings"
)

const (
	// minHeartbeatSpacing is the shortest time from the end of a heartbeat to the next one. It
	// limits their rate during many changes.
	minHeartbeatSpacing = 20 * time.Millisecond
	// minHeartbeatTimeout is well above the response time of an entry in a distant
	// availability zone, and short compared with the time without an update after which
	// targets are no longer used.
	minHeartbeatTimeout = 250 * time.Millisecond
)

// heartbeatState is the state of the heartbeat loop between two heartbeats. Only that loop
// uses it.
type heartbeatState struct {
	// acknowledgedBy is the entry that acknowledged the announcement of
	// acknowledgedRevision, -1 if there is none.
	acknowledgedBy       int
	acknowledgedRevision uint64
	// configuration is the one in force, to which deltas are applied.
	configuration *apiv1.Configuration
	// needWholeConfiguration is set after deltas that could not be applied: the next heartbeat
	// requests the whole configuration.
	needWholeConfiguration bool
}

func entryClients(peers []settings.Peer) []apiv1.Control {
	dialer := &net.Dialer{Timeout: time.Second}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
	}}
	clients := make([]apiv1.Control, len(peers))
	for i, p := range peers {
		clients[i] = apiv1.NewControlProtobufClient("http://"+p.Address, client)
	}
	return clients
}

// heartbeatLoop sends one heartbeat per interval, and one soon after each change.
func (a *Agent) heartbeatLoop(ctx context.Context) {
	a.heartbeatState.acknowledgedBy = -1
	interval := a.settings.HeartbeatInterval.Duration
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.heartbeatRequested:
		case <-timer.C:
		}
		wait, err := a.sendHeartbeat(ctx)
		if err == nil {
			wait = interval
		}
		if !sleep(ctx, minHeartbeatSpacing) {
			return
		}
		timer.Reset(max(wait-minHeartbeatSpacing, 0))
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// sendHeartbeat sends one heartbeat. On an error it returns the delay until the next entry is
// tried.
func (a *Agent) sendHeartbeat(ctx context.Context) (time.Duration, error) {
	sent := a.now()
	entry := a.selector.Pick(sent)
	req := a.heartbeatRequest(sent, entry)
	callCtx, cancel := context.WithTimeout(ctx, a.selector.Timeout())
	defer cancel()
	resp, err := a.entries[entry].Heartbeat(callCtx, req)
	if err != nil {
		a.metrics.lostHeartbeats.Inc(1)
		a.heartbeatState.acknowledgedBy = -1
		wait := a.selector.RecordFailure(a.now(), entry)
		a.log.Warn("heartbeat not answered", zap.String("entry", a.settings.Entries[entry].Name),
			zap.Duration("next_try", wait), zap.Error(err))
		return wait, errors.Wrap(err, "heartbeat")
	}
	a.metrics.heartbeats.Inc(1)
	respondedAt := a.now()
	a.selector.RecordSuccess(respondedAt, entry, respondedAt.Sub(sent))
	a.heartbeatState.acknowledgedBy, a.heartbeatState.acknowledgedRevision = entry, req.Revision
	if req.Agent.GetLeaving() {
		a.leaveOnce.Do(func() { close(a.leaveAcknowledged) })
	}
	if resp.ResendAgent {
		a.heartbeatState.acknowledgedBy = -1
		a.requestHeartbeat()
	}
	a.applyConfiguration(sent, resp)
	a.followOrders(ctx, req, resp)
	return 0, nil
}

// heartbeatRequest returns the next heartbeat. It includes the whole announcement of the agent
// unless this entry has acknowledged the current revision.
func (a *Agent) heartbeatRequest(now time.Time, entry int) *apiv1.HeartbeatRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	req := &apiv1.HeartbeatRequest{
		Revision:             a.gate.Revision(),
		AgentName:            a.settings.Name,
		AgentIncarnation:     a.incarnation,
		ConfigurationVersion: a.gate.ConfigurationVersion(),
		WholeConfiguration:   a.heartbeatState.needWholeConfiguration,
	}
	if a.worker != nil {
		req.Worker = a.workerHeartbeat(now)
	}
	if a.heartbeatState.acknowledgedBy != entry || a.heartbeatState.acknowledgedRevision != req.Revision {
		req.Agent = a.agentInfo(now)
	}
	return req
}

// agentInfo returns the announcement of the agent. The caller must hold mu.
func (a *Agent) agentInfo(now time.Time) *apiv1.AgentInfo {
	l := a.settings.Location
	return &apiv1.AgentInfo{
		Name:        a.settings.Name,
		Address:     a.Address(),
		Incarnation: a.incarnation,
		Revision:    a.gate.Revision(),
		Location: &apiv1.Location{
			Region:           l.Region,
			AvailabilityZone: l.AvailabilityZone,
			Rack:             l.Rack,
		},
		Targets:              a.gate.Targets(now),
		Leaving:              a.gate.Retiring(),
		ConfigurationVersion: a.gate.ConfigurationVersion(),
	}
}

// applyConfiguration applies the configuration in a heartbeat response and its confirmation.
// The confirmed age is measured when the entry responds. It is subtracted from the time at
// which the heartbeat was sent, so the confirmation can only appear too old, never too recent.
func (a *Agent) applyConfiguration(sent time.Time, resp *apiv1.HeartbeatResponse) {
	c := a.receivedConfiguration(resp)
	a.updateGate(func(g *gate.Gate) {
		if c != nil && g.Configure(c) {
			a.heartbeatState.configuration = c
			a.log.Info("configuration in force", zap.Uint64("version", c.Version))
		}
		if resp.ConfirmedAgeMs >= 0 {
			g.Confirm(resp.ConfigurationVersion, sent.Add(-millisToDuration(resp.ConfirmedAgeMs)))
		}
	})
}

// receivedConfiguration returns the configuration in a heartbeat response, nil if there is
// none. If deltas don't apply to the configuration in force or the result does not have their
// digest, they are ignored and the next heartbeat requests the whole configuration: a partial
// update would run targets with slots that no version declares.
func (a *Agent) receivedConfiguration(resp *apiv1.HeartbeatResponse) *apiv1.Configuration {
	if len(resp.Deltas) == 0 {
		a.heartbeatState.needWholeConfiguration = a.heartbeatState.needWholeConfiguration && resp.Configuration == nil
		return resp.Configuration
	}
	c, err := configdelta.ApplyChain(a.heartbeatState.configuration, resp.Deltas)
	a.heartbeatState.needWholeConfiguration = err != nil
	if err != nil {
		a.log.Warn("changes of the configuration don't fit, asking for all of it", zap.Error(err))
		return nil
	}
	return c
}

// workerHeartbeat returns the worker's part of a heartbeat, nil if there is none. The caller
// must hold mu.
func (a *Agent) workerHeartbeat(now time.Time) *apiv1.WorkerHeartbeat {
	hb := a.worker.heartbeat()
	if hb != nil {
		hb.Targets = a.gate.Targets(now)
		hb.Latency = a.latency.Reports(now)
	}
	return hb
}

// followOrders passes on the leader's orders, and drops the latency reports that have reached
// the leader.
func (a *Agent) followOrders(ctx context.Context, req *apiv1.HeartbeatRequest, resp *apiv1.HeartbeatResponse) {
	if a.worker == nil || resp.Orders == nil {
		return
	}
	a.mu.Lock()
	a.latency.DropSent(len(req.Worker.GetLatency()))
	a.mu.Unlock()
	a.worker.followOrdersAsync(ctx, resp.Orders)
}
