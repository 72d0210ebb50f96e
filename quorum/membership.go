package quorum

import (
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// membershipAt is the membership from the entry at index on.
type membershipAt struct {
	index      uint64
	membership *apiv1.Membership
}

// membershipHistory holds the memberships of the kept log, oldest first. The
// newest is in effect from the moment it is appended, committed or not (4.1 of
// the thesis); when its entry is cut off, the one before is in effect again.
type membershipHistory struct {
	items []membershipAt
}

func (h *membershipHistory) current() *apiv1.Membership {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[len(h.items)-1].membership
}

// lastIndex is the index of the entry that brought the current membership.
func (h *membershipHistory) lastIndex() uint64 {
	if len(h.items) == 0 {
		return 0
	}
	return h.items[len(h.items)-1].index
}

// at returns the membership in effect at index.
func (h *membershipHistory) at(index uint64) *apiv1.Membership {
	var found *apiv1.Membership
	for _, item := range h.items {
		if item.index <= index {
			found = item.membership
		}
	}
	return found
}

// truncate drops the memberships of the entries from index on.
func (h *membershipHistory) truncate(index uint64) {
	for len(h.items) > 0 && h.lastIndex() >= index {
		h.items = h.items[:len(h.items)-1]
	}
}

// compact drops what was in effect only before index.
func (h *membershipHistory) compact(index uint64) {
	for len(h.items) > 1 && h.items[1].index <= index {
		h.items = h.items[1:]
	}
}

func (h *membershipHistory) restore(meta *apiv1.SnapshotMeta) {
	h.items = []membershipAt{{index: meta.GetIndex(), membership: meta.GetMembership()}}
}

// membershipsIn decodes the memberships among the entries.
func membershipsIn(entries []*apiv1.LogEntry) ([]membershipAt, error) {
	var found []membershipAt
	for _, e := range entries {
		if e.GetKind() != apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP {
			continue
		}
		m := &apiv1.Membership{}
		if err := proto.Unmarshal(e.GetData(), m); err != nil {
			return nil, errors.Wrapf(ErrInvalidMessage, "membership at %d: %v", e.GetIndex(), err)
		}
		if err := validateMembership(m); err != nil {
			return nil, errors.Wrapf(err, "membership at %d", e.GetIndex())
		}
		found = append(found, membershipAt{index: e.GetIndex(), membership: m})
	}
	return found, nil
}

// validateMembership checks what must be true of any membership.
func validateMembership(m *apiv1.Membership) error {
	voters := 0
	seen := map[uint64]bool{}
	for _, replica := range m.GetReplicas() {
		if replica.GetId() == 0 || seen[replica.GetId()] {
			return errors.Wrapf(ErrMembershipChangeRefused, "replica id %d is 0 or used twice", replica.GetId())
		}
		seen[replica.GetId()] = true
		if !replica.GetLearner() {
			voters++
		}
	}
	if voters == 0 || len(seen) > MaxReplicas {
		return errors.Wrapf(ErrMembershipChangeRefused, "%d voters among %d replicas (at most %d)", voters, len(seen), MaxReplicas)
	}
	return nil
}

func findReplica(m *apiv1.Membership, id uint64) *apiv1.Replica {
	for _, replica := range m.GetReplicas() {
		if replica.GetId() == id {
			return replica
		}
	}
	return nil
}

func (r *Raft) isVoter(id uint64) bool {
	replica := findReplica(r.membership.current(), id)
	return replica != nil && !replica.GetLearner()
}

func (r *Raft) soleVoter() bool {
	for _, replica := range r.membership.current().GetReplicas() {
		if !replica.GetLearner() && replica.GetId() != r.id {
			return false
		}
	}
	return r.isVoter(r.id)
}

// ProposeMembership appends a membership that differs from the current one in one
// step: a learner added, a caught-up learner made a voter, a replica removed, or
// a name or address changed. With one step at a time any majority of the old
// voters shares a member with any majority of the new ones, so the two can't
// elect two leaders in a term; hence a step waits until the one before is
// committed. It also waits for an entry of the leader's own term: leaders of
// different terms could else have started different steps from the same
// membership, whose majorities need not meet (the fault that Ongaro reported in
// 2015).
func (r *Raft) ProposeMembership(next *apiv1.Membership) (index, term uint64, err error) {
	if err := r.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if r.membership.lastIndex() > r.log.commit || !r.committedOwnTerm() {
		return 0, 0, ErrMembershipPending
	}
	if err := validateMembership(next); err != nil {
		return 0, 0, err
	}
	if err := r.checkStep(next); err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(next)
	if err != nil {
		return 0, 0, errors.Wrap(err, "encode membership")
	}
	e := r.appendAsLeader(apiv1.EntryKind_ENTRY_KIND_MEMBERSHIP, data)
	r.syncProgress()
	return e.GetIndex(), e.GetTerm(), nil
}

// committedOwnTerm reports whether an entry of the current term is committed, so
// that the commit index covers everything committed in earlier terms.
func (r *Raft) committedOwnTerm() bool {
	return r.log.matches(r.log.commit, r.term)
}

// checkStep reports whether next is one allowed step from the current membership.
func (r *Raft) checkStep(next *apiv1.Membership) error {
	current := r.membership.current()
	steps := 0
	for _, replica := range next.GetReplicas() {
		before := findReplica(current, replica.GetId())
		if proto.Equal(before, replica) {
			continue
		}
		steps++
		if err := r.checkReplicaChange(before, replica); err != nil {
			return err
		}
	}
	for _, replica := range current.GetReplicas() {
		if findReplica(next, replica.GetId()) == nil {
			steps++
		}
	}
	if steps != 1 {
		return errors.Wrapf(ErrMembershipChangeRefused, "%d differences instead of one", steps)
	}
	// Without a majority that lives, the step could never be committed, nor the next
	// one that would mend it.
	if !r.majorityRecentlyActive(next) {
		return errors.Wrap(ErrMembershipChangeRefused, "too few of the voters left can be heard")
	}
	return nil
}

func (r *Raft) checkReplicaChange(before, after *apiv1.Replica) error {
	switch {
	case before == nil && !after.GetLearner():
		return errors.Wrapf(ErrMembershipChangeRefused, "replica %d must join as a learner", after.GetId())
	case before == nil || before.GetLearner() == after.GetLearner():
		return nil
	case after.GetLearner():
		return errors.Wrapf(ErrMembershipChangeRefused, "voter %d can't become a learner", after.GetId())
	case before.GetName() != after.GetName() || before.GetAddress() != after.GetAddress():
		return errors.Wrapf(ErrMembershipChangeRefused, "replica %d changes its vote and its address at once", after.GetId())
	}
	return r.checkCaughtUp(after.GetId())
}

// checkCaughtUp refuses a vote to a learner that is silent, or lags by more than
// one message. It would count for the size of a majority while it can't
// acknowledge anything new: commits would stop until it has caught up, and a
// second loss in that time would stop the group.
func (r *Raft) checkCaughtUp(id uint64) error {
	p := r.progress[id]
	if r.recentlyActive(id) && r.almostCaughtUp(p) {
		return nil
	}
	return errors.Wrapf(ErrNotCaughtUp, "replica %d holds %d of %d entries", id, p.match, r.log.lastIndex())
}

// syncProgress makes the leader's progress follow the membership. A leader that
// removed itself keeps its own item until it steps down.
func (r *Raft) syncProgress() {
	current := r.membership.current()
	for id := range r.progress {
		if id != r.id && findReplica(current, id) == nil {
			delete(r.progress, id)
		}
	}
	for _, replica := range current.GetReplicas() {
		if r.progress[replica.GetId()] == nil {
			r.progress[replica.GetId()] = &progress{next: r.log.lastIndex() + 1}
		}
	}
	if r.transferee != 0 && !r.isVoter(r.transferee) {
		r.transferee = 0
	}
}

// stepDownIfRemoved makes a leader step down once its own removal is committed. Until
// then it leads a group that it does not count itself in (thesis, 4.2.2). It
// hands over to the replica that holds most, so that the group is not without a
// leader for an election timeout.
func (r *Raft) stepDownIfRemoved() {
	if r.isVoter(r.id) || r.membership.lastIndex() > r.log.commit {
		return
	}
	r.flushAppends()
	successor := uint64(0)
	for _, replica := range r.membership.current().GetReplicas() {
		id := replica.GetId()
		if replica.GetLearner() {
			continue
		}
		if successor == 0 || r.progress[id].match > r.progress[successor].match {
			successor = id
		}
	}
	r.sendTimeoutNow(successor)
	r.becomeFollower(r.term, 0)
}
