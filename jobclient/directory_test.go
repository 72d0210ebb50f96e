package jobclient

import (
	"context"
	"fmt"
	"net"
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

// member is a control host with a replica that leads.
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

// host is a server with its own address. requests counts the calls other than Members.
type host struct {
	address  string
	server   *httptest.Server
	requests atomic.Int64
}

// startHost starts a server of the services returned for the host's address.
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

// startMember starts a member that returns its own address and the further ones.
func startMember(t *testing.T, further ...string) *host {
	return startHost(t, func(address string) (apiv1.Jobs, apiv1.Control) {
		m := &member{addresses: append(further, address)}
		return m, m
	})
}

// startDirectory starts a host without a replica that is configured with the seeds.
func startDirectory(t *testing.T, seeds ...string) (*host, *Client) {
	var c *Client
	h := startHost(t, func(address string) (apiv1.Jobs, apiv1.Control) {
		c = New(append(seeds, address), zap.NewNop())
		d := NewDirectory(c, address, address)
		return d, d
	})
	return h, c
}

// shortContext limits calls that are expected to get no response.
func shortContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

// TestGroupIsFoundThroughDirectories guards against entries and agents that never reach a healthy
// control group because all control hosts that they are configured with have no disk. The fault
// occurs if such a host does not return the members, or if its own address remains among those that
// requests are sent to.
func TestGroupIsFoundThroughDirectories(t *testing.T) {
	leader := startMember(t)
	near, nearClient := startDirectory(t, leader.address)
	nearClient.refresh(t.Context())
	far, farClient := startDirectory(t, near.address)
	farClient.refresh(t.Context())
	c := New([]string{far.address, near.address}, zap.NewNop())
	for range 4 { // once for each known host
		c.refresh(t.Context())
	}
	if got := c.Addresses(); !slices.Equal(got, []string{leader.address}) {
		t.Fatalf("known hosts are %v, the leader is %s", got, leader.address)
	}
	if c.lastContact.IsZero() {
		t.Error("a member's response does not count as contact")
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
		t.Errorf("%d requests were sent to hosts without a replica", n)
	}
}

// TestDirectoryIsNotGroupContact guards against an entry that reports to be ready but refuses every
// request. Two hosts without a replica exchange the lists that each received from the other, and
// all members are unreachable. The fault occurs if a directory's list counts as contact with the
// group.
func TestDirectoryIsNotGroupContact(t *testing.T) {
	one, oneClient := startDirectory(t)
	two, twoClient := startDirectory(t, one.address)
	oneClient.addFromDirectory(two.address, []string{two.address})
	c := New([]string{one.address, two.address}, zap.NewNop())
	for _, client := range []*Client{oneClient, twoClient, c} {
		client.refresh(shortContext(t))
		if !client.lastContact.IsZero() {
			t.Errorf("contact with a group that does not exist; known hosts: %v", client.Addresses())
		}
	}
}

// TestStaleDirectoryListKeepsMembers guards against a process that never finds the group again
// after a network partition. It knows the members; while they are unreachable, a host without a
// replica returns a list from before the members were replaced. The fault occurs if that list
// replaces the one from a member, or if the seeds are not queried again.
func TestStaleDirectoryListKeepsMembers(t *testing.T) {
	second := startMember(t)
	first := startMember(t, second.address)
	directory, _ := startDirectory(t, "127.0.0.1:1")
	c := New([]string{directory.address, first.address}, zap.NewNop())
	c.refresh(t.Context())
	c.setMembers([]string{first.address, second.address}, 0)
	first.server.Close()
	c.addFromDirectory(directory.address, []string{"127.0.0.1:1"})
	second.server.Config.Handler = http.NotFoundHandler()
	c.refresh(shortContext(t))
	for _, address := range []string{first.address, second.address, directory.address} {
		if !slices.Contains(c.Addresses(), address) {
			t.Errorf("%s is no longer known", address)
		}
	}
}

// TestDirectoryOutcomeIsCertain guards against an "unknown" outcome for a submission that nothing
// has accepted, which prevents its caller from submitting the job elsewhere. Only a host without a
// replica is reachable. The fault occurs if its response leaves open whether the command was
// committed.
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
		t.Error("a host without a replica is known as the leader")
	}
}

// leadingMember returns orders if it leads.
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

// TestCurrentOrdersFindsLeader guards against a restarted agent that never learns the term. It
// knows no leader and queries its worker's orders. The fault occurs if calls for orders go only to
// the known leader.
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
		t.Errorf("the leader is still unknown: %v, %v", resp, err)
	}
}

// TestOlderListKeepsNewerMembers guards against a process that returns to members that have been
// replaced: a member that is cut off lists the group as it was. The fault occurs if the last list wins.
func TestOlderListKeepsNewerMembers(t *testing.T) {
	c := New([]string{"127.0.0.1:1"}, zap.NewNop())
	c.setMembers([]string{"127.0.0.3:1", "127.0.0.4:1"}, 20)
	c.setMembers([]string{"127.0.0.2:1"}, 10)
	want := []string{"127.0.0.1:1", "127.0.0.2:1", "127.0.0.3:1", "127.0.0.4:1"}
	if got := c.Addresses(); !slices.Equal(got, want) {
		t.Errorf("after an older list: %v, want %v", got, want)
	}
	c.setMembers([]string{"127.0.0.4:1", "127.0.0.5:1"}, 21)
	want = []string{"127.0.0.1:1", "127.0.0.4:1", "127.0.0.5:1"}
	if got := c.Addresses(); !slices.Equal(got, want) {
		t.Errorf("after a newer list: %v, want %v", got, want)
	}
}

// TestUnresponsiveHostsDoNotHideLeader guards against a process that is kept from the group by a list of
// hosts that don't answer, each of which takes a timeout. A directory, which has found the leader, lists
// former members before it.
func TestUnresponsiveHostsDoNotHideLeader(t *testing.T) {
	leader := startMember(t)
	directory, directoryClient := startDirectory(t, leader.address)
	directoryClient.refresh(t.Context())
	var former []string
	// These ports sort before those that the system assigns, so the hosts are queried first.
	for port := 10_000; port < 11_000 && len(former) < 20; port++ {
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", port)) // connections are never answered
		if err != nil {
			continue
		}
		defer l.Close()
		former = append(former, l.Addr().String())
	}
	directoryClient.addFromDirectory(directory.address, former)
	c := New([]string{directory.address}, zap.NewNop())
	if !c.refresh(t.Context()) {
		t.Error("the group is not found by one refresh")
	}
}

// TestAnnouncementLeadsToGroup guards against a directory that trusts whatever it is told. Wrong
// announcements arrive beside a right one: they are refused, or cost some calls, and the host still finds
// the group and has itself recorded.
func TestAnnouncementLeadsToGroup(t *testing.T) {
	leader := startMember(t)
	directory, c := startDirectory(t)
	d := NewDirectory(c, directory.address, directory.address)
	announce := func(leader string, members ...string) error {
		_, err := d.Announce(t.Context(), &apiv1.JobsAnnounceRequest{LeaderAddress: leader, Addresses: members})
		return err
	}
	tooMany := slices.Repeat([]string{leader.address}, maxAnnounced)
	for name, err := range map[string]error{
		"no leader": announce("", leader.address), "no port": announce("127.0.0.1", leader.address),
		"host name": announce(leader.address, "somewhere:1"), "too many": announce(leader.address, tooMany...),
	} {
		if err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	for i := range 1000 {
		address := fmt.Sprintf("127.0.%d.%d:1", 1+i/250, i%250)
		if err := announce(address, address); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(c.Addresses()); n > maxPeers+1 {
		t.Errorf("%d hosts are remembered", n)
	}
	if err := announce(leader.address, leader.address); err != nil {
		t.Fatal(err)
	}
	if !c.refresh(t.Context()) {
		t.Error("the group is not found")
	}
	if got := c.Addresses(); !slices.Contains(got, leader.address) || len(got) > 2 {
		t.Errorf("known hosts: %v", got)
	}
	if leader.requests.Load() != 1 {
		t.Error("the directory did not have itself recorded")
	}
}
