package agent_test

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cairnlift/cairnlift/agent"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/settings"
	"github.com/cairnlift/cairnlift/worker"
)

// fakeEntry stands in for an entry host: it records heartbeats and answers each.
type fakeEntry struct {
	apiv1.Control
	unreachable   []settings.Peer // Entries before this one that do not answer.
	shutdownBound time.Duration   // Of the agent, 10 s when zero.
	responseDelay time.Duration   // Of each answer.
	respond       func(*apiv1.HeartbeatRequest) *apiv1.HeartbeatResponse
	mu            sync.Mutex
	heartbeats    []*apiv1.HeartbeatRequest
}

func (e *fakeEntry) Heartbeat(_ context.Context, req *apiv1.HeartbeatRequest) (*apiv1.HeartbeatResponse, error) {
	time.Sleep(e.responseDelay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heartbeats = append(e.heartbeats, req)
	if e.respond != nil {
		return e.respond(req), nil
	}
	return &apiv1.HeartbeatResponse{Configuration: testConfiguration, ConfigurationVersion: 1}, nil
}

func (e *fakeEntry) received(f func(*apiv1.HeartbeatRequest) bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, b := range e.heartbeats {
		if f(b) {
			return true
		}
	}
	return false
}

var testConfiguration = &apiv1.Configuration{Version: 1, Services: []*apiv1.Service{{Name: "bookings", Slots: 4}}}

// harness is an agent between one entry and one target.
type harness struct {
	t       testing.TB
	entry   *fakeEntry
	metrics metrics.Registry
	agent   *agent.Agent
	client  apiv1.Agent
	stop    context.CancelFunc
	done    chan struct{} // Closed once Run has returned err.
	err     error
}

func newHarness(t testing.TB, e *fakeEntry, worker worker.Worker, target http.HandlerFunc) *harness {
	r := &harness{t: t, entry: e, metrics: metrics.NewRegistry(), done: make(chan struct{})}
	control := httptest.NewServer(apiv1.NewControlServer(r.entry))
	t.Cleanup(control.Close)
	s := &settings.Agent{
		Name: "host-1", Address: "127.0.0.1:0", LocalAddress: "127.0.0.1:0",
		Entries:           append(e.unreachable, settings.Peer{Name: "entry-1", Address: addressOf(control)}),
		HeartbeatInterval: settings.Duration{Duration: 50 * time.Millisecond},
		StalenessBound:    settings.Duration{Duration: 3 * time.Second},
		ShutdownBound:     settings.Duration{Duration: cmp.Or(e.shutdownBound, 10*time.Second)},
	}
	var err error
	if r.agent, err = agent.New(agent.Options{Settings: s, Worker: worker, Metrics: r.metrics}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	go func() { r.err = r.agent.Run(ctx); close(r.done) }()
	t.Cleanup(func() { cancel(); <-r.done })
	r.client = apiv1.NewAgentProtobufClient("http://"+r.agent.Address(), &http.Client{})
	if target != nil {
		r.announce(target)
	}
	return r
}

func addressOf(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

func (r *harness) announce(h http.Handler) {
	s := httptest.NewServer(h)
	r.t.Cleanup(s.Close)
	body := fmt.Sprintf(`{"service":"bookings","address":%q,"ttl_ms":60000}`, addressOf(s))
	if status, text := r.callLocal("PUT", "t1", body); status != http.StatusNoContent {
		r.t.Fatalf("announcement refused: %d %s", status, text)
	}
	r.eventually("announcement reaches the entry", func() bool {
		return r.entry.received(func(b *apiv1.HeartbeatRequest) bool { return len(b.GetAgent().GetTargets()) > 0 })
	})
}

// awaitSlots waits until the slots of the first configuration are in force, and
// returns what the agent then says of its targets.
func (r *harness) awaitSlots() (targets string) {
	r.t.Helper()
	r.eventually("the configuration's slots are in force", func() bool {
		_, targets = r.callLocal("GET", "", "")
		return strings.Contains(targets, `"slots":4`)
	})
	return targets
}

// callLocal calls the agent's local interface about one target, or all when name is empty.
func (r *harness) callLocal(method, name, body string) (int, string) {
	path := strings.TrimSuffix("/v1/targets/"+name, "/")
	req, _ := http.NewRequest(method, "http://"+r.agent.LocalAddress()+path, strings.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		r.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

func (r *harness) eventually(what string, f func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	r.t.Fatal("never: " + what)
}

func (r *harness) dispatch(ctx context.Context, id, method string) (*apiv1.DispatchResponse, error) {
	return r.dispatchWithin(ctx, id, method, time.Minute)
}

func (r *harness) revoke(id string) *apiv1.RevokeResponse {
	resp, err := r.client.Revoke(r.t.Context(), &apiv1.RevokeRequest{RequestId: id, Attempt: 1, AgentIncarnation: r.agent.Incarnation()})
	if err != nil {
		r.t.Error(err)
	}
	return resp
}

func (r *harness) dispatchWithin(ctx context.Context, id, method string, remaining time.Duration) (*apiv1.DispatchResponse, error) {
	return r.client.Dispatch(ctx, &apiv1.DispatchRequest{
		RequestId: id, Attempt: 1, Service: "bookings", Target: "t1",
		AgentIncarnation: r.agent.Incarnation(), RemainingMs: remaining.Milliseconds(), ConfigurationVersion: 1,
		Request: &apiv1.HttpRequest{Method: method, Uri: "/pitch?n=1"},
	})
}

func echoID(w http.ResponseWriter, req *http.Request) {
	_, _ = io.WriteString(w, req.RequestURI+" "+req.Header.Get("Cairnlift-Request-Id"))
}
