package quorum

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// compactionTail and compactionTailBytes bound the entries before a snapshot
	// that stay in memory, so that a follower that lags by a few does not need the
	// whole snapshot.
	compactionTail      = 256
	compactionTailBytes = 1 << 20
	// snapshotTimeouts is how many election timeouts a follower has for taking in
	// a snapshot before it is sent again.
	snapshotTimeouts = 4
)

// Compact takes in the state machine's snapshot at an applied index, and returns
// it with what else a replica needs to continue from it: term and membership at
// that index. The log in memory is dropped up to shortly before it.
func (r *Raft) Compact(index uint64, snapshotData []byte) (*apiv1.QuorumSnapshot, error) {
	if index > r.log.applied {
		return nil, errors.Wrapf(ErrNotApplied, "index %d, applied up to %d", index, r.log.applied)
	}
	if index <= r.snapshot.GetMeta().GetIndex() {
		return nil, errors.Wrapf(ErrCompacted, "index %d, newest snapshot at %d", index, r.snapshot.GetMeta().GetIndex())
	}
	term, ok := r.log.term(index)
	if !ok {
		invariantViolated("entry %d is applied but not in the log", index)
	}
	r.snapshot = &apiv1.QuorumSnapshot{
		Meta: &apiv1.SnapshotMeta{Index: index, Term: term, Membership: r.membership.at(index)},
		Data: snapshotData,
	}
	r.log.compact(r.log.tailStart(index, r.compactionTail, compactionTailBytes))
	r.membership.compact(index)
	return r.snapshot, nil
}

// sendSnapshot sends the newest snapshot to a follower whose next entry is
// compacted.
func (r *Raft) sendSnapshot(to uint64, p *progress) {
	p.setState(restoring)
	p.restoreIndex = r.snapshot.GetMeta().GetIndex()
	p.restoreTicks = 0
	r.send(&apiv1.QuorumMessage{
		Kind: apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT, To: to, Snapshot: r.snapshot,
	})
}

// retrySnapshot goes back to probing when a follower that is alive has not taken
// in its snapshot in time: the message may be lost.
func (r *Raft) retrySnapshot(p *progress) {
	if p.state == restoring && p.restoreTicks > snapshotTimeouts*r.cfg.ElectionTicks {
		p.setState(probing)
	}
}

// handleSnapshot replaces the log by a snapshot that reaches further than what is
// committed here. When the log holds the snapshot's last entry, everything up to
// it is the same, and only the commit index moves (figure 13 of the paper): what
// follows it may be acknowledged already and must stay.
func (r *Raft) handleSnapshot(m *apiv1.QuorumMessage) error {
	meta := m.GetSnapshot().GetMeta()
	if err := validateMembership(meta.GetMembership()); err != nil || meta.GetIndex() == 0 || meta.GetTerm() > r.term {
		return errors.Wrapf(ErrInvalidMessage, "snapshot at %d of term %d: %v", meta.GetIndex(), meta.GetTerm(), err)
	}
	switch {
	case meta.GetIndex() <= r.log.commit:
	case r.log.matches(meta.GetIndex(), meta.GetTerm()):
		r.log.commitTo(meta.GetIndex())
	default:
		r.snapshot = m.GetSnapshot()
		r.ready.snapshot = r.snapshot
		r.log.restore(meta.GetIndex(), meta.GetTerm())
		r.membership.restore(meta)
	}
	r.send(&apiv1.QuorumMessage{
		Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, To: m.GetFrom(), Index: r.log.commit,
	})
	return nil
}
