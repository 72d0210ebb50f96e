package quorum

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// hardState is the state that must be on the disk before a message is sent.
type hardState struct {
	term, vote, commit uint64
}

// readyState tracks what the last Ready contained.
type readyState struct {
	// saved is the hard state of the last Ready that had one.
	saved hardState
	// snapshot is a received snapshot that has not been in a Ready yet.
	snapshot *apiv1.QuorumSnapshot
	// role, term and leader are those of the last Ready.
	role         Role
	term, leader uint64

	// outstanding is set between a Ready and its Advance. applied is the index of the
	// last committed entry in that Ready.
	outstanding bool
	applied     uint64
}

// hardState returns the hard state to persist. Its commit index only saves work after a
// restart, so it is limited to entries that are already on the disk. A log that ends before
// it has therefore lost entries, even if a write was torn.
func (r *Raft) hardState() hardState {
	hs := hardState{term: r.term, vote: r.vote, commit: r.ready.saved.commit}
	if r.ready.snapshot == nil {
		hs.commit = max(hs.commit, min(r.log.commit, r.log.stable))
	}
	return hs
}

// mustSaveHardState reports whether the hard state must be persisted. A new commit index
// alone does not justify a sync.
func (r *Raft) mustSaveHardState(hs hardState) bool {
	saved := r.ready.saved
	if hs.term != saved.term || hs.vote != saved.vote {
		return true
	}
	return hs != saved && r.log.stable < r.log.lastIndex()
}

// HasReady reports whether there is work for the driver.
func (r *Raft) HasReady() bool {
	switch {
	case r.ready.outstanding:
		return false
	case len(r.messages) > 0, len(r.readStates) > 0, r.ready.snapshot != nil:
		return true
	case r.log.stable < r.log.lastIndex(), r.log.applied < r.log.commit:
		return true
	case r.role == Leader && r.appendsPending, r.canStartReadRound():
		return true
	case r.role != r.ready.role, r.term != r.ready.term, r.leader != r.ready.leader:
		return true
	}
	return r.mustSaveHardState(r.hardState())
}

// Ready returns the next work for the driver. It must not be called again before Advance.
func (r *Raft) Ready() Ready {
	if r.ready.outstanding {
		invariantViolated("Ready was called twice without Advance")
	}
	if r.canStartReadRound() {
		r.startReadRound()
	}
	if r.role == Leader && r.appendsPending {
		r.flushAppends()
	}
	out := Ready{
		Snapshot:   r.ready.snapshot,
		Entries:    r.log.beginWrite(),
		Messages:   r.messages,
		Committed:  r.nextCommitted(),
		ReadStates: r.readStates,
		Role:       r.role,
		Term:       r.term,
		Leader:     r.leader,
	}
	if hs := r.hardState(); r.mustSaveHardState(hs) {
		out.HardState = &apiv1.HardState{Term: hs.term, Vote: hs.vote, Commit: hs.commit}
		r.ready.saved = hs
	}
	r.messages, r.readStates = nil, nil
	r.acceptReady(out)
	return out
}

// nextCommitted returns the committed entries to apply next. They may include entries of
// the same Ready that are still to be persisted, since the driver persists before it
// applies.
func (r *Raft) nextCommitted() []*apiv1.LogEntry {
	to := min(r.log.commit, r.log.applied+maxCommittedPerReady)
	return r.log.slice(r.log.applied+1, to)
}

func (r *Raft) acceptReady(out Ready) {
	r.ready = readyState{
		saved: r.ready.saved,
		role:  out.Role, term: out.Term, leader: out.Leader,
		outstanding: true,
		applied:     r.log.applied + uint64(len(out.Committed)),
	}
}

// Advance reports that all work of the last Ready is done. Only then does a leader count
// its own copies of the entries: if it crashed before they were synced, a majority that
// included them would lack one copy.
func (r *Raft) Advance() {
	if !r.ready.outstanding {
		invariantViolated("Advance was called without Ready")
	}
	r.ready.outstanding = false
	r.log.applied = max(r.log.applied, r.ready.applied)
	r.log.finishWrite()
	if r.role != Leader {
		return
	}
	if self := r.progress[r.id]; r.log.stable > self.match {
		self.match = r.log.stable
		r.advanceCommit()
	}
}
