package quorum

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Propose appends a command to the leader's log. The command is committed when a Ready
// contains an entry with this index and term in Committed. If it contains an entry of
// another term at that index, the command will never be committed.
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

// appendAsLeader appends an entry to the leader's own log. The next Ready sends it together
// with all other entries appended until then. The leader's copy counts only after Advance
// has reported that it is on the disk.
func (r *Raft) appendAsLeader(kind apiv1.EntryKind, data []byte) *apiv1.LogEntry {
	e := &apiv1.LogEntry{Term: r.term, Index: r.log.lastIndex() + 1, Kind: kind, Data: data}
	if err := r.appendToLog([]*apiv1.LogEntry{e}); err != nil {
		invariantViolated("the leader appended a malformed entry %d: %v", e.GetIndex(), err)
	}
	r.uncommittedBytes += entrySize(e)
	r.appendsPending = true
	return e
}

// appendToLog appends entries to the log and puts the memberships among them into effect.
// Memberships of truncated entries are no longer in effect.
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

// flushAppends sends each follower the entries that it lacks, within the limits.
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

// sendAppend sends the next append message or a snapshot to a follower, if there is anything
// to send, and reports whether there may be more.
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
	previousTerm, ok := r.log.term(p.next - 1)
	if !ok {
		r.sendSnapshot(to, p)
		return false
	}
	m := &apiv1.QuorumMessage{
		Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND, To: to,
		Index: p.next - 1, LogTerm: previousTerm, Commit: r.log.commit,
	}
	if hasNew {
		m.Entries = r.log.batch(p.next, r.cfg.MaxEntriesPerMessage, MaxMessageBytes)
	}
	p.recordSend(len(m.GetEntries()), r.log.commit)
	r.send(m)
	return p.state == replicating && hasNew
}

// handleAppend is the follower's part of log matching (section 5.3 of the paper). Entries
// are accepted only after an entry that both logs hold with the same term, so by induction
// the logs are identical up to there. The response is sent after the entries are synced: a
// leader that counts it relies on them surviving a power cut.
func (r *Raft) handleAppend(m *apiv1.QuorumMessage) error {
	if err := checkEntries(m); err != nil {
		return err
	}
	response := &apiv1.QuorumMessage{Kind: apiv1.MessageKind_MESSAGE_KIND_APPEND_RESPONSE, To: m.GetFrom(), SaveMicros: r.saveMicros()}
	switch {
	case m.GetIndex() < r.log.commit:
		// Committed entries are in the leader's log too, so the logs match up to there.
		response.Index = r.log.commit
	case !r.log.matches(m.GetIndex(), m.GetLogTerm()):
		response.Reject, response.Index = true, m.GetIndex()
		response.RejectHint, response.LogTerm = r.log.lastWithTermAtMost(m.GetIndex(), m.GetLogTerm())
	default:
		if err := r.appendMissing(m.GetEntries()); err != nil {
			return err
		}
		response.Index = m.GetIndex() + uint64(len(m.GetEntries()))
		// After the last entry of this message, the log may still hold entries of a
		// previous leader.
		r.log.commitTo(min(m.GetCommit(), response.Index))
	}
	r.send(response)
	return nil
}

// appendMissing appends the entries that the log does not hold. If the log already holds
// all of them, it is not truncated after them: the message may be an old one, and the
// leader may already count the entries that follow.
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
			return errors.Wrapf(ErrInvalidMessage, "entry %d of term %d is not valid after index %d", e.GetIndex(), e.GetTerm(), m.GetIndex())
		}
		if len(e.GetData()) > MaxCommandBytes {
			return errors.Wrapf(ErrInvalidMessage, "entry %d is too large: %d bytes", e.GetIndex(), len(e.GetData()))
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
		invariantViolated("replica %d acknowledged entry %d, but the leader's log ends at %d", m.GetFrom(), m.GetIndex(), r.log.lastIndex())
	}
	p.recordAck(m.GetIndex())
	r.appendsPending = true
	r.advanceCommit()
	r.continueTransfer(m.GetFrom())
}

// advanceCommit commits the entries that a majority of the voters has on disk. Only entries
// of the leader's own term are committed by counting copies; earlier entries are committed
// along with them. An entry of an earlier term, even if a majority holds it, could still be
// replaced by a leader that never received it and whose last entry is newer (figure 8 of
// the paper).
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

// quorumOf returns the highest value that a majority of the voters has reached, according
// to their progress.
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
			// A follower's log is known to match the leader's only up to match.
			Commit:  min(p.match, r.log.commit),
			Context: r.reads.round,
		})
	}
}

// handleHeartbeat adopts the leader's commit index. It is never beyond the entries that
// this replica acknowledged, so a log that ends before it has lost entries that were
// counted, and this replica must not stay in the group.
func (r *Raft) handleHeartbeat(m *apiv1.QuorumMessage) error {
	if m.GetCommit() > r.log.lastIndex() {
		return errors.Wrapf(ErrLostEntries, "commit index is %d, but the log ends at %d", m.GetCommit(), r.log.lastIndex())
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
		// The last append messages may have been lost, which no later message would
		// reveal.
		p.forceSend = true
		r.appendsPending = true
	}
	p.ackedRound = max(p.ackedRound, m.GetContext())
	r.confirmReads()
	r.continueTransfer(m.GetFrom())
}

// ReportUnreachable reports to a leader that messages to a replica were lost, so that it
// probes for the last matching entry instead of waiting for responses.
func (r *Raft) ReportUnreachable(id uint64) {
	if p := r.progress[id]; p != nil && id != r.id {
		p.markUnreachable()
	}
}
