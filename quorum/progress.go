package quorum

import (
	"slices"
	"time"
)

// progressState determines how a leader sends entries to one follower.
type progressState int

const (
	// probing means that the last matching entry of the two logs is unknown. The leader
	// sends one message at a time.
	probing progressState = iota
	// replicating means that the logs match up to match. The leader sends messages
	// without waiting for responses.
	replicating
	// restoring means that a snapshot has been sent. The leader sends no entries.
	restoring
)

// progress is a leader's replication state of one replica, which may be the leader itself.
type progress struct {
	state progressState
	// match is the last entry known to be on the replica's disk.
	match uint64
	// next is the first entry to send.
	next uint64
	// inflight holds the last index of each unacknowledged message, oldest first.
	inflight []uint64
	// probeSent is set while the message of the probing state is unacknowledged.
	probeSent bool
	// forceSend is set to send a message even if there is nothing new, so that the
	// response shows whether earlier messages were lost.
	forceSend bool
	// sentCommit is the commit index in the last message, limited to the last entry of
	// that message.
	sentCommit uint64
	// ackedRound is the last heartbeat round that the replica acknowledged.
	ackedRound uint64
	// ticksSinceContact is the number of ticks since the replica's last response.
	ticksSinceContact int
	// restoreIndex is the index of the snapshot that was sent, and restoreTicks the
	// number of ticks since then.
	restoreIndex uint64
	restoreTicks int
	// saveDuration is the longest of the last saves that the replica reported, 0 while unknown.
	saveDuration time.Duration
}

func (p *progress) setState(state progressState) {
	p.state = state
	p.inflight = p.inflight[:0]
	p.probeSent, p.forceSend = false, false
	p.next = p.match + 1
}

// recordAck records that the replica's disk holds the log up to index.
func (p *progress) recordAck(index uint64) {
	p.probeSent = false
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	acked, _ := slices.BinarySearch(p.inflight, index+1)
	p.inflight = slices.Delete(p.inflight, 0, acked)
	switch p.state {
	case probing:
		p.setState(replicating)
	case restoring:
		if p.match >= p.restoreIndex {
			p.setState(replicating)
		}
	}
}

// recordReject records that the replica's log does not match at index, and that the logs may
// match up to hint. It returns false for an outdated response.
func (p *progress) recordReject(index, hint uint64) bool {
	if p.state == restoring || index <= p.match {
		return false
	}
	if p.state == probing && p.next != index+1 {
		return false
	}
	p.setState(probing)
	p.next = max(min(index, hint+1), p.match+1)
	return true
}

// markUnreachable records that messages to the replica were lost. The next append
// message or snapshot is sent only after a response: a snapshot is too large to be sent
// repeatedly to a replica that can't be reached.
func (p *progress) markUnreachable() {
	p.setState(probing)
	p.probeSent = true
}

// quorumValue returns the highest value that a majority of the voters has reached, given
// one value per voter. It sorts values in place.
func quorumValue(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// recordSend records that a message with that many entries and that commit index was sent.
func (p *progress) recordSend(entries int, commit uint64) {
	p.sentCommit = min(commit, p.next-1+uint64(entries))
	p.forceSend = false
	p.probeSent = p.state == probing
	if entries == 0 {
		return
	}
	if p.state == replicating {
		p.next += uint64(entries)
		p.inflight = append(p.inflight, p.next-1)
	}
}
