package node

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/quorum"
)

// This file takes the vote of a replica that stops in order. The replica may be stopped permanently,
// after another host was added in its place. Until a voter that left counts as departed, which takes
// departedAfter, its vote would be needed for a majority, and the next lost disk could stop the group
// although every disk but one is there.

const (
	// leaveTimeout bounds the time that a stopping replica waits for the loss of its vote.
	leaveTimeout = time.Second
	// leavingFor is how long after a request the leader takes a replica for one that leaves, unless
	// the replica requests to join meanwhile.
	leavingFor = 3 * time.Second
	// minVotersAfterLeave is the smallest number of voters that a departure may leave. Two voters
	// bear no loss, like three of which one is down, and the third would have to catch up before it
	// votes again.
	minVotersAfterLeave = 3
)

// leavers are the replicas that have told this leader that they stop, with the ticks until that is
// forgotten.
type leavers struct {
	ticksLeft map[uint64]int
	// sinceLast is the number of ticks since the last request, -1 if there was none.
	sinceLast int
}

func newLeavers() leavers { return leavers{ticksLeft: map[uint64]int{}, sinceLast: -1} }

func (l *leavers) add(id uint64, ticks int) { l.ticksLeft[id], l.sinceLast = ticks, 0 }

// returned forgets that a replica leaves.
func (l *leavers) returned(id uint64) { delete(l.ticksLeft, id) }

// elapse counts ticks.
func (l *leavers) elapse(ticks int) {
	if l.sinceLast >= 0 {
		l.sinceLast += ticks
	}
	for id, left := range l.ticksLeft {
		if l.ticksLeft[id] = left - ticks; left <= ticks {
			delete(l.ticksLeft, id)
		}
	}
}

// leave asks the leader to take this replica's vote, until that is done, nothing can be done, or ctx or
// the replica ends.
func (n *Node) leave(ctx context.Context) {
	if n.opts.MaxVoters == 0 {
		return // operators set the group's size
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	defer context.AfterFunc(n.ctx, cancel)() // a replica that failed hears no leader any more
	for ctx.Err() == nil {
		s := n.Status()
		if self := findReplica(s.Membership, s.ID); self == nil || self.Learner || s.Role == quorum.Leader {
			return
		}
		if address := n.otherLeaderAddress(); address != "" {
			response, err := n.transport.Leave(ctx, address, n.id())
			if err != nil {
				event.LeaveUnanswered.Write(n.logger, event.Address(address), event.Err(err))
				return
			}
			if response.Done {
				return
			}
		}
		sleep(ctx, n.opts.Tick)
	}
}

// Leave implements apiv1.Quorum. It may be called repeatedly for the same replica.
func (s service) Leave(ctx context.Context, r *apiv1.LeaveRequest) (*apiv1.LeaveResponse, error) {
	if err := s.checkRequest(r.Cell); err != nil {
		return nil, err
	}
	if r.ReplicaId == 0 {
		return nil, twirp.RequiredArgumentError("replica_id")
	}
	status := s.n.Status()
	if status.Role != quorum.Leader {
		return &apiv1.LeaveResponse{NotLeader: true, LeaderAddress: s.n.LeaderAddress()}, nil
	}
	done := false
	err := s.n.callOnLoop(ctx, func() error {
		done = s.n.handleLeave(r.ReplicaId)
		return nil
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &apiv1.LeaveResponse{Done: done}, nil
}

// handleLeave records that a replica leaves, starts the next change for that, and reports whether the
// replica may stop. It runs on the event loop.
func (n *Node) handleLeave(id uint64) bool {
	s := n.raft.Status()
	member := findReplica(s.Membership, id)
	if member == nil || member.Learner || !canRelease(s, member) {
		return true
	}
	n.leavers.add(id, int(leavingFor/n.opts.Tick))
	n.reconcileMembership()
	return false
}

// canRelease reports whether the membership allows that a voter gives up its vote: to a spare, or
// without a successor if enough voters are left.
func canRelease(s quorum.Status, leaving *apiv1.Replica) bool {
	for _, r := range s.Membership.GetReplicas() {
		if r.Learner && (r.Spare || r.Replaces == leaving.Id) {
			return true
		}
	}
	return votersWithout(s, leaving.Id) >= minVotersAfterLeave
}

// votersWithout returns the number of voters other than one.
func votersWithout(s quorum.Status, id uint64) int {
	voters := 0
	for _, r := range s.Membership.GetReplicas() {
		if !r.Learner && r.Id != id {
			voters++
		}
	}
	return voters
}

// othersCurrent reports whether every voter but one runs and has the whole log.
func othersCurrent(s quorum.Status, p membershipPolicy, but uint64) bool {
	for _, r := range s.Membership.GetReplicas() {
		if r.Learner || r.Id == but || r.Id == s.ID {
			continue
		}
		if !isResponsive(s, r.Id, p.responsiveTicks) || !caughtUp(s, r.Id) {
			return false
		}
	}
	return true
}

// successorOf returns the replica that was assigned to replace a voter, nil if there is none.
func successorOf(s quorum.Status, id uint64) *apiv1.Replica {
	for _, r := range s.Membership.GetReplicas() {
		if r.Replaces == id {
			return r
		}
	}
	return nil
}

// releaseLeaving removes a voter that leaves and for which there is no spare, if all others are current:
// the group then bears as many losses as with the voter stopped.
func releaseLeaving(s quorum.Status, p membershipPolicy) (*apiv1.Membership, string) {
	if p.maxVoters == 0 || readySuccessor(s, p) != nil {
		return nil, ""
	}
	for _, r := range s.Membership.GetReplicas() {
		if p.leaving[r.Id] == 0 || r.Learner || r.Id == s.ID || successorOf(s, r.Id) != nil {
			continue
		}
		if votersWithout(s, r.Id) >= minVotersAfterLeave && othersCurrent(s, p, r.Id) {
			return withRemoved(s.Membership, r.Id), "remove " + r.Name + ", which stops"
		}
	}
	return nil, ""
}
