package entry

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Heartbeat answers an agent that chose this entry as its home. The worker's part of the heartbeat
// is forwarded to the leader in a batch with those of other agents.
func (e *Entry) Heartbeat(ctx context.Context, hb *apiv1.HeartbeatRequest) (*apiv1.HeartbeatResponse, error) {
	known := e.recordHeartbeat(hb)
	resp := &apiv1.HeartbeatResponse{ResendAgent: !known}
	if hb.GetWorker() != nil {
		resp.Orders = e.renewals.renew(ctx, hb.GetWorker())
	}
	e.addConfiguration(resp, hb)
	return resp, nil
}

// recordHeartbeat records the heartbeat and applies its changes to the router. It reports whether
// the agent is known.
func (e *Entry) recordHeartbeat(hb *apiv1.HeartbeatRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.directory.RecordHeartbeat(e.now(), hb)
	e.applyDirectoryChanges()
	return known
}

// addConfiguration adds the newest configuration and the age of its confirmation to the response.
// It runs after the renewal, so that the age is no higher than necessary.
func (e *Entry) addConfiguration(resp *apiv1.HeartbeatResponse, hb *apiv1.HeartbeatRequest) {
	cfg := e.control.Configuration()
	resp.ConfigurationVersion = cfg.GetVersion()
	resp.ConfirmedAgeMs = e.confirmedAgeMs()
	resp.Configuration, resp.Deltas = e.agentDeltas.updateSince(cfg, hb.GetConfigurationVersion(), hb.GetWholeConfiguration())
}

// agentConfiguration returns the parts of a configuration that agents need; it omits the jobs, the
// text and the teams.
func agentConfiguration(cfg *apiv1.Configuration) *apiv1.Configuration {
	return &apiv1.Configuration{
		Version:  cfg.GetVersion(),
		Services: cfg.GetServices(),
		Policy:   cfg.GetPolicy(),
	}
}

// confirmedAgeMs returns the time since a quorum confirmed that this host's configuration is the
// newest, rounded up to a millisecond, or a negative number without a confirmation.
func (e *Entry) confirmedAgeMs() int64 {
	at := e.control.ConfirmedAt()
	if at.IsZero() {
		return -1
	}
	age := e.now().Sub(at)
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

// fresh reports whether the configuration was confirmed within the staleness bound.
func (e *Entry) fresh() bool {
	at := e.control.ConfirmedAt()
	return !at.IsZero() && e.now().Sub(at) <= e.settings.StalenessBound.Duration
}

// Renew handles workers' heartbeats that another entry forwards to this host as the leader of the
// control group.
func (e *Entry) Renew(ctx context.Context, req *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	if e.replica == nil {
		return &apiv1.RenewResponse{}, nil
	}
	return e.replica.ServeRenew(ctx, req)
}

// Propose handles a command that another entry forwards to the leader.
func (e *Entry) Propose(ctx context.Context, req *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	if e.replica == nil {
		return &apiv1.ProposeResponse{NotLeader: true}, nil
	}
	return e.replica.ServePropose(ctx, req)
}

// Sync records the agents that another entry reports and returns newer configurations.
func (e *Entry) Sync(_ context.Context, req *apiv1.SyncRequest) (*apiv1.SyncResponse, error) {
	e.mu.Lock()
	resend := e.directory.ApplySyncRequest(e.now(), req)
	e.applyDirectoryChanges()
	e.recordPeer(req, !resend && e.directory.UsableCount() >= int(req.UsableAgents))
	e.mu.Unlock()
	cfg := e.control.Configuration()
	resp := &apiv1.SyncResponse{
		Resend:               resend,
		ConfigurationVersion: cfg.GetVersion(),
		ConfirmedAgeMs:       e.confirmedAgeMs(),
	}
	resp.Configuration, resp.Deltas = e.deltas.updateSince(cfg, req.GetConfigurationVersion(), req.GetWholeConfiguration())
	return resp, nil
}
