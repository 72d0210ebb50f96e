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
	// acknowledged is the directory sequence up to which the peer has our changes.
	acknowledged uint64
	// needsFull: the peer asked for everything.
	needsFull bool
}

// BuildSyncRequest builds the next message to a peer, given the configuration version in
// force here. The caller sends it and hands the answer to Acknowledged together
// with the returned sequence.
func (d *Directory) BuildSyncRequest(now time.Time, to string, version uint64) (*apiv1.SyncRequest, uint64) {
	p := d.peer(to)
	own := d.homedHere(now)
	req := &apiv1.SyncRequest{
		ConfigurationVersion: version,
		AgentCount:           int32(len(own)),
		Digest:               digest(own),
		Full:                 p.needsFull,
	}
	for _, r := range own {
		if p.needsFull || r.changedAt > p.acknowledged {
			req.Agents = append(req.Agents, r.info)
		}
		age := now.Sub(r.lastHeard)
		silent := age > d.cfg.SuspectAfter/2
		if !silent && r.configurationVersion >= version {
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

// releasedSince names the agents that this entry stopped being the home of. The
// receiver would otherwise find its picture different and ask for all of them.
func (d *Directory) releasedSince(sequence uint64) []string {
	var names []string
	for name, r := range d.agents {
		if r.releasedAt > sequence && r.home != homeHere {
			names = append(names, name)
		}
	}
	return names
}

// RecordSyncResponse records that a peer answered a push built at a sequence.
func (d *Directory) RecordSyncResponse(from string, sequence uint64, resp *apiv1.SyncResponse) {
	p := d.peer(from)
	p.acknowledged = sequence
	p.needsFull = resp.GetResend()
}

// ApplySyncRequest takes another entry's push and reports whether the sender has to send
// all of its agents.
//
// What goes wrong without the digest: a push that was lost, or a receiver that
// restarted, leaves an agent unknown here for ever, because unchanged
// announcements are not sent again. It would be noticed as one entry refusing a
// service the others answer. Comparing digests on every push bounds that to one
// exchange.
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

// refreshHeartbeat takes a home entry's word that an agent was heard, and how it lags.
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

// releaseMissing drops the home of agents that a full push no longer holds; their
// silence then runs until another entry hears them.
func (d *Directory) releaseMissing(theirs []*record, req *apiv1.SyncRequest) {
	held := map[string]bool{}
	for _, info := range req.GetAgents() {
		held[info.GetName()] = true
	}
	for _, r := range theirs {
		if !held[r.info.GetName()] {
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

// lagAge is the silence a lag tells of; an agent that does not lag has none.
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

// homedHere returns the agents heard here lately, sorted by name.
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

// homedAt returns the agents that another entry is taken to hear, sorted by name.
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

// digest hashes names, incarnations and revisions in order.
func digest(rs []*record) uint64 {
	h := xxhash.New()
	var b [16]byte
	for _, r := range rs {
		_, _ = h.WriteString(r.info.GetName()) // a hash's Write never fails
		binary.LittleEndian.PutUint64(b[:8], r.info.GetIncarnation())
		binary.LittleEndian.PutUint64(b[8:], r.info.GetRevision())
		_, _ = h.Write(b[:])
	}
	return h.Sum64()
}
