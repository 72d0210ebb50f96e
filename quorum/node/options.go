package node

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/settings"
)

// Options set up a replica.
type Options struct {
	// Cell, Name and Address say who this replica is; Address is where the others
	// reach its handler.
	Cell, Name, Address string
	// Peers are the hosts of the control group, this one included. They matter
	// only until the replica belongs to a group.
	Peers []settings.Peer
	// Discover returns addresses of control hosts that this process knows from
	// elsewhere; they are asked beside the peers by a replica that joins. May be nil.
	Discover func() []string
	// JoinOnly keeps an empty replica from forming a group or being an initial
	// member of one: it joins the group of its peers, whenever that is there.
	JoinOnly bool
	// Spare makes a replica that joins wait as a learner until a voter is gone for
	// ReplaceAfter, and take its place: it came to replace one, not to enlarge the
	// group.
	Spare bool
	// ReplaceAfter is how long a voter must be silent for a spare to take its place;
	// 2.5 s when 0, five election timeouts.
	ReplaceAfter time.Duration
	// MaxVoters is the number of voters that the leader brings the group to, in odd
	// steps and as far as hosts are there, by giving votes to spares. 0 leaves the number
	// as it was founded.
	MaxVoters int
	// Folder is used when Storage is nil.
	Folder       string
	Storage      Storage
	StateMachine quorum.StateMachine
	// Transport is a TwirpTransport when nil.
	Transport Transport
	Logger    *zap.Logger
	Metrics   metrics.Registry
	// Tick is the unit of the two numbers of ticks; 50 ms, 10 and 1 when 0.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries between snapshots; 10,000 when 0.
	SnapshotEntries uint64
	// Seed spreads election timeouts; a random one is taken when 0.
	Seed uint64
	// OnLeadership is told when leadership is taken up and lost. It is called by
	// the replica's own goroutine and must not block or call the replica.
	OnLeadership func(Leadership)
	// SingleCommit syncs each proposal on its own, to measure what group commit
	// saves.
	SingleCommit bool
}

const (
	defaultTick            = 50 * time.Millisecond
	defaultElectionTicks   = 10
	defaultHeartbeatTicks  = 1
	defaultSnapshotEntries = 10000
	defaultReplaceAfter    = 2500 * time.Millisecond
	maxEntriesPerMessage   = 512
	maxInflight            = 32
	maxUncommitted         = 8192
	inboxLength            = 4096
)

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	o.Logger = o.Logger.Named("quorum")
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Tick == 0 {
		o.Tick = defaultTick
	}
	if o.ElectionTicks == 0 {
		o.ElectionTicks = defaultElectionTicks
	}
	if o.HeartbeatTicks == 0 {
		o.HeartbeatTicks = defaultHeartbeatTicks
	}
	if o.SnapshotEntries == 0 {
		o.SnapshotEntries = defaultSnapshotEntries
	}
	if o.ReplaceAfter == 0 {
		o.ReplaceAfter = defaultReplaceAfter
	}
	if o.OnLeadership == nil {
		o.OnLeadership = func(Leadership) {}
	}
	if o.Discover == nil {
		o.Discover = func() []string { return nil }
	}
	for o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
}

// membershipPolicy is what these options say on the leader's own changes.
func (o *Options) membershipPolicy() membershipPolicy {
	return membershipPolicy{
		replaceTicks: int(o.ReplaceAfter / o.Tick), responsiveTicks: o.ElectionTicks,
		departedTicks: int(departedAfter / o.Tick), maxVoters: o.MaxVoters,
	}
}

// electionTimeout is the shortest time without a leader before an election.
func (o *Options) electionTimeout() time.Duration {
	return time.Duration(o.ElectionTicks) * o.Tick
}
