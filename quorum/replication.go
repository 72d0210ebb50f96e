package quorum

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Propose appends a command to the leader's log. The command is committed once
// an entry with this index and this term is handed out as committed; an entry of
// another term at the index says that it never will be.
func (r *Raft) Propose(data []byte) (index, term uint64, err error) {
	if err := r.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if len(data) > MaxCommandBytes {
		return 0, 0, errors.Wrapf(ErrTooLarge, "%d bytes", len(data))
	}
	e := r.appendAsLeader(apiv1.EntryKind_ENTRY_KIND_COMMAND, data)
	return e.GetIndex(), e.GetTerm(), nil
}

func (r *Raft) checkCanPropose() error {
	switch {
	case r.role != Leader || !r.isVoter(r.id):
		return ErrNotLeader
	case r.transferee != 0:
		return ErrTransferring
	case r.log.lastIndex()-r.log.commit >= uint64(r.cfg.MaxUncommitted):
		return ErrOverloaded
	case r.uncommittedBytes >= MaxUncommittedBytes:
		return ErrOverloaded
	}
	return nil
}

// appendAsLeader adds an entry to the own log. It is sent by the next Ready, with
// all others that came until then, and counts for this replica only once Advance
// says that it is on the disk.
func (r *Raft) appendAsLeader(kind apiv1.EntryKind, data []byte) *apiv1.LogEntry {
	e := &apiv1.LogEntry{Term: r.term, Index: r.log.lastIndex() + 1, Kind: kind, Data: data}
	if err := r.appendToLog([]*apiv1.LogEntry{e}); err != nil {
		invariantViolated("the leader's own entry %d is malformed: %v", e.GetIndex(), err)
	}
	r.uncommittedBytes += entrySize(e)
	r.appendsPending = true
	return e
}

// appendToLog puts entries into the log, and the memberships among them into
// effect; those of entries that are cut off lose theirs.
func (r *Raft) appendToLog(entries []*apiv1.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	changes, err := membershipsIn(entries)
	if err != nil {
		return err
	}
	r.log.append(entries)
	r.membership.truncate(entries[0].GetIndex())
	r.membership.items = append(r.membership.items, changes...)
	return nil
}

// flushAppends sends each follower what it lacks, as far as the bounds allow.
func (r *Raft) flushAppends() {
	r.appendsPending = false
	for _, replica := range r.membership.current().GetReplicas() {
		if replica.GetId() == r.id {
			continue
		}
		for r.sendAppend(replica.GetId()) {
		}
	}
}

// sendAppend sends the next message to a follower, and reports whether there may
// be more to send.
func (r *Raft) sendAppend(to uint64) bool {
	p := r.progress[to]
	full := len(p.inflight) >= r.cfg.MaxInflight
	hasNew := p.next <= r.log.lastIndex() && !full
	switch {
	case p.state == restoring, p.state == probing && p.probeSent:
		return false
	case !hasNew && !p.forceSend && p.sentCommit >= min(r.log.commit, p.next-1) && p.state != probing:
		return false
	}
	previous, ok := r.log.term(p.next - 1)
	if !ok {
		r.sendSnapshot(to, p)
		return false
	}
	m := &apiv1.QuorumMessage{
		Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND, To: to,
		Index: p.next - 1, LogTerm: previous, Commit: r.log.commit,
	}
	if hasNew {
		m.Entries = r.log.batch(p.next, r.cfg.MaxEntriesPerMessage, MaxMessageBytes)
	}
	p.recordSend(len(m.GetEntries()), r.log.commit)
	r.send(m)
	return p.state == replicating && hasNew
}

// handleAppend is a follower's side of log matching (5.3): entries are taken only
// after one that both logs hold with the same term, so by induction the logs are
// the same up to there. The answer leaves after the entries are synced: a leader
// counts it, and counts on them to survive a power cut.
func (r *Raft) handleAppend(m *apiv1.QuorumMessage) error {
	if err := checkEntries(m); err != nil {
		return err
	}
	answer := &apiv1.QuorumMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, To: m.GetFrom(), SaveMicros: r.saveMicros()}
	switch {
	case m.GetIndex() < r.log.commit:
		// What is committed is in the leader's log too: they match up to there.
		answer.Index = r.log.commit
	case !r.log.matches(m.GetIndex(), m.GetLogTerm()):
		answer.Reject, answer.Index = true, m.GetIndex()
		answer.RejectHint, answer.LogTerm = r.log.lastWithTermAtMost(m.GetIndex(), m.GetLogTerm())
	default:
		if err := r.appendMissing(m.GetEntries()); err != nil {
			return err
		}
		answer.Index = m.GetIndex() + uint64(len(m.GetEntries()))
		// Beyond the last entry of this message the log may still be an old one's.
		r.log.commitTo(min(m.GetCommit(), answer.Index))
	}
	r.send(answer)
	return nil
}

// appendMissing appends the entries that are missing. Those that the log holds
// stay, even when more follow them: the message may be an old one, and what it
// cut off could already be counted by the leader.
func (r *Raft) appendMissing(entries []*apiv1.LogEntry) error {
	conflict := r.log.firstConflict(entries)
	if conflict == 0 {
		return nil
	}
	return r.appendToLog(entries[conflict-entries[0].GetIndex():])
}

func checkEntries(m *apiv1.QuorumMessage) error {
	term := m.GetLogTerm()
	for i, e := range m.GetEntries() {
		if e.GetIndex() != m.GetIndex()+1+uint64(i) || e.GetTerm() < term || e.GetTerm() > m.GetTerm() {
			return errors.Wrapf(ErrInvalidMessage, "entry %d of term %d after index %d", e.GetIndex(), e.GetTerm(), m.GetIndex())
		}
		if len(e.GetData()) > MaxCommandBytes {
			return errors.Wrapf(ErrInvalidMessage, "entry %d holds %d bytes", e.GetIndex(), len(e.GetData()))
		}
		term = e.GetTerm()
	}
	return nil
}

func (r *Raft) handleAppendResponse(m *apiv1.QuorumMessage) {
	p := r.progress[m.GetFrom()]
	if r.role != Leader || p == nil {
		return
	}
	p.ticksSinceContact = 0
	p.recordSaveDuration(m)
	if m.GetReject() {
		hint, _ := r.log.lastWithTermAtMost(m.GetRejectHint(), m.GetLogTerm())
		if p.recordReject(m.GetIndex(), hint) {
			r.appendsPending = true
		}
		return
	}
	if m.GetIndex() > r.log.lastIndex() {
		invariantViolated("replica %d acknowledged entry %d, the leader's log ends at %d", m.GetFrom(), m.GetIndex(), r.log.lastIndex())
	}
	p.recordAck(m.GetIndex())
	r.appendsPending = true
	r.advanceCommit()
	r.continueTransfer(m.GetFrom())
}

// advanceCommit commits what a majority of the voters has on its disks, but by
// counting only entries of the own term; those before are committed with them.
// An entry of an earlier term on a majority could still be replaced by a leader
// who never saw it and has a newer last entry (figure 8 of the paper).
func (r *Raft) advanceCommit() {
	index := r.quorumOf(func(p *progress) uint64 { return p.match })
	if index <= r.log.commit || !r.log.matches(index, r.term) {
		return
	}
	r.uncommittedBytes -= r.log.size(r.log.commit+1, index)
	r.log.commitTo(index)
	r.appendsPending = true
	r.stepDownIfRemoved()
}

// quorumOf returns the highest value that a majority of the voters has reached.
func (r *Raft) quorumOf(value func(*progress) uint64) uint64 {
	var buffer [MaxReplicas]uint64
	values := buffer[:0]
	for _, replica := range r.membership.current().GetReplicas() {
		if !replica.GetLearner() {
			values = append(values, value(r.progress[replica.GetId()]))
		}
	}
	return quorumValue(values)
}

func (r *Raft) broadcastHeartbeat() {
	r.heartbeatElapsed = 0
	for _, replica := range r.membership.current().GetReplicas() {
		if replica.GetId() == r.id {
			continue
		}
		p := r.progress[replica.GetId()]
		r.send(&apiv1.QuorumMessage{
			Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT, To: replica.GetId(),
			// A follower's log is the leader's only up to its match.
			Commit:  min(p.match, r.log.commit),
			Context: r.reads.round,
		})
	}
}

// handleHeartbeat takes over the commit index. It is never beyond what this
// replica acknowledged, so a log that ends before it has lost entries that were
// counted: that replica must not stay in the group.
func (r *Raft) handleHeartbeat(m *apiv1.QuorumMessage) error {
	if m.GetCommit() > r.log.lastIndex() {
		return errors.Wrapf(ErrLostEntries, "committed up to %d, the log ends at %d", m.GetCommit(), r.log.lastIndex())
	}
	r.log.commitTo(m.GetCommit())
	r.send(&apiv1.QuorumMessage{
		Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT_RESPONSE,
		To:   m.GetFrom(), Context: m.GetContext(),
	})
	return nil
}

func (r *Raft) handleHeartbeatResponse(m *apiv1.QuorumMessage) {
	p := r.progress[m.GetFrom()]
	if r.role != Leader || p == nil {
		return
	}
	p.ticksSinceContact = 0
	p.probeSent = false
	r.retrySnapshot(p)
	if p.match < r.log.lastIndex() {
		// Messages may have been lost with nothing after them to show it.
		p.forceSend = true
		r.appendsPending = true
	}
	p.ackedRound = max(p.ackedRound, m.GetContext())
	r.confirmReads()
	r.continueTransfer(m.GetFrom())
}

// ReportUnreachable tells a leader that messages to a replica were lost, so that
// it asks where their logs agree instead of waiting for answers.
func (r *Raft) ReportUnreachable(id uint64) {
	if p := r.progress[id]; p != nil && id != r.id {
		p.markUnreachable()
	}
}
