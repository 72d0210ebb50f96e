// Package quorum keeps a log replicated over the control group, after the Raft
// paper (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014) and Ongaro's thesis (pre-vote, check-quorum, leader
// transfer, read index, single-server membership change). The consensus core
// does no I/O: it is stepped with messages and ticks, and hands out, as a Ready,
// what must be persisted and sent before anything is acted on.
package quorum

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Role is what a replica currently does in its term.
type Role int

const (
	// Follower accepts entries from a leader.
	Follower Role = iota
	// PreCandidate asks whether an election could be won, without a new term.
	PreCandidate
	// Candidate asks for votes in a new term.
	Candidate
	// Leader appends entries and replicates them.
	Leader
)

// String names the role as it appears in logs.
func (r Role) String() string {
	switch r {
	case Follower:
		return "follower"
	case PreCandidate:
		return "pre-candidate"
	case Candidate:
		return "candidate"
	case Leader:
		return "leader"
	}
	return "invalid"
}

// Status is a replica's view of its group.
type Status struct {
	ID         uint64
	Role       Role
	Term       uint64
	Leader     uint64 // 0 when unknown
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Membership *apiv1.Membership
	// Match is the last index known to be on each replica; set on a leader.
	Match map[uint64]uint64
	// TicksSinceContact is how long ago each replica was heard; set on a leader.
	TicksSinceContact map[uint64]int
}

// ReadState answers a ReadIndex call: once the entry at Index is applied, a read
// sees everything committed before the call was made.
type ReadState struct {
	Context uint64
	Index   uint64
	// Rejected: there is no leader that could confirm the read.
	Rejected bool
}

// Ready is what the driver has to do, in the order of the fields: persist
// HardState, Snapshot and Entries and sync them; then send Messages; then apply
// Committed; then call Advance.
type Ready struct {
	// HardState is nil when unchanged.
	HardState *apiv1.HardState
	// Snapshot, when set, replaces the log and the state machine's state.
	Snapshot *apiv1.QuorumSnapshot
	Entries  []*apiv1.LogEntry
	Messages []*apiv1.QuorumMessage
	// Committed entries are ready to be applied, in order, without a gap.
	Committed  []*apiv1.LogEntry
	ReadStates []ReadState
	Role       Role
	Term       uint64
	Leader     uint64
}

// StoredState is what a replica finds on its disk when it starts.
type StoredState struct {
	HardState *apiv1.HardState
	// Snapshot is the newest whole one, nil when there is none.
	Snapshot *apiv1.QuorumSnapshot
	// Entries follow the snapshot without a gap.
	Entries []*apiv1.LogEntry
}

// Storage persists a replica's state. Everything that a method was given is
// durable when it returns nil; after an error the replica must stop, since it
// can't know what is on the disk.
type Storage interface {
	Load() (StoredState, error)
	// Save appends entries (cutting off any that they replace) and the hard state.
	Save(hs *apiv1.HardState, entries []*apiv1.LogEntry) error
	// SaveSnapshot stores a snapshot and drops the log up to its index. The entries
	// after it are kept only if the log holds the snapshot's last entry with the
	// same term; else they belong to a log that the snapshot has replaced.
	SaveSnapshot(s *apiv1.QuorumSnapshot) error
	Close() error
}

// StateMachine is what the committed log drives. Its methods are called from one
// goroutine.
type StateMachine interface {
	// Apply applies a committed command and returns its result, encoded.
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}
