package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// testReplica is a replica's process with its disk and its state machine, which keeps
// all commands.
type testReplica struct {
	*Raft
	disk                   StoredState
	up, frozen, lost       bool
	pendingReady           *Ready // nil when none is being worked on
	synced                 bool
	state                  []string
	applied                uint64
	readResults            []ReadState
	starts, readsRequested uint64
}

// cluster is a group on a fake network, with a record of what was ever true.
type cluster struct {
	testing.TB
	cfg            Config
	seed           uint64
	compactionTail int // entries that compaction leaves
	replicas       map[uint64]*testReplica
	ids            []uint64 // of hosts, in order
	messages       []*apiv1.QuorumMessage
	partition      map[uint64]int // hosts on different sides can't talk
	brokenLinks    map[[2]uint64]bool
	committed      []*apiv1.LogEntry
	commitTerms    []uint64           // in which term each was known to be committed
	leaders        map[uint64]uint64  // by term
	proposed       map[[2]uint64]bool // by index and term
	readFloor      uint64             // what a read that starts now has to see
}

func newCluster(t testing.TB, seed uint64, cfg Config, voters int) *cluster {
	c := &cluster{TB: t, cfg: cfg, seed: seed, replicas: map[uint64]*testReplica{}, partition: map[uint64]int{}, leaders: map[uint64]uint64{},
		proposed: map[[2]uint64]bool{}, brokenLinks: map[[2]uint64]bool{}, committed: []*apiv1.LogEntry{{Index: 1, Term: 1}}, commitTerms: []uint64{1}}
	m := &apiv1.Membership{}
	for id := uint64(1); id <= uint64(voters); id++ {
		m.Replicas = append(m.Replicas, &apiv1.Replica{Id: id})
	}
	for id := uint64(1); id <= uint64(voters); id++ {
		c.add(id, StoredState{Snapshot: &apiv1.QuorumSnapshot{Meta: &apiv1.SnapshotMeta{Index: 1, Term: 1, Membership: m}}})
	}
	return c
}

func (c *cluster) fail(format string, args ...any) {
	c.Helper()
	c.Fatalf("seed %d: %s", c.seed, fmt.Sprintf(format, args...))
}

func (c *cluster) add(id uint64, disk StoredState) {
	c.replicas[id] = &testReplica{disk: disk}
	c.ids = append(c.ids, id)
	c.start(c.replicas[id], id)
}

func (c *cluster) start(h *testReplica, id uint64) {
	h.starts++
	cfg := c.cfg
	cfg.ID, cfg.Rand = id, rand.New(rand.NewPCG(c.seed, id<<32|h.starts))
	var err error
	if h.Raft, err = New(cfg, h.disk); err != nil {
		c.fail("start of %d: %v", id, err)
	}
	h.up, h.frozen, h.pendingReady, h.readsRequested, h.compactionTail = true, false, nil, 0, c.compactionTail
	c.restore(h, h.disk.Snapshot)
}

func (c *cluster) restore(h *testReplica, s *apiv1.QuorumSnapshot) {
	h.applied, h.state = s.GetMeta().GetIndex(), strings.Fields(string(s.GetData()))
	var want []string
	for _, e := range c.committed[:h.applied] {
		if e.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND && e.Index > 1 {
			want = append(want, string(e.Data))
		}
	}
	if !slices.Equal(h.state, want) {
		c.fail("replica %d restored %q at %d instead of %q", h.id, h.state, h.applied, want)
	}
}

// persist writes the first parts of the current Ready, in its order.
func (h *testReplica) persist(parts int) {
	rd := h.pendingReady
	if rd.HardState != nil && parts > 0 {
		h.disk.HardState = rd.HardState
	}
	if rd.Snapshot != nil && parts > 1 {
		h.disk.Snapshot, h.disk.Entries = rd.Snapshot, nil
	}
	for _, e := range rd.Entries[:max(0, min(parts-2, len(rd.Entries)))] {
		keep := e.Index - 1 - h.disk.Snapshot.GetMeta().GetIndex()
		h.disk.Entries = append(slices.Clone(h.disk.Entries[:keep]), e)
	}
	h.synced = parts >= 2+len(rd.Entries)
}

func (h *testReplica) compact() error {
	s, err := h.Compact(h.applied, []byte(strings.Join(h.state, " ")))
	if err == nil {
		dropped := s.Meta.Index - h.disk.Snapshot.GetMeta().GetIndex()
		h.disk.Snapshot, h.disk.Entries = s, slices.Clone(h.disk.Entries[dropped:])
	}
	return err
}

// takeReady gets the next Ready and checks what it says of the leader.
func (c *cluster) takeReady(h *testReplica) {
	rd := h.Ready()
	h.pendingReady, h.synced = &rd, false
	if rd.Role != Leader {
		return
	}
	was, known := c.leaders[rd.Term]
	if known && was != h.id {
		c.fail("election safety: %d and %d lead in term %d", was, h.id, rd.Term)
	}
	for i, e := range c.committed {
		if !known && c.commitTerms[i] < rd.Term && e.Index > h.log.baseIndex && !h.log.matches(e.Index, e.Term) {
			c.fail("leader completeness: %d leads in term %d without entry %d", h.id, rd.Term, e.Index)
		}
	}
	c.leaders[rd.Term] = h.id
	for _, p := range h.progress {
		if len(p.inflight) > c.cfg.MaxInflight {
			c.fail("%d messages in flight", len(p.inflight))
		}
	}
}

// finishReady sends and applies what is persisted.
func (c *cluster) finishReady(h *testReplica) {
	rd := h.pendingReady
	h.pendingReady = nil
	if rd.Snapshot != nil {
		c.restore(h, rd.Snapshot)
	}
	c.messages = append(c.messages, rd.Messages...)
	for _, e := range rd.Committed {
		c.apply(h, e, rd.Term)
	}
	h.readResults = append(h.readResults, rd.ReadStates...)
	h.Advance()
}

func (c *cluster) apply(h *testReplica, e *apiv1.LogEntry, term uint64) {
	if e.Index == uint64(len(c.committed))+1 {
		c.committed, c.commitTerms = append(c.committed, e), append(c.commitTerms, term)
	}
	if e.Index != h.applied+1 || !proto.Equal(c.committed[e.Index-1], e) {
		c.fail("state machine safety: %d applies %v after %d, before it was %v", h.id, e, h.applied, c.committed[e.Index-1])
	}
	h.applied = e.Index
	if e.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND {
		h.state = append(h.state, string(e.Data))
	}
	if c.proposed[[2]uint64{e.Index, e.Term}] && c.leaders[e.Term] == h.id {
		c.readFloor = max(c.readFloor, e.Index) // acknowledged to the caller
	}
}

func (c *cluster) deliver(m *apiv1.QuorumMessage) {
	h := c.replicas[m.To]
	if h == nil || !h.up || c.partition[m.From] != c.partition[m.To] || c.brokenLinks[[2]uint64{m.From, m.To}] {
		return
	}
	if err := h.Step(m); err != nil || len(m.Entries) > c.cfg.MaxEntriesPerMessage {
		c.fail("replica %d refuses %v: %v", m.To, m, err)
	}
}

// processReady does all that a host has to do.
func (c *cluster) processReady(h *testReplica) {
	for h.up && (h.pendingReady != nil || h.HasReady()) {
		if h.pendingReady == nil {
			c.takeReady(h)
		}
		h.persist(2 + len(h.pendingReady.Entries))
		c.finishReady(h)
	}
}

// runUntilIdle runs everything until nothing is left to do.
func (c *cluster) runUntilIdle() {
	for {
		for _, id := range c.ids {
			c.processReady(c.replicas[id])
		}
		if len(c.messages) == 0 {
			return
		}
		m := c.messages[0]
		c.messages = c.messages[1:]
		c.deliver(m)
	}
}

// changeMembership returns the membership with one step taken.
func changeMembership(m *apiv1.Membership, step string, id uint64) *apiv1.Membership {
	next := proto.CloneOf(m)
	i := slices.IndexFunc(next.Replicas, func(r *apiv1.Replica) bool { return r.Id == id })
	switch step {
	case "add", "vote":
		next.Replicas = append(next.Replicas, &apiv1.Replica{Id: id, Learner: step == "add"})
	case "promote", "demote":
		next.Replicas[i].Learner = step == "demote"
	case "move":
		next.Replicas[i].Address += "x"
	case "swap":
		next.Replicas[i] = &apiv1.Replica{Id: id + 10, Learner: true}
	case "remove":
		next.Replicas = slices.Delete(next.Replicas, i, i+1)
	}
	return next
}

// checkLogMatching is the paper's log matching: where two logs hold the same term at an
// index they hold the same entry there, and before it.
func (c *cluster) checkLogMatching() {
	for n := range len(c.ids) * len(c.ids) {
		x, y := &c.replicas[c.ids[n/len(c.ids)]].log, &c.replicas[c.ids[n%len(c.ids)]].log
		for i := max(x.baseIndex, y.baseIndex) + 2; i <= min(x.lastIndex(), y.lastIndex()); i++ {
			v, w := x.slice(i-1, i), y.slice(i-1, i)
			if v[1].Term == w[1].Term && !(proto.Equal(v[0], w[0]) && proto.Equal(v[1], w[1])) {
				c.fail("log matching: two logs differ at %d, not in its term", i)
			}
		}
	}
}
