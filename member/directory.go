// Package member keeps an entry's picture of all agents and their targets. An
// agent announces itself to its home entry by heartbeats; home entries push what
// they hear to the other entries: changes as they come, otherwise a digest. The
// package does no I/O and is not safe for concurrent use.
package member

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Config sets how long silence is tolerated.
type Config struct {
	// SuspectAfter is the silence after which an agent gets no new work.
	SuspectAfter time.Duration
	// ForgetAfter is the silence after which an agent is dropped.
	ForgetAfter time.Duration
	// HomeTimeout is how long an agent counts as heard directly after its last
	// heartbeat here; past it another entry is taken to be its home.
	HomeTimeout time.Duration
}

// DefaultConfig tolerates two lost heartbeats at the default interval of 1 s.
func DefaultConfig() Config {
	return Config{
		SuspectAfter: 3 * time.Second,
		ForgetAfter:  10 * time.Minute,
		HomeTimeout:  5 * time.Second,
	}
}

// Change tells the router about one agent.
type Change struct {
	Agent *apiv1.AgentInfo
	// Usable: the agent was heard lately. That it is leaving is in Agent.
	Usable bool
	// Removed: the agent was dropped.
	Removed bool
}

// Values of a record's home that name no other entry.
const (
	// homeHere: this entry hears the agent.
	homeHere = ""
	// homeUnknown: no entry claims to hear the agent.
	homeUnknown = "-"
)

type record struct {
	// info is never changed once it is here: it is shared with messages.
	info *apiv1.AgentInfo
	// configurationVersion is the configuration version in force at the agent.
	configurationVersion uint64
	// lastHeard is the latest time the agent is known to have lived.
	lastHeard time.Time
	// home names the entry that hears the agent, or is homeHere or homeUnknown.
	home   string
	usable bool
	// changedAt is the directory's sequence at the record's last change, released
	// the one at which this entry last stopped being the agent's home.
	changedAt, releasedAt uint64
}

// Directory is one entry's picture of the agents.
type Directory struct {
	cfg      Config
	agents   map[string]*record
	sequence uint64
	changes  []Change
	peers    map[string]*peer
}

// New returns an empty directory.
func New(cfg Config) *Directory {
	return &Directory{
		cfg:    cfg,
		agents: map[string]*record{},
		peers:  map[string]*peer{},
	}
}

// RecordHeartbeat records a direct heartbeat. It returns false when the announcement is
// needed whole: the heartbeat left it out and this entry does not have it.
func (d *Directory) RecordHeartbeat(now time.Time, hb *apiv1.HeartbeatRequest) bool {
	if hb.GetAgent() != nil {
		d.applyAnnouncement(now, now, hb.GetAgent(), homeHere)
		return true
	}
	r := d.agents[hb.GetAgentName()]
	if r == nil || r.info.GetIncarnation() != hb.GetAgentIncarnation() || r.info.GetRevision() != hb.GetRevision() {
		return false
	}
	r.lastHeard = now
	d.setHome(r, homeHere)
	r.configurationVersion = hb.GetConfigurationVersion()
	d.updateUsable(now, r)
	return true
}

// Agent returns what is known of an agent, nil when nothing.
func (d *Directory) Agent(name string) *apiv1.AgentInfo {
	r := d.agents[name]
	if r == nil {
		return nil
	}
	return r.info
}

// View is one agent as status pages show it.
type View struct {
	Info *apiv1.AgentInfo
	// ConfigurationVersion is the version in force at the agent.
	ConfigurationVersion uint64
	// LastHeard is the latest time the agent is known to have lived.
	LastHeard time.Time
	Usable    bool
}

// Views returns all known agents in no order.
func (d *Directory) Views() []View {
	out := make([]View, 0, len(d.agents))
	for _, r := range d.agents {
		out = append(out, View{
			Info:                 r.info,
			ConfigurationVersion: r.configurationVersion,
			LastHeard:            r.lastHeard,
			Usable:               r.usable,
		})
	}
	return out
}

// Tick judges every agent's silence; call it a few times per SuspectAfter.
func (d *Directory) Tick(now time.Time) {
	for name, r := range d.agents {
		if now.Sub(r.lastHeard) > d.cfg.ForgetAfter {
			delete(d.agents, name)
			d.sequence++
			d.changes = append(d.changes, Change{Agent: r.info, Removed: true})
			continue
		}
		if r.home == homeHere && now.Sub(r.lastHeard) > d.cfg.HomeTimeout {
			d.setHome(r, homeUnknown)
		}
		d.updateUsable(now, r)
	}
}

// TakeChanges returns and clears what the router has to be told.
func (d *Directory) TakeChanges() []Change {
	c := d.changes
	d.changes = nil
	return c
}

// applyAnnouncement takes an announcement heard at a time from a home entry.
//
// Which of two announcements is the newer: within one incarnation the higher
// revision. Between incarnations the one heard last, not the higher number: an
// incarnation is derived from the host's clock, and a clock that was set back
// would otherwise keep the dead incarnation in place and have every dispatch
// refused by the live one.
func (d *Directory) applyAnnouncement(now, heard time.Time, info *apiv1.AgentInfo, home string) {
	r := d.agents[info.GetName()]
	if r == nil {
		r = &record{info: info, configurationVersion: info.GetConfigurationVersion(), lastHeard: heard, home: home}
		d.agents[info.GetName()] = r
		d.markChanged(now, r)
		return
	}
	if !heard.Before(r.lastHeard) {
		d.setHome(r, home)
	}
	later := heard.After(r.lastHeard)
	sameIncarnation := info.GetIncarnation() == r.info.GetIncarnation()
	newer := later
	if sameIncarnation {
		newer = info.GetRevision() > r.info.GetRevision()
	}
	if later {
		r.lastHeard = heard
	}
	if !newer {
		d.updateUsable(now, r)
		return
	}
	r.info = info
	r.configurationVersion = info.GetConfigurationVersion()
	d.markChanged(now, r)
}

// setHome moves an agent to another home entry; the digests on both sides change.
func (d *Directory) setHome(r *record, home string) {
	if r.home == home {
		return
	}
	d.sequence++
	if r.home == homeHere {
		r.releasedAt = d.sequence
	}
	r.home = home
	r.changedAt = d.sequence
}

// markChanged reports a record that changed.
func (d *Directory) markChanged(now time.Time, r *record) {
	d.sequence++
	r.changedAt = d.sequence
	r.usable = d.heardRecently(now, r)
	d.changes = append(d.changes, Change{Agent: r.info, Usable: r.usable})
}

// updateUsable marks a record usable while it was heard lately, and reports a change.
func (d *Directory) updateUsable(now time.Time, r *record) {
	usable := d.heardRecently(now, r)
	if usable == r.usable {
		return
	}
	r.usable = usable
	d.changes = append(d.changes, Change{Agent: r.info, Usable: usable})
}

func (d *Directory) heardRecently(now time.Time, r *record) bool {
	return now.Sub(r.lastHeard) <= d.cfg.SuspectAfter
}
