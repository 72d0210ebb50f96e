package quorum

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// campaign starts an election, or with PreCandidate a pre-vote that finds out whether an
// election could be won (thesis, 9.6). A pre-vote changes neither the term nor the vote
// of any replica, so a replica that was partitioned does not return with a newer term
// that deposes the leader.
func (r *Raft) campaign(role Role, transfer bool) {
	term := r.term + 1
	if role == PreCandidate {
		r.reset(PreCandidate, r.term)
	} else {
		r.reset(Candidate, term)
		r.vote = r.id
		r.startVoteWindow()
	}
	r.setLeader(0)
	r.votes = map[uint64]bool{}
	if r.recordVote(r.id, true) {
		return
	}
	kind := apiv1.MessageKind_MESSAGE_KIND_VOTE
	if role == PreCandidate {
		kind = apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE
	}
	for _, replica := range r.membership.current().GetReplicas() {
		if replica.GetLearner() || replica.GetId() == r.id {
			continue
		}
		r.send(&apiv1.QuorumMessage{
			Kind: kind, To: replica.GetId(), Term: term,
			Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), Transfer: transfer,
		})
	}
}

// handleVoteRequest grants at most one vote per term, and only to a candidate whose log
// is up to date. The vote is part of the hard state, which is synced before the response
// is sent: a replica that lost its vote in a restart could vote twice, and two candidates
// could win the same term. Learners respond too, since a replica that was promoted to a
// voter may not have received that entry yet.
func (r *Raft) handleVoteRequest(m *apiv1.QuorumMessage) {
	preVote := m.GetKind() == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE
	canVote := r.vote == m.GetFrom() || r.vote == 0 && r.leader == 0 || preVote && m.GetTerm() > r.term
	grant := canVote && r.log.upToDate(m.GetIndex(), m.GetLogTerm()) && !(preVote && r.awaitsOtherCandidate(m.GetFrom()))
	r.sendVoteResponse(m, grant)
	if grant && !preVote {
		r.vote = m.GetFrom()
		r.startVoteWindow()
	}
	if grant && (!preVote || r.inStartup()) {
		r.electionElapsed = 0
	}
}

// sendVoteResponse responds to a vote or pre-vote request. A granted response carries the
// term of the request; a rejection carries this replica's term, so that the candidate can
// catch up.
func (r *Raft) sendVoteResponse(m *apiv1.QuorumMessage, grant bool) {
	kind := apiv1.MessageKind_MESSAGE_KIND_VOTE_RESPONSE
	if m.GetKind() == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE {
		kind = apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE
	}
	term := r.term
	if grant {
		term = m.GetTerm()
	}
	r.send(&apiv1.QuorumMessage{Kind: kind, To: m.GetFrom(), Term: term, Reject: !grant})
}

// handleVoteResponse counts a response in the current election. A response to an earlier
// pre-vote has a different term and is ignored.
func (r *Raft) handleVoteResponse(m *apiv1.QuorumMessage) {
	preVote := m.GetKind() == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE_RESPONSE
	switch {
	case r.role == PreCandidate && preVote:
		if !m.GetReject() && m.GetTerm() != r.term+1 {
			return
		}
	case r.role == Candidate && !preVote:
	default:
		return
	}
	r.recordVote(m.GetFrom(), !m.GetReject())
}

// recordVote counts the first response of each voter and reports whether it decided the
// election. A candidate wins with the votes of a majority. Any two majorities share a
// voter, which votes once per term, so at most one candidate wins a term (election
// safety).
func (r *Raft) recordVote(from uint64, granted bool) bool {
	if _, responded := r.votes[from]; !responded {
		r.votes[from] = granted
	}
	voters, grants, rejections := 0, 0, 0
	for _, replica := range r.membership.current().GetReplicas() {
		if replica.GetLearner() {
			continue
		}
		voters++
		if granted, responded := r.votes[replica.GetId()]; responded && granted {
			grants++
		} else if responded {
			rejections++
		}
	}
	switch {
	case grants > voters/2 && r.role == PreCandidate:
		r.campaign(Candidate, false)
		return true
	case grants > voters/2:
		r.becomeLeader()
		return true
	case rejections > voters/2:
		r.becomeFollower(r.term, 0)
		return true
	}
	return false
}

// becomeLeader makes this replica the leader and appends an empty entry. Entries of
// earlier terms can't be committed by counting copies (section 5.4.2 of the paper), so
// without the empty entry they, and every linearizable read, would wait for the next
// proposal.
func (r *Raft) becomeLeader() {
	r.reset(Leader, r.term)
	r.setLeader(r.id)
	r.progress = map[uint64]*progress{}
	r.uncommittedBytes = r.log.size(r.log.commit+1, r.log.lastIndex())
	r.syncProgress()
	r.progress[r.id].match = r.log.stable
	r.appendAsLeader(apiv1.EntryKind_ENTRY_KIND_EMPTY, nil)
	r.broadcastHeartbeat()
}
