package node

import (
	"context"

	"github.com/cairnlift/cairnlift/quorum"
)

// barrier is a reader that waits until its replica has caught up.
type barrier struct {
	done chan outcome
}

// readQueue batches readers: those that come while one request to the leader is
// on its way share the next.
type readQueue struct {
	// waiting have not been asked for yet; asked are waiting for context's answer.
	waiting  []*barrier
	inFlight []*barrier
	context  uint64
	// confirmed wait until the entry at their index is applied; ordered by index.
	confirmed []confirmedReads
}

type confirmedReads struct {
	index    uint64
	barriers []*barrier
}

func (q *readQueue) add(b *barrier) { q.waiting = append(q.waiting, b) }

// ReadBarrier returns once everything that was committed in the group before the
// call is applied to this replica's state machine. It works on followers too.
// Errors: *NotLeaderError (no leader confirmed the read), *OverloadedError,
// *StoppedError, or ctx's.
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

// startRead asks the core to confirm the readers that wait.
func (n *Node) startRead() {
	q := &n.reads
	if len(q.waiting) == 0 || len(q.inFlight) > 0 {
		return
	}
	q.context++
	q.inFlight, q.waiting = q.waiting, nil
	n.raft.ReadIndex(q.context)
}

// finishReads takes in the core's answers and ends the readers whose index is
// applied.
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
