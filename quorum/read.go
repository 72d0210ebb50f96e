package quorum

import (
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// maxReads bounds the reads that wait on one replica; more are refused at once.
const maxReads = 4096

// readRequest is a read that a leader has to confirm, for itself or a follower.
type readRequest struct {
	from    uint64
	context uint64
}

// readRound is a round of heartbeats that confirms the reads taken before it.
type readRound struct {
	number   uint64
	index    uint64
	requests []readRequest
}

// forwardedRead is a follower's read that its leader was asked to confirm.
type forwardedRead struct {
	context uint64
	// token names the read to the leader. It is random and not the context, since
	// a caller that restarts may count contexts afresh: an answer on the way to its
	// earlier self would then pass for one to a new read, with too old an index.
	token uint64
	ticks int
}

// reads holds what is known of linearizable reads (thesis, 6.4). A leader
// notes its commit index, then proves with a round of heartbeats that it still
// leads: whatever was acknowledged before the read began is at or below that
// index, since no later leader can have committed anything by then.
type reads struct {
	round       uint64
	waiting     []readRequest
	rounds      []readRound
	unconfirmed int // requests in rounds
	forwarded   []forwardedRead
}

// ReadIndex asks for an index to read at. The answer is a ReadState with the same
// context, which may say that no leader could confirm it. Rounds are shared: all
// reads asked for between two Readys cost one round of heartbeats.
func (r *Raft) ReadIndex(context uint64) {
	switch {
	case r.role == Leader:
		r.enqueueRead(readRequest{from: r.id, context: context})
	case r.leader == 0 || len(r.reads.forwarded) >= maxReads:
		r.readStates = append(r.readStates, ReadState{Context: context, Rejected: true})
	default:
		token := r.cfg.Rand.Uint64()
		r.reads.forwarded = append(r.reads.forwarded, forwardedRead{context: context, token: token})
		r.send(&apiv1.QuorumMessage{
			Kind: apiv1.MessageKind_MESSAGE_KIND_READ_INDEX, To: r.leader, Context: token,
		})
	}
}

func (r *Raft) enqueueRead(request readRequest) {
	if len(r.reads.waiting)+r.reads.unconfirmed >= maxReads {
		r.respondRead(request, 0, false)
		return
	}
	r.reads.waiting = append(r.reads.waiting, request)
}

func (r *Raft) handleReadIndex(m *apiv1.QuorumMessage) {
	request := readRequest{from: m.GetFrom(), context: m.GetContext()}
	if r.role != Leader {
		r.respondRead(request, 0, false)
		return
	}
	r.enqueueRead(request)
}

func (r *Raft) respondRead(request readRequest, index uint64, confirmed bool) {
	if request.from == r.id {
		r.readStates = append(r.readStates, ReadState{Context: request.context, Index: index, Rejected: !confirmed})
		return
	}
	r.send(&apiv1.QuorumMessage{
		Kind: apiv1.MessageKind_MESSAGE_KIND_READ_INDEX_RESPONSE, To: request.from,
		Context: request.context, Index: index, Reject: !confirmed,
	})
}

// canStartReadRound: before an entry of the own term is committed, a leader does
// not know how far its predecessors committed, and its index could be too low.
func (r *Raft) canStartReadRound() bool {
	return r.role == Leader && len(r.reads.waiting) > 0 && r.committedOwnTerm()
}

func (r *Raft) startReadRound() {
	r.reads.round++
	r.reads.rounds = append(r.reads.rounds, readRound{
		number: r.reads.round, index: r.log.commit, requests: r.reads.waiting,
	})
	r.reads.unconfirmed += len(r.reads.waiting)
	r.reads.waiting = nil
	r.progress[r.id].ackedRound = r.reads.round
	r.broadcastHeartbeat()
	r.confirmReads()
}

// confirmReads answers the rounds that a majority has acknowledged. An answer to a
// later round also answers the earlier ones: its heartbeat left after theirs.
func (r *Raft) confirmReads() {
	if len(r.reads.rounds) == 0 {
		return
	}
	confirmed := r.quorumOf(func(p *progress) uint64 { return p.ackedRound })
	for len(r.reads.rounds) > 0 && r.reads.rounds[0].number <= confirmed {
		round := r.reads.rounds[0]
		r.reads.rounds = r.reads.rounds[1:]
		r.reads.unconfirmed -= len(round.requests)
		for _, request := range round.requests {
			r.respondRead(request, round.index, true)
		}
	}
}

func (r *Raft) handleReadIndexResponse(m *apiv1.QuorumMessage) {
	i := slices.IndexFunc(r.reads.forwarded, func(f forwardedRead) bool { return f.token == m.GetContext() })
	if i < 0 {
		return
	}
	r.readStates = append(r.readStates, ReadState{
		Context: r.reads.forwarded[i].context, Index: m.GetIndex(), Rejected: m.GetReject(),
	})
	r.reads.forwarded = slices.Delete(r.reads.forwarded, i, i+1)
}

// expireForwardedReads refuses forwarded reads that got no answer within an
// election timeout: the request or its answer was lost.
func (r *Raft) expireForwardedReads() {
	for i := range r.reads.forwarded {
		r.reads.forwarded[i].ticks++
	}
	for len(r.reads.forwarded) > 0 && r.reads.forwarded[0].ticks > r.cfg.ElectionTicks {
		r.readStates = append(r.readStates, ReadState{Context: r.reads.forwarded[0].context, Rejected: true})
		r.reads.forwarded = r.reads.forwarded[1:]
	}
}

// rejectReads refuses everything that waits, when the leader changes.
func (r *Raft) rejectReads() {
	for _, round := range r.reads.rounds {
		r.reads.waiting = append(r.reads.waiting, round.requests...)
	}
	for _, request := range r.reads.waiting {
		r.respondRead(request, 0, false)
	}
	for _, f := range r.reads.forwarded {
		r.readStates = append(r.readStates, ReadState{Context: f.context, Rejected: true})
	}
	r.reads = reads{}
}
