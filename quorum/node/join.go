package node

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
)

// discoverGroup looks for the group at the control hosts that this process knows from
// elsewhere: none of the configured peers may hold a replica any more.
func (n *Node) discoverGroup() (formStep, *apiv1.Membership) {
	for _, address := range n.opts.Discover() {
		if m := n.membershipAt(address); m != nil {
			return stepJoin, m
		}
	}
	return stepWait, nil
}

// membershipAt asks one host for its group, nil when it has none. Each host has its own
// time to answer: one that is silent must not use up that of the next.
func (n *Node) membershipAt(address string) *apiv1.Membership {
	ctx, cancel := context.WithTimeout(n.ctx, requestTimeout)
	defer cancel()
	answer, err := n.transport.Identify(ctx, address, 0)
	if err != nil {
		event.DiscoveredUnidentified.Write(n.logger, event.Address(address), event.Err(err))
		return nil
	}
	return answer.Membership
}

// joinGroup asks the group's leader to take this replica in, until it is a member
// at its own address. A replica that was removed does not ask again.
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
		n.sleep(n.opts.electionTimeout())
	}
	n.rejoinLoop()
}

// rejoinLoop asks to be taken in again whenever no leader was heard of for long. A
// voter that was silent for a while may have been replaced meanwhile, and nobody
// sends to it any more. Its log and its vote are whole, so it comes back under its
// own id, as a spare. Asking while it is still a member changes nothing.
func (n *Node) rejoinLoop() {
	self := &apiv1.Replica{Id: n.id(), Name: n.opts.Name, Address: n.opts.Address, Learner: true, Spare: true}
	lonely := time.Duration(0)
	for n.ctx.Err() == nil {
		n.sleep(n.opts.electionTimeout())
		lonely += n.opts.electionTimeout()
		if n.Status().Leader != 0 {
			lonely = 0
			n.clearLeaderless()
		}
		if lonely >= n.opts.ReplaceAfter {
			if !n.requestJoin(self) {
				n.logLeaderless()
			}
			lonely = 0
		}
	}
}

// requestJoin asks each member once; a member that doesn't lead names the leader. It
// reports whether a leader takes the replica in.
func (n *Node) requestJoin(self *apiv1.Replica) bool {
	asked := map[string]bool{n.opts.Address: true}
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
		if asked[address] {
			continue
		}
		asked[address] = true
		ctx, cancel := context.WithTimeout(n.ctx, requestTimeout)
		answer, err := n.transport.Join(ctx, address, self)
		cancel()
		switch {
		case err != nil:
			if n.loggedAnswers.shouldLog(address, "unanswered") {
				event.JoinUnanswered.Write(n.logger, event.Address(address), event.Err(err))
			}
		case answer.Accepted:
			if n.loggedAnswers.shouldLog(address, "accepted") {
				event.JoinAccepted.Write(n.logger, event.LeaderAddress(address))
			}
			return true
		case answer.NotLeader && answer.LeaderAddress != "":
			addresses = append(addresses, answer.LeaderAddress)
		case n.loggedAnswers.shouldLog(address, answer.Message):
			event.JoinRefused.Write(n.logger, event.Address(address), event.Reason(answer.Message))
		}
	}
	return false
}
