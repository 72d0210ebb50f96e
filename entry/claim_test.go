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

func keyed(id, key string) map[string]string {
	return map[string]string{"Test-Id": id, HeaderIdempotencyKey: key}
}

// Symptom: a trader is charged twice. Sequence: the answer to a charge is late or
// lost, so the caller sends it again, with its key, to whichever entry it gets,
// also while the first is running. Cause: each entry ran what reached it.
func TestResendsOfOneKeyRunOnce(t *testing.T) {
	g := newHarness(t, 2)
	g.startAgent()
	rng := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	g.setBeforeAnswer(func(w http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		fate := rng.IntN(4)
		mu.Unlock()
		if fate == 0 {
			panic(http.ErrAbortHandler) // the charge is made and the answer lost
		}
		time.Sleep(time.Duration(fate) * 10 * time.Millisecond)
		return true
	})
	for round := range 40 {
		id := fmt.Sprint("charge-", round)
		bodies := make([]string, 6)
		var wg sync.WaitGroup
		for i := range bodies {
			wg.Go(func() {
				w := g.call(g.entries[i%2], http.MethodPost, "/bookings/pay", "5 pounds", keyed(id, id))
				if w.Header().Get(HeaderOutcome) == "answered" {
					bodies[i] = w.Body.String()
				}
			})
		}
		wg.Wait()
		if n := g.runs(id); n != 1 {
			t.Fatalf("%s ran %d times", id, n)
		}
		for _, b := range bodies {
			if b != "" && b != id+" run 1 of 5 pounds" {
				t.Fatalf("%s got %q", id, b)
			}
		}
	}
}

// Symptom: a charge is lost or made twice after an entry host died. Sequence: the
// entry claims the key, dies before, during or after its dispatch, and the caller
// resends through another entry; then the dead entry's dispatch arrives after
// all. Cause: nobody but the agent can tell whether the first dispatch ran.
func TestResendAfterEntryFailure(t *testing.T) {
	g := newHarness(t, 1)
	a := g.startAgent()
	client := g.entries[0].agents.client(a.Address())
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
		// late is what the dead entry's dispatch gets when it comes after all: a
		// refusal, or the answer that the agent kept.
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
			res, err := g.replica.Propose(g.ctx, &apiv1.Command{TimeMs: time.Now().UnixMilli(), Body: &apiv1.Command_Claim{Claim: claim}})
			if err != nil || !res.GetClaim().GetGranted() {
				t.Fatal(res, err)
			}
			c.before(id)
			w := g.call(g.entries[0], http.MethodPost, "/bookings/pay", "5", keyed(id, id))
			if got := w.Header().Get(HeaderOutcome); got != c.outcome {
				t.Fatalf("resend got %s: %s", got, w.Body)
			}
			if late := dispatch(id); late.GetOutcome() != c.late {
				t.Errorf("late dispatch got %v", late)
			}
			if n := g.runs(id); n != c.runs {
				t.Errorf("ran %d times", n)
			}
		})
	}
}

// Symptom: a caller gets the answer to another request, or a resend runs again long
// after the first. Sequence: a key is used for another body, or was made before the
// window for which keys are kept. Cause: the key alone is compared, or its time is not.
func TestInvalidIdempotencyKeysAreRejected(t *testing.T) {
	g := newHarness(t, 1)
	g.startAgent()
	if w := g.call(g.entries[0], http.MethodPost, "/bookings/pay", "5", keyed("first", "k")); w.Code != http.StatusOK {
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
		w := g.call(g.entries[0], http.MethodPost, "/bookings/pay", c.body, c.headers)
		if w.Code != c.status || w.Header().Get(HeaderReason) != c.reason || w.Header().Get(HeaderOutcome) != "not-run" || g.runs(c.id) != 0 {
			t.Errorf("%s: %d %v, ran %d: %s", c.id, w.Code, w.Header(), g.runs(c.id), w.Body)
		}
	}
}

// Symptom: a trader is told "unknown" of a charge for as long as the key lives,
// though the agent has its receipt. Sequence: the entry loses the agent in the
// middle of a request and answers "unknown"; the agent comes back within reach and
// the caller resends. Cause: "unknown" was stored as the final outcome of the key.
func TestResendResolvesUnknownOutcome(t *testing.T) {
	g := newHarness(t, 1)
	f := &faultyAgent{fault: func(*apiv1.DispatchRequest, *apiv1.DispatchResponse) { panic(http.ErrAbortHandler) }}
	g.announceAgent(apiv1.NewAgentServer(f))
	resend := func() *httptest.ResponseRecorder {
		return g.call(g.entries[0], http.MethodPost, "/bookings/pay", "5", keyed("charge", "k"))
	}
	if w := resend(); w.Header().Get(HeaderOutcome) != "unknown" {
		t.Fatal(w.Code, w.Body)
	}
	g.entries[0].background.Wait() // whatever is stored is stored now
	f.revoke.Store(&apiv1.RevokeResponse{Outcome: apiv1.Outcome_OUTCOME_ANSWERED, Response: completeAnswer("receipt")})
	if w := resend(); w.Header().Get(HeaderOutcome) != "answered" || w.Body.String() != "receipt" {
		t.Error(w.Code, w.Body)
	}
	if n := f.dispatches.Load(); n != 1 {
		t.Errorf("the charge was dispatched %d times", n)
	}
}

// unresponsiveGroup is a control group without a leader: claims get no answer from it. It
// keeps how long each claim was allowed to wait.
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
	return nil, &control.UnknownError{Cause: "nobody answers"}
}

// Symptom: a caller with an idempotency key gives up without any answer, seconds past
// its deadline. Sequence: the control group has no leader for a while, as when its hosts
// are short of processor time; the claim of the key waits for one. Cause: the wait ended
// with the control group's own timeout, counted anew at each claim, and not with the
// caller's deadline.
func TestClaimEndsByCallerDeadline(t *testing.T) {
	group := &unresponsiveGroup{}
	g := newHarnessWith(t, 1, func(c control.Service) control.Service {
		group.Service = c
		return group
	})
	g.startAgent()
	for id, c := range map[string]struct{ timeout, longest time.Duration }{
		"hasty":   {200 * time.Millisecond, 200 * time.Millisecond},
		"patient": {maxTimeout, claimTimeout},
	} {
		t.Run(id, func(t *testing.T) {
			group.waits = nil
			headers := keyed(id, id)
			headers[HeaderTimeoutMs] = fmt.Sprint(c.timeout.Milliseconds())
			w := g.call(g.entries[0], http.MethodPost, "/bookings/pay", "5", headers)
			if got := w.Header().Get(HeaderOutcome); got != "not-run" || w.Header().Get("Retry-After") == "" {
				t.Errorf("the caller got %s, Retry-After %q: %s", got, w.Header().Get("Retry-After"), w.Body)
			}
			if n := g.runs(id); n != 0 {
				t.Errorf("a charge that was said not to have run ran %d times", n)
			}
			if len(group.waits) == 0 {
				t.Fatal("no claim was made")
			}
			for _, wait := range group.waits {
				if wait > c.longest {
					t.Errorf("a claim may wait for %v, longer than %v", wait, c.longest)
				}
			}
		})
	}
}

// failingGroup answers the first claim and is a silent group from then on.
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

// Symptom: a trader is told that a charge has not run, books it again under a new key, and
// is charged twice. Sequence: the answer to the charge is lost while it still runs; the
// caller resends it with its key; the entry sees the first one hold the key, and the
// control group loses its leader before the entry looks again. Cause: every claim that
// failed was answered "not run", also after another request was seen to hold the key.
func TestClaimSeenInProgressIsNotReportedNotRun(t *testing.T) {
	group := &failingGroup{}
	g := newHarnessWith(t, 1, func(c control.Service) control.Service {
		group.Service = c
		return group
	})
	g.startAgent()
	first := &apiv1.Claim{
		Service: "bookings", Key: "k", RequestId: "first", Entry: g.entries[0].settings.Name, Agent: "host-1",
		Attempt: 1, WindowMs: 3600_000,
		RequestDigest: requestDigest(&apiv1.HttpRequest{Method: "POST", Uri: "/bookings/pay", Body: []byte("5")}),
	}
	res, err := g.replica.Propose(g.ctx, &apiv1.Command{TimeMs: time.Now().UnixMilli(), Body: &apiv1.Command_Claim{Claim: first}})
	if err != nil || !res.GetClaim().GetGranted() {
		t.Fatal(res, err)
	}
	w := g.call(g.entries[0], http.MethodPost, "/bookings/pay", "5", keyed("charge", "k"))
	if got := w.Header().Get(HeaderOutcome); got != "unknown" || w.Header().Get("Retry-After") == "" {
		t.Errorf("the resend got %s, Retry-After %q: %s", got, w.Header().Get("Retry-After"), w.Body)
	}
	if group.claims != 2 {
		t.Errorf("%d claims were made, want 2", group.claims)
	}
}

// slowGroup grants a claim, and lets the caller's deadline pass before it says so.
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

// Symptom: a trader is told "unknown" of a charge that was never sent to any target.
// Sequence: the claim of the key is granted, and the entry stands still until the
// caller's deadline has passed. Cause: a dispatch whose time was over before it was sent
// counted as one whose answer was lost.
func TestClaimGrantedAfterDeadlineIsNotRun(t *testing.T) {
	const timeout = 100 * time.Millisecond
	g := newHarnessWith(t, 1, func(c control.Service) control.Service { return slowGroup{c, timeout} })
	f := &faultyAgent{fault: func(*apiv1.DispatchRequest, *apiv1.DispatchResponse) {}}
	g.announceAgent(apiv1.NewAgentServer(f))
	headers := keyed("charge", "k")
	headers[HeaderTimeoutMs] = fmt.Sprint(timeout.Milliseconds())
	w := g.call(g.entries[0], http.MethodPost, "/bookings/pay", "5", headers)
	if got := w.Header().Get(HeaderOutcome); got != "not-run" {
		t.Errorf("the caller got %s: %s", got, w.Body)
	}
	if n := f.dispatches.Load(); n != 0 {
		t.Errorf("the charge was dispatched %d times", n)
	}
	g.entries[0].background.Wait() // whatever is stored is stored now
	w = g.call(g.entries[0], http.MethodPost, "/bookings/pay", "5", keyed("charge", "k"))
	if got := w.Header().Get(HeaderOutcome); got != "answered" || f.dispatches.Load() != 1 {
		t.Errorf("the resend got %s after %d dispatches: %s", got, f.dispatches.Load(), w.Body)
	}
}
