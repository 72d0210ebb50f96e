package quorum

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// TransferLeadership hands leadership to a voter (thesis, 3.10): proposals are
// refused, the voter is brought up to date and told to start an election at once.
// If that takes longer than an election timeout it is given up, and this replica
// goes on leading. That the other voters hear a leader does not stop the
// election, since its requests are marked; the votes are counted as in any other.
func (r *Raft) TransferLeadership(to uint64) error {
	switch {
	case r.role != Leader:
		return ErrNotLeader
	case !r.isVoter(to):
		return errors.Wrapf(ErrNotVoter, "replica %d", to)
	case to == r.id:
		r.transferee = 0
		return nil
	case !r.recentlyActive(to):
		return errors.Wrapf(ErrUnresponsive, "replica %d", to)
	}
	r.transferee = to
	r.transferElapsed = 0
	r.continueTransfer(to)
	return nil
}

// continueTransfer lets the transferee start its election once it holds the whole
// log; with less it could not win. It is called at each answer of the transferee,
// since the message can be lost; one too many has a term that has passed.
func (r *Raft) continueTransfer(id uint64) {
	if r.role != Leader || id != r.transferee {
		return
	}
	if r.progress[id].match == r.log.lastIndex() {
		r.sendTimeoutNow(id)
	}
}

func (r *Raft) sendTimeoutNow(to uint64) {
	r.send(&apiv1.QuorumMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_TIMEOUT_NOW, To: to})
}

// handleTimeoutNow starts an election without a pre-vote, which the voters that
// hear the leader would refuse.
func (r *Raft) handleTimeoutNow(m *apiv1.QuorumMessage) {
	if r.role != Leader && r.isVoter(r.id) {
		r.campaign(Candidate, true)
	}
}
