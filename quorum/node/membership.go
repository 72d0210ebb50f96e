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

// ErrNoReplica reports that the membership has no replica with the given id.
var ErrNoReplica = errors.New("no such replica")

// AddLearner adds a replica that receives the log but has no vote. Errors are those of Propose,
// quorum.ErrMembershipPending and quorum.ErrMembershipChangeRefused.
func (n *Node) AddLearner(ctx context.Context, r *apiv1.Replica) error {
	learner := &apiv1.Replica{Id: r.Id, Name: r.Name, Address: r.Address, Learner: true, Spare: r.Spare}
	return n.changeMembership(ctx, withLearner(n.Status().Membership, learner))
}

// Promote makes a learner a voter. Errors are those of AddLearner, quorum.ErrNotCaughtUp and
// ErrNoReplica.
func (n *Node) Promote(ctx context.Context, id uint64) error {
	current := n.Status().Membership
	if findReplica(current, id) == nil {
		return ErrNoReplica
	}
	return n.changeMembership(ctx, withPromoted(current, id))
}

// Remove removes a replica. If that replica still runs, it requests to join again as a spare.
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

// withReplaced returns a membership in which replacement takes the place of the replica with its
// id.
func withReplaced(m *apiv1.Membership, replacement *apiv1.Replica) *apiv1.Membership {
	next := &apiv1.Membership{}
	for _, r := range m.GetReplicas() {
		if r.Id == replacement.Id {
			r = replacement
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

// reconcileMembership proposes, on a leader, the next change towards a membership without learners
// and predecessors. It depends only on the membership and the logs, so a new leader continues
// where the previous one stopped.
func (n *Node) reconcileMembership() {
	s := n.raft.Status()
	n.metrics.updateGroupGauges(s, n.opts.ElectionTicks)
	if !n.leadership.Leading || s.Role != quorum.Leader || n.shuttingDown.Load() {
		return
	}
	next, reason := n.withOwnAddress(s)
	if next == nil {
		next, reason = nextMembership(s, n.membershipPolicy())
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

// withOwnAddress returns a membership with the current address of a leader that moved while it was
// down. Other replicas send a join request to the leader to record their address. A leader can't
// send itself a request, and without this change all others would be redirected to its old
// address.
func (n *Node) withOwnAddress(s quorum.Status) (next *apiv1.Membership, reason string) {
	self := findReplica(s.Membership, s.ID)
	if self == nil || self.Address == n.opts.Address {
		return nil, ""
	}
	moved := proto.CloneOf(self)
	moved.Address = n.opts.Address
	return withReplaced(s.Membership, moved), "note the leader's own address"
}

// nextMembership returns the next change that a leader makes automatically, nil if there is
// none. Repairs come first: of several replicas with one name, the last one joined with the
// newest disk, and those before it have lost theirs; and a spare takes the place of a voter
// that was unresponsive for replaceTicks. A group changes its size only if it needs no repair.
//
// Between the steps the group must tolerate the loss of as many disks as before, so the order
// depends on what is known of the voter that is replaced:
//
//   - Its disk is lost, because its host returned with an empty one: the old replica is
//     removed before the new one gets its vote. In the opposite order both votes would count
//     for a while, and losing the new disk then would cost two votes of one host.
//   - It is unresponsive, and may hold entries of which the only other copy is on the disk that
//     is lost next: the spare gets its vote before the unresponsive voter is removed. In the
//     opposite order, three voters would become two, which tolerate no lost disk, and five
//     would become four, which tolerate one.
func nextMembership(s quorum.Status, p membershipPolicy) (next *apiv1.Membership, reason string) {
	for _, choose := range []func(quorum.Status, membershipPolicy) (*apiv1.Membership, string){
		removePredecessor, finishReplacement, promoteLearner, assignSuccessor, releaseLeaving, resizeGroup,
	} {
		if next, reason = choose(s, p); next != nil {
			return next, reason
		}
	}
	return nil, ""
}

// removePredecessor removes a replica whose disk was lost and that has a successor of the same
// name.
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

// lastWithName returns the last replica with a name, nil if there is none.
func lastWithName(replicas []*apiv1.Replica, name string) *apiv1.Replica {
	for _, r := range slices.Backward(replicas) {
		if r.Name == name {
			return r
		}
	}
	return nil
}

// finishReplacement removes a voter whose successor has its vote. It also clears the successor's
// Replaces mark if there is nothing left to replace because the voter is responsive again, is the
// leader or is no longer a member.
func finishReplacement(s quorum.Status, p membershipPolicy) (*apiv1.Membership, string) {
	for _, r := range s.Membership.GetReplicas() {
		if r.Replaces == 0 {
			continue
		}
		predecessor := findReplica(s.Membership, r.Replaces)
		if !r.Learner && predecessor != nil && predecessor.Id != s.ID {
			return withRemoved(s.Membership, predecessor.Id), "remove " + predecessor.Name + ", replaced by " + r.Name
		}
		if predecessor == nil || predecessor.Id == s.ID || isResponsive(s, predecessor.Id, p.replaceTicks) && p.leaving[predecessor.Id] == 0 {
			unmarked := &apiv1.Replica{Id: r.Id, Name: r.Name, Address: r.Address, Learner: r.Learner, Spare: r.Learner}
			return withReplaced(s.Membership, unmarked), r.Name + " no longer replaces a voter"
		}
	}
	return nil, ""
}

// isResponsive reports whether a message from a replica arrived within the given ticks and in this
// term: a new leader restarts the count of silent ticks.
func isResponsive(s quorum.Status, id uint64, within int) bool {
	return id == s.ID || s.Match[id] > 0 && s.TicksSinceContact[id] < within
}

// promoteLearner makes a learner a voter if it is no spare or was assigned to replace a voter. It
// skips unresponsive learners: the core would refuse the promotion at each check, and no other
// repair would ever take place.
func promoteLearner(s quorum.Status, p membershipPolicy) (*apiv1.Membership, string) {
	for _, r := range s.Membership.GetReplicas() {
		if r.Learner && !r.Spare && caughtUp(s, r.Id) && s.TicksSinceContact[r.Id] < p.responsiveTicks {
			return withPromoted(s.Membership, r.Id), "give a vote to " + r.Name
		}
	}
	return nil, ""
}

// assignSuccessor assigns a spare with the whole log as the successor of a voter that is unresponsive
// or stops, unless a running successor is assigned already.
func assignSuccessor(s quorum.Status, p membershipPolicy) (next *apiv1.Membership, reason string) {
	replaced, r := voterToReplace(s, p), readySuccessor(s, p)
	if replaced == nil || r == nil {
		return nil, ""
	}
	successor := &apiv1.Replica{Id: r.Id, Name: r.Name, Address: r.Address, Learner: true, Replaces: replaced.Id}
	return withReplaced(s.Membership, successor), r.Name + " takes the place of " + replaced.Name
}

// readySuccessor returns a spare that runs and has the whole log, nil if there is none.
func readySuccessor(s quorum.Status, p membershipPolicy) *apiv1.Replica {
	for _, r := range s.Membership.GetReplicas() {
		if r.Learner && r.Spare && caughtUp(s, r.Id) && isResponsive(s, r.Id, p.replaceTicks) && p.leaving[r.Id] == 0 {
			return r
		}
	}
	return nil
}

// voterToReplace returns a voter from which no message arrived for replaceTicks, or else one that stops
// and has no successor; nil if there is none.
func voterToReplace(s quorum.Status, p membershipPolicy) *apiv1.Replica {
	var leaving *apiv1.Replica
	for _, r := range s.Membership.GetReplicas() {
		switch {
		case r.Learner || r.Id == s.ID:
		case s.TicksSinceContact[r.Id] >= p.replaceTicks:
			return r
		case p.leaving[r.Id] > 0 && successorOf(s, r.Id) == nil:
			leaving = r
		}
	}
	return leaving
}

// caughtUp reports whether one message can carry all entries that a replica lacks.
func caughtUp(s quorum.Status, id uint64) bool {
	match := s.Match[id]
	return match > 0 && match+maxEntriesPerMessage >= s.LastIndex
}

// TransferLeadership transfers leadership to the voter with the largest part of the log, and
// returns once another replica leads or ctx ends. It does nothing on a replica that isn't the
// leader or is the only voter.
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
		// The core abandons an attempt after an election timeout.
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

// transferTarget returns the id of the other voter with the largest part of the log, 0 if there is
// none.
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
