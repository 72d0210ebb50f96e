package jobclient

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/discovery"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

// directorySim is a control group, control hosts without a disk and an entry in virtual time, with the clients
// and announcers by which they find each other.
type directorySim struct {
	t *testing.T
	g *nodetest.Group
	// loops are the goroutines of all processes.
	loops sync.WaitGroup

	mu        sync.Mutex
	rand      *rand.Rand
	seeds     []string
	processes map[string]*process
	// unresponsive are addresses at which calls get no response.
	unresponsive map[string]bool
	// cut is the address of the process whose calls about the group don't get through, empty for none.
	cut string
	// used are all addresses that a process has had.
	used []string
}

// process is a control host or an entry.
type process struct {
	name, address string
	client        *Client
	announcer     *discovery.Announcer
	handler       http.Handler
	stop          context.CancelFunc
}

func (s *directorySim) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rand.IntN(n)
}

// simNetwork is the network as one process uses it.
type simNetwork struct {
	s    *directorySim
	from string
}

// RoundTrip implements http.RoundTripper.
func (n simNetwork) RoundTrip(req *http.Request) (*http.Response, error) {
	s := n.s
	if _, err := netip.ParseAddrPort(req.URL.Host); err != nil {
		s.t.Errorf("%s calls %q", n.from, req.URL)
	}
	s.mu.Lock()
	p, unresponsive := s.processes[req.URL.Host], s.unresponsive[req.URL.Host]
	cut := s.cut != "" && (s.cut == n.from || s.cut == req.URL.Host)
	s.mu.Unlock()
	switch {
	case unresponsive || cut:
		<-req.Context().Done()
		return nil, req.Context().Err()
	case p == nil:
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	p.handler.ServeHTTP(w, req)
	return w.Result(), nil
}

// newProcess returns a process without memory, which serves once run is called.
func (s *directorySim) newProcess(name, address string) *process {
	p := &process{name: name, address: address, client: New(append(slices.Clone(s.seeds), address), zap.NewNop())}
	p.client.http.Transport = simNetwork{s, address}
	return p
}

func (s *directorySim) run(p *process, handler http.Handler) {
	ctx, cancel := context.WithCancel(context.Background())
	p.handler, p.stop = handler, cancel
	s.mu.Lock()
	s.processes[p.address] = p
	s.unresponsive[p.address] = false
	if !slices.Contains(s.used, p.address) {
		s.used = append(s.used, p.address)
	}
	s.mu.Unlock()
	s.loops.Go(func() { p.client.Run(ctx) })
	if p.announcer != nil {
		s.loops.Go(func() { p.announcer.Run(ctx) })
	}
}

// end ends a process. Nothing listens at its address any more, or the host is gone.
func (s *directorySim) end(address string) {
	unresponsive := s.intN(2) == 0
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.processes[address]; p != nil {
		p.stop()
	}
	delete(s.processes, address)
	s.unresponsive[address] = unresponsive
}

// services returns the handler of a control host.
func services(jobs apiv1.Jobs, proposals apiv1.Control) http.Handler {
	j, c := apiv1.NewJobsServer(jobs), apiv1.NewControlServer(proposals)
	mux := http.NewServeMux()
	mux.Handle(j.PathPrefix(), j)
	mux.Handle(c.PathPrefix(), c)
	return mux
}

func (s *directorySim) startDirectory(name, address string) {
	p := s.newProcess(name, address)
	d := NewDirectory(p.client, name, address)
	s.run(p, services(d, d))
}

// startEntry starts a process that is no control host.
func (s *directorySim) startEntry(name, address string) {
	s.run(s.newProcess(name, address), http.NotFoundHandler())
}

// startReplica starts a control host with a disk by a start of its replica.
func (s *directorySim) startReplica(name, address string, start func(name string)) {
	p := s.newProcess(name, address)
	s.g.SetAddress(name, address)
	s.g.Discover = p.client.Addresses
	start(name)
	host := &replicaHost{s: s, p: p, node: s.g.Node(name), machine: s.g.Host(name).StateMachine}
	p.announcer = discovery.NewAnnouncer(discovery.Options{
		Leading: host.leading, Address: address, Members: host.members, Targets: host.targets,
		Transport: simNetwork{s, address}, Logger: zap.NewNop(), Metrics: metrics.NewRegistry(),
	})
	s.run(p, services(host, host))
}

// replicaHost serves the clients of a control host with a disk.
type replicaHost struct {
	apiv1.Jobs
	apiv1.Control
	s       *directorySim
	p       *process
	node    *node.Node
	machine *nodetest.StateMachine
}

func (h *replicaHost) leading() (uint64, bool) {
	status := h.node.Status()
	return status.Term, status.Role == quorum.Leader
}

func (h *replicaHost) members() (addresses []string) {
	for _, r := range h.node.Status().Membership.GetReplicas() {
		addresses = append(addresses, r.Address)
	}
	return addresses
}

// targets are the hosts to tell, as platform.hostsToTell returns them.
func (h *replicaHost) targets() []string {
	silent, responsive := h.node.MembersByContact()
	h.s.mu.Lock()
	hosts := slices.Concat(h.machine.Commands(), h.s.seeds, silent)
	h.s.mu.Unlock()
	return slices.DeleteFunc(hosts, func(a string) bool { return slices.Contains(responsive, a) })
}

// Members implements apiv1.Jobs.
func (h *replicaHost) Members(_ context.Context, r *apiv1.JobsMembersRequest) (*apiv1.JobsMembersResponse, error) {
	status := h.node.Status()
	resp := &apiv1.JobsMembersResponse{Index: status.Applied, DirectoryRecorded: slices.Contains(h.machine.Commands(), r.Directory)}
	for _, m := range status.Membership.GetReplicas() {
		resp.Addresses = append(resp.Addresses, m.Address)
		if m.Id == status.Leader {
			resp.LeaderAddress = m.Address
		}
	}
	if r.Directory != "" {
		h.p.announcer.Heard(r.Directory)
	}
	return resp, nil
}

// Announce implements apiv1.Jobs.
func (h *replicaHost) Announce(_ context.Context, r *apiv1.JobsAnnounceRequest) (*apiv1.JobsAnnounceResponse, error) {
	return &apiv1.JobsAnnounceResponse{}, h.p.client.Announced(r)
}

// Propose implements apiv1.Control. The log contains addresses of directories only.
func (h *replicaHost) Propose(ctx context.Context, r *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	address := r.GetCommand().GetRecordDirectory().GetAddress()
	if _, err := netip.ParseAddrPort(address); err != nil {
		return &apiv1.ProposeResponse{Result: &apiv1.Result{Verdict: apiv1.Verdict_VERDICT_REFUSED}}, nil
	}
	_, _, err := h.node.Propose(ctx, []byte(address))
	var notLeader *node.NotLeaderError
	switch {
	case errors.As(err, &notLeader):
		return &apiv1.ProposeResponse{NotLeader: true, LeaderAddress: notLeader.LeaderAddress}, nil
	case err != nil:
		return nil, err
	}
	return &apiv1.ProposeResponse{Result: &apiv1.Result{Verdict: apiv1.Verdict_VERDICT_ACCEPTED}}, nil
}

func simAddress(number int) string { return fmt.Sprintf("10.0.0.%d:1", number) }
