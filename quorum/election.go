package quorum

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// campaign starts an election, or with PreCandidate only asks whether it could
// be won (thesis, 9.6). The pre-vote changes neither term nor vote anywhere, so a
// replica that was cut off does not come back with a term that deposes a leader.
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

// handleVoteRequest grants at most one vote a term, and only to a candidate whose
// log is up to date. The vote is in the hard state that is synced before the
// answer leaves: a replica that forgot it over a restart could vote twice, and
// two leaders could win the term. Learners answer too, since a replica that was
// made a voter may not know it yet.
func (r *Raft) handleVoteRequest(m *apiv1.QuorumMessage) {
	preVote := m.GetKind() == apiv1.MessageKind_MESSAGE_KIND_PRE_VOTE
	free := r.vote == m.GetFrom() || r.vote == 0 && r.leader == 0 || preVote && m.GetTerm() > r.term
	grant := free && r.log.upToDate(m.GetIndex(), m.GetLogTerm()) && !(preVote && r.awaitsOtherCandidate(m.GetFrom()))
	r.sendVoteResponse(m, grant)
	if grant && !preVote {
		r.vote = m.GetFrom()
		r.startVoteWindow()
	}
	if grant && (!preVote || r.inStartup()) {
		r.electionElapsed = 0
	}
}

// sendVoteResponse answers a vote request. A granted pre-vote repeats the proposed
// term; a refusal carries the own term, so that the candidate can catch up.
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

// handleVoteResponse counts an answer of the election that is going on. One to an
// earlier pre-vote has another term and does not count.
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

// recordVote counts the first answer of each voter and reports whether it decided
// the election. A majority of the voters wins; any two majorities share a voter,
// who votes once a term: election safety.
func (r *Raft) recordVote(from uint64, granted bool) bool {
	if _, answered := r.votes[from]; !answered {
		r.votes[from] = granted
	}
	voters, won, lost := 0, 0, 0
	for _, replica := range r.membership.current().GetReplicas() {
		if replica.GetLearner() {
			continue
		}
		voters++
		if granted, answered := r.votes[replica.GetId()]; answered && granted {
			won++
		} else if answered {
			lost++
		}
	}
	switch {
	case won > voters/2 && r.role == PreCandidate:
		r.campaign(Candidate, false)
		return true
	case won > voters/2:
		r.becomeLeader()
		return true
	case lost > voters/2:
		r.becomeFollower(r.term, 0)
		return true
	}
	return false
}

// becomeLeader takes up the office with an empty entry. Entries of earlier terms
// can't be committed by counting (5.4.2), so without it they, and every read
// that needs to know the commit index, would wait for the next proposal.
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
