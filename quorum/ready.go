package quorum

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// hardState is what must be on the disk before a message leaves.
type hardState struct {
	term, vote, commit uint64
}

// readyState tracks what was handed out and what is on the disk.
type readyState struct {
	// saved is the hard state that was handed out last.
	saved hardState
	// snapshot is received and not handed out yet.
	snapshot *apiv1.QuorumSnapshot
	// role, term and leader are what the last Ready said.
	role         Role
	term, leader uint64

	// outstanding: a Ready waits for its Advance; its last committed entry is at
	// applied.
	outstanding bool
	applied     uint64
}

// hardState returns what to persist. The commit index in it is only a hint that
// saves work after a restart, so it is bounded by what is already on the disk: a
// log that ends before it then surely lost entries, however a write was torn.
func (r *Raft) hardState() hardState {
	hs := hardState{term: r.term, vote: r.vote, commit: r.ready.saved.commit}
	if r.ready.snapshot == nil {
		hs.commit = max(hs.commit, min(r.log.commit, r.log.stable))
	}
	return hs
}

// mustSaveHardState reports whether the hard state has to be persisted. A new commit index
// alone is not worth a sync.
func (r *Raft) mustSaveHardState(hs hardState) bool {
	saved := r.ready.saved
	if hs.term != saved.term || hs.vote != saved.vote {
		return true
	}
	return hs != saved && r.log.stable < r.log.lastIndex()
}

// HasReady reports whether there is anything for the driver to do.
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

// Ready returns what the driver has to do now. The next one may be taken only
// after Advance.
func (r *Raft) Ready() Ready {
	if r.ready.outstanding {
		invariantViolated("a Ready was taken before the one before it was advanced")
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

// nextCommitted returns the committed entries to apply next. They may be among
// the entries to persist, since those come first.
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

// Advance says that everything in the last Ready is done. Only now does a leader
// count its own entries: it may crash before they are synced, and a majority that
// counted them would then be one copy short.
func (r *Raft) Advance() {
	if !r.ready.outstanding {
		invariantViolated("Advance without a Ready")
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
