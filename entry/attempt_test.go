package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/twitchtv/twirp"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// faultyAgent answers dispatches with fault and revocations with revoke.
type faultyAgent struct {
	apiv1.Agent
	dispatches atomic.Int64
	fault      func(*apiv1.DispatchRequest, *apiv1.DispatchResponse)
	// revoke is the answer to revocations; they fail while it is unset.
	revoke atomic.Pointer[apiv1.RevokeResponse]
}

func (f *faultyAgent) Dispatch(_ context.Context, req *apiv1.DispatchRequest) (*apiv1.DispatchResponse, error) {
	f.dispatches.Add(1)
	body := []byte("own answer to " + req.GetRequestId())
	resp := &apiv1.DispatchResponse{
		RequestId: req.GetRequestId(), Attempt: req.GetAttempt(), Outcome: apiv1.Outcome_OUTCOME_ANSWERED,
		Response: &apiv1.HttpResponse{Status: 200, Body: body, BodyChecksum: xxhash.Sum64(body)},
	}
	f.fault(req, resp)
	return resp, nil
}

func (f *faultyAgent) Revoke(context.Context, *apiv1.RevokeRequest) (*apiv1.RevokeResponse, error) {
	if resp := f.revoke.Load(); resp != nil {
		return resp, nil
	}
	return nil, twirp.InternalError("out of reach")
}

func completeAnswer(s string) *apiv1.HttpResponse {
	return &apiv1.HttpResponse{Status: 200, Body: []byte(s), BodyChecksum: xxhash.Sum64String(s)}
}

// Symptom: a caller gets the answer to another's request, half an answer, or is told
// "not run" of something that ran. Sequence: an agent's answers are swapped, cut
// short, lost or doubled. Cause: an answer was taken for the request that waits
// on the connection, whatever it said.
func TestMismatchedOrIncompleteAnswersAreRejected(t *testing.T) {
	lost := func(*apiv1.DispatchRequest, *apiv1.DispatchResponse) { panic(http.ErrAbortHandler) }
	for _, c := range []struct {
		name       string
		fault      func(*apiv1.DispatchRequest, *apiv1.DispatchResponse)
		revoke     *apiv1.RevokeResponse
		outcome    string
		body       string
		dispatches int64
	}{
		{"whole", func(*apiv1.DispatchRequest, *apiv1.DispatchResponse) {}, nil, "answered", "own answer", 1},
		{"swapped", func(_ *apiv1.DispatchRequest, r *apiv1.DispatchResponse) { r.RequestId = "other" }, nil, "unknown", "wrong-answer", 1},
		{"earlier attempt", func(_ *apiv1.DispatchRequest, r *apiv1.DispatchResponse) { r.Attempt++ }, nil, "unknown", "wrong-answer", 1},
		{"cut short", func(_ *apiv1.DispatchRequest, r *apiv1.DispatchResponse) { r.Response.Body = r.Response.Body[:4] }, nil, "unknown", "broken-answer", 1},
		{"no status", func(_ *apiv1.DispatchRequest, r *apiv1.DispatchResponse) { r.Response.Status = 0 }, nil, "unknown", "broken-answer", 1},
		{"no body at all", func(_ *apiv1.DispatchRequest, r *apiv1.DispatchResponse) { r.Response = nil }, nil, "unknown", "broken-answer", 1},
		{"duplicate refused", func(_ *apiv1.DispatchRequest, r *apiv1.DispatchResponse) {
			r.Outcome, r.Reason, r.Response = apiv1.Outcome_OUTCOME_NOT_RUN, apiv1.Reason_REASON_DUPLICATE, nil
		}, nil, "unknown", "duplicate", 1},
		{"lost, ran", lost, &apiv1.RevokeResponse{Outcome: apiv1.Outcome_OUTCOME_ANSWERED, Response: completeAnswer("kept")}, "answered", "kept", 1},
		{"lost, kept answer broken", lost, &apiv1.RevokeResponse{Outcome: apiv1.Outcome_OUTCOME_ANSWERED, Response: &apiv1.HttpResponse{Body: []byte("x")}}, "unknown", "deadline", 1},
		{"lost, running", lost, &apiv1.RevokeResponse{Outcome: apiv1.Outcome_OUTCOME_UNKNOWN, Running: true}, "unknown", "deadline", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newHarness(t, 1)
			f := &faultyAgent{fault: c.fault}
			f.revoke.Store(c.revoke)
			g.announceAgent(apiv1.NewAgentServer(f))
			w := g.call(g.entries[0], http.MethodPost, "/bookings/1", "x", nil)
			if got := w.Header().Get(HeaderOutcome); got != c.outcome || !strings.Contains(w.Body.String(), c.body) {
				t.Errorf("got %s: %s", got, w.Body)
			}
			if n := f.dispatches.Load(); n != c.dispatches {
				t.Errorf("a request that is not idempotent was dispatched %d times", n)
			}
		})
	}
}

// Symptom: a refused caller waits until its deadline, or retries at once. Sequence: no
// target is there, or every target refuses. Cause: the refusal was held back or
// carried no Retry-After.
func TestRefusalsCarryRetryAfter(t *testing.T) {
	g := newHarness(t, 1)
	full := &faultyAgent{fault: func(_ *apiv1.DispatchRequest, r *apiv1.DispatchResponse) {
		r.Outcome, r.Reason, r.Response = apiv1.Outcome_OUTCOME_NOT_RUN, apiv1.Reason_REASON_SLOTS_FULL, nil
		r.RetryAfterMs = 250
	}}
	check := func(reason string) {
		t.Helper()
		w := g.call(g.entries[0], http.MethodPost, "/bookings/1", "x", nil)
		if w.Code != http.StatusServiceUnavailable || w.Header().Get(HeaderReason) != reason {
			t.Errorf("got %d %s", w.Code, w.Body)
		}
		if w.Header().Get("Retry-After") == "" || w.Header().Get(HeaderRetryAfterMs) == "" {
			t.Errorf("no Retry-After: %v", w.Header())
		}
	}
	g.awaitConfiguration()
	check("no-target")
	g.announceAgent(apiv1.NewAgentServer(full))
	check("slots-full")
	if w := g.call(g.entries[0], http.MethodGet, "/elsewhere", "", nil); w.Code != http.StatusNotFound {
		t.Errorf("a path of no service got %d", w.Code)
	}
}

// announceAgent announces a stand-in agent with one target to the first entry.
func (g *harness) announceAgent(h http.Handler) { g.announceIncarnation(h, 1) }

func (g *harness) announceIncarnation(h http.Handler, incarnation uint64) {
	s := httptest.NewServer(h)
	g.t.Cleanup(s.Close)
	_, err := g.entries[0].Heartbeat(g.ctx, &apiv1.HeartbeatRequest{Agent: &apiv1.AgentInfo{
		Name: "host-f", Address: strings.TrimPrefix(s.URL, "http://"), Incarnation: incarnation, Revision: 1,
		Targets: []*apiv1.TargetInfo{{Name: "t", Service: "bookings", Slots: 8, Connections: 64}},
	}})
	if err != nil {
		g.t.Fatal(err)
	}
	g.awaitConfiguration()
}

func (g *harness) awaitConfiguration() {
	e := g.entries[0]
	g.eventually("configuration in force and confirmed", func() bool {
		return e.services.Load().version == 1 && e.fresh()
	})
}

// Symptom: a sale runs twice. Sequence: an operator declares /bookings/lots as
// idempotent; a POST to /bookings/lotsX is retried. Cause: prefixes were compared
// by letters and not by path segments.
func TestOnlyDeclaredRequestsAreIdempotent(t *testing.T) {
	svc := &apiv1.Service{IdempotentRoutes: []*apiv1.Route{{Method: "POST", PathPrefix: "/bookings/lots"}}}
	for _, c := range []struct {
		method, path, header string
		want                 bool
	}{
		{"GET", "/bookings/1", "", true},
		{"POST", "/bookings/1", "", false},
		{"POST", "/bookings/1", "yes", false},
		{"POST", "/bookings/1", "true", true},
		{"PUT", "/bookings/lots/1", "", false},
		{"POST", "/bookings/lots/1", "", true},
		{"POST", "/bookings/lotsX", "", false},
	} {
		r := httptest.NewRequest(c.method, c.path, nil)
		r.Header.Set(HeaderIdempotent, c.header)
		if got := idempotent(svc, r); got != c.want {
			t.Errorf("%s %s %q: %v", c.method, c.path, c.header, got)
		}
	}
}

// Symptom: a host that restarted refuses every request for seconds. Sequence: its
// clock is set back, its agent starts anew under a lower incarnation and announces
// itself. Cause: the directory and the router disagreed on which of two incarnations
// is the newer.
func TestAgentRestartAfterClockSetBack(t *testing.T) {
	g := newHarness(t, 1)
	var seen atomic.Uint64
	f := &faultyAgent{fault: func(req *apiv1.DispatchRequest, _ *apiv1.DispatchResponse) { seen.Store(req.GetAgentIncarnation()) }}
	h := apiv1.NewAgentServer(f)
	for _, incarnation := range []uint64{5, 3} {
		g.announceIncarnation(h, incarnation)
		g.call(g.entries[0], http.MethodPost, "/bookings/1", "x", nil)
		if seen.Load() != incarnation {
			t.Errorf("dispatch named incarnation %d, not %d", seen.Load(), incarnation)
		}
	}
}
