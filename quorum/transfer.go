package quorum

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// TransferLeadership transfers leadership to a voter (thesis, 3.10). Proposals are rejected
// during the transfer; the voter is brought up to date and then told to start an election
// immediately. If that takes longer than an election timeout, the transfer is abandoned and
// this replica stays the leader. The vote requests of this election are marked, so that
// voters consider them although they have contact with a leader. Votes are counted as in any
// other election.
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

// continueTransfer tells the transferee to start its election once it holds the whole log,
// without which it could not win. It is called at each response of the transferee, since
// the message can be lost. A superfluous message is ignored, since its term is outdated.
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

// handleTimeoutNow starts an election without a pre-vote, since voters that have contact
// with the leader would ignore the pre-vote.
func (r *Raft) handleTimeoutNow(m *apiv1.QuorumMessage) {
	if r.role != Leader && r.isVoter(r.id) {
		r.campaign(Candidate, true)
	}
}
