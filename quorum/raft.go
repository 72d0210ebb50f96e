package quorum

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Config holds a replica's settings. Times are counted in ticks. The driver chooses
// the length of a tick, which must be the same in the whole group.
type Config struct {
	// ID must never be used twice in a group. A replica that lost its disk must return
	// under a new id: under the old one it could vote a second time in a term, or be
	// counted for entries that it no longer has.
	ID uint64
	// ElectionTicks is the shortest election timeout. Each timeout is drawn from
	// [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the time between two heartbeats of a leader.
	HeartbeatTicks int
	// MaxEntriesPerMessage limits the entries of one append message, in addition to
	// MaxMessageBytes.
	MaxEntriesPerMessage int
	// MaxInflight limits the unacknowledged append messages to one follower.
	MaxInflight int
	// MaxUncommitted limits the uncommitted entries of a leader's log.
	MaxUncommitted int
	// Rand randomizes election timeouts and the tokens of forwarded reads. The driver
	// must seed it differently at every start.
	Rand *rand.Rand
}

const (
	// MaxCommandBytes limits the data of one entry.
	MaxCommandBytes = 4 << 20
	// MaxMessageBytes limits the entries of one append message. An entry that alone
	// exceeds the limit is sent in a message of its own.
	MaxMessageBytes = 1 << 20
	// MaxReplicas limits the replicas of a group, including learners.
	MaxReplicas = 15
	// MaxUncommittedBytes limits the size of a leader's uncommitted entries, in addition
	// to Config.MaxUncommitted. The last accepted command may exceed it.
	MaxUncommittedBytes = 32 << 20
	// maxCommittedPerReady limits the committed entries in one Ready.
	maxCommittedPerReady = 1024
)

func (c Config) validate() error {
	switch {
	case c.ID == 0:
		return errors.New("quorum: ID must not be 0")
	case c.HeartbeatTicks <= 0 || c.ElectionTicks <= c.HeartbeatTicks:
		return errors.New("quorum: ElectionTicks must be greater than HeartbeatTicks, and HeartbeatTicks greater than 0")
	case c.MaxEntriesPerMessage <= 0 || c.MaxInflight <= 0 || c.MaxUncommitted <= 0:
		return errors.New("quorum: MaxEntriesPerMessage, MaxInflight and MaxUncommitted must be greater than 0")
	case c.Rand == nil:
		return errors.New("quorum: Rand must be set")
	}
	return nil
}

// Raft is the consensus core of one replica. It is not safe for concurrent use.
// Messages and entries that were passed to it or returned by it must not be modified.
type Raft struct {
	cfg  Config
	id   uint64
	term uint64
	vote uint64
	role Role

	leader     uint64
	log        raftLog
	snapshot   *apiv1.QuorumSnapshot // the newest one, or nil
	membership membershipHistory

	// progress holds the replication state of each replica, including this one. It is
	// set only on a leader.
	progress map[uint64]*progress
	// votes holds, by replica, whether it granted its vote. It is set only on a
	// candidate or pre-candidate.
	votes map[uint64]bool
	// transferee is the replica that leadership is being transferred to, or 0, and
	// transferElapsed the ticks since that transfer began.
	transferee      uint64
	transferElapsed int
	// uncommittedBytes is the size of a leader's uncommitted entries.
	uncommittedBytes int
	reads            reads

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	// startupTicks is the number of ticks left in which a replica that has just started
	// requests pre-votes early; see startup.go.
	startupTicks int
	// voteWindowTicks is the number of ticks left in which the candidate that got this
	// replica's vote is expected to win; see startup.go.
	voteWindowTicks int

	messages   []*apiv1.QuorumMessage
	readStates []ReadState
	// appendsPending is set when there may be something to send to a follower.
	appendsPending bool
	ready          readyState
	saveDurations  durationWindow
	// compactionTail equals the constant of that name, except in tests.
	compactionTail int
}

// New returns a replica that continues from its stored state. A replica without
// stored state waits until a group adds it. A new group starts from a snapshot at
// index 1 and term 1 that holds the membership.
func New(cfg Config, stored StoredState) (*Raft, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	r := &Raft{cfg: cfg, id: cfg.ID, compactionTail: compactionTail}
	if err := r.load(stored); err != nil {
		return nil, err
	}
	r.beginStartup()
	r.becomeFollower(r.term, 0)
	r.ready.saved = r.hardState()
	r.ready.role, r.ready.term, r.ready.leader = r.role, r.term, r.leader
	if r.soleVoter() {
		r.campaign(Candidate, false)
	}
	return r, nil
}

func (r *Raft) load(stored StoredState) error {
	if s := stored.Snapshot; s != nil {
		meta := s.GetMeta()
		if err := validateMembership(meta.GetMembership()); err != nil {
			return errors.Mark(err, ErrInvalidStoredState)
		}
		r.snapshot = s
		r.log.restore(meta.GetIndex(), meta.GetTerm())
		r.membership.restore(meta)
	}
	if err := r.loadEntries(stored.Entries); err != nil {
		return err
	}
	hs := stored.HardState
	r.term, r.vote = hs.GetTerm(), hs.GetVote()
	if hs == nil {
		r.term = stored.Snapshot.GetMeta().GetTerm()
	}
	// The commit index is saved only after the entries, so a log that ends before it
	// has lost entries that this replica acknowledged. The replica must not start: its
	// vote could elect a leader that lacks these entries.
	if hs.GetCommit() > r.log.lastIndex() {
		return errors.Wrapf(ErrLostEntries, "commit index is %d, but the log ends at %d", hs.GetCommit(), r.log.lastIndex())
	}
	r.log.commitTo(hs.GetCommit())
	if r.log.lastTerm() > r.term {
		return errors.Wrapf(ErrInvalidStoredState, "stored term %d is lower than the term of the last entry", r.term)
	}
	return nil
}

func (r *Raft) loadEntries(entries []*apiv1.LogEntry) error {
	for _, e := range entries {
		if e.GetIndex() <= r.log.baseIndex {
			continue
		}
		if e.GetIndex() != r.log.lastIndex()+1 || e.GetTerm() < r.log.lastTerm() {
			return errors.Wrapf(ErrInvalidStoredState, "entry %d of term %d follows entry %d of term %d",
				e.GetIndex(), e.GetTerm(), r.log.lastIndex(), r.log.lastTerm())
		}
		if err := r.appendToLog([]*apiv1.LogEntry{e}); err != nil {
			return errors.Mark(err, ErrInvalidStoredState)
		}
	}
	r.log.stable = r.log.lastIndex()
	return nil
}

// Tick advances the replica's clock by one tick.
func (r *Raft) Tick() {
	r.electionElapsed++
	r.tickStartup()
	r.expireForwardedReads()
	if r.role == Leader {
		r.tickLeader()
		return
	}
	switch {
	case r.electionElapsed < r.campaignTimeout():
	case r.isVoter(r.id):
		r.campaign(PreCandidate, false)
	case r.leader != 0:
		// A replica without a vote does not campaign, so it would keep its last known
		// leader forever, and would not notice that the group has removed it or never
		// added it.
		r.becomeFollower(r.term, 0)
	}
}

func (r *Raft) tickLeader() {
	r.electionElapsed = 0 // a leader counts as its own contact
	for _, p := range r.progress {
		p.ticksSinceContact++
		p.restoreTicks++
	}
	r.transferElapsed++
	if r.transferElapsed >= r.cfg.ElectionTicks {
		r.transferee = 0
	}
	if !r.majorityRecentlyActive(r.membership.current()) {
		r.becomeFollower(r.term, 0)
		return
	}
	r.heartbeatElapsed++
	if r.heartbeatElapsed >= r.cfg.HeartbeatTicks {
		r.broadcastHeartbeat()
	}
}

// majorityRecentlyActive reports whether a leader had contact with a majority of the
// voters within an election timeout. A leader that had none steps down (check-quorum).
// Otherwise, a partitioned leader would consider itself the leader for as long as the
// partition lasts, and accept proposals that it can never commit.
func (r *Raft) majorityRecentlyActive(m *apiv1.Membership) bool {
	active, voters := 0, 0
	for _, replica := range m.GetReplicas() {
		if replica.GetLearner() {
			continue
		}
		voters++
		if r.recentlyActive(replica.GetId()) {
			active++
		}
	}
	return active > voters/2
}

func (r *Raft) recentlyActive(id uint64) bool {
	return id == r.id || r.progress[id].ticksSinceContact < r.cfg.ElectionTicks
}

// Status returns the replica's current view of its group.
func (r *Raft) Status() Status {
	s := Status{
		ID:         r.id,
		Role:       r.role,
		Term:       r.term,
		Leader:     r.leader,
		Commit:     r.log.commit,
		Applied:    r.log.applied,
		LastIndex:  r.log.lastIndex(),
		Membership: r.membership.current(),
	}
	if r.role == Leader {
		s.Match = make(map[uint64]uint64, len(r.progress))
		s.TicksSinceContact = make(map[uint64]int, len(r.progress))
		for id, p := range r.progress {
			s.Match[id] = p.match
			s.TicksSinceContact[id] = p.ticksSinceContact
		}
	}
	return s
}

// reset clears the state of the previous role and enters a role in a term. The vote is
// kept within a term.
func (r *Raft) reset(role Role, term uint64) {
	if term != r.term {
		r.term, r.vote = term, 0
	}
	r.role = role
	r.progress, r.votes = nil, nil
	r.transferee, r.uncommittedBytes = 0, 0
	r.electionElapsed, r.heartbeatElapsed = 0, 0
	r.electionTimeout = r.cfg.ElectionTicks + r.cfg.Rand.IntN(r.cfg.ElectionTicks)
}

func (r *Raft) becomeFollower(term, leader uint64) {
	r.reset(Follower, term)
	r.setLeader(leader)
}

// setLeader records the current leader, 0 when it is unknown. When the leader changes,
// pending reads are rejected, since the previous leader can no longer confirm them.
func (r *Raft) setLeader(leader uint64) {
	if r.leader == leader {
		return
	}
	r.rejectReads()
	r.leader = leader
	if leader != 0 {
		r.startupTicks = 0
	}
}

func (r *Raft) send(m *apiv1.QuorumMessage) {
	m.From = r.id
	if m.GetTerm() == 0 {
		m.Term = r.term
	}
	r.messages = append(r.messages, m)
}
