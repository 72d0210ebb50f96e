package node

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
)

// This file decides how many replicas vote. A group of three tolerates the loss of one disk, a
// group of five the loss of two at once. With three votes on six hosts, two lost disks can be a
// majority; acknowledged entries are then lost permanently although four disks hold them, and the
// risk shows only when it happens. The group therefore uses the available hosts: an odd number of
// voters, up to Options.MaxVoters. The other replicas wait as spares.
//
// Votes are given and taken one at a time. The group passes through an even number only while that
// tolerates as many losses as the odd number below it: the first of two votes is given when every
// voter is responsive and both spares have the whole log.

// membershipPolicy determines when a leader changes the membership automatically. Times are in
// ticks.
type membershipPolicy struct {
	// replaceTicks is the time from a voter's last message until a spare takes its place.
	replaceTicks int
	// responsiveTicks is the time after its last message during which a replica counts as running.
	responsiveTicks int
	// departedTicks is the time after its last message from which a replica counts as permanently
	// departed.
	departedTicks int
	// maxVoters is the number of voters that the group grows to; 0 keeps the number that the group
	// was formed with.
	maxVoters int
	// leaving holds, by replica, the ticks for which it still counts as one that stops.
	leaving map[uint64]int
	// keepEvenSize prevents that an even number of voters is reduced while a host that stopped may be
	// back soon: a group of four grows to five by one vote, one of three by two.
	keepEvenSize bool
}

// departedAfter is the time from a host's last message until it no longer counts for the size of
// the group. It is far longer than a restart, a partition or a replacement, which take seconds: a
// group that shrank at each of those would have to grow again afterwards.
const departedAfter = time.Minute

// targetVoters returns how many of the available hosts should vote. The number is odd, because an
// even one needs one host more and tolerates no more losses.
func targetVoters(hosts, maxVoters int) int {
	return max(1, (min(hosts, maxVoters)-1)/2*2+1)
}

// groupSummary classifies the replicas by what they can contribute to the group.
type groupSummary struct {
	voters int
	// present is the number of replicas that have not departed.
	present int
	// readySpares are spares that run and have the whole log.
	readySpares []*apiv1.Replica
	// allVotersCurrent is set if every voter runs and has the whole log.
	allVotersCurrent bool
	// departedVoter and departedLearner are one departed replica each, nil if there is none.
	departedVoter, departedLearner *apiv1.Replica
}

func summarizeGroup(s quorum.Status, p membershipPolicy) groupSummary {
	c := groupSummary{allVotersCurrent: true}
	for _, r := range s.Membership.GetReplicas() {
		silentTicks := s.TicksSinceContact[r.Id]
		if r.Id != s.ID && silentTicks >= p.departedTicks {
			c.countDeparted(r)
			continue
		}
		c.present++
		runs := r.Id == s.ID || silentTicks < p.responsiveTicks && caughtUp(s, r.Id)
		switch {
		case !r.Learner:
			c.voters++
			c.allVotersCurrent = c.allVotersCurrent && runs
		case r.Spare && runs:
			c.readySpares = append(c.readySpares, r)
		}
	}
	return c
}

func (c *groupSummary) countDeparted(r *apiv1.Replica) {
	if r.Learner {
		c.departedLearner = r
		return
	}
	c.voters++
	c.allVotersCurrent = false
	c.departedVoter = r
}

// resizeGroup returns the next change towards the target number of voters, nil if there is none.
func resizeGroup(s quorum.Status, p membershipPolicy) (next *apiv1.Membership, reason string) {
	if p.maxVoters == 0 {
		return nil, ""
	}
	c := summarizeGroup(s, p)
	target := targetVoters(c.present, p.maxVoters)
	switch {
	case c.voters < target && c.allVotersCurrent && len(c.readySpares) >= votesToNextOdd(c.voters):
		return withPromoted(s.Membership, c.readySpares[0].Id), "give a vote to " + c.readySpares[0].Name + ", a spare"
	case c.departedLearner != nil:
		// A host that returns requests to join again. Without this removal, the list of replicas
		// would fill up with hosts that were replaced.
		return withRemoved(s.Membership, c.departedLearner.Id), "forget " + c.departedLearner.Name + ", which is gone"
	case c.voters > target && target > 1 && c.departedVoter != nil:
		return withRemoved(s.Membership, c.departedVoter.Id), "remove " + c.departedVoter.Name + ", which is gone"
	case c.voters > target && target > 1 && c.allVotersCurrent && !p.keepEvenSize:
		least := leastUpToDate(s)
		return withRemoved(s.Membership, least.Id), "take the vote of " + least.Name
	}
	return nil, ""
}

// votesToNextOdd returns the number of votes to add to reach the next odd number of voters.
func votesToNextOdd(voters int) int {
	if voters%2 == 0 {
		return 1
	}
	return 2
}

// leastUpToDate returns the voter, other than the leader, with the smallest part of the log. After
// its removal it rejoins as a spare by itself.
func leastUpToDate(s quorum.Status) *apiv1.Replica {
	var least *apiv1.Replica
	for _, r := range s.Membership.GetReplicas() {
		if r.Learner || r.Id == s.ID {
			continue
		}
		if least == nil || s.Match[r.Id] < s.Match[least.Id] {
			least = r
		}
	}
	return least
}
