package node_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node"
)

// messageServer receives the messages of other replicas.
type messageServer struct {
	apiv1.Quorum
	delivered chan *apiv1.QuorumMessage
}

func (l messageServer) Deliver(_ context.Context, r *apiv1.DeliverRequest) (*apiv1.DeliverResponse, error) {
	for _, m := range r.Messages {
		l.delivered <- m
	}
	return &apiv1.DeliverResponse{}, nil
}

// startMessageServer starts a messageServer and returns it with its address.
func startMessageServer(t *testing.T) (messageServer, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	taking := messageServer{delivered: make(chan *apiv1.QuorumMessage, 1)}
	s := &http.Server{Handler: apiv1.NewQuorumServer(taking)}
	t.Cleanup(func() { _ = s.Close() })
	go s.Serve(l) //nolint:errcheck // The server is closed at the end of the test.
	return taking, l.Addr().String()
}

func startTransport(t *testing.T) (*node.TwirpTransport, metrics.Registry) {
	registry := metrics.NewRegistry()
	transport := node.NewTwirpTransport(node.TwirpOptions{Cell: "test", Metrics: registry})
	transport.Start(func(uint64) {})
	t.Cleanup(transport.Close)
	return transport, registry
}

// awaitMessage waits until the server has received a message for a replica. It fails the test if
// the transport has counted a message that it could not send.
func awaitMessage(t *testing.T, taking messageServer, registry metrics.Registry, to uint64) {
	t.Helper()
	for {
		select {
		case m := <-taking.delivered:
			if m.To != to {
				t.Fatalf("message is addressed to replica %d", m.To)
			}
			return
		default:
		}
		for _, name := range []string{"quorum.messages_queue_dropped", "quorum.deliver_failures"} {
			if registry.Get(name).(metrics.Counter).Count() > 0 {
				t.Fatalf("the response is lost: %s is not zero", name)
			}
		}
		time.Sleep(time.Millisecond)
	}
}

const unreachableAddress = "127.0.0.1:1"

// Guards against a disk repair that never ends after many disks were lost before it. A replica
// gets messages from a series of leaders that its log does not name yet, each on a disk that is
// lost now; then one more leader adds it. The recorded senders that are lost must not use up the
// list of senders that can be answered.
//
// It was seen in a group that lost its majority because of a repair that never ended: the replica
// sent the same join requests.
func TestNewestSenderIsReachableAfterManySenders(t *testing.T) {
	transport, registry := startTransport(t)
	taking, address := startMessageServer(t)
	for id := range uint64(quorum.MaxReplicas) {
		transport.RecordSender(id+1, unreachableAddress)
	}
	const leader = quorum.MaxReplicas + 1
	transport.RecordSender(leader, address)
	transport.Send([]*apiv1.QuorumMessage{{From: 100, To: leader}})
	awaitMessage(t, taking, registry, leader)
}

// Guards against a replica that is far behind and never catches up. A member moves to another
// address and becomes the leader; a replica that was down meanwhile knows the member's previous
// address. The address in messages must take precedence over that in an old membership.
func TestSenderAddressOverridesMembership(t *testing.T) {
	transport, registry := startTransport(t)
	taking, address := startMessageServer(t)
	transport.SetMembers(&apiv1.Membership{Replicas: []*apiv1.Replica{{Id: 1, Name: "a", Address: unreachableAddress}}})
	transport.RecordSender(1, address)
	transport.Send([]*apiv1.QuorumMessage{{From: 100, To: 1}})
	awaitMessage(t, taking, registry, 1)
}

// Guards against a joining replica that gets its vote seconds later: the leader isn't in the membership of the
// snapshot that it sends, and the answer to it is dropped with the leader's address.
func TestAnswerSurvivesOlderMembership(t *testing.T) {
	const leader, founder = 7, 8
	taking, address := startMessageServer(t)
	transport, registry := startTransport(t)
	transport.SetMembers(&apiv1.Membership{Replicas: []*apiv1.Replica{{Id: leader, Name: "l", Address: address}}})
	transport.RecordSender(leader, address)
	transport.Send([]*apiv1.QuorumMessage{{To: leader}})
	transport.SetMembers(&apiv1.Membership{Replicas: []*apiv1.Replica{{Id: founder, Name: "f", Address: unreachableAddress}}})
	awaitMessage(t, taking, registry, leader)
	transport.Send([]*apiv1.QuorumMessage{{To: leader}})
	awaitMessage(t, taking, registry, leader)
}
