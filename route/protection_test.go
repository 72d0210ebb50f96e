package route

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Guards against the loss of a third of the targets during a fault of a dependency. Every target
// fails most requests. The fault is to eject targets for consecutive failures without comparing
// them with the others.
func TestSharedFaultIsNoReasonToEject(t *testing.T) {
	r := testRouter(20, Config{})
	for i := range 2000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		attempt(r, now, testRequest("c", true, now, time.Hour), failed, noReason, time.Millisecond)
	}
	if n := len(r.service("s").ejected); n > 1 {
		t.Errorf("%d of 20 targets ejected while all fail equally often", n)
	}
}

// Guards against a request that is sent to one target after another without end. Every attempt
// fails, or every one is refused for lack of slots. The fault is that such attempts are not
// counted.
func TestAttemptsPerRequestAreBounded(t *testing.T) {
	for _, c := range []struct {
		outcome apiv1.Outcome
		reason  apiv1.Reason
		most    int
	}{{failed, noReason, 4}, {notRun, slotsFull, 17}} {
		r := testRouter(30, Config{})
		req := testRequest("c", true, start, time.Hour)
		r.Admit(start, req)
		seen := map[string]bool{}
		attempts := 0
		for {
			id, ok := attempt(r, start, req, c.outcome, c.reason, time.Millisecond)
			if !ok || seen[id] {
				t.Fatalf("%s: attempt %d was sent to %q, already tried: %v", c.reason, attempts+1, id, req.Tried)
			}
			seen[id] = true
			attempts++
			if !r.Retry(start, req, c.outcome, c.reason).Allowed {
				break
			}
		}
		if attempts != c.most {
			t.Errorf("%s, %s: %d attempts, want %d", c.outcome, c.reason, attempts, c.most)
		}
	}
}

// Guards against entries and agents that are kept busy by refusals. No target has a free slot for a
// long time. The fault is to allow redirects without successes that pay for them.
func TestRedirectsStayWithinTheBudget(t *testing.T) {
	r := testRouter(30, Config{})
	redirects := 0
	for range 100 {
		req := testRequest("c", true, start, time.Hour)
		for range 5 {
			attempt(r, start, req, notRun, slotsFull, time.Millisecond)
			if r.Retry(start, req, notRun, slotsFull).Allowed {
				redirects++
			}
		}
	}
	if redirects != 100 {
		t.Errorf("%d redirects without a success, the budget had 100", redirects)
	}
}

// Guards against requests that wait for lost hosts. Half of all agents are unreachable, and the
// ejection time of each has elapsed. The fault is to send as many probes as there are ejected
// targets.
func TestProbesStayWithinTheBudget(t *testing.T) {
	r := testRouter(40, Config{})
	s := r.service("s")
	for i := range 20 {
		s.recordUnreachable(start, s.targets[testTarget(i).ID])
	}
	if len(s.ejected) != 20 {
		t.Fatalf("%d ejected, want 20", len(s.ejected))
	}
	probes := 0
	later := start.Add(time.Minute)
	for range 200 {
		if c, _ := r.Pick(later, testRequest("c", true, later, time.Hour)); s.targets[c.Target.ID].health.ejected {
			probes++
		}
	}
	if probes != probeBurst {
		t.Errorf("%d probes without a success, want %d", probes, probeBurst)
	}
}

// Guards against a target that never gets requests again after it was reported full once. Its last
// answer reports that all slots are in use, and only answers update the report.
func TestStaleLoadReportsExpire(t *testing.T) {
	r := testRouter(1, Config{})
	req := testRequest("c", true, start, time.Hour)
	r.Pick(start, req)
	r.RecordSent(start, req, testTarget(0).ID)
	r.RecordOutcome(start, AttemptResult{Request: req, Target: testTarget(0).ID, Outcome: answered, Load: &apiv1.Load{InFlight: 8, Slots: 8}})
	for after, want := range map[time.Duration]float64{500 * time.Millisecond: 1, 2 * time.Second: 0} {
		now := start.Add(after)
		s := r.service("s")
		s.targets[testTarget(0).ID].setOtherInFlight(start, 8)
		if c, _ := r.Pick(now, testRequest("c", true, now, time.Hour)); c.Load != want {
			t.Errorf("%v after the report, the estimated load is %v, want %v", after, c.Load, want)
		}
	}
}

// Guards against a bid that is recorded twice. The request takes longer than most. The fault is to
// hedge a request that is not idempotent.
func TestOnlyIdempotentRequestsAreHedged(t *testing.T) {
	r := testRouter(5, Config{})
	for range 100 {
		runRequest(r, start, "c", 10*time.Millisecond)
	}
	for _, idempotent := range []bool{true, false} {
		if _, ok := r.HedgeAfter(start, testRequest("c", idempotent, start, time.Hour)); ok != idempotent {
			t.Errorf("idempotent %v: hedged %v", idempotent, ok)
		}
	}
}

// Guards against the refusal of every dispatch to a host that restarted. The clock of the host was
// set back before the restart, so the new incarnation of its agent has a lower number. The fault
// was that the router considered the higher number to be newer. The directory decides which
// announcement is newer, and the router uses the one that it received last.
func TestLatestUpsertReplacesIncarnation(t *testing.T) {
	r := testRouter(1, Config{})
	for _, incarnation := range []uint64{3, 2, 5} {
		latest := testTarget(0)
		latest.AgentIncarnation, latest.Address = incarnation, fmt.Sprint("127.0.0.1:", incarnation)
		r.Upsert(start, latest)
		if c, _ := r.Pick(start, testRequest("c", true, start, time.Hour)); c.Target != latest {
			t.Errorf("picked %+v", c.Target)
		}
	}
}

// Guards against a service that refuses requests although none is in flight. A driver admits one
// request twice and releases it once, so it would stay counted against the limit forever.
func TestSecondAdmitPanics(t *testing.T) {
	r := testRouter(1, Config{})
	req := testRequest("c", true, start, time.Hour)
	r.Admit(start, req)
	defer func() {
		if recover() == nil {
			t.Error("the request was admitted a second time")
		}
	}()
	r.Admit(start, req)
}

// Guards against the refusal of callers while a host with free capacity is up. Three of four hosts
// are lost at once. No more than half of them may be ejected, so the first attempts of requests
// still reach lost hosts. The fault was that the following attempts used the retry budget, which
// the few successes could not refill.
func TestRequestsReachTheLastReachableHost(t *testing.T) {
	r := testRouter(4, Config{})
	now := start
	for i := range 400 {
		now = now.Add(10 * time.Millisecond)
		req := testRequest("c", false, now, time.Second)
		if a := r.Admit(now, req); !a.OK {
			t.Fatalf("request %d: %s", i, a.Text)
		}
		for {
			c, ok := r.Pick(now, req)
			if !ok {
				t.Fatalf("request %d: %s", i, c.Reason)
			}
			r.RecordSent(now, req, c.Target.ID)
			res := AttemptResult{Request: req, Target: c.Target.ID, Outcome: answered, Latency: time.Millisecond}
			if i > 50 && c.Target.ID != testTarget(0).ID {
				res.Outcome, res.Reason = notRun, unreachable
			}
			r.RecordOutcome(now, res)
			if res.Outcome == answered {
				break
			}
			if d := r.Retry(now, req, res.Outcome, res.Reason); !d.Allowed {
				t.Fatalf("request %d after %d attempts: %s", i, req.Attempt, d.Text)
			}
		}
		r.Release(now, req, answered)
	}
}
