package node

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/quorum"
)

// ErrNoReplica says that the membership has no replica of that id.
var ErrNoReplica = errors.New("no such replica")

// AddLearner adds a replica that receives the log but has no vote. Errors are
// those of Propose, and quorum.ErrMembershipPending or quorum.ErrMembershipChangeRefused.
func (n *Node) AddLearner(ctx context.Context, r *apiv1.Replica) error {
	learner := &apiv1.Replica{Id: r.Id, Name: r.Name, Address: r.Address, Learner: true, Spare: r.Spare}
	return n.changeMembership(ctx, withLearner(n.Status().Membership, learner))
}

// Promote makes a learner a voter. Errors are also quorum.ErrNotCaughtUp and
// ErrNoReplica.
func (n *Node) Promote(ctx context.Context, id uint64) error {
	current := n.Status().Membership
	if findReplica(current, id) == nil {
		return ErrNoReplica
	}
	return n.changeMembership(ctx, withPromoted(current, id))
}

// Remove removes a replica. One that still runs asks to be taken in again by itself, as
// a spare.
func (n *Node) Remove(ctx context.Context, id uint64) error {
	current := n.Status().Membership
	if findReplica(current, id) == nil {
		return ErrNoReplica
	}
	return n.changeMembership(ctx, withRemoved(current, id))
}

func (n *Node) changeMembership(ctx context.Context, next *apiv1.Membership) error {
	return n.submit(ctx, &proposal{membership: next}).err
}

func withLearner(m *apiv1.Membership, r *apiv1.Replica) *apiv1.Membership {
	return &apiv1.Membership{Replicas: append(slices.Clone(m.GetReplicas()), r)}
}

func withPromoted(m *apiv1.Membership, id uint64) *apiv1.Membership {
	r := findReplica(m, id)
	return withReplaced(m, &apiv1.Replica{Id: r.Id, Name: r.Name, Address: r.Address, Replaces: r.Replaces})
}

// withReplaced puts a replica in the place of the one with its id.
func withReplaced(m *apiv1.Membership, by *apiv1.Replica) *apiv1.Membership {
	next := &apiv1.Membership{}
	for _, r := range m.GetReplicas() {
		if r.Id == by.Id {
			r = by
		}
		next.Replicas = append(next.Replicas, r)
	}
	return next
}

func withRemoved(m *apiv1.Membership, id uint64) *apiv1.Membership {
	next := &apiv1.Membership{}
	for _, r := range m.GetReplicas() {
		if r.Id != id {
			next.Replicas = append(next.Replicas, r)
		}
	}
	return next
}

// reconcileMembership makes, on a leader, the next change towards a membership without
// learners and predecessors. It looks only at the membership and the logs, so a
// new leader goes on where the one before stopped.
func (n *Node) reconcileMembership() {
	s := n.raft.Status()
	n.metrics.updateGroupGauges(s, n.opts.ElectionTicks)
	if !n.leadership.Leading || s.Role != quorum.Leader || n.shuttingDown.Load() {
		return
	}
	next, reason := n.withOwnAddress(s)
	if next == nil {
		next, reason = nextMembership(s, n.opts.membershipPolicy())
	}
	if next == nil {
		return
	}
	_, _, err := n.raft.ProposeMembership(next)
	if err != nil {
		event.MembershipChangeDeferred.Write(n.logger, event.Change(reason), event.Err(err))
		return
	}
	event.MembershipChanging.Write(n.logger, event.Change(reason))
}

// withOwnAddress notes where a leader is reached that moved while it was down. Others
// ask the leader to note their address; it can't ask itself, and all would be referred
// to where it was.
func (n *Node) withOwnAddress(s quorum.Status) (next *apiv1.Membership, reason string) {
	self := findReplica(s.Membership, s.ID)
	if self == nil || self.Address == n.opts.Address {
		return nil, ""
	}
	moved := proto.CloneOf(self)
	moved.Address = n.opts.Address
	return withReplaced(s.Membership, moved), "note the leader's own address"
}

// nextMembership returns the change that a leader makes by itself, nil when there
// is none. Repairs come first: of the replicas of one name the last one joined with
// the newest disk, those before it are gone; and a spare takes the place of a voter
// that was silent for replaceTicks. Only a group without repairs changes its size.
//
// Between the steps the group must bear the loss of as many disks as before, so the
// order depends on what is known of the voter that is replaced:
//
//   - Its disk is lost, since its host came back with an empty one: the old replica is
//     removed before the new one gets its vote. With the vote first, both would count,
//     and the new disk's loss at that moment would cost a second vote of one host.
//   - It is silent, and may hold what only it and a disk that is lost next hold: the
//     spare gets its vote before the silent one is removed. With the removal first,
//     three voters become two, of which no disk may be lost, and five become four, of
//     which one may.
func nextMembership(s quorum.Status, p membershipPolicy) (next *apiv1.Membership, reason string) {
	for _, choose := range []func(quorum.Status, membershipPolicy) (*apiv1.Membership, string){
		removePredecessor, finishReplacement, promoteLearner, assignSuccessor, resizeGroup,
	} {
		if next, reason = choose(s, p); next != nil {
			return next, reason
		}
	}
	return nil, ""
}

// removePredecessor removes a replica whose disk was lost, as one of its name is there.
func removePredecessor(s quorum.Status, _ membershipPolicy) (*apiv1.Membership, string) {
	replicas := s.Membership.GetReplicas()
	for i, r := range replicas {
		successor := lastWithName(replicas[i+1:], r.Name)
		if successor == nil || r.Id == s.ID {
			continue
		}
		if r.Learner || !successor.Learner || caughtUp(s, successor.Id) {
			return withRemoved(s.Membership, r.Id), "remove the predecessor of " + r.Name
		}
	}
	return nil, ""
}

// lastWithName returns the last replica of a name, nil when there is none.
func lastWithName(replicas []*apiv1.Replica, name string) *apiv1.Replica {
	for _, r := range slices.Backward(replicas) {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// finishReplacement removes the voter whose place another one has taken by now, and takes
// the mark from a replica that has none to replace: the voter came back, leads, or is
// gone.
func finishReplacement(s quorum.Status, p membershipPolicy) (*apiv1.Membership, string) {
	for _, r := range s.Membership.GetReplicas() {
		if r.Replaces == 0 {
			continue
		}
		before := findReplica(s.Membership, r.Replaces)
		if !r.Learner && before != nil && before.Id != s.ID {
			return withRemoved(s.Membership, before.Id), "remove " + before.Name + ", replaced by " + r.Name
		}
		if before == nil || before.Id == s.ID || isResponsive(s, before.Id, p.replaceTicks) {
			unmarked := &apiv1.Replica{Id: r.Id, Name: r.Name, Address: r.Address, Learner: r.Learner, Spare: r.Learner}
			return withReplaced(s.Membership, unmarked), r.Name + " replaces nobody any more"
		}
	}
	return nil, ""
}

// isResponsive reports whether a replica was heard within some ticks, and in this term: a
// new leader starts to count silence anew.
func isResponsive(s quorum.Status, id uint64, within int) bool {
	return id == s.ID || s.Match[id] > 0 && s.TicksSinceContact[id] < within
}

// promoteLearner makes a learner a voter that is no spare, or that takes a voter's place. One
// that is silent is passed over: the core would refuse it at each look, and nothing
// else would ever be repaired.
func promoteLearner(s quorum.Status, p membershipPolicy) (*apiv1.Membership, string) {
	for _, r := range s.Membership.GetReplicas() {
		if r.Learner && !r.Spare && caughtUp(s, r.Id) && s.TicksSinceContact[r.Id] < p.responsiveTicks {
			return withPromoted(s.Membership, r.Id), "give a vote to " + r.Name
		}
	}
	return nil, ""
}

// assignSuccessor makes a spare that has the whole log the successor of a voter that
// is gone, unless one that runs is named already.
func assignSuccessor(s quorum.Status, p membershipPolicy) (next *apiv1.Membership, reason string) {
	gone := unresponsiveVoter(s, p.replaceTicks)
	if gone == nil {
		return nil, ""
	}
	for _, r := range s.Membership.GetReplicas() {
		if !r.Learner || !r.Spare || !caughtUp(s, r.Id) || !isResponsive(s, r.Id, p.replaceTicks) {
			continue
		}
		successor := &apiv1.Replica{Id: r.Id, Name: r.Name, Address: r.Address, Learner: true, Replaces: gone.Id}
		return withReplaced(s.Membership, successor), r.Name + " takes the place of " + gone.Name
	}
	return nil, ""
}

// unresponsiveVoter returns a voter that was not heard for replaceTicks.
func unresponsiveVoter(s quorum.Status, replaceTicks int) *apiv1.Replica {
	for _, r := range s.Membership.GetReplicas() {
		if !r.Learner && r.Id != s.ID && s.TicksSinceContact[r.Id] >= replaceTicks {
			return r
		}
	}
	return nil
}

// caughtUp reports whether a replica lacks no more than one message can bring.
func caughtUp(s quorum.Status, id uint64) bool {
	match := s.Match[id]
	return match > 0 && match+maxEntriesPerMessage >= s.LastIndex
}

// TransferLeadership hands leadership to the voter that holds most of the log,
// and returns once another replica leads or ctx ends. It does nothing on a
// replica that doesn't lead, or is alone.
func (n *Node) TransferLeadership(ctx context.Context) error {
	for {
		changed := n.Changed()
		s := n.Status()
		to := transferTarget(s)
		if s.Role != quorum.Leader || to == 0 {
			return nil
		}
		err := n.callOnLoop(ctx, func() error {
			if err := n.raft.TransferLeadership(to); err != nil {
				event.LeadershipTransferFailed.Write(n.logger, event.Err(err))
			}
			return nil
		})
		if err != nil {
			return err
		}
		// The core gives an attempt up after an election timeout.
		attempt, cancel := context.WithTimeout(ctx, 2*n.opts.electionTimeout())
		n.awaitChange(attempt, changed)
		cancel()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (n *Node) awaitChange(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-changed:
	case <-n.done:
	case <-ctx.Done():
	}
}

// transferTarget returns the other voter that holds most, 0 when there is none.
func transferTarget(s quorum.Status) uint64 {
	var best uint64
	for _, r := range s.Membership.GetReplicas() {
		if r.Learner || r.Id == s.ID {
			continue
		}
		if best == 0 || s.Match[r.Id] > s.Match[best] {
			best = r.Id
		}
	}
	return best
}
