package node

import (
	"sync"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
)

// view is the state of the replica that other goroutines may read.
type view struct {
	mu      sync.Mutex
	status  quorum.Status
	changed chan struct{}
	// pendingMembership is the membership of a group that this replica requested to join or is
	// about to become a member of.
	pendingMembership *apiv1.Membership
	// promisedFounder is the id of the founder that this replica last reported itself empty to.
	promisedFounder uint64
}

// publishStatus makes the core's state visible to other goroutines.
func (n *Node) publishStatus() {
	s := n.raft.Status()
	n.metrics.term.Update(int64(s.Term))
	n.metrics.commit.Update(int64(s.Commit))
	n.metrics.appliedIndex.Update(int64(s.Applied))
	n.metrics.role.Update(int64(s.Role))
	v := &n.view
	v.mu.Lock()
	before := v.status
	v.status = s
	changed := before.Role != s.Role || before.Term != s.Term || before.Leader != s.Leader || before.Membership != s.Membership
	if changed && v.changed != nil {
		close(v.changed)
		v.changed = nil
	}
	v.mu.Unlock()
	if before.Membership != s.Membership && s.Membership != nil {
		n.transport.SetMembers(s.Membership)
	}
}

// publishStopped clears the role and the leader, since a stopped replica neither leads nor knows
// the leader.
func (n *Node) publishStopped() {
	n.metrics.role.Update(int64(quorum.Follower))
	v := &n.view
	v.mu.Lock()
	defer v.mu.Unlock()
	v.status.Role, v.status.Leader, v.status.Match = quorum.Follower, 0, nil
	if v.changed != nil {
		close(v.changed)
		v.changed = nil
	}
}

// Status returns the replica's view of its group.
func (n *Node) Status() quorum.Status {
	n.view.mu.Lock()
	defer n.view.mu.Unlock()
	s := n.view.status
	if s.ID == 0 {
		s.ID = n.id()
	}
	return s
}

// Changed returns a channel that is closed at the next change of role, term,
// leader or membership.
func (n *Node) Changed() <-chan struct{} {
	n.view.mu.Lock()
	defer n.view.mu.Unlock()
	if n.view.changed == nil {
		n.view.changed = make(chan struct{})
	}
	return n.view.changed
}

// LeaderAddress returns the leader's address, or "" if no leader is known.
func (n *Node) LeaderAddress() string {
	s := n.Status()
	return findReplica(n.groupMembership(), s.Leader).GetAddress()
}

// otherLeaderAddress returns LeaderAddress, or "" if this replica is the leader.
func (n *Node) otherLeaderAddress() string {
	if s := n.Status(); s.Leader == n.id() {
		return ""
	}
	return n.LeaderAddress()
}

// groupMembership returns the current membership, or that of the group to join.
func (n *Node) groupMembership() *apiv1.Membership { return n.membershipForFounder(0) }

// membershipForFounder returns the membership to report to a founder. Reporting none promises that
// founder that this replica is empty; see form.go.
func (n *Node) membershipForFounder(founder uint64) *apiv1.Membership {
	n.view.mu.Lock()
	defer n.view.mu.Unlock()
	if n.view.status.Membership != nil {
		return n.view.status.Membership
	}
	if n.view.pendingMembership == nil && founder != 0 {
		n.view.promisedFounder = founder
	}
	return n.view.pendingMembership
}

func (n *Node) setGroupMembership(m *apiv1.Membership) {
	n.view.mu.Lock()
	n.view.pendingMembership = m
	n.view.mu.Unlock()
	n.transport.SetMembers(m)
}

func findReplica(m *apiv1.Membership, id uint64) *apiv1.Replica {
	for _, r := range m.GetReplicas() {
		if r.Id == id {
			return r
		}
	}
	return nil
}
