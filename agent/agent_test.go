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

// TestDispatchEndToEnd checks that a target gets a request after it has announced itself, and
// none after it has withdrawn. It guards against faults between the parts of the agent, which
// the tests of each part can't detect.
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

// TestShutdownUnderLoad checks that a graceful shutdown neither interrupts a request nor
// reports one as not run although it ran. Requests arrive while the agent announces that it
// leaves, refuses work and stops, and the replies are compared with the requests that the
// target received. It fails if the servers close before the last reply is written, or before
// the gate refuses.
func TestShutdownUnderLoad(t *testing.T) {
	t.Parallel()
	var ran sync.Map
	var leaveReceived atomic.Bool
	e := &fakeEntry{respond: func(req *apiv1.HeartbeatRequest) *apiv1.HeartbeatResponse {
		if req.GetAgent().GetLeaving() {
			time.Sleep(100 * time.Millisecond) // Long enough to detect that the agent refuses too early.
			leaveReceived.Store(true)
		}
		return &apiv1.HeartbeatResponse{Configuration: testConfiguration, ConfigurationVersion: 1}
	}}
	r := newHarness(t, e, nil, func(w http.ResponseWriter, req *http.Request) {
		ran.Store(req.Header.Get("Cairnlift-Request-Id"), true)
		time.Sleep(20 * time.Millisecond)
		echoID(w, req)
	})
	var responses atomic.Int64
	caller := func(n int) {
		for i := 0; ; i++ {
			id := fmt.Sprintf("%d-%d", n, i)
			resp, err := r.dispatch(t.Context(), id, "POST")
			if err != nil {
				t.Errorf("%s was interrupted: %v", id, err)
				return
			}
			if _, hasRun := ran.Load(id); hasRun != (resp.Outcome == apiv1.Outcome_OUTCOME_ANSWERED) {
				t.Errorf("%s ran: %v, reported as %v %v", id, hasRun, resp.Outcome, resp.Reason)
			}
			if resp.Reason == apiv1.Reason_REASON_SHUTTING_DOWN {
				if !leaveReceived.Load() {
					t.Error("refused before the entry knew that the agent leaves")
				}
				return // An entry would try another target.
			}
			if responses.Add(1) == 50 {
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

// TestShutdownBound checks that a request that runs longer than the shutdown bound does not
// prevent the agent from stopping. The request is interrupted and counted.
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

// TestEntryDisconnects checks what happens to a running request whose entry disconnects: a
// request with a safe method is canceled, any other finishes and its response can be queried.
// If the attempt ended with the connection of its dispatch, a retry under the same key would
// find no response although the request ran.
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
	disconnectDuring := func(id, method string) {
		ctx, cancel := context.WithCancel(t.Context())
		go func() { <-arrived; cancel() }()
		if resp, err := r.dispatch(ctx, id, method); err == nil {
			t.Errorf("canceled dispatch returned %v", resp)
		}
	}
	revoke := r.revoke
	disconnectDuring("get", "GET")
	r.eventually("GET is canceled", func() bool { return !revoke("get").Running })
	disconnectDuring("post", "POST")
	if !revoke("post").Running {
		t.Error("POST was canceled")
	}
	close(release)
	r.eventually("POST finishes", func() bool { return !revoke("post").Running })
	response := revoke("post").Response
	if string(response.GetBody()) != "/pitch?n=1 post" || response.GetBodyChecksum() != xxhash.Sum64(response.GetBody()) {
		t.Errorf("response to POST: %v", response)
	}
	if resp := revoke("never"); resp.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("unknown attempt: %v", resp)
	}
	if resp, err := r.dispatch(t.Context(), "never", "GET"); err != nil || resp.Reason != apiv1.Reason_REASON_REVOKED {
		t.Errorf("late dispatch: %v %v", resp, err)
	}
}

// TestWaitingDispatchIsAnsweredAtOnce checks that a waiting dispatch gets its decision as soon
// as it is made. All four slots are occupied and one more request waits. Then a slot becomes
// free, its time expires, it is revoked, its entry disconnects, the target leaves, or the agent
// stops. If the decision is not delivered to the dispatch, the caller is refused only when a
// slot becomes free or never, or the slot stays occupied.
func TestWaitingDispatchIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	list := func(r *harness) string { _, text := r.callLocal("GET", "", ""); return text }
	tests := map[string]struct {
		remaining time.Duration
		end       func(r *harness, release chan struct{}, cancel func())
		reason    apiv1.Reason
	}{
		"slot":    {time.Minute, func(_ *harness, release chan struct{}, _ func()) { release <- struct{}{} }, apiv1.Reason_REASON_UNSPECIFIED},
		"timeout": {time.Second, func(*harness, chan struct{}, func()) {}, apiv1.Reason_REASON_SLOTS_FULL},
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
			r.eventually("slots are occupied", func() bool { return strings.Contains(list(r), `"in_flight":4`) })
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			replies := make(chan *apiv1.DispatchResponse, 1)
			go func() {
				resp, err := r.dispatchWithin(ctx, "w", "POST", test.remaining)
				if err != nil {
					r.eventually("wait ends", func() bool { return strings.Contains(list(r), `"in_flight":4`) })
					result := r.revoke("w")
					resp = &apiv1.DispatchResponse{Outcome: result.Outcome, Reason: result.Reason, RetryAfterMs: 1}
				}
				replies <- resp
			}()
			r.eventually("one request waits", func() bool { return len(replies) > 0 || strings.Contains(list(r), `"in_flight":5`) })
			test.end(r, release, cancel)
			if test.reason == apiv1.Reason_REASON_UNSPECIFIED {
				r.eventually("the waiting request runs", func() bool { return strings.Contains(list(r), `"in_flight":4`) })
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

// TestInvalidAnnouncements checks that an invalid announcement is refused with an error that
// names the fault, and changes nothing. Otherwise requests are sent to a target that is
// unreachable or has no slots.
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
		t.Errorf("withdrawal returns %d, a renewal after it %d", leaves, returns)
	}
}

// TestHeartbeatFailover checks heartbeats while the preferred entry is unreachable and the next
// one loses the announcement once and returns an older configuration. If the agent ignored the
// request to send its announcement again, a restarted entry would never learn of its targets;
// if it applied the last configuration received instead of the one with the highest version,
// its configuration would revert.
func TestHeartbeatFailover(t *testing.T) {
	t.Parallel()
	loseAnnouncement := true
	versions := []uint64{2, 1}
	e := &fakeEntry{unreachable: []settings.Peer{{Name: "dead", Address: "127.0.0.1:1"}}}
	// One character per heartbeat: W with the whole announcement, - without.
	sequence := ""
	e.respond = func(req *apiv1.HeartbeatRequest) *apiv1.HeartbeatResponse {
		resp := &apiv1.HeartbeatResponse{ResendAgent: req.Agent == nil && loseAnnouncement}
		loseAnnouncement = loseAnnouncement && !resp.ResendAgent
		sequence += map[bool]string{true: "-", false: "W"}[req.Agent == nil]
		if len(sequence) > 2 && req.ConfigurationVersion != 2 {
			t.Errorf("heartbeat %d has version %d", len(sequence), req.ConfigurationVersion)
		}
		if len(versions) > 0 {
			resp.Configuration = &apiv1.Configuration{Version: versions[0]}
			resp.ConfigurationVersion, versions = versions[0], versions[1:]
		}
		return resp
	}
	r := newHarness(t, e, nil, echoID)
	r.eventually("whole announcement sent again after the entry lost it, and then omitted", func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return strings.Contains(sequence, "-W-")
	})
}

// TestSlowEntry checks that the agent gets a configuration from an entry that takes 600 ms for
// each response, as on a host with too little processor time. With a fixed heartbeat timeout of
// 250 ms, however many heartbeats have failed, the agent stays unready while its entries are
// slow, and callers are refused although its targets are healthy.
func TestSlowEntry(t *testing.T) {
	t.Parallel()
	r := newHarness(t, &fakeEntry{responseDelay: 600 * time.Millisecond}, nil, nil)
	r.eventually("the configuration in a late response is in force", func() bool {
		return r.entry.received(func(b *apiv1.HeartbeatRequest) bool { return b.ConfigurationVersion == 1 })
	})
}
