package quorum

import (
	"slices"
	"time"
)

// progressState is how a leader sends entries to one follower.
type progressState int

const (
	// probing: where the logs agree is unknown; one message at a time.
	probing progressState = iota
	// replicating: the logs agree; messages follow each other without waiting.
	replicating
	// restoring: a snapshot is on its way; nothing else is sent.
	restoring
)

// progress is what a leader knows of one replica, itself included.
type progress struct {
	state progressState
	// match is the last entry known to be on the replica's disk.
	match uint64
	// next is the first entry to send.
	next uint64
	// inflight holds the last index of each unanswered message, oldest first.
	inflight []uint64
	// probeSent: the one message of the probing state is unanswered.
	probeSent bool
	// forceSend: send a message even if there is nothing new, so that the answer shows
	// whether earlier ones were lost.
	forceSend bool
	// sentCommit is the commit index that the last message carried, as far as it
	// applies to the entries up to that message.
	sentCommit uint64
	// ackedRound is the last heartbeat round that the replica answered.
	ackedRound uint64
	// ticksSinceContact is how long ago the replica was heard.
	ticksSinceContact int
	// restoreIndex is the index of the snapshot on its way, and restoreTicks how
	// long ago it was sent.
	restoreIndex uint64
	restoreTicks int
	// saveDuration is how long the replica says that its saves take at most, 0 while unknown.
	saveDuration time.Duration
}

func (p *progress) setState(state progressState) {
	p.state = state
	p.inflight = p.inflight[:0]
	p.probeSent, p.forceSend = false, false
	p.next = p.match + 1
}

// recordAck notes that the replica holds the log up to index.
func (p *progress) recordAck(index uint64) {
	p.probeSent = false
	p.match = max(p.match, index)
	p.next = max(p.next, index+1)
	answered, _ := slices.BinarySearch(p.inflight, index+1)
	p.inflight = slices.Delete(p.inflight, 0, answered)
	switch p.state {
	case probing:
		p.setState(replicating)
	case restoring:
		if p.match >= p.restoreIndex {
			p.setState(replicating)
		}
	}
}

// recordReject notes that the replica's log does not hold the entry at index, and
// that the logs may agree up to hint. It returns false for an answer that later
// ones have made obsolete.
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

// markUnreachable notes that messages to the replica were lost. The next one waits
// for a sign of life: a snapshot is too much to send again and again in vain.
func (p *progress) markUnreachable() {
	p.setState(probing)
	p.probeSent = true
}

// quorumValue returns the highest value that a majority of the voters has
// reached, given one value per voter. It sorts them.
func quorumValue(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// recordSend notes a message with that many entries.
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
