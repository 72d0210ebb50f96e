package node

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/settings"
)

// Options configures a replica.
type Options struct {
	// Cell, Name and Address identify this replica. The other replicas reach its handler at
	// Address.
	Cell, Name, Address string
	// Peers are the hosts of the control group, including this one. A replica uses them to form or
	// join the group, and to rejoin it later.
	Peers []settings.Peer
	// Discover returns addresses of control hosts that this process knows from another source. A
	// joining replica queries them in addition to Peers. It may be nil.
	Discover func() []string
	// JoinOnly prevents an empty replica from forming a group or being an initial member of one.
	// It joins the group of its peers once that exists.
	JoinOnly bool
	// Spare makes a joining replica wait as a learner until a voter has been unresponsive for
	// ReplaceAfter, and then take that voter's place. It replaces a voter instead of enlarging the
	// group.
	Spare bool
	// ReplaceAfter is the time from the last message of a voter until a spare takes its place. The
	// default is 2.5 s, five election timeouts.
	ReplaceAfter time.Duration
	// MaxVoters is the number of voters that the leader grows the group to, in odd steps and as
	// far as hosts are available, by promoting spares. 0 keeps the number of voters that the group
	// was formed with.
	MaxVoters int
	// Folder is the data folder to open if Storage is nil.
	Folder       string
	Storage      Storage
	StateMachine quorum.StateMachine
	// Transport defaults to a TwirpTransport.
	Transport Transport
	Logger    *zap.Logger
	Metrics   metrics.Registry
	// Tick is the unit of ElectionTicks and HeartbeatTicks. The defaults are 50 ms, 10 and 1.
	Tick           time.Duration
	ElectionTicks  int
	HeartbeatTicks int
	// SnapshotEntries is the number of applied entries between snapshots. The default is 10,000.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the applied entries from which on a snapshot is made sooner, unless
	// the last snapshot is larger: then its size is. The default is 16 MB.
	SnapshotBytes uint64
	// Seed randomizes election timeouts. A random seed is drawn if it is 0.
	Seed uint64
	// OnLeadership is called when this replica gains or loses leadership. It runs on the event
	// loop and must not block or call the replica.
	OnLeadership func(Leadership)
	// SingleCommit syncs each proposal separately, to measure the benefit of group commit.
	SingleCommit bool
}

const (
	defaultTick            = 50 * time.Millisecond
	defaultElectionTicks   = 10
	defaultHeartbeatTicks  = 1
	defaultSnapshotEntries = 10000
	defaultSnapshotBytes   = 16 << 20
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
	if o.SnapshotBytes == 0 {
		o.SnapshotBytes = defaultSnapshotBytes
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

// membershipPolicy returns the policy for the leader's automatic membership changes.
func (n *Node) membershipPolicy() membershipPolicy {
	o := &n.opts
	departedTicks := int(departedAfter / o.Tick)
	return membershipPolicy{
		replaceTicks: int(o.ReplaceAfter / o.Tick), responsiveTicks: o.ElectionTicks,
		departedTicks: departedTicks, maxVoters: o.MaxVoters, leaving: n.leavers.ticksLeft,
		keepEvenSize: n.leavers.sinceLast >= 0 && n.leavers.sinceLast < departedTicks,
	}
}

// electionTimeout returns the shortest time without a leader before an election.
func (o *Options) electionTimeout() time.Duration {
	return time.Duration(o.ElectionTicks) * o.Tick
}
