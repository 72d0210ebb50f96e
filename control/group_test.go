package control

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/settings"
)

// controlHost is a host of a control group on loopback: a replica, its log on
// disk and its server.
type controlHost struct {
	apiv1.Control
	*Replica
	node   *node.Node
	server *http.Server
	cancel context.CancelFunc
	wg     conc.WaitGroup
}

func (h *controlHost) Propose(ctx context.Context, req *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	return h.ServePropose(ctx, req)
}

func (h *controlHost) Renew(ctx context.Context, req *apiv1.RenewRequest) (*apiv1.RenewResponse, error) {
	return h.ServeRenew(ctx, req)
}

func (h *controlHost) stop() {
	if h.cancel == nil {
		return
	}
	h.cancel()
	h.cancel = nil
	h.server.Close()
	ended, cancel := context.WithCancel(context.Background())
	cancel() // No handover: the host is killed.
	_ = h.node.Stop(ended)
	h.wg.Wait()
}

func startGroup(t testing.TB, n int) (hosts []*controlHost, addresses []string) {
	var listeners []net.Listener
	var peers []settings.Peer
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
		peers = append(peers, settings.Peer{Name: fmt.Sprint("c", i), Address: l.Addr().String()})
	}
	for i, p := range peers {
		r := NewReplica(Config{Planner: &firstFit{}, PlanInterval: 5 * time.Millisecond, StalenessBound: 300 * time.Millisecond,
			Forwarder: NewForwarder(addresses, &http.Client{})})
		nd, err := node.Start(node.Options{Cell: "test", Name: p.Name, Address: p.Address, Peers: peers, Folder: t.TempDir(),
			StateMachine: r, Tick: 10 * time.Millisecond, Seed: uint64(i + 1), SnapshotEntries: 20})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		h := &controlHost{Replica: r, node: nd, cancel: cancel}
		r.Attach(NodeLog{nd})
		mux := http.NewServeMux()
		prefix, quorumHandler := nd.Handler()
		control := apiv1.NewControlServer(h)
		mux.Handle(prefix, quorumHandler)
		mux.Handle(control.PathPrefix(), control)
		h.server = &http.Server{Handler: mux}
		h.wg.Go(func() { _ = h.server.Serve(listeners[i]) })
		h.wg.Go(func() { r.Run(ctx) })
		t.Cleanup(h.stop)
		hosts = append(hosts, h)
	}
	return hosts, addresses
}

// waitUntil repeats f until it reports success.
func waitUntil(t testing.TB, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// Symptom: a charge runs twice, or a configuration reverts, after the leader was
// killed. Sequence: an entry that is no replica submits and claims, the leader is
// killed, the entry resends both through the hosts that are left; meanwhile a
// worker's heartbeats go to any host. Cause: a follower that answers by itself, or
// a leader that lacks what the one before it acknowledged.
func TestGroupKeepsClaimsAfterLeaderFailure(t *testing.T) {
	hosts, addresses := startGroup(t, 3)
	entry := NewForwarder(addresses, &http.Client{})
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	propose := func(cmd *apiv1.Command) (res *apiv1.Result) {
		waitUntil(t, "a result", func() bool {
			var err error
			res, err = entry.Propose(ctx, cmd)
			var unavailable *UnavailableError
			if err != nil && !errors.As(err, &unavailable) {
				t.Fatal(err)
			}
			return err == nil
		})
		return res
	}
	claim := &apiv1.Command{Body: &apiv1.Command_Claim{Claim: &apiv1.Claim{Key: "k", RequestId: "r", Entry: "e", Attempt: 1}}}
	other := &apiv1.Command{Body: &apiv1.Command_Claim{Claim: &apiv1.Claim{Key: "k", RequestId: "q", Entry: "f", Attempt: 1}}}
	submit := submission("s", 0, &apiv1.Job{Name: "renewals", Tasks: 2, Size: processors(100)})
	if res := propose(submit); res.Verdict != apiv1.Verdict_VERDICT_ACCEPTED {
		t.Fatal(res)
	}
	if res := propose(claim); !res.Claim.Granted {
		t.Fatal(res)
	}
	for i := range 50 { // Enough for a snapshot.
		propose(&apiv1.Command{Body: &apiv1.Command_Claim{Claim: &apiv1.Claim{Key: fmt.Sprint(i), RequestId: "r", Attempt: 1}}})
	}
	hb := &apiv1.WorkerHeartbeat{Worker: "w1", Incarnation: 1, Info: info("w1", 1000)}
	next := 0
	started := func() bool {
		hb.Sequence++
		next++
		orders, err := hosts[next%3].Replica.Renew(ctx, []*apiv1.WorkerHeartbeat{hb})
		return err == nil && len(orders[0].Start) == 2
	}
	waitUntil(t, "start orders", started)

	for _, h := range hosts {
		if _, leads := (NodeLog{h.node}).Leading(); leads {
			h.stop()
		}
	}
	if res := propose(submit); res.Verdict != apiv1.Verdict_VERDICT_REPEATED || res.ConfigurationVersion != 1 {
		t.Fatal(res)
	}
	if res := propose(claim); !res.Claim.Granted || res.Verdict != apiv1.Verdict_VERDICT_REPEATED {
		t.Fatal(res)
	}
	if res := propose(other); res.Claim.Granted || res.Claim.Standing.RequestId != "r" {
		t.Fatal(res)
	}
	waitUntil(t, "the same start orders from the new leader", started)
	killed := time.Now()
	waitUntil(t, "a fresh configuration on both", func() bool {
		fresh := 0
		for _, h := range hosts {
			if h.ConfirmedAt().After(killed) && h.Configuration().Version == 1 {
				fresh++
			}
		}
		return fresh == 2
	})
}
