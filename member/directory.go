// Package member maintains an entry's view of all agents and their targets. An agent announces
// itself to its home entry by heartbeats. Home entries push this information to the other entries:
// changed announcements when there are any, and a digest with every push. The package does no I/O
// and is not safe for concurrent use.
package member

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Config sets the heartbeat timeouts.
type Config struct {
	// SuspectAfter is the time since an agent's last heartbeat after which the agent gets no new
	// work.
	SuspectAfter time.Duration
	// ForgetAfter is the time since an agent's last heartbeat after which the agent is removed.
	ForgetAfter time.Duration
	// HomeTimeout is the time since an agent's last heartbeat to this entry after which another
	// entry is assumed to be its home.
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

// Change is a change of one agent that the router has to apply.
type Change struct {
	Agent *apiv1.AgentInfo
	// Usable is set if the last heartbeat is recent. Whether the agent is leaving is part of Agent.
	Usable bool
	// Removed is set if the agent was removed from the directory.
	Removed bool
}

// Values of a record's home that are not the name of another entry.
const (
	// homeHere means that this entry receives the agent's heartbeats.
	homeHere = ""
	// homeUnknown means that no entry reports receiving the agent's heartbeats.
	homeUnknown = "-"
)

type record struct {
	// info must not be modified: it is shared with messages.
	info *apiv1.AgentInfo
	// configurationVersion is the version of the configuration in effect at the agent.
	configurationVersion uint64
	// lastHeard is the latest time at which the agent is known to have been alive.
	lastHeard time.Time
	// home is the name of the entry that receives the agent's heartbeats, or homeHere or
	// homeUnknown.
	home   string
	usable bool
	// changedAt is the directory's sequence number at the record's last change. releasedAt is the
	// sequence number at which this entry last stopped being the agent's home.
	changedAt, releasedAt uint64
}

// Directory is one entry's view of the agents.
type Directory struct {
	cfg    Config
	agents map[string]*record
	// sequence counts the changes of records.
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

// RecordHeartbeat records a heartbeat that the agent sent to this entry. It returns false if the
// agent has to send its full announcement: the heartbeat does not contain it and this entry does
// not have that revision.
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

// Agent returns an agent's announcement, or nil if the agent is unknown.
func (d *Directory) Agent(name string) *apiv1.AgentInfo {
	r := d.agents[name]
	if r == nil {
		return nil
	}
	return r.info
}

// View is the state of one agent for status pages.
type View struct {
	Info *apiv1.AgentInfo
	// ConfigurationVersion is the version of the configuration in effect at the agent.
	ConfigurationVersion uint64
	// LastHeard is the latest time at which the agent is known to have been alive.
	LastHeard time.Time
	Usable    bool
}

// Views returns all known agents in unspecified order.
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

// UsableCount returns the number of usable agents.
func (d *Directory) UsableCount() int {
	n := 0
	for _, r := range d.agents {
		if r.usable {
			n++
		}
	}
	return n
}

// Tick applies the heartbeat timeouts to every agent. Call it a few times per SuspectAfter.
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

// TakeChanges returns the changes that the router has to apply, and clears them.
func (d *Directory) TakeChanges() []Change {
	c := d.changes
	d.changes = nil
	return c
}

// applyAnnouncement records an announcement that the agent's home entry received at a given time.
//
// Of two announcements with the same incarnation, the one with the higher revision is newer. Of two
// incarnations, the one heard last is newer, not the one with the higher number: an incarnation is
// derived from the host's clock, so after the clock was set back, the dead incarnation would stay
// in the directory and the live one would refuse every dispatch.
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

// setHome changes an agent's home entry. This changes the digests of both entries.
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

// markChanged assigns a new sequence number to a changed record and adds it to the changes for the
// router.
func (d *Directory) markChanged(now time.Time, r *record) {
	d.sequence++
	r.changedAt = d.sequence
	r.usable = d.heardRecently(now, r)
	d.changes = append(d.changes, Change{Agent: r.info, Usable: r.usable})
}

// updateUsable sets whether a record is usable, from the time of its last heartbeat, and adds a
// change for the router if this differs from before.
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
