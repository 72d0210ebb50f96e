package node

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
)

// How many replicas have a vote. A group of three bears the loss of one disk, a group
// of five that of two at once. With three votes on six hosts two lost disks are a
// majority, and what was acknowledged is gone for good, although four disks hold it.
// One notices only then. So the group uses the hosts that are there: an odd number of
// voters, up to Options.MaxVoters; the rest wait as spares.
//
// Votes are given and taken one at a time, and an even number is passed through only
// while it bears what the odd number below it bears: the first of two votes is given
// when every voter is heard and both newcomers have the whole log.

// membershipPolicy says when a leader changes the membership by itself; times are in
// ticks.
type membershipPolicy struct {
	// replaceTicks is how long a voter must be silent for a spare to take its place.
	replaceTicks int
	// responsiveTicks is how recently a replica must have been heard to count as running.
	responsiveTicks int
	// departedTicks is how long a replica must be silent to count as gone for good.
	departedTicks int
	// maxVoters is the number of voters that the group grows to; 0 leaves the number as
	// it was founded.
	maxVoters int
}

// departedAfter is when a host that is silent no longer counts for the size of the group.
// It is far above a restart, a cut or a replacement, which take seconds: a group that
// shrinks at each of them would have to grow again.
const departedAfter = time.Minute

// targetVoters returns how many of the hosts that are there should vote: an odd number,
// since an even one needs one host more and bears no more losses.
func targetVoters(hosts, maxVoters int) int {
	return max(1, (min(hosts, maxVoters)-1)/2*2+1)
}

// groupSummary counts the replicas by what they can do for the group.
type groupSummary struct {
	voters int
	// present are replicas that are not gone for good.
	present int
	// readySpares are spares that run and have the whole log.
	readySpares []*apiv1.Replica
	// allVotersCurrent is set when every voter runs and has the whole log.
	allVotersCurrent bool
	// departedVoter and departedLearner are each one that is gone for good, if there is any.
	departedVoter, departedLearner *apiv1.Replica
}

func summarizeGroup(s quorum.Status, p membershipPolicy) groupSummary {
	c := groupSummary{allVotersCurrent: true}
	for _, r := range s.Membership.GetReplicas() {
		silent := s.TicksSinceContact[r.Id]
		if r.Id != s.ID && silent >= p.departedTicks {
			c.countDeparted(r)
			continue
		}
		c.present++
		runs := r.Id == s.ID || silent < p.responsiveTicks && caughtUp(s, r.Id)
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

// resizeGroup returns the change towards the number of voters that the hosts allow.
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
		// A host that comes back asks to be taken in again; without this the list of
		// replicas fills with hosts that were replaced.
		return withRemoved(s.Membership, c.departedLearner.Id), "forget " + c.departedLearner.Name + ", which is gone"
	case c.voters > target && target > 1 && c.departedVoter != nil:
		return withRemoved(s.Membership, c.departedVoter.Id), "remove " + c.departedVoter.Name + ", which is gone"
	case c.voters > target && target > 1 && c.allVotersCurrent:
		least := leastUpToDate(s)
		return withRemoved(s.Membership, least.Id), "take the vote of " + least.Name
	}
	return nil, ""
}

// votesToNextOdd is the number of votes that lead to the next odd number of voters.
func votesToNextOdd(voters int) int {
	if voters%2 == 0 {
		return 1
	}
	return 2
}

// leastUpToDate returns the voter beside the leader that holds least of the log. It
// comes back as a spare by itself.
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
