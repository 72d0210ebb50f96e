package quorum

import (
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Config holds a replica's settings. Times are counted in ticks; how long a
// tick lasts is up to the driver, and must be the same in the whole group.
type Config struct {
	// ID is unique over the group's whole life: a replica that lost its disk
	// returns under a new one, since under the old one it could vote a second
	// time in a term, or be counted for entries it no longer has.
	ID uint64
	// ElectionTicks is the shortest election timeout; each one is drawn from
	// [ElectionTicks, 2*ElectionTicks).
	ElectionTicks int
	// HeartbeatTicks is the time between two heartbeats of a leader.
	HeartbeatTicks int
	// MaxEntriesPerMessage bounds one append message, besides MaxMessageBytes.
	MaxEntriesPerMessage int
	// MaxInflight bounds the unanswered append messages to one follower.
	MaxInflight int
	// MaxUncommitted bounds the entries of a leader's log that wait for a majority.
	MaxUncommitted int
	// Rand spreads election timeouts and names forwarded reads. The driver seeds
	// it differently at every start.
	Rand *rand.Rand
}

const (
	// MaxCommandBytes bounds the data of one entry.
	MaxCommandBytes = 4 << 20
	// MaxMessageBytes bounds the entries of one append message, which still
	// carries one entry if that alone is longer.
	MaxMessageBytes = 1 << 20
	// MaxReplicas bounds a group, learners included.
	MaxReplicas = 15
	// MaxUncommittedBytes bounds, besides Config.MaxUncommitted, what waits for a
	// majority; one more command may reach beyond it.
	MaxUncommittedBytes = 32 << 20
	// maxCommittedPerReady bounds the entries handed out to be applied at once.
	maxCommittedPerReady = 1024
)

func (c Config) validate() error {
	switch {
	case c.ID == 0:
		return errors.New("quorum: a replica's id must not be 0")
	case c.HeartbeatTicks <= 0 || c.ElectionTicks <= c.HeartbeatTicks:
		return errors.New("quorum: the election timeout must be longer than the time between heartbeats")
	case c.MaxEntriesPerMessage <= 0 || c.MaxInflight <= 0 || c.MaxUncommitted <= 0:
		return errors.New("quorum: every bound must be above 0")
	case c.Rand == nil:
		return errors.New("quorum: a source of randomness is needed")
	}
	return nil
}

// Raft is one replica's consensus core. It is not safe for concurrent use.
// Messages and entries that it took or handed out must not be changed.
type Raft struct {
	cfg  Config
	id   uint64
	term uint64
	vote uint64
	role Role

	leader     uint64
	log        raftLog
	snapshot   *apiv1.QuorumSnapshot // newest, nil when there is none
	membership membershipHistory

	// progress is set while leading, with one item per replica, itself included.
	progress map[uint64]*progress
	// votes is set while a candidate: who answered, and whether in favour.
	votes map[uint64]bool
	// transferee is who the leader hands over to, 0 when to nobody, and
	// transferElapsed since when.
	transferee      uint64
	transferElapsed int
	// uncommittedBytes is the size of a leader's entries that wait for a majority.
	uncommittedBytes int
	reads            reads

	electionElapsed  int
	heartbeatElapsed int
	electionTimeout  int
	// startupTicks are the ticks left in which a replica that has just started asks for
	// pre-votes early; see early.go.
	startupTicks int
	// voteWindowTicks are the ticks left in which the candidate that got this replica's vote is
	// expected to win; see early.go.
	voteWindowTicks int

	messages   []*apiv1.QuorumMessage
	readStates []ReadState
	// appendsPending: there may be something to send to a follower.
	appendsPending bool
	ready          readyState
	saveDurations  durationWindow
	// compactionTail is the constant of that name, but in tests.
	compactionTail int
}

// New returns a replica that continues from what is stored. A replica without
// any stored state waits to be taken in by a group. A new group starts from a
// snapshot at index 1 and term 1 that holds the membership.
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
	// The commit index is saved only once the entries are, so a log that ends
	// before it has lost entries that this replica had acknowledged. It could
	// help to elect a leader without them: it must not go on.
	if hs.GetCommit() > r.log.lastIndex() {
		return errors.Wrapf(ErrLostEntries, "committed up to %d, the log ends at %d", hs.GetCommit(), r.log.lastIndex())
	}
	r.log.commitTo(hs.GetCommit())
	if r.log.lastTerm() > r.term {
		return errors.Wrapf(ErrInvalidStoredState, "term %d is older than the last entry's", r.term)
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

// Tick tells the replica that one more tick has passed.
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
		// Without a vote there is no election to lose the leader in. A replica that
		// believed in one for ever would not notice that the group has forgotten it, or
		// never took it in.
		r.becomeFollower(r.term, 0)
	}
}

func (r *Raft) tickLeader() {
	r.electionElapsed = 0 // a leader hears itself
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

// majorityRecentlyActive reports whether a leader heard a majority of the voters within an
// election timeout. One that did not steps down (check-quorum): cut off, it would
// else believe in its office for as long as the cut lasts, and take work that it
// can never commit.
func (r *Raft) majorityRecentlyActive(m *apiv1.Membership) bool {
	heard, voters := 0, 0
	for _, replica := range m.GetReplicas() {
		if replica.GetLearner() {
			continue
		}
		voters++
		if r.recentlyActive(replica.GetId()) {
			heard++
		}
	}
	return heard > voters/2
}

func (r *Raft) recentlyActive(id uint64) bool {
	return id == r.id || r.progress[id].ticksSinceContact < r.cfg.ElectionTicks
}

// Status returns the replica's view of its group.
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

// reset prepares for a role in a term. The vote lasts as long as the term.
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

// setLeader notes who leads. Reads that wait for the one before are refused:
// nobody is left to confirm them.
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
