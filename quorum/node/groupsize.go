package node

import "github.com/cairnlift/cairnlift/quorum"

// GroupSize counts the replicas of a group.
type GroupSize struct {
	Voters int
	// Responsive is the number of voters that the leader got a message from within an election
	// timeout, including itself. It is 0 on other replicas.
	Responsive int
	// Spares is the number of replicas without a vote, including those that are about to get one.
	Spares int
}

// GroupSize counts the replicas of the group as this replica knows it.
func (n *Node) GroupSize() GroupSize { return groupSizeOf(n.Status(), n.opts.ElectionTicks) }

func groupSizeOf(s quorum.Status, responsiveTicks int) GroupSize {
	var g GroupSize
	for _, r := range s.Membership.GetReplicas() {
		if r.Learner {
			g.Spares++
			continue
		}
		g.Voters++
		if s.Role == quorum.Leader && (r.Id == s.ID || s.TicksSinceContact[r.Id] < responsiveTicks) {
			g.Responsive++
		}
	}
	return g
}

// MembersByContact returns the addresses of the members, on a leader: those from which a message
// arrived within an election timeout, with the leader's own, and the others. On another replica all are
// silent.
func (n *Node) MembersByContact() (silent, responsive []string) {
	s := n.Status()
	for _, r := range s.Membership.GetReplicas() {
		if r.Id == s.ID || s.Role == quorum.Leader && isResponsive(s, r.Id, n.opts.ElectionTicks) {
			responsive = append(responsive, r.Address)
			continue
		}
		silent = append(silent, r.Address)
	}
	return silent, responsive
}

// maxVoterLag returns the number of entries by which the slowest voter's log lags behind the
// leader's. It is 0 on other replicas.
func maxVoterLag(s quorum.Status) uint64 {
	if s.Role != quorum.Leader {
		return 0
	}
	lag := uint64(0)
	for _, r := range s.Membership.GetReplicas() {
		if match := s.Match[r.Id]; !r.Learner && match < s.LastIndex {
			lag = max(lag, s.LastIndex-match)
		}
	}
	return lag
}
