package node

import "github.com/cairnlift/cairnlift/quorum"

// GroupSize counts the replicas of a group.
type GroupSize struct {
	Voters int
	// Responsive are the voters that the leader heard within an election timeout, itself
	// included; 0 on other replicas.
	Responsive int
	// Spares have no vote, whether they wait for one or are about to get it.
	Spares int
}

// GroupSize counts the group as this replica sees it.
func (n *Node) GroupSize() GroupSize { return groupSizeOf(n.Status(), n.opts.ElectionTicks) }

func groupSizeOf(s quorum.Status, recentTicks int) GroupSize {
	var g GroupSize
	for _, r := range s.Membership.GetReplicas() {
		if r.Learner {
			g.Spares++
			continue
		}
		g.Voters++
		if s.Role == quorum.Leader && (r.Id == s.ID || s.TicksSinceContact[r.Id] < recentTicks) {
			g.Responsive++
		}
	}
	return g
}

// maxVoterLag is how many entries the slowest voter's log is behind the leader's; 0 on other
// replicas.
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
