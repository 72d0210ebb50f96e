package agent_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/settings"
)

// Symptom: an agent that has started answers no dispatch, or still runs them for a
// target that was withdrawn. Sequence: a target announces itself, is sent a request,
// is withdrawn, and is sent another. Cause: one of the parts in between, which the
// tests of each part can't show, does not pass on what it got.
func TestDispatchEndToEnd(t *testing.T) {
	t.Parallel()
	r := newHarness(t, &fakeEntry{}, nil, echoID)
	r.awaitSlots()
	resp, err := r.dispatch(t.Context(), "a", "GET")
	if err != nil || string(resp.Response.GetBody()) != "/pitch?n=1 a" || resp.Load.GetSlots() != 4 {
		t.Fatalf("unexpected reply: %v %v", resp, err)
	}
	if status, text := r.callLocal("GET", "../../readyz", ""); status != http.StatusOK {
		t.Errorf("not ready: %d %s", status, text)
	}
	r.callLocal("DELETE", "t1", "")
	if resp, err := r.dispatch(t.Context(), "b", "GET"); err != nil || resp.Reason != apiv1.Reason_REASON_TARGET_LEAVING {
		t.Errorf("leaving target: %v %v", resp, err)
	}
}

// Symptom: a request is cut off, or told "not run" although it ran, when an agent is
// stopped on purpose.
// Sequence: requests keep coming while the agent announces that it leaves, refuses, and
// stops. The target's own record is compared with what the entry was told.
// Cause: the servers close before the last reply is written, or before the gate refuses.
func TestShutdownUnderLoad(t *testing.T) {
	t.Parallel()
	var ran sync.Map
	var told atomic.Bool
	e := &fakeEntry{respond: func(req *apiv1.HeartbeatRequest) *apiv1.HeartbeatResponse {
		if req.GetAgent().GetLeaving() {
			time.Sleep(100 * time.Millisecond) // Long enough to be caught refusing too early.
			told.Store(true)
		}
		return &apiv1.HeartbeatResponse{Configuration: testConfiguration, ConfigurationVersion: 1}
	}}
	r := newHarness(t, e, nil, func(w http.ResponseWriter, req *http.Request) {
		ran.Store(req.Header.Get("Cairnlift-Request-Id"), true)
		time.Sleep(20 * time.Millisecond)
		echoID(w, req)
	})
	var answers atomic.Int64
	caller := func(n int) {
		for i := 0; ; i++ {
			id := fmt.Sprintf("%d-%d", n, i)
			resp, err := r.dispatch(t.Context(), id, "POST")
			if err != nil {
				t.Errorf("%s was cut off: %v", id, err)
				return
			}
			if _, hasRun := ran.Load(id); hasRun != (resp.Outcome == apiv1.Outcome_OUTCOME_ANSWERED) {
				t.Errorf("%s ran: %v, told %v %v", id, hasRun, resp.Outcome, resp.Reason)
			}
			if resp.Reason == apiv1.Reason_REASON_SHUTTING_DOWN {
				if !told.Load() {
					t.Error("refused before the entry could know")
				}
				return // An entry goes elsewhere.
			}
			if answers.Add(1) == 50 {
				r.stop()
			}
		}
	}
	var wg conc.WaitGroup
	for n := range 4 {
		wg.Go(func() { caller(n) })
	}
	wg.Wait()
	<-r.done
	if r.err != nil {
		t.Fatalf("Run returned %v", r.err)
	}
}

// Symptom: an agent that was told to stop never does. Sequence: a request runs longer
// than the shutdown bound. Cause: a wait for what is in progress that has no end. The
// request is cut off and counted.
func TestShutdownBound(t *testing.T) {
	t.Parallel()
	arrived, release := make(chan struct{}), make(chan struct{})
	r := newHarness(t, &fakeEntry{shutdownBound: 200 * time.Millisecond}, nil, func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	})
	go func() { <-arrived; r.stop() }()
	resp, err := r.dispatch(t.Context(), "a", "POST")
	<-r.done
	close(release)
	cut := metrics.GetOrRegisterCounter("agent.shutdown.cut_requests", r.metrics).Count()
	if err == nil || r.err != nil || cut != 1 {
		t.Fatalf("cut %d, reply %v %v, Run returned %v", cut, resp, err, r.err)
	}
}

// Symptom: a resend under the same key finds no answer, although the request ran.
// Sequence: the entry that sent a request dies while the target works on it. A
// request with a safe method is given up; any other finishes and its answer can be
// asked for. Cause: the attempt ends with the connection that its dispatch came on.
func TestEntryDisconnects(t *testing.T) {
	t.Parallel()
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	r := newHarness(t, &fakeEntry{}, nil, func(w http.ResponseWriter, req *http.Request) {
		arrived <- struct{}{}
		select {
		case <-release:
		case <-req.Context().Done():
		}
		echoID(w, req)
	})
	leave := func(id, method string) {
		ctx, cancel := context.WithCancel(t.Context())
		go func() { <-arrived; cancel() }()
		if resp, err := r.dispatch(ctx, id, method); err == nil {
			t.Errorf("canceled dispatch answered %v", resp)
		}
	}
	revoke := r.revoke
	leave("get", "GET")
	r.eventually("GET is given up", func() bool { return !revoke("get").Running })
	leave("post", "POST")
	if !revoke("post").Running {
		t.Error("POST was given up")
	}
	close(release)
	r.eventually("POST finishes", func() bool { return !revoke("post").Running })
	answer := revoke("post").Response
	if string(answer.GetBody()) != "/pitch?n=1 post" || answer.GetBodyChecksum() != xxhash.Sum64(answer.GetBody()) {
		t.Errorf("answer of POST: %v", answer)
	}
	if resp := revoke("never"); resp.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("unknown attempt: %v", resp)
	}
	if resp, err := r.dispatch(t.Context(), "never", "GET"); err != nil || resp.Reason != apiv1.Reason_REASON_REVOKED {
		t.Errorf("late dispatch: %v %v", resp, err)
	}
}

// Symptom: a caller hears of its refusal only when a slot comes free, or never, or
// its slot stays taken.
// Sequence: all four slots are taken and one more request waits. Meanwhile a slot
// comes free, its time runs out, it is revoked, its entry goes away, the target
// leaves, or the agent stops. Cause: the decision is not handed to the dispatch
// that waits for it.
func TestWaitingDispatchIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	list := func(r *harness) string { _, text := r.callLocal("GET", "", ""); return text }
	tests := map[string]struct {
		remaining time.Duration
		end       func(r *harness, release chan struct{}, cancel func())
		reason    apiv1.Reason
	}{
		"slot":    {time.Minute, func(_ *harness, release chan struct{}, _ func()) { release <- struct{}{} }, apiv1.Reason_REASON_UNSPECIFIED},
		"lapse":   {time.Second, func(*harness, chan struct{}, func()) {}, apiv1.Reason_REASON_SLOTS_FULL},
		"revoke":  {time.Minute, func(r *harness, _ chan struct{}, _ func()) { r.revoke("w") }, apiv1.Reason_REASON_REVOKED},
		"cancel":  {time.Minute, func(_ *harness, _ chan struct{}, cancel func()) { cancel() }, apiv1.Reason_REASON_CANCELED},
		"leaving": {time.Minute, func(r *harness, _ chan struct{}, _ func()) { r.callLocal("DELETE", "t1", "") }, apiv1.Reason_REASON_TARGET_LEAVING},
		"stop":    {time.Minute, func(r *harness, _ chan struct{}, _ func()) { r.stop() }, apiv1.Reason_REASON_SHUTTING_DOWN},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			r := newHarness(t, &fakeEntry{}, nil, func(w http.ResponseWriter, req *http.Request) { <-release; echoID(w, req) })
			var running conc.WaitGroup
			for i := range 4 {
				running.Go(func() { _, _ = r.dispatch(context.Background(), fmt.Sprint("run-", i), "POST") })
			}
			r.eventually("slots are taken", func() bool { return strings.Contains(list(r), `"in_flight":4`) })
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			replies := make(chan *apiv1.DispatchResponse, 1)
			go func() {
				resp, err := r.dispatchWithin(ctx, "w", "POST", test.remaining)
				if err != nil {
					r.eventually("wait ends", func() bool { return strings.Contains(list(r), `"in_flight":4`) })
					fate := r.revoke("w")
					resp = &apiv1.DispatchResponse{Outcome: fate.Outcome, Reason: fate.Reason, RetryAfterMs: 1}
				}
				replies <- resp
			}()
			r.eventually("one waits", func() bool { return len(replies) > 0 || strings.Contains(list(r), `"in_flight":5`) })
			test.end(r, release, cancel)
			if test.reason == apiv1.Reason_REASON_UNSPECIFIED {
				r.eventually("the one that waited runs", func() bool { return strings.Contains(list(r), `"in_flight":4`) })
				close(release)
			}
			resp := <-replies
			ran := resp.Outcome == apiv1.Outcome_OUTCOME_ANSWERED
			if resp.Reason != test.reason || ran != (test.reason == apiv1.Reason_REASON_UNSPECIFIED) || !ran && resp.RetryAfterMs == 0 {
				t.Errorf("unexpected reply: %v", resp)
			}
			if !ran {
				close(release)
			}
			running.Wait()
		})
	}
}

// Symptom: requests go to a target that nobody can reach, or that has no slots.
// Sequence: a target announces itself with a mistake. Cause: the mistake is taken over
// or passed over; it has to be refused with an error that names it, and change nothing.
func TestInvalidAnnouncements(t *testing.T) {
	t.Parallel()
	r := newHarness(t, &fakeEntry{}, nil, echoID)
	before := r.awaitSlots()
	good := `{"service":"bookings","address":"127.0.0.1:9","ttl_ms":1000}`
	tests := []struct{ name, body, text string }{
		{"x", `{`, "can't be read"},
		{"x", strings.Replace(good, "service", "servise", 1), "servise"},
		{"x", good + "{}", "something else"},
		{"x", strings.Replace(good, "127.0.0.1:9", "localhost:9", 1), "IP number"},
		{"x", strings.Replace(good, ":9", ":0", 1), "port"},
		{"x", strings.Replace(good, "1000", "1", 1), "ttl_ms"},
		{"x", strings.Replace(good, "bookings", "", 1), "service"},
		{"x", `{"slots":-1,` + good[1:], "slots"},
		{"%20", good, "name"},
		{"x", `{"service":"` + strings.Repeat("s", 1<<20) + `"}`, "too large"},
	}
	for _, test := range tests {
		if status, text := r.callLocal("PUT", test.name, test.body); status != 400 || !strings.Contains(text, test.text) {
			t.Errorf("%s %.80s: %d %s", test.name, test.body, status, text)
		}
	}
	if status, _ := r.callLocal("DELETE", "x", ""); status != http.StatusNotFound {
		t.Errorf("unknown target leaves: %d", status)
	}
	if _, after := r.callLocal("GET", "", ""); after != before {
		t.Errorf("targets changed from %s to %s", before, after)
	}
	leaves, _ := r.callLocal("DELETE", "t1", "")
	returns, _ := r.callLocal("PUT", "t1", good)
	if leaves != http.StatusOK || returns != http.StatusConflict {
		t.Errorf("leaving answers %d, a renewal that crosses it %d", leaves, returns)
	}
}

// Symptom: an entry that restarted never learns of a target, or an agent falls back to an
// older configuration.
// Sequence: the preferred entry is dead; the next one forgets the announcement once,
// and answers with an older configuration than the agent has.
// Cause: the request to send the announcement again is passed over, or the last
// configuration that came is taken in place of the one with the highest version.
func TestHeartbeatFailover(t *testing.T) {
	t.Parallel()
	forget := true
	versions := []uint64{2, 1}
	e := &fakeEntry{unreachable: []settings.Peer{{Name: "dead", Address: "127.0.0.1:1"}}}
	// One letter per heartbeat: W with the whole announcement, - without.
	shape := ""
	e.respond = func(req *apiv1.HeartbeatRequest) *apiv1.HeartbeatResponse {
		resp := &apiv1.HeartbeatResponse{ResendAgent: req.Agent == nil && forget}
		forget = forget && !resp.ResendAgent
		shape += map[bool]string{true: "-", false: "W"}[req.Agent == nil]
		if len(shape) > 2 && req.ConfigurationVersion != 2 {
			t.Errorf("heartbeat %d has version %d", len(shape), req.ConfigurationVersion)
		}
		if len(versions) > 0 {
			resp.Configuration = &apiv1.Configuration{Version: versions[0]}
			resp.ConfigurationVersion, versions = versions[0], versions[1:]
		}
		return resp
	}
	r := newHarness(t, e, nil, echoID)
	r.eventually("announced whole again after it was forgotten, and then not", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return strings.Contains(shape, "-W-")
	})
}

// Symptom: an agent reports itself unready for as long as its entries are slow, and callers
// are refused although its targets are fine.
// Sequence: the only entry takes 600 ms for each answer, as on a host short of processors.
// Cause: a timeout of a quarter of a second for every heartbeat, however many have failed.
func TestSlowEntry(t *testing.T) {
	t.Parallel()
	r := newHarness(t, &fakeEntry{responseDelay: 600 * time.Millisecond}, nil, nil)
	r.eventually("the configuration that a late answer brings is in force", func() bool {
		return r.entry.received(func(b *apiv1.HeartbeatRequest) bool { return b.ConfigurationVersion == 1 })
	})
}
