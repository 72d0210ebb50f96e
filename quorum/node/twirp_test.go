package node_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
	"github.com/cairnlift/cairnlift/settings"
)

// server is a replica with a real disk behind a real listener.
type server struct {
	node    *node.Node
	machine *nodetest.StateMachine
	http    *http.Server
}

// listenAll opens listeners on free loopback ports and returns the group's peers.
func listenAll(t testing.TB, count int) ([]net.Listener, []settings.Peer) {
	var listeners []net.Listener
	var peers []settings.Peer
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		peers = append(peers, settings.Peer{Name: fmt.Sprint("host-", i), Address: l.Addr().String()})
	}
	return listeners, peers
}

func startServer(t testing.TB, l net.Listener, self settings.Peer, peers []settings.Peer, o node.Options) *server {
	s := &server{machine: &nodetest.StateMachine{}}
	o.Cell, o.Name, o.Address, o.Peers = "test", self.Name, self.Address, peers
	if o.StateMachine == nil {
		o.StateMachine = s.machine
	}
	if o.Tick == 0 {
		o.Tick = 20 * time.Millisecond
	}
	var err error
	if s.node, err = node.Start(o); err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	prefix, handler := s.node.Handler()
	mux.Handle(prefix, handler)
	s.http = &http.Server{Handler: mux}
	go s.http.Serve(l)
	return s
}

func (s *server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s.node.Stop(ctx)
	s.http.Close()
}

// awaitLeader returns the replica that leads.
func awaitLeader(t testing.TB, servers []*server) *server {
	for range 10000 {
		for _, s := range servers {
			if s.node.Status().Role != quorum.Leader {
				continue
			}
			if _, err := s.node.ReadBarrier(context.Background()); err == nil {
				return s
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no leader")
	return nil
}

// The whole of it over HTTP and real files: commits, planned stops of the leader
// and its restarts from its folder at another address.
func TestGroupOverHTTP(t *testing.T) {
	listeners, peers := listenAll(t, 3)
	var servers []*server
	folders := make([]string, len(peers))
	start := func(i int, l net.Listener) *server {
		return startServer(t, l, peers[i], peers, node.Options{Folder: folders[i], SnapshotEntries: 20})
	}
	for i, l := range listeners {
		folders[i] = t.TempDir()
		servers = append(servers, start(i, l))
		defer func() { servers[i].close() }()
	}
	acked, unknown := 0, 0
	for i := range 100 {
		leader := awaitLeader(t, servers)
		_, _, err := leader.node.Propose(context.Background(), fmt.Append(nil, i))
		var lost *node.UnknownError
		if errors.As(err, &lost) {
			unknown++
		} else if err == nil {
			acked++
		}
		if i%30 != 29 {
			continue
		}
		for j, s := range servers {
			if s != leader {
				continue
			}
			s.close()
			moved, at := listenAll(t, 1)
			peers = slices.Clone(peers)
			peers[j].Address = at[0].Address
			servers[j] = start(j, moved[0])
			awaitMember(t, servers, at[0].Address)
		}
	}
	for _, s := range servers {
		awaitRead(s.node)
		if got := s.machine.Commands(); acked == 0 || len(got) < acked || len(got) > acked+unknown {
			t.Errorf("%d commands, %d acknowledged and %d unknown: %v", len(got), acked, unknown, got)
		}
	}
}

// awaitMember waits until the leader knows a replica at an address.
func awaitMember(t testing.TB, servers []*server, address string) {
	for range 10000 {
		for _, r := range awaitLeader(t, servers).node.Status().Membership.Replicas {
			if r.Address == address {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("nobody is known at " + address)
}

func awaitRead(n *node.Node) {
	for {
		if _, err := n.ReadBarrier(context.Background()); err == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// Symptom: one replica that doesn't answer holds up the messages to the others, or
// memory grows without bound.
// Sequence: one of two peers takes requests and never answers.
// Cause: a sender that waits without a deadline, a shared or unbounded queue.
func TestUnresponsivePeerDoesNotBlockOthers(t *testing.T) {
	listeners, peers := listenAll(t, 2)
	silent := make(chan struct{})
	got := make(chan struct{})
	handlers := []http.HandlerFunc{
		func(http.ResponseWriter, *http.Request) { <-silent },
		func(http.ResponseWriter, *http.Request) { got <- struct{}{} },
	}
	for i, l := range listeners {
		s := &http.Server{Handler: handlers[i]}
		go s.Serve(l)
		defer s.Close()
	}
	defer close(silent)
	registry := metrics.NewRegistry()
	transport := node.NewTwirpTransport(node.TwirpOptions{Cell: "test", Metrics: registry, DeliverTimeout: 50 * time.Millisecond})
	lost := make(chan uint64, 1000)
	transport.Start(func(id uint64) { lost <- id })
	defer transport.Close()
	transport.SetMembers(&apiv1.Membership{Replicas: []*apiv1.Replica{{Id: 1, Address: peers[0].Address}, {Id: 2, Address: peers[1].Address}}})
	for range 5000 {
		transport.Send([]*apiv1.QuorumMessage{{To: 1, Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT}})
	}
	transport.Send([]*apiv1.QuorumMessage{{To: 2, Kind: apiv1.MessageKind_MESSAGE_KIND_HEARTBEAT}})
	<-got
	if id := <-lost; id != 1 {
		t.Errorf("replica %d is reported unreachable", id)
	}
	if dropped := metrics.GetOrRegisterCounter("quorum.messages_queue_dropped", registry).Count(); dropped == 0 {
		t.Error("5,000 messages wait for a silent replica")
	}
}
