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
	// peerAliveTimeout is how long after its last push another entry counts as alive.
	peerAliveTimeout = 3 * time.Second
	// agentsKnownTimeout is how long an entry that starts waits for the others'
	// agents; in that time an agent whose home is gone finds another.
	agentsKnownTimeout = 5 * time.Second
)

// peerState is what this entry knows of another entry.
type peerState struct {
	address string
	// adminAddress answers operators there.
	adminAddress         string
	availabilityZone     string
	configurationVersion uint64
	lastPush             time.Time
	leaving              bool
	// agentsKnown: since this entry started, the peer's agents were all known here.
	agentsKnown bool
}

// recordPeer records another entry's push and whether its agents are all known
// here with it. e.mu is held.
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

// peerAlive reports whether another entry was heard lately.
func (e *Entry) peerAlive(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[name]
	return ok && e.now().Sub(p.lastPush) <= peerAliveTimeout
}

// agentsKnown reports whether this entry has heard of the agents of every other
// entry, or has waited long enough for those that don't answer.
//
// An entry that starts knows no agent. Were it ready at once, the balancer would
// send it callers, and it would refuse them for want of a target while the other
// entries could have served them.
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

// syncLoop pushes this entry's agents to one other entry until the context ends.
// The answers bring an entry without a replica its configuration.
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

// syncOnce pushes once and takes the answer. whole asks for no deltas; it returns
// whether to do so the next time.
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
			// Another entry's answer was quicker; the next push names what is here now.
			return false
		}
		e.log.Warn("changes of the configuration don't fit, asking for all of it",
			zap.String("entry", peer.Name), zap.Uint64("version", version), zap.Error(err))
		return true
	}
	return false
}

// applySyncResponse takes a configuration and its confirmation from another entry. The
// confirmation is as old as the request plus the age that the answer states, so
// the time on the way never makes it look younger than it is. On an error nothing
// is adopted, and the next push, an interval later, asks for the whole.
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

// newInternalClient returns the client for other entries and agents. Each host
// gets a bounded number of idle connections, so that a burst does not open and
// close one per request.
func newInternalClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,
	}}
}
