// Package nodetest runs a control group in one process, for tests of the group and of code built
// on it. The disks of the replicas fail on demand, and the links between them can be cut. It is
// meant for the virtual time of testing/synctest.
package nodetest

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/quorum/wal"
	"github.com/cairnlift/cairnlift/quorum/wal/waltest"
	"github.com/cairnlift/cairnlift/settings"
)

const (
	cell   = "test"
	folder = "/data"
	// Tick results in an election timeout of 100 to 200 ms.
	Tick                   = 10 * time.Millisecond
	segmentBytes           = 4096
	defaultSnapshotEntries = 40
	defaultMaxVoters       = 5
	// Wait polls every pollInterval, and fails the test after maxPolls polls.
	pollInterval = time.Millisecond
	maxPolls     = 60_000
	// stopTimeout is the time for a stop in order, as many ticks as on the users' platform.
	stopTimeout = ReplaceAfter
)

// ReplaceAfter is the time from a voter's last message until a spare takes its place: five
// election timeouts.
const ReplaceAfter = 500 * time.Millisecond

// Host is a host of the control group, with a disk that persists when its replica stops.
type Host struct {
	Disk *waltest.Disk
	// Node is nil while the replica isn't running.
	Node         *node.Node
	StateMachine *StateMachine
	// Metrics are the metrics of the running replica.
	Metrics metrics.Registry
}

// Group is a control group. The address of a host is its name, unless SetAddress changes it.
type Group struct {
	T    testing.TB
	Seed uint64
	// SnapshotEntries and SnapshotBytes are passed to replicas that are started.
	SnapshotEntries, SnapshotBytes uint64
	// MaxVoters is passed to replicas that are started.
	MaxVoters int
	// Peers are the hosts that replicas started from now on are configured with, all hosts if nil.
	Peers []string
	// WithoutReplica are names of peers that respond but keep no replica.
	WithoutReplica []string
	// Unresponsive are addresses that accept identity requests and never respond.
	Unresponsive []string
	// Discover is passed to replicas that are started.
	Discover func() []string
	// IdentifyDelay is called once for an identity request and once for its response.
	IdentifyDelay func()

	names  []string
	spares map[string]bool
	mu     sync.Mutex
	hosts  map[string]*Host
	cut    map[[2]string]bool
	starts uint64
	// addresses holds the addresses of hosts whose address differs from their name.
	addresses map[string]string
}

// NewGroup returns a group whose replicas are not started yet. The seed determines the election
// timeouts, and what remains on a disk after a power loss.
func NewGroup(t testing.TB, seed uint64, names ...string) *Group {
	g := &Group{
		T: t, Seed: seed, SnapshotEntries: defaultSnapshotEntries, MaxVoters: defaultMaxVoters, IdentifyDelay: func() {},
		names: names, spares: map[string]bool{}, hosts: map[string]*Host{}, cut: map[[2]string]bool{}, addresses: map[string]string{},
	}
	for i, name := range names {
		g.hosts[name] = &Host{Disk: waltest.NewDisk(seed + uint64(i))}
	}
	return g
}

// Host returns the current state of a host.
func (g *Group) Host(name string) Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return *g.hosts[name]
}

// Node returns a host's replica, nil if it isn't running.
func (g *Group) Node(name string) *node.Node { return g.Host(name).Node }

// Start starts a host's replica.
func (g *Group) Start(name string) error {
	g.starts++
	log, err := wal.Open(wal.Options{Folder: folder, FS: g.Host(name).Disk, SegmentBytes: segmentBytes})
	if err != nil {
		return err
	}
	var peers []settings.Peer
	peerNames := g.names
	if g.Peers != nil {
		peerNames = g.Peers
	}
	for _, n := range peerNames {
		peers = append(peers, settings.Peer{Name: n, Address: g.AddressOf(n)})
	}
	m := &StateMachine{}
	registry := metrics.NewRegistry()
	started, err := node.Start(node.Options{
		Cell: cell, Name: name, Address: g.AddressOf(name), Peers: peers,
		Storage: log, StateMachine: m, Transport: &link{g: g, from: name},
		JoinOnly: g.spares[name], Spare: g.spares[name], ReplaceAfter: ReplaceAfter, MaxVoters: g.MaxVoters, Metrics: registry, Discover: g.Discover,
		Tick: Tick, SnapshotEntries: g.SnapshotEntries, SnapshotBytes: g.SnapshotBytes, Seed: g.Seed*1000 + g.starts,
	})
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts[name].Node, g.hosts[name].StateMachine, g.hosts[name].Metrics = started, m, registry
	return nil
}

// AddSpare starts a host with a new name, whose replica is a spare.
func (g *Group) AddSpare(name string) {
	g.T.Helper()
	g.mu.Lock()
	g.hosts[name] = &Host{Disk: waltest.NewDisk(g.Seed + uint64(len(g.names)))}
	g.names = append(slices.Clone(g.names), name)
	g.spares[name] = true
	g.mu.Unlock()
	g.MustStart(name)
}

// Voters returns the sorted names of the voters in the membership that the leader knows.
func (g *Group) Voters() []string {
	var names []string
	for _, r := range g.Node(g.Leader()).Status().Membership.Replicas {
		if !r.Learner {
			names = append(names, r.Name)
		}
	}
	slices.Sort(names)
	return names
}

// MustStart starts the given replicas, or all if no names are given. It fails the test on an
// error.
func (g *Group) MustStart(names ...string) {
	g.T.Helper()
	if len(names) == 0 {
		names = g.names
	}
	for _, name := range names {
		if err := g.Start(name); err != nil {
			g.T.Fatal(err)
		}
	}
}

// Kill ends the given replicas, or all if no names are given, as a power loss does.
func (g *Group) Kill(names ...string) {
	if len(names) == 0 {
		names = g.names
	}
	for _, name := range names {
		g.kill(name)
	}
}

func (g *Group) kill(name string) {
	g.mu.Lock()
	h := g.hosts[name]
	n := h.Node
	h.Node = nil
	g.mu.Unlock()
	if n == nil {
		return
	}
	h.Disk.FailAt(1, waltest.PowerCut)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = n.Stop(ended) // The error is the injected power loss.
	h.Disk.CutPower()
}

// Stop stops a host's replica in order, as a daemon does on SIGTERM.
func (g *Group) Stop(name string) {
	g.T.Helper()
	n := g.Node(name)
	if err := n.Stop(Within(stopTimeout)); err != nil {
		g.T.Fatal(err)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts[name].Node = nil
}

// ReplaceDisk restarts a host with an empty disk.
func (g *Group) ReplaceDisk(name string) {
	g.T.Helper()
	g.Kill(name)
	g.Host(name).Disk.Erase()
	g.MustStart(name)
}

// Isolate cuts all links of a host, or restores them.
func (g *Group) Isolate(name string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.names {
		g.cut[[2]string{name, other}] = cut
		g.cut[[2]string{other, name}] = cut
	}
}

// CutLink cuts one direction of the link between two hosts, or restores it.
func (g *Group) CutLink(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[[2]string{from, to}] = cut
}

// Heal restores all links.
func (g *Group) Heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.cut)
}

// Names returns the names of all hosts.
func (g *Group) Names() []string { return slices.Clone(g.names) }

// SetAddress changes the address of a host, from its next start on.
func (g *Group) SetAddress(name, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addresses[name] = address
}

// AddressOf returns a host's address: its name, unless SetAddress changed it.
func (g *Group) AddressOf(name string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.addressOf(name)
}

func (g *Group) addressOf(name string) string {
	if address := g.addresses[name]; address != "" {
		return address
	}
	return name
}

// hostAt returns the name of the host with an address, "" if there is none.
func (g *Group) hostAt(address string) string {
	for _, name := range g.names {
		if g.addressOf(name) == address {
			return name
		}
	}
	return ""
}

// nodeAt returns the replica at an address, or an error if the link to it is cut.
func (g *Group) nodeAt(from, to string) (*node.Node, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	to = g.hostAt(to)
	h := g.hosts[to]
	if h == nil || h.Node == nil || g.cut[[2]string{from, to}] {
		return nil, errLinkCut
	}
	return h.Node, nil
}

// Wait returns once a condition is true, and fails the test if it does not become true in time.
func (g *Group) Wait(what string, condition func() bool) {
	g.T.Helper()
	for range maxPolls {
		if condition() {
			return
		}
		time.Sleep(pollInterval)
	}
	for _, name := range g.names {
		if n := g.Node(name); n != nil {
			g.T.Logf("%s: %+v", name, n.Status())
		}
	}
	g.T.Fatalf("seed %d: condition never became true: %s", g.Seed, what)
}

// Leader waits for a leader that has a majority and is not in except, and returns its name.
func (g *Group) Leader(except ...string) string {
	g.T.Helper()
	found := ""
	g.Wait("a leader", func() bool {
		for _, name := range g.names {
			n := g.Node(name)
			if n == nil || slices.Contains(except, name) || n.Status().Role != quorum.Leader {
				continue
			}
			if _, err := n.ReadBarrier(Within(time.Second)); err == nil {
				found = name
				return true
			}
		}
		return false
	})
	return found
}

// Followers returns the hosts other than the leader.
func (g *Group) Followers() []string {
	leader := g.Leader()
	return slices.DeleteFunc(slices.Clone(g.names), func(n string) bool { return n == leader })
}

// Propose commits a command through the current leader. The command may be applied twice.
func (g *Group) Propose(command string, except ...string) {
	g.T.Helper()
	g.Wait("commit of "+command, func() bool {
		n := g.Node(g.Leader(except...))
		if n == nil {
			return false
		}
		_, _, err := n.Propose(Within(time.Second), []byte(command))
		return err == nil
	})
}

// ProposeOnce proposes a command to one host once its replica is the leader.
func (g *Group) ProposeOnce(name, command string) error {
	for range maxPolls {
		_, _, err := g.Node(name).Propose(Within(time.Second), []byte(command))
		var notLeader *node.NotLeaderError
		if !errors.As(err, &notLeader) {
			return err
		}
		time.Sleep(pollInterval)
	}
	return errors.New("replica never became the leader")
}

// HasCommand reports whether a host has applied a command, by a confirmed read.
func (g *Group) HasCommand(name, command string) bool {
	h := g.Host(name)
	if h.Node == nil {
		return false
	}
	if _, err := h.Node.ReadBarrier(Within(time.Second)); err != nil {
		return false
	}
	return slices.Contains(h.StateMachine.Commands(), command)
}

// WaitAllVoters waits until the members of the group are exactly the running replicas, all as
// voters.
func (g *Group) WaitAllVoters() {
	g.T.Helper()
	g.Wait("a whole group", func() bool {
		replicas := g.Node(g.Leader()).Status().Membership.Replicas
		for _, r := range replicas {
			if n := g.Node(r.Name); r.Learner || n == nil || n.Status().ID != r.Id {
				return false
			}
		}
		return len(replicas) == len(g.names)
	})
}

// Identify returns the identity that a host reports.
func (g *Group) Identify(name string) *apiv1.IdentifyResponse {
	g.T.Helper()
	answer, err := g.Node(name).Service().Identify(context.Background(), &apiv1.IdentifyRequest{Cell: cell})
	if err != nil {
		g.T.Fatal(err)
	}
	return answer
}

// Within returns a context that ends after d.
func Within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}
