package node

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
)

// ErrNoReplica says that the membership has no replica of that id.
var ErrNoReplica = errors.New("no such replica")

// AddLearner adds a replica that receives the log but has no vote. Errors are
// those of Propose, and quorum.ErrMembershipPending or quorum.ErrMembershipChange.
func (n *Node) AddLearner(ctx context.Context, r *apiv1.Replica) error {
	learner := &apiv1.Replica{Id: r.Id, Name: r.Name, Address: r.Address, Learner: true, Spare: r.Spare}
	return n.change(ctx, withLearner(n.Status().Membership, learner))
}

// Promote makes a learner a voter. Errors are also quorum.ErrNotCaughtUp and
// ErrNoReplica.
func (n *Node) Promote(ctx context.Context, id uint64) error {
	current := n.Status().Membership
	if findByID(current, id) == nil {
		return ErrNoReplica
	}
	return n.change(ctx, withVoter(current, id))
}

// Remove removes a replica for good: it can return only under a new id, with an
// empty data folder.
func (n *Node) Remove(ctx context.Context, id uint64) error {
	current := n.Status().Membership
	if findByID(current, id) == nil {
		return ErrNoReplica
	}
	return n.change(ctx, without(current, id))
}

func (n *Node) change(ctx context.Context, next *apiv1.Membership) error {
	return n.submit(ctx, &proposal{membership: next}).err
}

func withLearner(m *apiv1.Membership, r *apiv1.Replica) *apiv1.Membership {
	return &apiv1.Membership{Replicas: append(slices.Clone(m.GetReplicas()), r)}
}

func withVoter(m *apiv1.Membership, id uint64) *apiv1.Membership {
	r := findByID(m, id)
	return withReplaced(m, &apiv1.Replica{Id: r.Id, Name: r.Name, Address: r.Address})
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

func without(m *apiv1.Membership, id uint64) *apiv1.Membership {
	next := &apiv1.Membership{}
	for _, r := range m.GetReplicas() {
		if r.Id != id {
			next.Replicas = append(next.Replicas, r)
		}
	}
	return next
}

// reconcile makes, on a leader, the next change towards a membership without
// learners and predecessors. It looks only at the membership and the logs, so a
// new leader goes on where the one before stopped.
func (n *Node) reconcile() {
	s := n.raft.Status()
	n.meters.measureGroup(s, n.opts.ElectionTicks)
	if !n.leadership.Leading || s.Role != quorum.Leader || n.leaving.Load() {
		return
	}
	next, reason := nextMembership(s, n.opts.membershipPolicy())
	if next == nil {
		return
	}
	_, _, err := n.raft.ProposeMembership(next)
	if err != nil {
		n.logger.Debug("Membership change has to wait.", zap.String("change", reason), zap.Error(err))
		return
	}
	n.logger.Info("Membership changes.", zap.String("change", reason))
}

// nextMembership returns the change that a leader makes by itself, nil when there
// is none. Of the replicas of one name the last one joined with the newest disk;
// those before it are gone. A voter that was silent for replaceTicks is gone too as
// soon as a spare has the whole log: the spare is first named its successor. Only a
// group without such repairs changes its size.
//
// The order is: take in the learner's log, remove its predecessor, then give the
// learner its vote. With the vote first, three replicas would become four voters
// of which three must be up; if the new disk were lost at that moment too, two
// would be left and could never commit a change again. With the removal first,
// the voters that must be up are at no step more than before.
func nextMembership(s quorum.Status, p membershipPolicy) (next *apiv1.Membership, reason string) {
	replicas := s.Membership.GetReplicas()
	for i, r := range replicas {
		successor := successorOf(replicas, i)
		if successor == nil || r.Id == s.ID {
			continue
		}
		if r.Learner || !successor.Learner || caughtUp(s, successor.Id) {
			return without(s.Membership, r.Id), "remove the predecessor of " + r.Name
		}
	}
	for _, r := range replicas {
		if r.Learner && !r.Spare && caughtUp(s, r.Id) {
			return withVoter(s.Membership, r.Id), "give a vote to " + r.Name
		}
	}
	if next, reason = nameSuccessor(s, p.replaceTicks); next != nil {
		return next, reason
	}
	return resize(s, p)
}

// nameSuccessor makes a spare that has the whole log the successor of a voter that
// is gone.
func nameSuccessor(s quorum.Status, replaceTicks int) (next *apiv1.Membership, reason string) {
	gone := silentVoter(s, replaceTicks)
	if gone == nil {
		return nil, ""
	}
	for _, r := range s.Membership.GetReplicas() {
		if !r.Learner || !r.Spare || !caughtUp(s, r.Id) || s.SilentTicks[r.Id] >= replaceTicks {
			continue
		}
		successor := &apiv1.Replica{Id: r.Id, Name: r.Name, Address: r.Address, Learner: true, Replaces: gone.Id}
		return withReplaced(s.Membership, successor), r.Name + " takes the place of " + gone.Name
	}
	return nil, ""
}

// silentVoter returns a voter that was not heard for replaceTicks.
func silentVoter(s quorum.Status, replaceTicks int) *apiv1.Replica {
	for _, r := range s.Membership.GetReplicas() {
		if !r.Learner && r.Id != s.ID && s.SilentTicks[r.Id] >= replaceTicks {
			return r
		}
	}
	return nil
}

// successorOf returns the last replica of the same name, or one that replaces it.
func successorOf(replicas []*apiv1.Replica, number int) *apiv1.Replica {
	before := replicas[number]
	var found *apiv1.Replica
	for i, r := range replicas {
		if i > number && r.Name == before.Name || r.Learner && r.Replaces == before.Id {
			found = r
		}
	}
	return found
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
		to := transferee(s)
		if s.Role != quorum.Leader || to == 0 {
			return nil
		}
		err := n.do(ctx, func() error {
			if err := n.raft.TransferLeadership(to); err != nil {
				n.logger.Info("Leadership can't be handed over.", zap.Error(err))
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

// transferee returns the other voter that holds most, 0 when there is none.
func transferee(s quorum.Status) uint64 {
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
