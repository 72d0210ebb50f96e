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

// messageServer takes the messages of other replicas.
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

// startMessageServer returns where a listener is reached.
func startMessageServer(t *testing.T) (messageServer, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	taking := messageServer{delivered: make(chan *apiv1.QuorumMessage, 1)}
	s := &http.Server{Handler: apiv1.NewQuorumServer(taking)}
	t.Cleanup(func() { _ = s.Close() })
	go s.Serve(l) //nolint:errcheck // It ends with the test.
	return taking, l.Addr().String()
}

func startTransport(t *testing.T) (*node.TwirpTransport, metrics.Registry) {
	registry := metrics.NewRegistry()
	transport := node.NewTwirpTransport(node.TwirpOptions{Cell: "test", Metrics: registry})
	transport.Start(func(uint64) {})
	t.Cleanup(transport.Close)
	return transport, registry
}

// awaitMessage waits until the listener has a message for a replica, or the transport
// has counted that it could not send it.
func awaitMessage(t *testing.T, taking messageServer, registry metrics.Registry, to uint64) {
	t.Helper()
	for {
		select {
		case m := <-taking.delivered:
			if m.To != to {
				t.Fatalf("message is for %d", m.To)
			}
			return
		default:
		}
		for _, name := range []string{"quorum.messages_queue_dropped", "quorum.deliver_failures"} {
			if registry.Get(name).(metrics.Counter).Count() > 0 {
				t.Fatalf("the answer is lost: %s counts", name)
			}
		}
		time.Sleep(time.Millisecond)
	}
}

const unreachableAddress = "127.0.0.1:1"

// Symptom: a repair after a lost disk never ends once many disks were lost before it.
// Sequence: a replica hears leader after leader that its log does not name yet, each
// of a disk that is lost by now; then one more leader takes it in.
// Cause: the senders that are gone fill the list of those that can be answered.
// Evidence: the same requests to join as in the group that lost its majority for a
// repair that never ended.
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

// Symptom: a replica that is far behind never catches up.
// Sequence: a member moves to another address and comes to lead; a replica that was
// down meanwhile knows the member by its former address.
// Cause: the address in an old membership goes before the one that messages name.
func TestSenderAddressOverridesMembership(t *testing.T) {
	transport, registry := startTransport(t)
	taking, address := startMessageServer(t)
	transport.SetMembers(&apiv1.Membership{Replicas: []*apiv1.Replica{{Id: 1, Name: "a", Address: unreachableAddress}}})
	transport.RecordSender(1, address)
	transport.Send([]*apiv1.QuorumMessage{{From: 100, To: 1}})
	awaitMessage(t, taking, registry, 1)
}
