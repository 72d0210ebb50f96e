package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/cairnlift/cairnlift/agent"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/place"
	"github.com/cairnlift/cairnlift/settings"
)

// harness is a control group of one, entries that share it, and an agent with one
// target that records what it runs.
type harness struct {
	t           testing.TB
	ctx         context.Context
	replica     *control.Replica
	entries     []*Entry
	homeAddress string

	mu        sync.Mutex
	runCounts map[string]int
	// beforeAnswer is what the target does before it answers; nil answers at once.
	beforeAnswer func(w http.ResponseWriter, r *http.Request) (answered bool)
}

func newHarness(t testing.TB, entries int) *harness {
	return newHarnessWith(t, entries, func(c control.Service) control.Service { return c })
}

// newHarnessWith makes a rig whose entries reach the control group by what over returns.
func newHarnessWith(t testing.TB, entries int, over func(control.Service) control.Service) *harness {
	ctx, stop := context.WithCancel(context.Background())
	g := &harness{t: t, ctx: ctx, runCounts: map[string]int{}, replica: control.NewReplica(control.Config{Planner: place.New(place.Config{})})}
	g.replica.Attach(control.NewMemoryLog(g.replica, "127.0.0.1:1"))
	var wg sync.WaitGroup
	t.Cleanup(func() { stop(); wg.Wait() })
	wg.Go(func() {
		if err := g.replica.Run(ctx); err != nil {
			t.Error(err)
		}
	})
	_, err := g.replica.Propose(ctx, &apiv1.Command{TimeMs: 1, Body: &apiv1.Command_Submit{Submit: &apiv1.Submit{
		SubmissionId: "s1",
		Configuration: &apiv1.Configuration{TextDigest: "d", Services: []*apiv1.Service{{
			Name: "bookings", PathPrefixes: []string{"/bookings"}, TimeoutMs: 3000, ObjectiveMs: 80, Slots: 8, Connections: 64,
		}}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	var peers []settings.Peer
	var servers []*http.ServeMux
	for i := range entries {
		mux := http.NewServeMux()
		s := httptest.NewServer(mux)
		t.Cleanup(s.Close)
		servers = append(servers, mux)
		peers = append(peers, settings.Peer{Name: fmt.Sprint("entry-", i), Address: strings.TrimPrefix(s.URL, "http://")})
	}
	g.homeAddress = peers[0].Address
	for i := range entries {
		s := &settings.Entry{Name: peers[i].Name, InternalAddress: peers[i].Address, Peers: peers}
		s.SetDefaults()
		e, err := newEntry(Options{Settings: s, Logger: zap.NewNop()})
		if err != nil {
			t.Fatal(err)
		}
		e.useControl(over(g.replica))
		servers[i].Handle("/", e.internalHandler())
		e.startLoops(ctx)
		wg.Go(func() { e.loops.Wait(); e.background.Wait() })
		g.entries = append(g.entries, e)
	}
	return g
}

// startAgent runs an agent with one target and waits until every entry routes to it.
func (g *harness) startAgent() *agent.Agent {
	g.t.Helper()
	target := httptest.NewServer(http.HandlerFunc(g.serveTarget))
	g.t.Cleanup(target.Close)
	a, err := agent.New(agent.Options{Settings: &settings.Agent{
		Name: "host-1", Address: "127.0.0.1:0", LocalAddress: "127.0.0.1:0",
		Entries:           []settings.Peer{{Name: "entry-0", Address: g.homeAddress}},
		HeartbeatInterval: settings.Duration{Duration: 50 * time.Millisecond},
		StalenessBound:    settings.Duration{Duration: 3 * time.Second},
		ShutdownBound:     settings.Duration{Duration: 5 * time.Second},
	}})
	if err != nil {
		g.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	g.t.Cleanup(func() { cancel(); <-done })
	body := fmt.Sprintf(`{"service":"bookings","address":%q,"slots":8,"connections":64,"ttl_ms":60000}`, strings.TrimPrefix(target.URL, "http://"))
	req, _ := http.NewRequest(http.MethodPut, "http://"+a.LocalAddress()+"/v1/targets/t1", strings.NewReader(body))
	resp, err := http.DefaultClient.Do(req)
	if err != nil || resp.StatusCode != http.StatusNoContent {
		g.t.Fatal("announcement: ", err, resp)
	}
	resp.Body.Close()
	g.eventually("every entry routes to the target", func() bool {
		for _, e := range g.entries {
			if g.call(e, http.MethodGet, "/bookings/probe", "", nil).Code != http.StatusOK {
				return false
			}
		}
		return true
	})
	return a
}

// serveTarget is the target: it records the caller's own id and answers with it.
func (g *harness) serveTarget(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get("Test-Id")
	g.mu.Lock()
	g.runCounts[id]++
	run := g.runCounts[id]
	work := g.beforeAnswer
	g.mu.Unlock()
	if work != nil && !work(w, r) {
		return
	}
	fmt.Fprintf(w, "%s run %d of %s", id, run, body)
}

func (g *harness) runs(id string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runCounts[id]
}

func (g *harness) setBeforeAnswer(f func(w http.ResponseWriter, r *http.Request) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.beforeAnswer = f
}

func (g *harness) call(e *Entry, method, path, body string, headers map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, bytes.NewReader([]byte(body)))
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, req)
	return w
}

func (g *harness) eventually(what string, f func() bool) {
	g.t.Helper()
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	g.t.Fatal("never: " + what)
}
