package entry

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/configdelta"
	"github.com/cairnlift/cairnlift/settings"
)

const (
	syncInterval = 500 * time.Millisecond
	syncTimeout  = time.Second
	// peerAliveTimeout is the time from another entry's last push during which that entry
	// counts as alive.
	peerAliveTimeout = 3 * time.Second
	// agentsKnownTimeout is the time from its start for which an entry waits for the agents of
	// the other entries; in that time an agent whose home is unavailable finds another one.
	agentsKnownTimeout = 5 * time.Second
)

// peerState is the last known state of another entry.
type peerState struct {
	address string
	// adminAddress is the address of the peer's administration API.
	adminAddress         string
	availabilityZone     string
	configurationVersion uint64
	lastPush             time.Time
	leaving              bool
	// agentsKnown is set once this entry has known all agents of the peer, and as many usable agents
	// as the peer.
	agentsKnown bool
}

// recordPeer records another entry's push and whether this entry knows enough agents with it; see
// peerState.agentsKnown. The caller must hold e.mu.
func (e *Entry) recordPeer(req *apiv1.SyncRequest, agentsKnown bool) {
	e.peers[req.GetEntry()] = peerState{
		address:              req.GetAddress(),
		adminAddress:         req.GetAdminAddress(),
		availabilityZone:     req.GetAvailabilityZone(),
		configurationVersion: req.GetConfigurationVersion(),
		lastPush:             e.now(),
		leaving:              req.GetLeaving(),
		agentsKnown:          agentsKnown || e.peers[req.GetEntry()].agentsKnown,
	}
}

// peerAlive reports whether another entry sent a push within peerAliveTimeout.
func (e *Entry) peerAlive(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[name]
	return ok && e.now().Sub(p.lastPush) <= peerAliveTimeout
}

// agentsKnown reports whether this entry knows the agents of every other entry, or has waited for
// agentsKnownTimeout.
//
// An entry knows no agents when it starts. If it were ready immediately, the load balancer would
// send it requests that it would refuse for lack of a target, although the other entries could
// have served them.
func (e *Entry) agentsKnown() bool {
	if e.now().Sub(e.startedAt) > agentsKnownTimeout {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.otherEntries() {
		if !e.peers[p.Name].agentsKnown {
			return false
		}
	}
	return true
}

// syncLoop pushes this entry's agents to one other entry until the context ends. An entry without a
// replica gets its configuration from the responses.
func (e *Entry) syncLoop(ctx context.Context, peer settings.Peer) {
	client := apiv1.NewControlProtobufClient("http://"+peer.Address, e.internalClient)
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	whole := false
	for {
		whole = e.syncOnce(ctx, client, peer, whole)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// syncOnce pushes this entry's agents once and applies the response. whole requests the whole
// configuration without deltas; syncOnce returns whether the next push must request it.
func (e *Entry) syncOnce(ctx context.Context, client apiv1.Control, peer settings.Peer, whole bool) bool {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	sent := e.now()
	version := e.control.Configuration().GetVersion()
	e.mu.Lock()
	req, sequence := e.directory.BuildSyncRequest(sent, peer.Name, version)
	e.mu.Unlock()
	req.Entry = e.settings.Name
	req.Address = e.settings.InternalAddress
	req.AdminAddress = e.settings.AdminAddress
	req.AvailabilityZone = e.settings.Location.AvailabilityZone
	req.Leaving = e.leaving.Load()
	req.WholeConfiguration = whole
	resp, err := client.Sync(ctx, req)
	if err != nil {
		e.log.Debug("entry not reached", zap.String("entry", peer.Name), zap.Error(err))
		return whole
	}
	e.mu.Lock()
	e.directory.RecordSyncResponse(peer.Name, sequence, resp)
	e.mu.Unlock()
	if err := e.applySyncResponse(sent, resp); err != nil {
		if e.control.Configuration().GetVersion() != version {
			// Another entry's response changed the configuration in the meantime; the next
			// push names the current version.
			return false
		}
		e.log.Warn("changes of the configuration don't fit, asking for all of it",
			zap.String("entry", peer.Name), zap.Uint64("version", version), zap.Error(err))
		return true
	}
	return false
}

// applySyncResponse applies a configuration and its confirmation from another entry. The age of the
// confirmation is the time since the request was sent plus the age that the response states, so
// that the transit time never makes it appear newer than it is. On an error nothing is applied,
// and the next push, one interval later, requests the whole configuration.
func (e *Entry) applySyncResponse(sent time.Time, resp *apiv1.SyncResponse) error {
	if e.follower == nil || resp.GetConfirmedAgeMs() < 0 {
		return nil
	}
	cfg := resp.GetConfiguration()
	if len(resp.GetDeltas()) > 0 {
		var err error
		if cfg, err = configdelta.ApplyChain(e.control.Configuration(), resp.GetDeltas()); err != nil {
			return err
		}
	}
	confirmed := sent.Add(-time.Duration(resp.GetConfirmedAgeMs()) * time.Millisecond)
	e.follower.Adopt(cfg, resp.GetConfigurationVersion(), confirmed)
	return nil
}

// newInternalClient returns the client for other entries and agents. It keeps a bounded number of
// idle connections per host, so that a burst does not open and close one connection per request.
func newInternalClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}}
}
