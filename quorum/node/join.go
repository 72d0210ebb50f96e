package node

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
)

// rejoinElectionTimeouts is the number of election timeouts after its start from which a replica without
// a leader may have been removed. A group that restarts as a whole elects a leader in less.
const rejoinElectionTimeouts = 2

// discoverGroup queries the control hosts that this process knows from another source. It is
// needed when no configured peer holds a replica any more.
func (n *Node) discoverGroup() (formStep, *apiv1.Membership) {
	for _, address := range n.opts.Discover() {
		if m := n.membershipAt(address); m != nil {
			return stepJoin, m
		}
	}
	return stepWait, nil
}

// membershipAt returns the membership of the group that one host belongs to, nil if there is none.
// Each request has its own timeout, so that an unresponsive host does not use up the time of the
// next one.
func (n *Node) membershipAt(address string) *apiv1.Membership {
	ctx, cancel := context.WithTimeout(n.ctx, requestTimeout)
	defer cancel()
	response, err := n.transport.Identify(ctx, address, 0)
	if err != nil {
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

// requestJoin sends a join request to each known host once; a member that isn't the leader returns
// the leader's address. It reports whether a leader accepted the request.
func (n *Node) requestJoin(self *apiv1.Replica) bool {
	tried := map[string]bool{n.opts.Address: true}
	var addresses []string
	for _, r := range n.groupMembership().GetReplicas() {
		addresses = append(addresses, r.Address)
	}
	for _, p := range n.peers() {
		addresses = append(addresses, p.Address)
	}
	addresses = append(addresses, n.opts.Discover()...)
	for i := 0; i < len(addresses) && n.ctx.Err() == nil; i++ {
		address := addresses[i]
		if tried[address] {
			continue
		}
		tried[address] = true
		ctx, cancel := context.WithTimeout(n.ctx, requestTimeout)
		response, err := n.transport.Join(ctx, address, self)
		cancel()
		switch {
		case err != nil:
			if n.loggedAnswers.shouldLog(address, "unanswered") {
				event.JoinUnanswered.Write(n.logger, event.Address(address), event.Err(err))
			}
		case response.Accepted:
			if n.loggedAnswers.shouldLog(address, "accepted") {
				event.JoinAccepted.Write(n.logger, event.LeaderAddress(address))
			}
			return true
		case response.NotLeader && response.LeaderAddress != "":
			addresses = append(addresses, response.LeaderAddress)
		case n.loggedAnswers.shouldLog(address, response.Message):
			event.JoinRefused.Write(n.logger, event.Address(address), event.Reason(response.Message))
		}
	}
	return false
}
