package entry

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
)

// keyed returns the headers of a request with a test ID and an idempotency key.
func keyed(id, key string) map[string]string {
	return map[string]string{"Test-Id": id, HeaderIdempotencyKey: key}
}

// A trader must not be charged twice. The response to a charge is late or lost, so the caller sends
// the request again with its key to any entry, also while the first one is running; this guards
// against each entry running every request that it receives.
func TestResendsOfOneKeyRunOnce(t *testing.T) {
	h := newHarness(t, 2)
	h.startAgent()
	rng := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	h.setBeforeAnswer(func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		choice := rng.IntN(4)
		mu.Unlock()
		if choice == 0 {
			panic(http.ErrAbortHandler) // the charge is made and the response is lost
		}
		time.Sleep(time.Duration(choice) * 10 * time.Millisecond)
		return true
	})
	for round := range 40 {
		id := fmt.Sprint("charge-", round)
		bodies := make([]string, 6)
		var wg sync.WaitGroup
		for i := range bodies {
			wg.Go(func() {
				w := h.call(h.entries[i%2], http.MethodPost, "/bookings/pay", "5 pounds", keyed(id, id))
				if w.Header().Get(HeaderOutcome) == "answered" {
					bodies[i] = w.Body.String()
				}
			})
		}
		wg.Wait()
		if n := h.runs(id); n != 1 {
			t.Fatalf("%s ran %d times", id, n)
		}
		for _, b := range bodies {
			if b != "" && b != id+" run 1 of 5 pounds" {
				t.Fatalf("%s got %q", id, b)
			}
		}
	}
}

// A charge must not be lost or made twice after an entry host fails. The entry claims the key and
// fails before, during or after its dispatch; the caller resends through another entry, and then
// the failed entry's dispatch arrives late. Only the agent knows whether the first dispatch ran.
func TestResendAfterEntryFailure(t *testing.T) {
	h := newHarness(t, 1)
	a := h.startAgent()
	client := h.entries[0].agents.client(a.Address())
	incarnation := a.Incarnation()
	dispatch := func(id string) *apiv1.DispatchResponse {
		resp, err := client.Dispatch(context.Background(), &apiv1.DispatchRequest{
			RequestId: "dead-" + id, Attempt: 1, Service: "bookings", Target: "t1",
			AgentIncarnation: incarnation, RemainingMs: 2000, ConfigurationVersion: 1,
			Request: &apiv1.HttpRequest{Method: "POST", Uri: "/bookings/pay", Body: []byte("5"),
				Headers: []*apiv1.Header{{Name: "Test-Id", Values: []string{id}}}},
		})
		if err != nil {
			t.Error(err)
		}
		return resp
	}
	for _, c := range []struct {
		name        string
		incarnation uint64
		before      func(id string)
		outcome     string
		runs        int
		// late is the outcome of the failed entry's dispatch when it arrives late: a refusal,
		// or the response that the agent stored.
		late apiv1.Outcome
	}{
		{"before-dispatch", a.Incarnation(), func(string) {}, "answered", 1, apiv1.Outcome_OUTCOME_NOT_RUN},
		{"after-dispatch", a.Incarnation(), func(id string) { dispatch(id) }, "answered", 1, apiv1.Outcome_OUTCOME_ANSWERED},
		{"agent-restarted", a.Incarnation() - 1, func(string) {}, "unknown", 0, apiv1.Outcome_OUTCOME_NOT_RUN},
	} {
		t.Run(c.name, func(t *testing.T) {
			id := c.name
			incarnation = c.incarnation
			claim := &apiv1.Claim{
				Service: "bookings", Key: id, RequestId: "dead-" + id, Entry: "entry-dead", Agent: "host-1",
				AgentIncarnation: c.incarnation, Attempt: 1, WindowMs: 3600_000,
				RequestDigest: requestDigest(&apiv1.HttpRequest{Method: "POST", Uri: "/bookings/pay", Body: []byte("5")}),
			}
			res, err := h.replica.Propose(h.ctx, &apiv1.Command{TimeMs: time.Now().UnixMilli(), Body: &apiv1.Command_Claim{Claim: claim}})
			if err != nil || !res.GetClaim().GetGranted() {
				t.Fatal(res, err)
			}
			c.before(id)
			w := h.call(h.entries[0], http.MethodPost, "/bookings/pay", "5", keyed(id, id))
			if got := w.Header().Get(HeaderOutcome); got != c.outcome {
				t.Fatalf("resend got %s: %s", got, w.Body)
			}
			if late := dispatch(id); late.GetOutcome() != c.late {
				t.Errorf("late dispatch got %v", late)
			}
			if n := h.runs(id); n != c.runs {
				t.Errorf("ran %d times", n)
			}
		})
	}
}

// A caller must not get the response to another request, and a resend must not run again long after
// the first request. A key is used for another body, or was created before the retention window of
// keys; this guards against comparing only the key, or not its time.
func TestInvalidIdempotencyKeysAreRejected(t *testing.T) {
	h := newHarness(t, 1)
	h.startAgent()
	if w := h.call(h.entries[0], http.MethodPost, "/bookings/pay", "5", keyed("first", "k")); w.Code != http.StatusOK {
		t.Fatal(w.Code, w.Body)
	}
	old := keyed("old", "k2")
	old[HeaderKeyTimeMs] = "1000"
	for _, c := range []struct {
		id, body string
		headers  map[string]string
		status   int
		reason   string
	}{
		{"other-body", "6", keyed("other-body", "k"), http.StatusUnprocessableEntity, "key-reused"},
		{"old", "5", old, http.StatusConflict, "key-expired"},
		{"long-key", "5", keyed("long-key", strings.Repeat("k", maxKeyLength+1)), http.StatusBadRequest, "bad-request"},
	} {
		w := h.call(h.entries[0], http.MethodPost, "/bookings/pay", c.body, c.headers)
		if w.Code != c.status || w.Header().Get(HeaderReason) != c.reason || w.Header().Get(HeaderOutcome) != "not-run" || h.runs(c.id) != 0 {
			t.Errorf("%s: %d %v, ran %d: %s", c.id, w.Code, w.Header(), h.runs(c.id), w.Body)
		}
	}
}

// A trader must not get "unknown" for a charge during the whole lifetime of the key although the
// agent has the receipt. The entry loses the agent during a request and answers "unknown"; the agent
// becomes reachable again and the caller resends. This guards against storing "unknown" as the final
// outcome of the key.
func TestResendResolvesUnknownOutcome(t *testing.T) {
	h := newHarness(t, 1)
	f := &faultyAgent{fault: func(*apiv1.DispatchRequest, *apiv1.DispatchResponse) { panic(http.ErrAbortHandler) }}
	h.announceAgent(apiv1.NewAgentServer(f))
	resend := func() *httptest.ResponseRecorder {
		return h.call(h.entries[0], http.MethodPost, "/bookings/pay", "5", keyed("charge", "k"))
	}
	if w := resend(); w.Header().Get(HeaderOutcome) != "unknown" {
		t.Fatal(w.Code, w.Body)
	}
	h.entries[0].background.Wait() // everything that will be stored is stored now
	f.revoke.Store(&apiv1.RevokeResponse{Outcome: apiv1.Outcome_OUTCOME_ANSWERED, Response: completeAnswer("receipt")})
	if w := resend(); w.Header().Get(HeaderOutcome) != "answered" || w.Body.String() != "receipt" {
		t.Error(w.Code, w.Body)
	}
	if n := f.dispatches.Load(); n != 1 {
		t.Errorf("the charge was dispatched %d times", n)
	}
}

// unresponsiveGroup is a control group without a leader: claims get no response from it. It records
// how long each claim was allowed to wait.
type unresponsiveGroup struct {
	control.Service
	mu    sync.Mutex
	waits []time.Duration
}

// unbounded is the wait of a claim whose context has no deadline.
const unbounded = time.Duration(math.MaxInt64)

func (s *unresponsiveGroup) Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	if cmd.GetClaim() == nil {
		return s.Service.Propose(ctx, cmd)
	}
	wait := unbounded
	if deadline, ok := ctx.Deadline(); ok {
		wait = time.Until(deadline)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waits = append(s.waits, wait)
	return nil, &control.UnknownError{Cause: "no response"}
}

// A caller with an idempotency key must get an answer by its deadline. The control group has no
// leader for a while, for instance because its hosts are short of processor time, and the claim of
// the key waits for one; this guards against a wait that ends with the control group's own timeout,
// restarted at each claim, seconds after the caller's deadline.
func TestClaimEndsByCallerDeadline(t *testing.T) {
	group := &unresponsiveGroup{}
	h := newHarnessWith(t, 1, func(c control.Service) control.Service {
		group.Service = c
		return group
	})
	h.startAgent()
	for id, c := range map[string]struct{ timeout, longest time.Duration }{
		"hasty":   {200 * time.Millisecond, 200 * time.Millisecond},
		"patient": {maxTimeout, claimTimeout},
	} {
		t.Run(id, func(t *testing.T) {
			group.waits = nil
			headers := keyed(id, id)
			headers[HeaderTimeoutMs] = fmt.Sprint(c.timeout.Milliseconds())
			w := h.call(h.entries[0], http.MethodPost, "/bookings/pay", "5", headers)
			if got := w.Header().Get(HeaderOutcome); got != "not-run" || w.Header().Get("Retry-After") == "" {
				t.Errorf("the caller got %s, Retry-After %q: %s", got, w.Header().Get("Retry-After"), w.Body)
			}
			if n := h.runs(id); n != 0 {
				t.Errorf("a charge that was reported as not run ran %d times", n)
			}
			if len(group.waits) == 0 {
				t.Fatal("no claim was made")
			}
			for _, wait := range group.waits {
				if wait > c.longest {
					t.Errorf("a claim may wait for %v, want at most %v", wait, c.longest)
				}
			}
		})
	}
}

// failingGroup answers the first claim and is unresponsive from then on.
type failingGroup struct {
	unresponsiveGroup
	claims int
}

func (f *failingGroup) Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	if cmd.GetClaim() != nil {
		f.claims++
		if f.claims == 1 {
			return f.Service.Propose(ctx, cmd)
		}
	}
	return f.unresponsiveGroup.Propose(ctx, cmd)
}

// A trader that gets "not run" for a charge may book it again with a new key, and must not be
// charged twice. The response to the charge is lost while the charge still runs, and the caller
// resends it with its key; the entry finds that the first request holds the key, and the control
// group loses its leader before the entry checks again. This guards against answering "not run" for every
// failed claim, also after another request was found to hold the key.
func TestClaimSeenInProgressIsNotReportedNotRun(t *testing.T) {
	group := &failingGroup{}
	h := newHarnessWith(t, 1, func(c control.Service) control.Service {
		group.Service = c
		return group
	})
	h.startAgent()
	first := &apiv1.Claim{
		Service: "bookings", Key: "k", RequestId: "first", Entry: h.entries[0].settings.Name, Agent: "host-1",
		Attempt: 1, WindowMs: 3600_000,
		RequestDigest: requestDigest(&apiv1.HttpRequest{Method: "POST", Uri: "/bookings/pay", Body: []byte("5")}),
	}
	res, err := h.replica.Propose(h.ctx, &apiv1.Command{TimeMs: time.Now().UnixMilli(), Body: &apiv1.Command_Claim{Claim: first}})
	if err != nil || !res.GetClaim().GetGranted() {
		t.Fatal(res, err)
	}
	w := h.call(h.entries[0], http.MethodPost, "/bookings/pay", "5", keyed("charge", "k"))
	if got := w.Header().Get(HeaderOutcome); got != "unknown" || w.Header().Get("Retry-After") == "" {
		t.Errorf("the resend got %s, Retry-After %q: %s", got, w.Header().Get("Retry-After"), w.Body)
	}
	if group.claims != 2 {
		t.Errorf("%d claims were made, want 2", group.claims)
	}
}

// slowGroup grants a claim, but responds only after the caller's deadline.
type slowGroup struct {
	control.Service
	timeout time.Duration
}

func (s slowGroup) Propose(ctx context.Context, cmd *apiv1.Command) (*apiv1.Result, error) {
	res, err := s.Service.Propose(ctx, cmd)
	if cmd.GetClaim() != nil {
		time.Sleep(s.timeout)
	}
	return res, err
}

// A trader must not get "unknown" for a charge that was never sent to a target. The claim of the key
// is granted, and the entry is paused until the caller's deadline has passed; this guards against
// treating a dispatch that expired before it was sent as one whose response was lost.
func TestClaimGrantedAfterDeadlineIsNotRun(t *testing.T) {
	const timeout = 100 * time.Millisecond
	h := newHarnessWith(t, 1, func(c control.Service) control.Service { return slowGroup{c, timeout} })
	f := &faultyAgent{fault: func(*apiv1.DispatchRequest, *apiv1.DispatchResponse) {}}
	h.announceAgent(apiv1.NewAgentServer(f))
	headers := keyed("charge", "k")
	headers[HeaderTimeoutMs] = fmt.Sprint(timeout.Milliseconds())
	w := h.call(h.entries[0], http.MethodPost, "/bookings/pay", "5", headers)
	if got := w.Header().Get(HeaderOutcome); got != "not-run" {
		t.Errorf("the caller got %s: %s", got, w.Body)
	}
	if n := f.dispatches.Load(); n != 0 {
		t.Errorf("the charge was dispatched %d times", n)
	}
	h.entries[0].background.Wait() // everything that will be stored is stored now
	w = h.call(h.entries[0], http.MethodPost, "/bookings/pay", "5", keyed("charge", "k"))
	if got := w.Header().Get(HeaderOutcome); got != "answered" || f.dispatches.Load() != 1 {
		t.Errorf("the resend got %s after %d dispatches: %s", got, f.dispatches.Load(), w.Body)
	}
}
