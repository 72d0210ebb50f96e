package node

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
)

// outcome is how a proposal ended.
type outcome struct {
	result []byte
	index  uint64
	err    error
}

// proposal is a command, or a membership when that is set, on its way into the log.
type proposal struct {
	data       []byte
	membership *apiv1.Membership
	// claimed is set by the event loop before the entry is appended, or by a
	// caller that gives up before that: exactly one of them gets it.
	claimed     atomic.Bool
	index, term uint64
	done        chan outcome
}

// Propose commits a command and returns the state machine's result. Errors:
// *NotLeaderError, *OverloadedError, *StoppedError and quorum.ErrTooLarge (surely
// not committed); *UnknownError (may be committed).
func (n *Node) Propose(ctx context.Context, data []byte) (result []byte, index uint64, err error) {
	o := n.submit(ctx, &proposal{data: data})
	return o.result, o.index, o.err
}

func (n *Node) submit(ctx context.Context, p *proposal) outcome {
	select {
	case <-n.done:
		return outcome{err: n.stoppedError()}
	default:
	}
	if n.shuttingDown.Load() || n.Status().Role != quorum.Leader {
		return outcome{err: &NotLeaderError{LeaderAddress: n.otherLeaderAddress()}}
	}
	p.done = make(chan outcome, 1)
	select {
	case n.proposals <- p:
	case <-n.done:
		return outcome{err: n.stoppedError()}
	default:
		n.metrics.overloaded.Inc(1)
		return outcome{err: &OverloadedError{Cause: "too many proposals wait"}}
	}
	select {
	case o := <-p.done:
		return o
	case <-ctx.Done():
		return n.abandonProposal(p, &OverloadedError{Cause: ctx.Err().Error()}, ctx.Err().Error())
	case <-n.done:
		return n.abandonProposal(p, n.stoppedError(), "the replica stopped")
	}
}

// abandonProposal ends a proposal for its caller: with an error that says it was not
// proposed only if the event loop can't propose it any more.
func (n *Node) abandonProposal(p *proposal, unproposed error, cause string) outcome {
	select {
	case o := <-p.done:
		return o
	default:
	}
	if p.claimed.CompareAndSwap(false, true) {
		return outcome{err: unproposed}
	}
	n.metrics.unknown.Inc(1)
	return outcome{err: &UnknownError{Cause: cause}}
}

// appendProposal hands a proposal to the core.
func (n *Node) appendProposal(p *proposal) {
	if !p.claimed.CompareAndSwap(false, true) {
		return
	}
	var err error
	if p.membership != nil {
		p.index, p.term, err = n.raft.ProposeMembership(p.membership)
	} else {
		p.index, p.term, err = n.raft.Propose(p.data)
	}
	if err != nil {
		p.done <- outcome{err: n.translateProposeError(err)}
		return
	}
	n.metrics.proposals.Inc(1)
	n.pendingProposals = append(n.pendingProposals, p)
}

// translateProposeError translates the core's errors.
func (n *Node) translateProposeError(err error) error {
	switch {
	case errors.Is(err, quorum.ErrNotLeader):
		return &NotLeaderError{LeaderAddress: n.otherLeaderAddress()}
	case errors.Is(err, quorum.ErrTransferring):
		return &NotLeaderError{}
	case errors.Is(err, quorum.ErrOverloaded):
		n.metrics.overloaded.Inc(1)
		return &OverloadedError{Cause: err.Error()}
	}
	return err
}

// completeProposals ends the proposals up to a committed entry. One of another term at a
// proposal's index took its place: the proposal can never be committed.
func (n *Node) completeProposals(e *apiv1.LogEntry, result []byte) {
	for len(n.pendingProposals) > 0 && n.pendingProposals[0].index <= e.Index {
		p := n.pendingProposals[0]
		n.pendingProposals = n.pendingProposals[1:]
		if p.index == e.Index && p.term == e.Term {
			p.done <- outcome{result: result, index: e.Index}
			continue
		}
		p.done <- outcome{err: &NotLeaderError{LeaderAddress: n.otherLeaderAddress()}}
	}
}

// failProposalsOfEarlierTerm ends the proposals of a leadership that is over.
func (n *Node) failProposalsOfEarlierTerm(rd quorum.Ready) {
	if len(n.pendingProposals) > 0 && (rd.Role != quorum.Leader || rd.Term != n.pendingProposals[0].term) {
		n.failPendingProposals("leadership was lost")
	}
}

// failPendingProposals ends all appended proposals without knowing what becomes of them.
func (n *Node) failPendingProposals(cause string) {
	for _, p := range n.pendingProposals {
		n.metrics.unknown.Inc(1)
		p.done <- outcome{err: &UnknownError{Cause: cause}}
	}
	n.pendingProposals = nil
}
