package node

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
)

// rejoinElectionTimeouts is the number of election timeouts after its start from which a replica without
// a leader may have been removed. A group that restarts as a whole elects a leader in less.
const rejoinElectionTimeouts = 2

// discoverGroup queries the control hosts that this process knows from another source. It is
// needed when no configured peer holds a replica any more.
func (n *Node) discoverGroup() (formStep, *apiv1.Membership) {
	var group *apiv1.Membership
	ask(n.ctx, n.opts.Discover(), n.membershipAt, func(_ string, m *apiv1.Membership) (more []string, done bool) {
		group = m
		return nil, m != nil
	})
	if group == nil {
		return stepWait, nil
	}
	return stepJoin, group
}

// ask calls all addresses at once, each within requestTimeout, and passes each answer to handle, which may
// name more addresses. It returns once handle is done or no address is left; calls in progress are canceled.
func ask[A any](ctx context.Context, addresses []string, call func(ctx context.Context, address string) A,
	handle func(address string, answer A) (more []string, done bool),
) {
	type answerOf struct {
		address string
		answer  A
	}
	var calls conc.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answerOf)
	asked, pending := map[string]bool{}, 0
	for {
		for _, address := range addresses {
			if asked[address] {
				continue
			}
			asked[address] = true
			pending++
			calls.Go(func() {
				callCtx, cancel := context.WithTimeout(ctx, requestTimeout)
				defer cancel()
				answer := answerOf{address, call(callCtx, address)}
				select {
				case answers <- answer:
				case <-ctx.Done():
				}
			})
		}
		if pending == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case a := <-answers:
			pending--
			more, done := handle(a.address, a.answer)
			if done {
				return
			}
			addresses = more
		}
	}
}

// membershipAt returns the membership of the group that one host belongs to, nil if there is none.
func (n *Node) membershipAt(ctx context.Context, address string) *apiv1.Membership {
	response, err := n.transport.Identify(ctx, address, 0)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return nil // Another host has answered.
	case err != nil:
		event.DiscoveredUnidentified.Write(n.logger, event.Address(address), event.Err(err))
		return nil
	}
	return response.Membership
}

// joinGroup requests the group's leader to add this replica, until it is a member at its own
// address. It then continues with rejoinLoop, which also serves a replica that was removed from the
// group.
func (n *Node) joinGroup(joining bool) {
	self := &apiv1.Replica{
		Id: n.id(), Name: n.opts.Name, Address: n.opts.Address, Learner: true, Spare: n.opts.Spare,
	}
	for n.ctx.Err() == nil {
		member := findReplica(n.Status().Membership, n.id())
		if member == nil && !joining || member.GetAddress() == n.opts.Address {
			break
		}
		if !n.requestJoin(self) {
			n.logLeaderless()
		}
		sleep(n.ctx, n.opts.electionTimeout())
	}
	n.rejoinLoop()
}

// rejoinLoop requests to join again whenever no leader has been known for ReplaceAfter, for the first
// time after rejoinElectionTimeouts. A voter that was unresponsive for a while may have been replaced,
// and one that stopped has given up its vote, and then no other replica sends messages to it. Its log
// is intact, so it rejoins under its own id, as a spare. A request while it is still a member changes
// nothing.
func (n *Node) rejoinLoop() {
	self := &apiv1.Replica{Id: n.id(), Name: n.opts.Name, Address: n.opts.Address, Learner: true, Spare: true}
	leaderless, patience := time.Duration(0), rejoinElectionTimeouts*n.opts.electionTimeout()
	for n.ctx.Err() == nil {
		sleep(n.ctx, n.opts.electionTimeout())
		leaderless += n.opts.electionTimeout()
		if n.Status().Leader != 0 {
			leaderless = 0
			n.clearLeaderless()
		}
		if leaderless >= patience {
			patience = n.opts.ReplaceAfter
			if !n.requestJoin(self) {
				n.logLeaderless()
			}
			leaderless = 0
		}
	}
}

// joinReply is the reply to a join request.
type joinReply struct {
	response *apiv1.JoinResponse
	err      error
}

// requestJoin sends a join request to each known host once; a member that isn't the leader returns
// the leader's address. It reports whether a leader accepted the request.
func (n *Node) requestJoin(self *apiv1.Replica) (accepted bool) {
	var addresses []string
	for _, r := range n.groupMembership().GetReplicas() {
		addresses = append(addresses, r.Address)
	}
	for _, p := range n.peers() {
		addresses = append(addresses, p.Address)
	}
	addresses = append(addresses, n.opts.Discover()...)
	isSelf := func(address string) bool { return address == n.opts.Address }
	ask(n.ctx, slices.DeleteFunc(addresses, isSelf), func(ctx context.Context, address string) joinReply {
		response, err := n.transport.Join(ctx, address, self)
		return joinReply{response, err}
	}, func(address string, r joinReply) (more []string, done bool) {
		switch {
		case r.err != nil:
			if n.loggedAnswers.shouldLog(address, "unanswered") {
				event.JoinUnanswered.Write(n.logger, event.Address(address), event.Err(r.err))
			}
		case r.response.Accepted:
			if n.loggedAnswers.shouldLog(address, "accepted") {
				event.JoinAccepted.Write(n.logger, event.LeaderAddress(address))
			}
			accepted = true
		case r.response.NotLeader && r.response.LeaderAddress != "":
			if leader := r.response.LeaderAddress; !isSelf(leader) {
				more = append(more, leader)
			}
		case n.loggedAnswers.shouldLog(address, r.response.Message):
			event.JoinRefused.Write(n.logger, event.Address(address), event.Reason(r.response.Message))
		}
		return more, accepted
	})
	return accepted
}
