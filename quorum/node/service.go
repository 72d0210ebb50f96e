package node

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
)

const (
	// MaxSnapshotBytes limits the state machine's snapshot, which is sent in one message.
	MaxSnapshotBytes = 128 << 20
	// MaxRequestBytes limits the body of a request to Handler: a snapshot, or a batch of other
	// messages, in which one entry may have quorum.MaxCommandBytes.
	MaxRequestBytes = MaxSnapshotBytes + 2*maxBatchBytes
)

// service serves the requests of the other replicas.
type service struct{ n *Node }

// Service returns the service for the other replicas.
func (n *Node) Service() apiv1.Quorum { return service{n} }

// Handler returns the HTTP handler for the other replicas' POST requests and the path prefix to
// mount it at.
func (n *Node) Handler() (prefix string, h http.Handler) {
	server := apiv1.NewQuorumServer(n.Service())
	return server.PathPrefix(), http.MaxBytesHandler(server, MaxRequestBytes)
}

func (s service) checkRequest(cell string) error {
	if cell != s.n.opts.Cell {
		return twirp.NotFoundError("this replica belongs to another cell")
	}
	select {
	case <-s.n.done:
		return twirp.NewError(twirp.Unavailable, "replica is stopped")
	default:
		return nil
	}
}

// Deliver implements apiv1.Quorum.
func (s service) Deliver(_ context.Context, r *apiv1.DeliverRequest) (*apiv1.DeliverResponse, error) {
	if err := s.checkRequest(r.Cell); err != nil {
		return nil, err
	}
	for _, m := range r.Messages {
		s.n.receive(m, r.SenderAddress)
	}
	return &apiv1.DeliverResponse{}, nil
}

// receive queues a message for the event loop. It drops a message to another id: such a message is
// meant for the replica that had this address before its disk was lost. A response to it would
// count as a promise of that replica, and a vote in its name as a second vote.
func (n *Node) receive(m *apiv1.QuorumMessage, sender string) {
	n.metrics.received.Inc(1)
	if m.To != n.id() {
		n.metrics.misaddressed.Inc(1)
		return
	}
	n.transport.RecordSender(m.From, sender)
	select {
	case n.inbox <- m:
	default:
		n.metrics.inboxDropped.Inc(1)
	}
}

// Identify implements apiv1.Quorum.
func (s service) Identify(_ context.Context, r *apiv1.IdentifyRequest) (*apiv1.IdentifyResponse, error) {
	if err := s.checkRequest(r.Cell); err != nil {
		return nil, err
	}
	status := s.n.Status()
	id := s.n.identity.Load()
	return &apiv1.IdentifyResponse{
		ReplicaId:         id.ReplicaId,
		Name:              id.Name,
		Membership:        s.n.membershipForFounder(r.Founder),
		Term:              max(status.Term, s.n.storedTerm),
		Leader:            status.Leader,
		LeaderAddress:     s.n.LeaderAddress(),
		InitialMembership: id.InitialMembership,
	}, nil
}

// Join implements apiv1.Quorum. It may be called repeatedly for the same replica.
func (s service) Join(ctx context.Context, r *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	if err := s.checkRequest(r.Cell); err != nil {
		return nil, err
	}
	if r.Replica.GetId() == 0 || r.Replica.Name == "" || r.Replica.Address == "" {
		return nil, twirp.RequiredArgumentError("replica")
	}
	status := s.n.Status()
	if status.Role != quorum.Leader {
		return s.n.notLeaderResponse(), nil
	}
	err := s.n.callOnLoop(ctx, func() error {
		s.n.leavers.returned(r.Replica.Id)
		return nil
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	if member := findReplica(status.Membership, r.Replica.Id); member != nil {
		return s.n.updateAddress(ctx, status.Membership, member, r.Replica.Address), nil
	}
	if reason := s.n.joinRefusalReason(ctx, status.Membership, r.Replica); reason != "" {
		return &apiv1.JoinResponse{Message: reason}, nil
	}
	learner := proto.CloneOf(r.Replica)
	learner.Spare = learner.Spare && !hasVoterNamed(status.Membership, learner.Name)
	if err := s.n.AddLearner(ctx, learner); err != nil {
		return &apiv1.JoinResponse{Message: err.Error()}, nil
	}
	return &apiv1.JoinResponse{Accepted: true}, nil
}

// notLeaderResponse returns the response to a request that only a leader can serve. It reports
// explicitly that no leader is known: in a group that lost its majority, this is the only
// information that a joining host gets.
func (n *Node) notLeaderResponse() *apiv1.JoinResponse {
	response := &apiv1.JoinResponse{NotLeader: true, LeaderAddress: n.LeaderAddress()}
	if response.LeaderAddress == "" {
		response.Message = "no leader is known here"
	}
	return response
}

// hasVoterNamed reports whether a voter has a name. A host that returns with an empty disk
// replaces its own voter and is no spare.
func hasVoterNamed(m *apiv1.Membership, name string) bool {
	for _, r := range m.GetReplicas() {
		if r.Name == name && !r.Learner {
			return true
		}
	}
	return false
}

// updateAddress records the new address of a member that was restarted. The other replicas need a
// majority without that member to commit the change, so hosts must move one at a time.
func (n *Node) updateAddress(ctx context.Context, m *apiv1.Membership, member *apiv1.Replica, address string) *apiv1.JoinResponse {
	if member.Address == address {
		return &apiv1.JoinResponse{Accepted: true}
	}
	// Keep all other fields: a spare that lost its Spare mark would get a vote in addition to the
	// existing voters.
	moved := proto.CloneOf(member)
	moved.Address = address
	if err := n.changeMembership(ctx, withReplaced(m, moved)); err != nil {
		return &apiv1.JoinResponse{Message: err.Error()}
	}
	return &apiv1.JoinResponse{Accepted: true}
}

// joinRefusalReason returns why a replica may not join, or "". It prevents a second process with a
// name that is in use from having the first one removed as its predecessor, by querying whether
// the first one is running.
func (n *Node) joinRefusalReason(ctx context.Context, m *apiv1.Membership, joiner *apiv1.Replica) string {
	if joiner.Name == n.opts.Name {
		return "the leader has this name"
	}
	// The joining replica waits requestTimeout in total, and would take a missing response for a
	// refusal.
	ctx, cancel := context.WithTimeout(ctx, n.opts.electionTimeout())
	defer cancel()
	for _, r := range m.GetReplicas() {
		if r.Name != joiner.Name {
			continue
		}
		answer, err := n.transport.Identify(ctx, r.Address, 0)
		if err == nil && answer.ReplicaId == r.Id {
			return "a running replica has this name"
		}
	}
	return ""
}
