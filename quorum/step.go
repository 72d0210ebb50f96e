package quorum

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Step handles a message from another replica. Any error other than ErrLostEntries means
// that the message was unusable and has been dropped.
func (r *Raft) Step(m *apiv1.QuorumMessage) error {
	if m.GetTo() != r.id || m.GetFrom() == r.id || m.GetFrom() == 0 {
		return errors.Wrapf(ErrInvalidMessage, "message from %d to %d was delivered to %d", m.GetFrom(), m.GetTo(), r.id)
	}
	if r.fromNonMember(m) {
		return nil
	}
	switch {
	case m.GetTerm() > r.term:
		if !r.handleNewerTerm(m) {
			return nil
		}
	case m.GetTerm() < r.term:
		r.respondToStaleTerm(m)
		return nil
	}
	return r.dispatch(m)
}

// fromNonMember reports whether m is a response to this leader from a replica that is
// not a member. Such a message is dropped: a removed replica with a newer term could
// otherwise depose the leader of a group that it no longer belongs to. Dropping a
// message is always safe, since messages can be lost anyway.
func (r *Raft) fromNonMember(m *apiv1.QuorumMessage) bool {
	return r.role == Leader && isResponse(m.GetKind()) && r.progress[m.GetFrom()] == nil
}

func isResponse(kind apiv1.MessageKind) bool {
	switch kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND_RESPONSE,
		apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE,
		apiv1.MessageKind_MESSAGE_KIND_VOTE_RESPONSE,
		apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE:
		return true
	}
	return false
}

func isVoteRequest(kind apiv1.MessageKind) bool {
	return kind == apiv1.MessageKind_MESSAGE_KIND_VOTE ||
		kind == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE
}

func isFromLeader(kind apiv1.MessageKind) bool {
	switch kind {
	case apiv1.MessageKind_MESSAGE_KIND_APPEND,
		apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT,
		apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		return true
	}
	return false
}

// handleNewerTerm handles a message with a newer term (section 5.1 of the paper): a
// replica that learns of a newer term becomes a follower in it. It returns false when
// the message is to be ignored.
func (r *Raft) handleNewerTerm(m *apiv1.QuorumMessage) bool {
	kind := m.GetKind()
	if isVoteRequest(kind) && !m.GetTransfer() && r.leaderRecentlyActive() {
		return false
	}
	switch {
	case kind == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		// The term of a pre-vote request is only a proposal.
	case kind == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE && !m.GetReject():
		// A granted pre-vote carries the proposed term.
	case isFromLeader(kind):
		r.becomeFollower(m.GetTerm(), m.GetFrom())
	default:
		r.becomeFollower(m.GetTerm(), 0)
	}
	return true
}

// leaderRecentlyActive reports whether this replica received a message from its leader
// within the shortest election timeout. While that is so, vote requests are ignored
// (thesis, 4.2.3): a replica that was partitioned or removed could otherwise depose a
// leader that all others can reach.
func (r *Raft) leaderRecentlyActive() bool {
	return r.leader != 0 && r.electionElapsed < r.cfg.ElectionTicks
}

// respondToStaleTerm informs the sender of an outdated message of the current term. A
// stale leader needs this to step down. It also frees a replica whose term is newer than
// its group's: the group ignores its vote requests while the leader is active, so only
// this response to the leader's messages makes the group adopt the newer term, in which
// that replica can follow again.
func (r *Raft) respondToStaleTerm(m *apiv1.QuorumMessage) {
	switch {
	case isFromLeader(m.GetKind()):
		r.send(&apiv1.QuorumMessage{
			Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_RESPONSE,
			To:   m.GetFrom(), Reject: true,
		})
	case m.GetKind() == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		r.sendVoteResponse(m, false)
	}
}

// dispatch handles a message of the current term, or a pre-vote message.
func (r *Raft) dispatch(m *apiv1.QuorumMessage) error {
	if isFromLeader(m.GetKind()) {
		r.acceptLeader(m.GetFrom())
	}
	switch m.GetKind() {
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE, apiv1.MessageKind_MESSAGE_KIND_VOTE:
		r.handleVoteRequest(m)
	case apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE, apiv1.MessageKind_MESSAGE_KIND_VOTE_RESPONSE:
		r.handleVoteResponse(m)
	case apiv1.MessageKind_MESSAGE_KIND_APPEND:
		return r.handleAppend(m)
	case apiv1.MessageKind_MESSAGE_KIND_APPEND_RESPONSE:
		r.handleAppendResponse(m)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT:
		return r.handleHeartbeat(m)
	case apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE:
		r.handleHeartbeatResponse(m)
	case apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT:
		return r.handleSnapshot(m)
	case apiv1.MessageKind_MESSAGE_KIND_TIMEOUT_NOW:
		r.handleTimeoutNow(m)
	case apiv1.MessageKind_MESSAGE_KIND_READ_INDEX:
		r.handleReadIndex(m)
	case apiv1.MessageKind_MESSAGE_KIND_READ_INDEX_RESPONSE:
		r.handleReadIndexResponse(m)
	default:
		return errors.Wrapf(ErrInvalidMessage, "unknown message kind %d", m.GetKind())
	}
	return nil
}

// acceptLeader makes this replica a follower of the leader of the current term.
func (r *Raft) acceptLeader(leader uint64) {
	if r.role == Leader {
		invariantViolated("replicas %d and %d are both leaders in term %d", r.id, leader, r.term)
	}
	if r.role != Follower || r.leader != leader {
		r.becomeFollower(r.term, leader)
	}
	r.electionElapsed = 0
}
