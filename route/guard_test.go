package route

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Symptom: a fault of a dependency takes away a third of the targets as well.
// Sequence: every target fails most requests. Cause: targets ejected for failing
// in a row, without a look at the others.
func TestSharedFaultIsNoReasonToEject(t *testing.T) {
	r := testRouter(20, Config{})
	for i := range 2000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		attempt(r, now, testRequest("c", true, now, time.Hour), failed, noReason, time.Millisecond)
	}
	if n := len(r.service("s").ejected); n > 1 {
		t.Errorf("%d of 20 targets ejected while all fail alike", n)
	}
}

// Symptom: one request goes round the targets without end. Sequence: every attempt
// fails, or every one is refused for lack of slots. Cause: attempts that nothing counts.
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
				t.Fatalf("%s: attempt %d went to %q, tried are %v", c.reason, attempts+1, id, req.Tried)
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

// Symptom: entries and agents are busy with refusals. Sequence: no target has a
// free slot for long. Cause: redirects that no success pays for.
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
		t.Errorf("%d redirects without a success, 100 were saved up", redirects)
	}
}

// Symptom: requests wait for hosts that are gone. Sequence: half of all agents
// can't be reached, and each ejection's time is up. Cause: as many probes as there
// are ejected targets.
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

// Symptom: a target that was once reported full never gets work again. Sequence: its
// last answer reports all slots taken, and it gets no more requests. Cause: the report
// is only renewed by answers.
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
			t.Errorf("%v after the report the load is taken for %v, want %v", after, c.Load, want)
		}
	}
}

// Symptom: a bid is recorded twice. Sequence: it takes longer than most. Cause: a
// hedge of a request that is not idempotent.
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

// Symptom: every dispatch to a host that restarted is refused. Sequence: the host's
// clock was set back before the restart, so its agent's incarnation is a lower number.
// Cause: the router judged by the number which announcement is the newer. That is the
// directory's to say, and the router takes what it is told last.
func TestLatestUpsertReplacesIncarnation(t *testing.T) {
	r := testRouter(1, Config{})
	for _, incarnation := range []uint64{3, 2, 5} {
		told := testTarget(0)
		told.AgentIncarnation, told.Address = incarnation, fmt.Sprint("127.0.0.1:", incarnation)
		r.Upsert(start, told)
		if c, _ := r.Pick(start, testRequest("c", true, start, time.Hour)); c.Target != told {
			t.Errorf("picked %+v", c.Target)
		}
	}
}

// Symptom: a service refuses requests although none is in flight. Sequence: a driver
// admits one request twice and releases it once. Cause: it counts twice against the
// limit, for good.
func TestSecondAdmitPanics(t *testing.T) {
	r := testRouter(1, Config{})
	req := testRequest("c", true, start, time.Hour)
	r.Admit(start, req)
	defer func() {
		if recover() == nil {
			t.Error("admitted a second time")
		}
	}()
	r.Admit(start, req)
}

// Symptom: callers are refused while a host with room is up. Sequence: three of
// four hosts are lost at once; more than half may not be ejected, so requests go on
// meeting a lost one first. Cause: the attempts after those came from the retry
// budget, which few successes could not fill.
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
