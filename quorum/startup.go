package quorum

// A replica that starts loads its group's membership from its disk, but does not know
// whether the group has a leader. If there is one, its heartbeat arrives within a tick or
// two. If all replicas start together, as after a power cut, no heartbeat arrives, and
// waiting for a whole election timeout would delay every caller by that time. So a replica
// that has just started and has received nothing requests pre-votes after a few ticks. This
// is harmless if a leader exists: a pre-vote changes no state, and replicas that have
// contact with the leader ignore it.
const (
	// firstPreVoteTicks is the time from the start of the first voter in the membership to
	// its pre-vote request. Each further voter waits preVoteStepTicks longer: if all sent
	// their requests at once, they would split the votes.
	firstPreVoteTicks = 2
	preVoteStepTicks  = 2
	// bootstrapIndex is the last index in the log of a new group.
	bootstrapIndex = 1
)

// beginStartup starts the period of early pre-votes. It ends when this replica learns of a
// leader, and at the latest after two election timeouts, so that a partitioned replica does
// not keep sending requests ten times per second.
//
// A group that is being bootstrapped uses the normal timeout. Otherwise, the first two of
// three members could commit entries before the third knows that it is a member, and if a
// disk were lost at that time, no majority that knows the group would be left.
func (r *Raft) beginStartup() {
	if r.log.lastIndex() > bootstrapIndex {
		r.startupTicks = 2 * r.cfg.ElectionTicks
	}
}

func (r *Raft) tickStartup() {
	r.startupTicks = max(0, r.startupTicks-1)
	r.voteWindowTicks = max(0, r.voteWindowTicks-1)
}

func (r *Raft) inStartup() bool { return r.startupTicks > 0 }

// campaignTimeout returns the number of ticks without a leader after which this replica
// requests pre-votes.
func (r *Raft) campaignTimeout() int {
	if r.inStartup() {
		return min(r.electionTimeout, firstPreVoteTicks+preVoteStepTicks*r.voterRank())
	}
	return r.electionTimeout
}

// voterRank returns the number of voters before this replica in the membership.
func (r *Raft) voterRank() int {
	rank := 0
	for _, replica := range r.membership.current().GetReplicas() {
		if replica.GetId() == r.id {
			break
		}
		if !replica.GetLearner() {
			rank++
		}
	}
	return rank
}

// startVoteWindow records that this replica has just granted its vote. It ends the period of
// early pre-votes, so the replica itself campaigns only after a whole election timeout.
func (r *Raft) startVoteWindow() {
	r.voteWindowTicks = r.cfg.ElectionTicks / 2
	r.startupTicks = 0
}

// awaitsOtherCandidate reports whether a candidate other than from got this replica's vote
// within the vote window and has not announced its victory yet. Without this check, a winner
// with a slow disk could send its first heartbeat only after the early pre-vote of a replica
// that has just started, and that replica would win an unnecessary election.
func (r *Raft) awaitsOtherCandidate(from uint64) bool {
	return r.leader == 0 && r.voteWindowTicks > 0 && r.vote != from
}
