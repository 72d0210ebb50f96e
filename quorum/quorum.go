// Package quorum implements the replicated log of the control group. It follows the
// Raft paper (Ongaro and Ousterhout, "In Search of an Understandable Consensus
// Algorithm", 2014) and Ongaro's thesis (pre-vote, check-quorum, leadership
// transfer, read index, single-server membership changes). The consensus core does
// no I/O. Its driver steps it with messages and ticks, and takes from it, as a Ready,
// the state to persist, the messages to send and the entries to apply.
package quorum

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Role is the Raft role of a replica in its current term.
type Role int

const (
	// Follower accepts entries from a leader.
	Follower Role = iota
	// PreCandidate requests pre-votes, without starting a new term.
	PreCandidate
	// Candidate requests votes in a new term.
	Candidate
	// Leader appends entries to its log and replicates them.
	Leader
)

// String returns the name of the role, as it appears in logs.
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

// Status describes a group as one replica sees it.
type Status struct {
	ID         uint64
	Role       Role
	Term       uint64
	Leader     uint64 // 0 when unknown
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Membership *apiv1.Membership
	// Match holds, by replica, the last index known to be on its disk; set on a leader.
	Match map[uint64]uint64
	// TicksSinceContact holds, by replica, the ticks since its last response; set on a leader.
	TicksSinceContact map[uint64]int
}

// ReadState is the result of a ReadIndex call. A read that runs after the entry at
// Index is applied sees everything that was committed before the call.
type ReadState struct {
	Context uint64
	Index   uint64
	// Rejected is set when no leader confirmed the read.
	Rejected bool
}

// Ready is the work that the driver must do next, in this order: persist and sync
// HardState, Snapshot and Entries; send Messages; apply Committed; call Advance.
type Ready struct {
	// HardState is nil when unchanged.
	HardState *apiv1.HardState
	// Snapshot, when set, replaces the log and the state machine's state.
	Snapshot *apiv1.QuorumSnapshot
	Entries  []*apiv1.LogEntry
	Messages []*apiv1.QuorumMessage
	// Committed holds the entries to apply, in order and without a gap.
	Committed  []*apiv1.LogEntry
	ReadStates []ReadState
	Role       Role
	Term       uint64
	Leader     uint64
}

// StoredState is the state that a replica loads from its disk when it starts.
type StoredState struct {
	HardState *apiv1.HardState
	// Snapshot is the newest readable snapshot, or nil if there is none.
	Snapshot *apiv1.QuorumSnapshot
	// Entries holds the log after the snapshot, without a gap.
	Entries []*apiv1.LogEntry
}

// Storage persists a replica's state. When a method returns nil, its arguments are
// durable. After an error the replica must stop, because the content of the disk is
// unknown.
type Storage interface {
	Load() (StoredState, error)
	// Save stores the hard state and appends entries, truncating the log where they
	// replace existing ones.
	Save(hs *apiv1.HardState, entries []*apiv1.LogEntry) error
	// SaveSnapshot stores a snapshot and drops the log up to its index. Later entries
	// are kept only if the log holds the snapshot's last entry with the same term;
	// otherwise they belong to a conflicting log, which the snapshot replaces.
	SaveSnapshot(s *apiv1.QuorumSnapshot) error
	Close() error
}

// StateMachine is the state that committed commands change. Its methods are called
// from one goroutine.
type StateMachine interface {
	// Apply applies a committed command and returns its encoded result.
	Apply(index uint64, command []byte) []byte
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}
