package member

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// peer is the state of the exchange with one other entry.
type peer struct {
	// acknowledged is the directory's sequence number up to which the peer has this entry's changes.
	acknowledged uint64
	// needsFull is set if the next push must contain all agents: the peer requested them, or has not
	// answered a push yet.
	needsFull bool
}

// BuildSyncRequest returns the next push to a peer, given the version of the configuration in
// effect at this entry. The caller sends it and passes the response to RecordSyncResponse together
// with the returned sequence number.
func (d *Directory) BuildSyncRequest(now time.Time, to string, version uint64) (*apiv1.SyncRequest, uint64) {
	p := d.peer(to)
	own := d.homedHere(now)
	req := &apiv1.SyncRequest{
		ConfigurationVersion: version,
		AgentCount:           int32(len(own)),
		Digest:               digest(own),
		Full:                 p.needsFull,
		UsableAgents:         int32(d.UsableCount()),
	}
	for _, r := range own {
		if p.needsFull || r.changedAt > p.acknowledged {
			req.Agents = append(req.Agents, r.info)
		}
		age := now.Sub(r.lastHeard)
		overdue := age > d.cfg.SuspectAfter/2
		if !overdue && r.configurationVersion >= version {
			continue
		}
		req.Lagging = append(req.Lagging, &apiv1.AgentLag{
			Name:                 r.info.GetName(),
			AgeMs:                age.Milliseconds(),
			ConfigurationVersion: r.configurationVersion,
		})
	}
	if !p.needsFull {
		req.Released = d.releasedSince(p.acknowledged)
	}
	return req, d.sequence
}

// releasedSince returns the names of the agents of which this entry stopped being the home after a
// sequence number. Without them, the receiver's digest would differ and it would request all agents.
func (d *Directory) releasedSince(sequence uint64) []string {
	var names []string
	for name, r := range d.agents {
		if r.releasedAt > sequence && r.home != homeHere {
			names = append(names, name)
		}
	}
	return names
}

// RecordSyncResponse records a peer's response to the push that was built at a sequence number.
func (d *Directory) RecordSyncResponse(from string, sequence uint64, resp *apiv1.SyncResponse) {
	p := d.peer(from)
	p.acknowledged = sequence
	p.needsFull = resp.GetResend()
}

// ApplySyncRequest applies another entry's push and reports whether the sender has to send all of
// its agents.
//
// Without the digest, a lost push or a restart of the receiver would leave an agent unknown at the
// receiver forever, because unchanged announcements are not sent again: one entry would refuse a
// service that the others answer. Comparing digests on every push limits this to one exchange.
func (d *Directory) ApplySyncRequest(now time.Time, req *apiv1.SyncRequest) (resend bool) {
	lagging := lagsByName(req.GetLagging())
	for _, info := range req.GetAgents() {
		heard := now.Add(-lagAge(lagging[info.GetName()]))
		d.applyAnnouncement(now, heard, info, req.GetEntry())
	}
	for _, name := range req.GetReleased() {
		if r := d.agents[name]; r != nil && r.home == req.GetEntry() {
			d.setHome(r, homeUnknown)
		}
	}
	theirs := d.homedAt(req.GetEntry())
	if len(theirs) != int(req.GetAgentCount()) || digest(theirs) != req.GetDigest() {
		if !req.GetFull() {
			return true
		}
		d.releaseMissing(theirs, req)
		return false
	}
	for _, r := range theirs {
		d.refreshHeartbeat(now, r, lagging[r.info.GetName()], req.GetConfigurationVersion())
	}
	return false
}

// refreshHeartbeat updates a record from its home entry's push: the time of the agent's last
// heartbeat and its configuration version. An agent without a lag had a recent heartbeat and has the
// entry's configuration version.
func (d *Directory) refreshHeartbeat(now time.Time, r *record, lag *apiv1.AgentLag, version uint64) {
	if lag != nil {
		version = lag.GetConfigurationVersion()
	}
	r.configurationVersion = version
	heard := now.Add(-lagAge(lag))
	if heard.After(r.lastHeard) {
		r.lastHeard = heard
	}
	d.updateUsable(now, r)
}

// releaseMissing clears the home of agents that a full push no longer contains. They become
// unusable after SuspectAfter unless another entry receives their heartbeats.
func (d *Directory) releaseMissing(theirs []*record, req *apiv1.SyncRequest) {
	listed := map[string]bool{}
	for _, info := range req.GetAgents() {
		listed[info.GetName()] = true
	}
	for _, r := range theirs {
		if !listed[r.info.GetName()] {
			d.setHome(r, homeUnknown)
		}
	}
}

func lagsByName(lagging []*apiv1.AgentLag) map[string]*apiv1.AgentLag {
	m := make(map[string]*apiv1.AgentLag, len(lagging))
	for _, l := range lagging {
		m[l.GetName()] = l
	}
	return m
}

// lagAge returns the time since the agent's last heartbeat according to a lag. It is zero for an
// agent without a lag.
func lagAge(l *apiv1.AgentLag) time.Duration {
	return time.Duration(l.GetAgeMs()) * time.Millisecond
}

func (d *Directory) peer(name string) *peer {
	p := d.peers[name]
	if p == nil {
		p = &peer{needsFull: true}
		d.peers[name] = p
	}
	return p
}

// homedHere returns the agents that sent a heartbeat to this entry within HomeTimeout, sorted by
// name.
func (d *Directory) homedHere(now time.Time) []*record {
	var own []*record
	for _, r := range d.agents {
		if r.home == homeHere && now.Sub(r.lastHeard) <= d.cfg.HomeTimeout {
			own = append(own, r)
		}
	}
	sortRecords(own)
	return own
}

// homedAt returns the agents whose home is another entry, sorted by name.
func (d *Directory) homedAt(entry string) []*record {
	var out []*record
	for _, r := range d.agents {
		if r.home == entry {
			out = append(out, r)
		}
	}
	sortRecords(out)
	return out
}

func sortRecords(rs []*record) {
	slices.SortFunc(rs, func(a, b *record) int { return cmp.Compare(a.info.GetName(), b.info.GetName()) })
}

// digest returns a hash of the records' names, incarnations and revisions. It depends on their
// order.
func digest(rs []*record) uint64 {
	h := xxhash.New()
	var b [16]byte
	for _, r := range rs {
		_, _ = h.WriteString(r.info.GetName()) // Write of a hash never fails.
		binary.LittleEndian.PutUint64(b[:8], r.info.GetIncarnation())
		binary.LittleEndian.PutUint64(b[8:], r.info.GetRevision())
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}
