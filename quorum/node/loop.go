package node

import (
	"time"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/quorum"
)

// reconcileTicks is the number of ticks between two membership checks of a leader.
const reconcileTicks = 5

// loop handles inputs until the replica is stopped or fails. It handles all queued inputs before
// the core's output, so that they share one sync.
func (n *Node) loop() error {
	ticker := time.NewTicker(n.opts.Tick)
	defer ticker.Stop()
	for {
		if err := n.handleAllReady(); err != nil {
			return err
		}
		if err := n.handleNextInput(ticker.C); err != nil {
			return err
		}
		if n.stopping() {
			return nil
		}
		if err := n.handleQueuedInputs(); err != nil {
			return err
		}
	}
}

// handleNextInput waits for one input and handles it.
func (n *Node) handleNextInput(ticks <-chan time.Time) error {
	select {
	case <-n.stop:
	case <-ticks:
		n.tick()
	case m := <-n.inbox:
		return n.step(m)
	case p := <-n.proposals:
		n.appendProposal(p)
	case b := <-n.barriers:
		n.reads.add(b)
	case f := <-n.calls:
		return f()
	case id := <-n.unreachable:
		n.raft.ReportUnreachable(id)
	}
	return nil
}

// handleQueuedInputs handles the messages, proposals and reads that are already queued.
func (n *Node) handleQueuedInputs() error {
	for range len(n.inbox) {
		if err := n.step(<-n.inbox); err != nil {
			return err
		}
	}
	if !n.opts.SingleCommit {
		for range len(n.proposals) {
			n.appendProposal(<-n.proposals)
		}
	}
	for range len(n.barriers) {
		n.reads.add(<-n.barriers)
	}
	n.startRead()
	return nil
}

func (n *Node) tick() {
	n.raft.Tick()
	n.leavers.elapse(1)
	n.ticksSinceReconcile++
	if n.ticksSinceReconcile >= reconcileTicks {
		n.ticksSinceReconcile = 0
		n.reconcileMembership()
		n.handOverIfDiskSlow()
	}
}

// handOverIfDiskSlow transfers leadership to a voter with a much faster disk, if this replica's
// disk is slow and such a voter exists.
func (n *Node) handOverIfDiskSlow() {
	to, found := n.raft.FasterVoter()
	if !found || !n.leadership.Leading || n.shuttingDown.Load() {
		return
	}
	if err := n.raft.TransferLeadership(to); err != nil {
		event.LeadershipTransferFailed.Write(n.logger, event.Err(err))
		return
	}
	n.metrics.slowDiskHandovers.Inc(1)
	event.DiskSlow.Write(n.logger, event.ReplicaID(to))
}

func (n *Node) step(m *apiv1.QuorumMessage) error {
	err := n.raft.Step(m)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, quorum.ErrLostEntries):
		return err
	}
	n.metrics.refused.Inc(1)
	event.MessageRefused.Write(n.logger, event.Err(err))
	return nil
}

func (n *Node) handleAllReady() error {
	for n.raft.HasReady() {
		if err := n.handleReady(n.raft.Ready()); err != nil {
			return err
		}
	}
	return nil
}

// handleReady executes the core's output in the order that the core requires, except that a
// leader's appends may be sent early. Everything that a message promises is synced before the
// message is sent.
func (n *Node) handleReady(rd quorum.Ready) error {
	if n.leadership.Leading && (rd.Role != quorum.Leader || rd.Term != n.leadership.Term) {
		n.setLeadership(Leadership{Term: n.leadership.Term})
	}
	early, late := n.splitMessages(rd)
	n.send(early)
	if err := n.persist(rd); err != nil {
		return err
	}
	n.send(late)
	if rd.Snapshot != nil {
		if err := n.restore(rd.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range rd.Committed {
		n.apply(rd, e)
	}
	n.failProposalsOfEarlierTerm(rd)
	n.raft.Advance()
	n.finishReads(rd.ReadStates)
	n.publishStatus()
	return n.snapshot()
}

// splitMessages returns the messages that may be sent before the sync, and those that must wait
// for it. A leader may replicate entries while it stores them itself (Raft thesis, 10.2.1): an
// append promises nothing about the leader's own disk, which the core counts only at Advance. The
// leader's term must be stored first, however; otherwise another leader could be elected in the
// same term after a power loss.
func (n *Node) splitMessages(rd quorum.Ready) (early, late []*apiv1.QuorumMessage) {
	hs := rd.HardState
	termStored := hs == nil || hs.Term == n.hardState.GetTerm() && hs.Vote == n.hardState.GetVote()
	if rd.Role != quorum.Leader || !termStored || rd.Snapshot != nil {
		return nil, rd.Messages
	}
	for _, m := range rd.Messages {
		if m.Kind == apiv1.MessageKind_MESSAGE_KIND_APPEND {
			early = append(early, m)
		} else {
			late = append(late, m)
		}
	}
	return early, late
}

func (n *Node) send(messages []*apiv1.QuorumMessage) {
	n.transport.Send(messages)
	n.metrics.sent.Inc(int64(len(messages)))
}

// persist stores the core's output. A received snapshot is stored after the new term and before
// the new commit index. If power is lost in between, the disk never holds a snapshot of a later
// term than the replica's own, or a commit index beyond its log.
func (n *Node) persist(rd quorum.Ready) error {
	started := time.Now()
	if rd.Snapshot != nil {
		if err := n.persistSnapshot(rd); err != nil {
			return err
		}
	}
	if rd.HardState != nil {
		n.hardState = rd.HardState
	}
	if rd.HardState == nil && len(rd.Entries) == 0 {
		return nil
	}
	if err := n.storage.Save(rd.HardState, rd.Entries); err != nil {
		return err
	}
	if len(rd.Entries) > 0 {
		took := time.Since(started)
		n.raft.ReportSaveDuration(took)
		n.metrics.saveDuration.Update(took.Microseconds())
		n.metrics.saveEntries.Update(int64(len(rd.Entries)))
	}
	return nil
}

func (n *Node) persistSnapshot(rd quorum.Ready) error {
	if hs := rd.HardState; hs != nil {
		before := &apiv1.HardState{Term: hs.Term, Vote: hs.Vote, Commit: n.hardState.GetCommit()}
		if err := n.storage.Save(before, nil); err != nil {
			return err
		}
	}
	event.SnapshotInstalled.Write(n.logger, event.Index(rd.Snapshot.Meta.Index), event.Bytes(len(rd.Snapshot.Data)))
	return n.storage.SaveSnapshot(rd.Snapshot)
}

// apply applies a committed entry and completes its proposal.
func (n *Node) apply(rd quorum.Ready, e *apiv1.LogEntry) {
	var result []byte
	if e.Kind == apiv1.EntryKind_ENTRY_KIND_COMMAND {
		result = n.opts.StateMachine.Apply(e.Index, e.Data)
	}
	n.applied = e.Index
	n.appliedBytes += uint64(len(e.Data))
	n.metrics.applied.Inc(1)
	if rd.Role == quorum.Leader && e.Term == rd.Term && !n.leadership.Leading {
		n.setLeadership(Leadership{Term: rd.Term, Leading: true})
	}
	n.completeProposals(e, result)
}

// setLeadership records the leadership and reports a change to OnLeadership.
func (n *Node) setLeadership(l Leadership) {
	if n.leadership == l {
		return
	}
	if n.leadership.Leading != l.Leading {
		event.LeadershipChanged.Write(n.logger, event.BecameLeader(l.Leading), event.Term(l.Term))
		if l.Leading {
			n.metrics.elections.Inc(1)
		}
		n.opts.OnLeadership(l)
	}
	n.leadership = l
}

// snapshotDue reports whether enough entries were applied since the last snapshot, by their number or
// by their size. A snapshot that is larger than SnapshotBytes is not written for fewer bytes of
// entries than its own.
func (n *Node) snapshotDue() bool {
	return n.applied >= n.snapshotIndex+n.opts.SnapshotEntries || n.appliedBytes >= max(n.opts.SnapshotBytes, n.lastSnapshotBytes)
}

// snapshot compacts the log if a snapshot is due. Another goroutine writes the file, so that neither
// heartbeats nor commits wait for it.
func (n *Node) snapshot() error {
	if n.snapshotInProgress || !n.snapshotDue() {
		return nil
	}
	data, err := n.opts.StateMachine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "state machine can't be snapshotted")
	}
	if len(data) > MaxSnapshotBytes {
		// A follower would reject the snapshot. Keep the log instead; it grows.
		event.SnapshotTooLarge.Write(n.logger, event.Bytes(len(data)))
		n.metrics.snapshotRefused.Inc(1)
		n.recordSnapshot(n.applied, len(data))
		return nil
	}
	s, err := n.raft.Compact(n.applied, data)
	if err != nil {
		return errors.Wrap(err, "log can't be compacted")
	}
	n.recordSnapshot(n.applied, len(data))
	n.snapshotInProgress = true
	n.metrics.snapshotBytes.Update(int64(len(data)))
	n.staging.Go(func() { n.storeSnapshot(s) })
	return nil
}

// recordSnapshot records the index and the size of the newest snapshot.
func (n *Node) recordSnapshot(index uint64, size int) {
	n.snapshotIndex, n.appliedBytes, n.lastSnapshotBytes = index, 0, uint64(size)
}

// storeSnapshot writes a snapshot's file and then records it on the event loop.
func (n *Node) storeSnapshot(s *apiv1.QuorumSnapshot) {
	err := n.storage.StageSnapshot(s)
	record := func() error {
		n.snapshotInProgress = false
		if err != nil {
			return err
		}
		return n.storage.CommitSnapshot(s.Meta)
	}
	if err := n.callOnLoop(n.ctx, record); err != nil {
		event.SnapshotUnrecorded.Write(n.logger, event.Err(err))
	}
}
