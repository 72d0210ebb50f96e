package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/settings"
)

// This file forms a group. Its rules ensure that a lost disk can't corrupt a group.
//
// A replica's id is random and is stored before the replica sends any message, so an id identifies
// one disk. A host that returns with an empty disk has a new id, and messages for the old id,
// which are still sent to the same address, are dropped (see receive). The old id never votes or
// acknowledges again, whatever it promised, so it counts as a replica that is down, which Raft
// tolerates.
//
// Danger 1: two groups under one name. If every host formed a group as soon as all others were
// empty, hosts that queried each other at different times around the loss of a disk could decide
// on different ids. Therefore only one host, the founder (the first peer by name), may form the
// group, and only after every configured peer has reported that it is empty and what its id is.
// The others never decide: they adopt the founder's initial membership. Waiting for the founder
// costs nothing, since forming the group needs the answers of all peers anyway. Once two hosts
// hold the membership, a founder that lost its disk finds a peer that is not empty, and joins
// instead. A founder may also lose its disk while its decision is on the way to a peer, and then
// try to form a group again under its new id. Therefore an empty peer that answers a founder
// promises not to adopt an initial membership that lacks the founder's id, and a founder needs
// that promise from all peers. The promise ends when the founder's host, in a round of queries
// that began after the promise, reports that it joins a group or has another id.
//
// Danger 2: a replica that is mistaken for an initial member. A replica without a group adopts a
// membership only if that is the initial one and contains its own id. That id was generated for
// this disk, which has stored no term, vote or entry yet, so the replica is in the state in which
// every initial replica began: at index 1, term 1. A current membership would not be correct, as
// it belongs to a later index.
//
// Danger 3: a vote that the group doesn't count on. Every other empty replica joins as a learner
// under its new id. It has no vote until it has caught up and the leader has made it a voter by a
// committed entry.
//
// Not covered: the loss of a majority of the disks at once. The remaining peers prevent an empty
// host from forming a new group, and an operator has to decide.

const (
	requestTimeout = time.Second
	// formRoundsPerElectionTimeout is the number of query rounds per election timeout of a replica
	// without a group. Each member of a new group must learn the membership before two of the
	// members can have elected a leader.
	formRoundsPerElectionTimeout = 4
	// firstIndex and firstTerm are the index and term at which the log of every group begins.
	firstIndex = 1
	firstTerm  = 1
)

// newReplicaID returns a random id. It does not use Options.Seed: a replica whose disk was lost
// would get its old id again.
func newReplicaID() uint64 {
	var b [8]byte
	rand.Read(b[:]) // Never fails, by its documentation.
	return binary.LittleEndian.Uint64(b[:])>>1 | 1
}

// formStep is the next action of a replica without a group.
type formStep int

const (
	stepWait formStep = iota
	stepFound
	stepAdopt
	stepJoin
)

// form returns once the replica knows its group. joining is set if the leader has yet to add the
// replica.
func (n *Node) form() (joining bool, err error) {
	if n.stored.Snapshot != nil {
		return false, nil
	}
	if m := n.identity.Load().InitialMembership; m != nil {
		return false, n.storeInitialMembership(m)
	}
	for !n.stopping() {
		promised := n.promisedFounder()
		answers := n.identifyPeers(n.ctx)
		next, membership := n.chooseFormStep(answers)
		if next == stepAdopt && !n.tryAdopt(membership, promised, answers[0]) {
			next = stepWait
		}
		if next == stepWait && n.opts.JoinOnly {
			next, membership = n.discoverGroup()
		}
		switch next {
		case stepFound, stepAdopt:
			n.setGroupMembership(membership)
			return false, n.storeInitialMembership(membership)
		case stepJoin:
			n.setGroupMembership(membership)
			return true, nil
		}
		sleep(n.ctx, n.opts.electionTimeout()/formRoundsPerElectionTimeout)
	}
	return false, nil
}

// tryAdopt checks the promise and, if it allows that, adopts the membership in the same critical
// section: from then on, no founder is told that this replica is empty. The founder's answer must
// come from a round that began with the given promise.
func (n *Node) tryAdopt(m *apiv1.Membership, promised uint64, founder *apiv1.IdentifyResponse) bool {
	n.view.mu.Lock()
	defer n.view.mu.Unlock()
	if n.view.promisedFounder != promised {
		return false
	}
	kept := promised == 0 || findReplica(m, promised) != nil
	ended := founder != nil && (founder.ReplicaId != promised || founder.Membership != nil)
	if kept || ended {
		n.view.pendingMembership = m
		return true
	}
	return false
}

// promisedFounder returns the id of the founder that this replica reported itself empty to.
func (n *Node) promisedFounder() uint64 {
	n.view.mu.Lock()
	defer n.view.mu.Unlock()
	return n.view.promisedFounder
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// peers returns the other configured hosts, ordered by name, without those that reported that they
// keep no replica: a group that waited for them would never be formed.
func (n *Node) peers() []settings.Peer {
	var others []settings.Peer
	for _, p := range n.opts.Peers {
		if p.Name != n.opts.Name && !n.withoutReplica[p.Name] {
			others = append(others, p)
		}
	}
	slices.SortFunc(others, func(a, b settings.Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return others
}

// identifyPeers queries the identity of all other hosts. The answer of a host that didn't respond
// is nil.
func (n *Node) identifyPeers(ctx context.Context) []*apiv1.IdentifyResponse {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var founder uint64
	if n.isFounder() && n.stored.HardState == nil {
		founder = n.id()
	}
	peers := n.peers()
	answers := make([]*apiv1.IdentifyResponse, len(peers))
	var requests conc.WaitGroup
	for i, p := range peers {
		requests.Go(func() {
			answer, err := n.transport.Identify(ctx, p.Address, founder)
			if err != nil || answer.Name != p.Name {
				event.PeerUnidentified.Write(n.logger, event.Peer(p.Name), event.Err(err))
				return
			}
			answers[i] = answer
		})
	}
	requests.Wait()
	for i, a := range answers {
		if a != nil && a.ReplicaId == 0 {
			event.PeerWithoutReplica.Write(n.logger, event.Peer(peers[i].Name))
			n.withoutReplica[a.Name] = true
			answers[i] = nil
		}
	}
	return answers
}

// chooseFormStep chooses the next step from the peers' answers.
func (n *Node) chooseFormStep(answers []*apiv1.IdentifyResponse) (formStep, *apiv1.Membership) {
	fresh := n.stored.HardState == nil
	var group *apiv1.Membership
	allEmpty := true
	for _, a := range answers {
		if a == nil {
			allEmpty = false
			continue
		}
		if fresh && findReplica(a.InitialMembership, n.id()) != nil && findReplica(a.Membership, n.id()) != nil {
			return stepAdopt, a.InitialMembership
		}
		if self := findReplica(a.Membership, n.id()); fresh && self != nil && !self.Learner {
			// The peer has not stored this initial membership yet. Joining that group as an empty
			// learner would leave it without a voter's log.
			event.MembershipAwaited.Write(n.logger, event.Peer(a.Name))
		} else if a.Membership != nil {
			group = a.Membership
		}
		if a.Membership != nil || a.Term > 0 {
			allEmpty = false
		}
	}
	switch {
	case group != nil:
		return stepJoin, group
	case fresh && allEmpty && n.isFounder():
		return stepFound, n.initialMembership(answers)
	}
	return stepWait, nil
}

// isFounder reports whether this host is the one that may form the group.
func (n *Node) isFounder() bool {
	if n.opts.JoinOnly {
		return false
	}
	peers := n.peers()
	return len(peers) == 0 || n.opts.Name < peers[0].Name
}

// initialMembership returns a membership of all configured hosts with the ids that they reported.
func (n *Node) initialMembership(answers []*apiv1.IdentifyResponse) *apiv1.Membership {
	m := &apiv1.Membership{Replicas: []*apiv1.Replica{
		{Id: n.id(), Name: n.opts.Name, Address: n.opts.Address},
	}}
	for i, p := range n.peers() {
		m.Replicas = append(m.Replicas, &apiv1.Replica{Id: answers[i].ReplicaId, Name: p.Name, Address: p.Address})
	}
	slices.SortFunc(m.Replicas, func(a, b *apiv1.Replica) int {
		if a.Id < b.Id {
			return -1
		}
		return 1
	})
	return m
}

// storeInitialMembership makes this replica an initial member of the group. It stores the
// membership first: from then on, even after a restart, the replica keeps that membership.
func (n *Node) storeInitialMembership(m *apiv1.Membership) error {
	data, err := n.opts.StateMachine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "empty state can't be snapshotted")
	}
	id := proto.CloneOf(n.identity.Load())
	id.InitialMembership = m
	if err := n.storage.SaveIdentity(id); err != nil {
		return err
	}
	s := &apiv1.QuorumSnapshot{
		Meta: &apiv1.SnapshotMeta{Index: firstIndex, Term: firstTerm, Membership: m},
		Data: data,
	}
	if err := n.storage.SaveSnapshot(s); err != nil {
		return err
	}
	n.identity.Store(id)
	n.stored = quorum.StoredState{Snapshot: s}
	event.GroupFormed.Write(n.logger, event.ReplicaCount(len(m.Replicas)))
	return n.restore(s)
}
