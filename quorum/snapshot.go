package quorum

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// compactionTail and compactionTailBytes limit the entries before a snapshot that
	// stay in memory, so that a follower that lags by a few entries does not need the
	// snapshot.
	compactionTail      = 256
	compactionTailBytes = 1 << 20
	// snapshotTimeouts is the time from sending a snapshot to sending it again if the
	// follower has not acknowledged it, in election timeouts.
	snapshotTimeouts = 4
)

// Compact records the state machine's snapshot at an applied index, and returns it together
// with the term and the membership at that index, which a replica needs to continue from
// it. It drops the log in memory except for a short tail before that index.
func (r *Raft) Compact(index uint64, snapshotData []byte) (*apiv1.QuorumSnapshot, error) {
	if index > r.log.applied {
		return nil, errors.Wrapf(ErrNotApplied, "snapshot at index %d, but the log is applied up to %d", index, r.log.applied)
	}
	if index <= r.snapshot.GetMeta().GetIndex() {
		return nil, errors.Wrapf(ErrCompacted, "snapshot at index %d, but the newest one is at %d", index, r.snapshot.GetMeta().GetIndex())
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

// sendSnapshot sends the newest snapshot to a follower whose next entry is compacted.
func (r *Raft) sendSnapshot(to uint64, p *progress) {
	p.setState(restoring)
	p.restoreIndex = r.snapshot.GetMeta().GetIndex()
	p.restoreTicks = 0
	r.send(&apiv1.QuorumMessage{
		Kind: apiv1.MessageKind_MESSAGE_KIND_SNAPSHOT, To: to, Snapshot: r.snapshot,
	})
}

// retrySnapshot returns to probing if a responding follower has not acknowledged its
// snapshot in time, since the message may be lost.
func (r *Raft) retrySnapshot(p *progress) {
	if p.state == restoring && p.restoreTicks > snapshotTimeouts*r.cfg.ElectionTicks {
		p.setState(probing)
	}
}

// handleSnapshot replaces the log with a snapshot that is ahead of this replica's commit
// index. If the log holds the snapshot's last entry, the logs are identical up to it, and
// only the commit index advances (figure 13 of the paper): the entries after it may already
// be acknowledged and must stay.
func (r *Raft) handleSnapshot(m *apiv1.QuorumMessage) error {
	meta := m.GetSnapshot().GetMeta()
	if err := validateMembership(meta.GetMembership()); err != nil || meta.GetIndex() == 0 || meta.GetTerm() > r.term {
		return errors.Wrapf(ErrInvalidMessage, "invalid snapshot at index %d of term %d: %v", meta.GetIndex(), meta.GetTerm(), err)
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
