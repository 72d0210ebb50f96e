package node

import (
	"context"

	"github.com/cairnlift/cairnlift/quorum"
)

// barrier is a read that waits until its replica has caught up.
type barrier struct {
	done chan outcome
}

// readQueue batches reads: those that arrive while a request to the leader is in flight share the
// next request.
type readQueue struct {
	// waiting are not yet part of a request; inFlight wait for the response to the request
	// numbered context.
	waiting  []*barrier
	inFlight []*barrier
	context  uint64
	// confirmed wait until the entry at their index is applied. They are ordered by index.
	confirmed []confirmedReads
}

type confirmedReads struct {
	index    uint64
	barriers []*barrier
}

func (q *readQueue) add(b *barrier) { q.waiting = append(q.waiting, b) }

// ReadBarrier returns once everything that the group committed before the call is applied to this
// replica's state machine. It also works on followers. Errors are *NotLeaderError (no leader
// confirmed the read), *OverloadedError, *StoppedError and ctx's error.
func (n *Node) ReadBarrier(ctx context.Context) (index uint64, err error) {
	b := &barrier{done: make(chan outcome, 1)}
	select {
	case n.barriers <- b:
	case <-n.done:
		return 0, n.stoppedError()
	default:
		return 0, &OverloadedError{Cause: "too many reads wait"}
	}
	select {
	case o := <-b.done:
		return o.index, o.err
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-n.done:
		return 0, n.stoppedError()
	}
}

// startRead requests a read index from the core for the waiting reads.
func (n *Node) startRead() {
	q := &n.reads
	if len(q.waiting) == 0 || len(q.inFlight) > 0 {
		return
	}
	q.context++
	q.inFlight, q.waiting = q.waiting, nil
	n.raft.ReadIndex(q.context)
}

// finishReads records the core's responses and ends the reads whose index is applied.
func (n *Node) finishReads(states []quorum.ReadState) {
	q := &n.reads
	for _, s := range states {
		if s.Context != q.context || len(q.inFlight) == 0 {
			continue
		}
		if s.Rejected {
			for _, b := range q.inFlight {
				b.done <- outcome{err: &NotLeaderError{LeaderAddress: n.otherLeaderAddress()}}
			}
		} else {
			q.confirmed = append(q.confirmed, confirmedReads{s.Index, q.inFlight})
		}
		q.inFlight = nil
	}
	for len(q.confirmed) > 0 && q.confirmed[0].index <= n.applied {
		for _, b := range q.confirmed[0].barriers {
			b.done <- outcome{index: n.applied}
		}
		q.confirmed = q.confirmed[1:]
	}
	n.startRead()
}
