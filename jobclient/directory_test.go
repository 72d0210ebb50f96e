package jobclient

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
)

// member is a control host with a replica, which leads.
type member struct {
	apiv1.Jobs
	apiv1.Control
	addresses []string
}

func (m *member) Members(context.Context, *apiv1.JobsMembersRequest) (*apiv1.JobsMembersResponse, error) {
	return &apiv1.JobsMembersResponse{Addresses: m.addresses}, nil
}

func (m *member) Read(context.Context, *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	return &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK}, nil
}

func (m *member) Report(context.Context, *apiv1.JobsReportRequest) (*apiv1.JobsReportResponse, error) {
	return &apiv1.JobsReportResponse{Term: 1}, nil
}

func (m *member) Propose(context.Context, *apiv1.ProposeRequest) (*apiv1.ProposeResponse, error) {
	return &apiv1.ProposeResponse{Result: &apiv1.Result{Job: apiv1.JobOutcome_JOB_OUTCOME_OK}}, nil
}

// host serves on an address of its own. asked counts the calls other than those
// for the members.
type host struct {
	address  string
	server   *httptest.Server
	requests atomic.Int64
}

// startHost serves what make returns for the host's address.
func startHost(t *testing.T, services func(address string) (apiv1.Jobs, apiv1.Control)) *host {
	h := &host{}
	h.server = httptest.NewUnstartedServer(nil)
	h.address = h.server.Listener.Addr().String()
	jobs, proposals := services(h.address)
	js, cs := apiv1.NewJobsServer(jobs), apiv1.NewControlServer(proposals)
	mux := http.NewServeMux()
	mux.Handle(js.PathPrefix(), js)
	mux.Handle(cs.PathPrefix(), cs)
	h.server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != js.PathPrefix()+"Members" {
			h.requests.Add(1)
		}
		mux.ServeHTTP(w, r)
	})
	h.server.Start()
	t.Cleanup(h.server.Close)
	return h
}

// startMember starts a member that names itself and further ones.
func startMember(t *testing.T, further ...string) *host {
	return startHost(t, func(address string) (apiv1.Jobs, apiv1.Control) {
		m := &member{addresses: append(further, address)}
		return m, m
	})
}

// startDirectory starts a host without a replica, which was told these seeds.
func startDirectory(t *testing.T, seeds ...string) (*host, *Client) {
	var c *Client
	h := startHost(t, func(address string) (apiv1.Jobs, apiv1.Control) {
		c = New(append(seeds, address), zap.NewNop())
		d := NewDirectory(c, address, address)
		return d, d
	})
	return h, c
}

// shortContext bounds a question that nobody answers as one hopes.
func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// Symptom: entries and agents never reach the control group, though it is whole.
// Sequence: all control hosts that they were told of have no disk. Cause: such a
// host does not say where the members are, or its own address stays among those
// that requests are sent to.
func TestGroupIsFoundThroughDirectories(t *testing.T) {
	leader := startMember(t)
	near, nearClient := startDirectory(t, leader.address)
	nearClient.refresh(t.Context())
	far, farClient := startDirectory(t, near.address)
	farClient.refresh(t.Context())
	c := New([]string{far.address, near.address}, zap.NewNop())
	for range 4 { // so that each host that it knows is asked
		c.refresh(t.Context())
	}
	if got := c.Addresses(); !slices.Equal(got, []string{leader.address}) {
		t.Fatalf("knows %v, the leader is %s", got, leader.address)
	}
	if c.lastContact.IsZero() {
		t.Error("a member's answer is no contact")
	}
	if _, err := c.Submit(t.Context(), &apiv1.JobSpec{}); err != nil {
		t.Error(err)
	}
	if _, err := c.Read(t.Context(), &apiv1.JobsReadRequest{}); err != nil {
		t.Error(err)
	}
	if _, err := c.Report(t.Context(), &apiv1.JobsReportRequest{}); err != nil {
		t.Error(err)
	}
	if n := far.requests.Load() + near.requests.Load(); n != 0 {
		t.Errorf("%d requests went to hosts that can serve none", n)
	}
}

// Symptom: an entry says that it is ready, and refuses all that reaches it.
// Sequence: two hosts without a replica tell each other what each heard of the
// other; all members are gone. Cause: hearsay is taken for contact with the group.
func TestDirectoryIsNotGroupContact(t *testing.T) {
	one, oneClient := startDirectory(t)
	two, twoClient := startDirectory(t, one.address)
	oneClient.addFromDirectory(two.address, []string{two.address})
	c := New([]string{one.address, two.address}, zap.NewNop())
	for _, client := range []*Client{oneClient, twoClient, c} {
		client.refresh(shortContext(t))
		if !client.lastContact.IsZero() {
			t.Errorf("contact with a group that is not there; known: %v", client.Addresses())
		}
	}
}

// Symptom: after a cut, a process never finds the group again. Sequence: it knows
// the members; while they are out of reach, a host without a replica tells it a
// list from before they were replaced. Cause: hearsay takes the place of what a
// member told, or the seeds are not asked again.
func TestStaleDirectoryListKeepsMembers(t *testing.T) {
	second := startMember(t)
	first := startMember(t, second.address)
	directory, _ := startDirectory(t, "127.0.0.1:1")
	c := New([]string{directory.address, first.address}, zap.NewNop())
	c.refresh(t.Context())
	c.setMembers([]string{first.address, second.address})
	first.server.Close()
	c.addFromDirectory(directory.address, []string{"127.0.0.1:1"})
	second.server.Config.Handler = http.NotFoundHandler()
	c.refresh(shortContext(t))
	for _, address := range []string{first.address, second.address, directory.address} {
		if !slices.Contains(c.Addresses(), address) {
			t.Errorf("%s is forgotten", address)
		}
	}
}

// Symptom: a submission that nobody took gets "unknown" for an answer, and its
// caller can't hand it in elsewhere. Sequence: only a host without a replica is in
// reach. Cause: its answer leaves open whether the command was committed.
func TestDirectoryOutcomeIsCertain(t *testing.T) {
	directory, _ := startDirectory(t)
	c := New([]string{directory.address}, zap.NewNop())
	_, err := c.Submit(shortContext(t), &apiv1.JobSpec{})
	var unavailable *control.UnavailableError
	if !errors.As(err, &unavailable) {
		t.Errorf("submission: %v", err)
	}
	if _, err := c.Read(shortContext(t), &apiv1.JobsReadRequest{}); !errors.Is(err, ErrUnconfirmed) {
		t.Errorf("read: %v", err)
	}
	if _, err := c.Report(shortContext(t), &apiv1.JobsReportRequest{}); !errors.Is(err, ErrNoLeader) {
		t.Errorf("report: %v", err)
	}
	if _, err := c.CurrentOrders(shortContext(t), "w1"); !errors.Is(err, ErrNoLeader) {
		t.Errorf("orders: %v", err)
	}
	if c.forwarder.LeaderAddress() != "" {
		t.Error("a host without a replica is taken for the leader")
	}
}

// leadingMember gives orders if it leads.
type leadingMember struct {
	member
	leads bool
}

func (m *leadingMember) Orders(_ context.Context, r *apiv1.JobsOrdersRequest) (*apiv1.JobsOrdersResponse, error) {
	if !m.leads {
		return &apiv1.JobsOrdersResponse{NotLeader: true}, nil
	}
	return &apiv1.JobsOrdersResponse{Term: 7, Epoch: uint64(len(r.Worker))}, nil
}

// Symptom: an agent that was restarted never learns the term. Sequence: it knows no leader,
// and asks for its worker's orders. Cause: calls for orders go to the known leader only.
func TestCurrentOrdersFindsLeader(t *testing.T) {
	serve := func(leads bool) *host {
		return startHost(t, func(string) (apiv1.Jobs, apiv1.Control) {
			m := &leadingMember{leads: leads}
			return m, m
		})
	}
	follower, leader := serve(false), serve(true)
	c := New([]string{follower.address, leader.address}, zap.NewNop())
	if _, err := c.Orders(t.Context(), &apiv1.JobsOrdersRequest{Worker: "w1"}); !errors.Is(err, ErrNoLeader) {
		t.Fatalf("a leader is known: %v", err)
	}
	resp, err := c.CurrentOrders(t.Context(), "w1")
	if err != nil || resp.Term != 7 || resp.Epoch != 2 {
		t.Fatalf("%v, %v", resp, err)
	}
	if resp, err := c.Orders(t.Context(), &apiv1.JobsOrdersRequest{Worker: "w1"}); err != nil || resp.Term != 7 {
		t.Errorf("the leader is not known now: %v, %v", resp, err)
	}
}
