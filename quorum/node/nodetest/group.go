// Package nodetest runs a control group in one process, for tests of it and of
// what is built on it: replicas with disks that fail on demand, and links that
// can be cut. Meant for the virtual time of testing/synctest.
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
	// tick makes the election timeout 100 to 200 ms.
	tick                   = 10 * time.Millisecond
	segmentBytes           = 4096
	defaultSnapshotEntries = 40
	defaultMaxVoters       = 5
	// patience is how long Wait waits, in its polls.
	pollInterval = time.Millisecond
	maxPolls     = 60_000
)

// ReplaceAfter is how long a voter is silent before a spare takes its place: five
// election timeouts.
const ReplaceAfter = 500 * time.Millisecond

// Host is a host of the control group, with a disk that outlives its replica.
type Host struct {
	Disk *waltest.Disk
	// Node is nil while the replica isn't running.
	Node         *node.Node
	StateMachine *StateMachine
	// Metrics are the running replica's.
	Metrics metrics.Registry
}

// Group is a control group. A host's name is its address too.
type Group struct {
	T    testing.TB
	Seed uint64
	// SnapshotEntries goes into the options of replicas that are started.
	SnapshotEntries uint64
	// MaxVoters goes into the options of replicas that are started.
	MaxVoters int
	// Peers are the hosts that replicas started from now on are told of, all when nil.
	Peers []string
	// WithoutReplica are names of peers that answer, and keep no replica.
	WithoutReplica []string
	// Unresponsive are addresses that take questions and never answer.
	Unresponsive []string
	// Discover goes into the options of replicas that are started.
	Discover func() []string
	// IdentifyDelay is called for a question about identity and for its answer.
	IdentifyDelay func()

	names  []string
	spares map[string]bool
	mu     sync.Mutex
	hosts  map[string]*Host
	cut    map[[2]string]bool
	starts uint64
	// addresses holds the addresses of hosts that are not reached at their names.
	addresses map[string]string
}

// NewGroup returns a group whose replicas don't run yet. The seed decides on
// election timeouts, and on what power cuts leave on disks.
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

// Host returns a host as it is now.
func (g *Group) Host(name string) Host {
	g.mu.Lock()
	defer g.mu.Unlock()
	return *g.hosts[name]
}

// Node returns a host's replica, nil when it isn't running.
func (g *Group) Node(name string) *node.Node { return g.Host(name).Node }

// Start starts a host's replica.
func (g *Group) Start(name string) error {
	g.starts++
	log, err := wal.Open(wal.Options{Folder: folder, FS: g.Host(name).Disk, SegmentBytes: segmentBytes})
	if err != nil {
		return err
	}
	var peers []settings.Peer
	told := g.names
	if g.Peers != nil {
		told = g.Peers
	}
	for _, n := range told {
		peers = append(peers, settings.Peer{Name: n, Address: g.AddressOf(n)})
	}
	m := &StateMachine{}
	registry := metrics.NewRegistry()
	started, err := node.Start(node.Options{
		Cell: cell, Name: name, Address: g.AddressOf(name), Peers: peers,
		Storage: log, StateMachine: m, Transport: &link{g: g, from: name},
		JoinOnly: g.spares[name], Spare: g.spares[name], ReplaceAfter: ReplaceAfter, MaxVoters: g.MaxVoters, Metrics: registry, Discover: g.Discover,
		Tick: tick, SnapshotEntries: g.SnapshotEntries, Seed: g.Seed*1000 + g.starts,
	})
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hosts[name].Node, g.hosts[name].StateMachine, g.hosts[name].Metrics = started, m, registry
	return nil
}

// AddSpare starts a host of a new name, which came to replace a member.
func (g *Group) AddSpare(name string) {
	g.T.Helper()
	g.mu.Lock()
	g.hosts[name] = &Host{Disk: waltest.NewDisk(g.Seed + uint64(len(g.names)))}
	g.names = append(slices.Clone(g.names), name)
	g.spares[name] = true
	g.mu.Unlock()
	g.MustStart(name)
}

// Voters returns the names of the voters, as the leader knows them.
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

// MustStart starts replicas, all when no names are given.
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

// Kill ends replicas as a power cut does, all when no names are given.
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
	_ = n.Stop(ended) // Its error is the power cut.
	h.Disk.CutPower()
}

// ReplaceDisk restarts a host with an empty disk.
func (g *Group) ReplaceDisk(name string) {
	g.T.Helper()
	g.Kill(name)
	g.Host(name).Disk.Erase()
	g.MustStart(name)
}

// Isolate cuts a host off from all others, or connects it again.
func (g *Group) Isolate(name string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, other := range g.names {
		g.cut[[2]string{name, other}] = cut
		g.cut[[2]string{other, name}] = cut
	}
}

// CutLink cuts one direction between two hosts, or connects it again.
func (g *Group) CutLink(from, to string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[[2]string{from, to}] = cut
}

// Heal ends all cuts.
func (g *Group) Heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.cut)
}

// Names returns all hosts.
func (g *Group) Names() []string { return slices.Clone(g.names) }

// SetAddress gives a host another address, from its next start on.
func (g *Group) SetAddress(name, address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addresses[name] = address
}

// AddressOf returns a host's address: its name, unless it was moved.
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

// hostAt returns the name of the host at an address, "" when there is none.
func (g *Group) hostAt(address string) string {
	for _, name := range g.names {
		if g.addressOf(name) == address {
			return name
		}
	}
	return ""
}

// nodeAt returns the replica at the other end of a link.
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

// Wait returns once a condition holds, and ends the test if it never does.
func (g *Group) Wait(what string, holds func() bool) {
	g.T.Helper()
	for range maxPolls {
		if holds() {
			return
		}
		time.Sleep(pollInterval)
	}
	for _, name := range g.names {
		if n := g.Node(name); n != nil {
			g.T.Logf("%s: %+v", name, n.Status())
		}
	}
	g.T.Fatalf("seed %d: never: %s", g.Seed, what)
}

// Leader waits for a leader with a majority among the hosts that are not in except.
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

// Followers returns the hosts that don't lead.
func (g *Group) Followers() []string {
	leader := g.Leader()
	return slices.DeleteFunc(slices.Clone(g.names), func(n string) bool { return n == leader })
}

// Propose commits a command with whoever leads. It may be applied twice.
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

// ProposeOnce proposes a command to one host, as soon as its replica leads.
func (g *Group) ProposeOnce(name, command string) error {
	for range maxPolls {
		_, _, err := g.Node(name).Propose(Within(time.Second), []byte(command))
		var notLeader *node.NotLeaderError
		if !errors.As(err, &notLeader) {
			return err
		}
		time.Sleep(pollInterval)
	}
	return errors.New("replica never leads")
}

// HasCommand reports whether a host knows a command, by a confirmed read.
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

// WaitAllVoters waits until the running replicas are the voters, and nobody else.
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

// Identify asks a host who it is.
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
