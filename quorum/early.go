package quorum

// A replica that starts knows its group from its disk, but not whether the group has a
// leader. Where one leads, its heartbeat comes within a tick or two. Where all replicas
// start together, as after a power cut, none comes, and to wait a whole election timeout for
// it keeps every caller waiting for that long. So a replica that has just started and heard
// nothing asks for a pre-vote after a few ticks already. That is harmless where a leader is
// there: a pre-vote changes nothing, and replicas that hear the leader refuse it.
const (
	// firstPreVoteTicks is the time until the first voter of the membership asks, and
	// preVoteStepTicks what each further one waits longer: were all to ask at once, they
	// would split the votes.
	firstPreVoteTicks = 2
	preVoteStepTicks  = 2
	// bootstrapIndex is where the log of a new group ends.
	bootstrapIndex = 1
)

// beginStartup opens the time of early pre-votes. It ends with the first leader that is heard of,
// and after two election timeouts: a replica that is cut off need not ask ten times a second.
//
// A group that is being founded waits as usual. What goes wrong otherwise: the first two of
// three members commit before the third knows that it is one, and if a disk is lost then, no
// majority is left that knows the group.
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

// campaignTimeout returns the ticks without a leader after which this replica asks for pre-votes.
func (r *Raft) campaignTimeout() int {
	if r.inStartup() {
		return min(r.electionTimeout, firstPreVoteTicks+preVoteStepTicks*r.voterRank())
	}
	return r.electionTimeout
}

// voterRank is the number of voters before this replica in the membership.
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

// startVoteWindow notes that this replica gave its vote just now: it does not campaign itself until
// a whole election timeout has passed.
func (r *Raft) startVoteWindow() {
	r.voteWindowTicks = r.cfg.ElectionTicks / 2
	r.startupTicks = 0
}

// awaitsOtherCandidate reports whether a candidate other than from got this replica's vote a moment
// ago and has not been heard of since. What goes wrong without it: the winner's disk is slow
// to store its vote, so its first heartbeat comes after the early pre-vote of a replica that has
// just started, and that one wins an election that nobody needs.
func (r *Raft) awaitsOtherCandidate(from uint64) bool {
	return r.leader == 0 && r.voteWindowTicks > 0 && r.vote != from
}
