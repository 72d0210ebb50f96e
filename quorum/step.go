package quorum

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Step takes in a message of another replica. An error that is not ErrLostEntries
// only says that the message was unusable.
func (r *Raft) Step(m *apiv1.QuorumMessage) error {
	if m.GetTo() != r.id || m.GetFrom() == r.id || m.GetFrom() == 0 {
		return errors.Wrapf(ErrInvalidMessage, "message from %d to %d came to %d", m.GetFrom(), m.GetTo(), r.id)
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

// fromNonMember reports whether m is to be dropped as the answer of a replica that is
// no member (any more) to this leader. A removed replica with a newer term would
// else depose the leader of a group that it does not belong to. To drop a message
// is always safe: it could have been lost.
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

// handleNewerTerm handles the newer term of a message (5.1): whoever learns of a newer
// term follows in it. It returns false when the message is to be ignored.
func (r *Raft) handleNewerTerm(m *apiv1.QuorumMessage) bool {
	kind := m.GetKind()
	if isVoteRequest(kind) && !m.GetTransfer() && r.leaderRecentlyActive() {
		return false
	}
	switch {
	case kind == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE:
		// Its term is only a proposal.
	case kind == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE && !m.GetReject():
		// The answer repeats the proposed term.
	case isFromLeader(kind):
		r.becomeFollower(m.GetTerm(), m.GetFrom())
	default:
		r.becomeFollower(m.GetTerm(), 0)
	}
	return true
}

// leaderRecentlyActive reports whether there was a sign of a living leader within the
// shortest election timeout. A vote is refused then (thesis, 4.2.3): a replica
// that was cut off or removed could else depose a leader that all others hear.
func (r *Raft) leaderRecentlyActive() bool {
	return r.leader != 0 && r.electionElapsed < r.cfg.ElectionTicks
}

// respondToStaleTerm tells a replica that its term has passed. A leader has to know to
// step down; and since votes and pre-votes don't reach a group that hears its
// leader, a replica stuck in a newer term would else neither follow nor be heard.
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

// dispatch handles a message of the own term, or about a pre-vote.
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
		return errors.Wrapf(ErrInvalidMessage, "kind %d", m.GetKind())
	}
	return nil
}

// acceptLeader accepts the leader of the current term.
func (r *Raft) acceptLeader(leader uint64) {
	if r.role == Leader {
		invariantViolated("replicas %d and %d both lead in term %d", r.id, leader, r.term)
	}
	if r.role != Follower || r.leader != leader {
		r.becomeFollower(r.term, leader)
	}
	r.electionElapsed = 0
}
