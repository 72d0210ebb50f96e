package route

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	answered = apiv1.Outcome_OUTCOME_ANSWERED
	failed   = apiv1.Outcome_OUTCOME_FAILED
	notRun   = apiv1.Outcome_OUTCOME_NOT_RUN
	unknown  = apiv1.Outcome_OUTCOME_UNKNOWN

	noReason    = apiv1.Reason_REASON_UNSPECIFIED
	slotsFull   = apiv1.Reason_REASON_SLOTS_FULL
	leaving     = apiv1.Reason_REASON_TARGET_LEAVING
	unreachable = apiv1.Reason_REASON_TARGET_UNREACHABLE
	duplicate   = apiv1.Reason_REASON_DUPLICATE
	deadline    = apiv1.Reason_REASON_DEADLINE
)

var start = time.Unix(1000, 0)

func testTarget(i int) Target {
	return Target{
		ID: fmt.Sprintf("t%04d", i), Service: "s", Agent: fmt.Sprintf("a%04d", i/2), AgentIncarnation: 1,
		AvailabilityZone: fmt.Sprintf("az-%d", i%3), Slots: 8, Connections: 64,
	}
}

func testRouter(targets int, cfg Config) *Router {
	cfg.AvailabilityZone, cfg.Seed = "az-0", 7
	r := New(cfg)
	r.SetService(&apiv1.Service{Name: "s"})
	for i := range targets {
		r.Upsert(start.Add(-time.Hour), testTarget(i))
	}
	return r
}

var requests int

func testRequest(caller string, idempotent bool, now time.Time, left time.Duration) *Request {
	requests++
	return &Request{
		ID: fmt.Sprintf("r%08d", requests), Service: "s", Caller: caller, Idempotent: idempotent, Deadline: now.Add(left),
	}
}

// attempt makes one attempt with a given outcome, which comes twice; false when no
// target was given.
func attempt(r *Router, now time.Time, req *Request, o apiv1.Outcome, reason apiv1.Reason, took time.Duration) (string, bool) {
	c, ok := r.Pick(now, req)
	if !ok {
		return "", false
	}
	r.RecordSent(now, req, c.Target.ID)
	for range 2 {
		r.RecordOutcome(now.Add(took), AttemptResult{Request: req, Target: c.Target.ID, Outcome: o, Reason: reason, Latency: took})
	}
	return c.Target.ID, true
}

// runRequest runs a request from admission to release.
func runRequest(r *Router, now time.Time, caller string, took time.Duration) {
	req := testRequest(caller, true, now, time.Minute)
	if r.Admit(now, req).OK {
		attempt(r, now, req, answered, noReason, took)
		r.Release(now.Add(took), req, answered)
	}
}

// Symptom: a stallholder is charged twice. Sequence: the first attempt's answer is
// lost, and the driver picks again without asking Retry. Cause: no check between
// a lost answer and the next dispatch. Pick must refuse by itself.
func TestNonIdempotentIsNotPickedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := testRouter(6, Config{})
		now := start
		req := testRequest("c", false, now, time.Hour)
		r.Admit(now, req)
		mayHaveRun := false
		for range rapid.IntRange(1, 8).Draw(t, "attempts") {
			now = now.Add(time.Second)
			c, ok := r.Pick(now, req)
			if ok && mayHaveRun {
				t.Fatalf("picked %s after an attempt that may have run", c.Target.ID)
			}
			if !ok {
				return
			}
			r.RecordSent(now, req, c.Target.ID)
			mayHaveRun = true
			o := rapid.SampledFrom([]apiv1.Outcome{failed, notRun, unknown, apiv1.Outcome_OUTCOME_UNSPECIFIED}).Draw(t, "outcome")
			if o == apiv1.Outcome_OUTCOME_UNSPECIFIED {
				continue
			}
			reason := rapid.SampledFrom([]apiv1.Reason{noReason, slotsFull, leaving, unreachable, duplicate}).Draw(t, "reason")
			r.RecordOutcome(now, AttemptResult{Request: req, Target: c.Target.ID, Outcome: o, Reason: reason})
			mayHaveRun = o != notRun || reason == duplicate
			if d := r.Retry(now, req, o, reason); d.Allowed && mayHaveRun {
				t.Fatalf("retry allowed after %s, %s", o, reason)
			}
		}
	})
}

// Symptom: a service with running targets answers "no target". Sequence: targets
// fail, vanish, leave and come back in any order. Cause: ejections that take the
// last ones out, or sums and lists that drift from the targets they stand for.
func TestTargetsStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		r := testRouter(n, Config{})
		s := r.service("s")
		now := start
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, n-1).Draw(t, "target")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				r.Remove(now, testTarget(i).ID)
			case 1:
				r.SetLeaving(now, testTarget(i).ID)
			case 2, 3:
				tgt := testTarget(i)
				tgt.AgentIncarnation += uint64(rapid.IntRange(0, 2).Draw(t, "incarnation"))
				r.Upsert(now, tgt)
			default:
				req := testRequest("c", true, now, time.Hour)
				o := rapid.SampledFrom([]apiv1.Outcome{answered, failed, notRun, unknown}).Draw(t, "outcome")
				reason := rapid.SampledFrom([]apiv1.Reason{noReason, noReason, slotsFull, leaving, unreachable, deadline}).Draw(t, "reason")
				before := s.eligible()
				_, ok := attempt(r, now, req, o, reason, time.Millisecond)
				if !ok && before > 0 {
					t.Fatalf("no target was given, %d are eligible", before)
				}
			}
			checkTargets(t, s)
		}
	})
}

func checkTargets(t *rapid.T, s *service) {
	working, ejected := 0, 0
	var slots, load [tierCount]float64
	for _, x := range s.targets {
		if x.ownInFlight != 0 {
			t.Fatalf("%d in flight at %s when every attempt has ended", x.ownInFlight, x.ID)
		}
		if x.Leaving {
			continue
		}
		working++
		if x.health.ejected {
			ejected++
			continue
		}
		slots[x.tier] += float64(x.Slots)
		load[x.tier] += x.load()
	}
	if s.eligible() != working-ejected || len(s.ejected) != ejected {
		t.Fatalf("%d eligible and %d ejected, want %d and %d", s.eligible(), len(s.ejected), working-ejected, ejected)
	}
	if working > 0 && s.eligible() == 0 {
		t.Fatalf("all %d working targets are ejected", working)
	}
	for i := range s.tiers {
		if d := s.tiers[i].load - load[i]; s.tiers[i].slots != slots[i] || d > 1e-6 || d < -1e-6 {
			t.Fatalf("tier %d sums to %v slots and %v load, want %v and %v", i, s.tiers[i].slots, s.tiers[i].load, slots[i], load[i])
		}
	}
}

// Symptom: a target that fails everything keeps getting requests, or one that
// recovered gets none. Sequence: it fails, is ejected, fails a probe, then works.
// Cause: no ejection, probes in a crowd, or an ejection that never ends.
func TestEjectionAndProbe(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome apiv1.Outcome
		reason  apiv1.Reason
		after   int // failures until it is out; 0 is never
	}{
		{"failures", failed, noReason, 5},
		{"unreachable", unknown, unreachable, 1},
		{"slots full", notRun, slotsFull, 0},
		{"canceled", unknown, apiv1.Reason_REASON_CANCELED, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := testRouter(7, Config{})
			s, bad := r.service("s"), testTarget(6).ID
			now, failures, out := start, 0, 0
			for i := 0; i < 400 && s.targets[bad].health.probeAfter.IsZero(); i++ {
				now = now.Add(time.Millisecond)
				req := testRequest("c", true, now, time.Hour)
				ch, _ := r.Pick(now, req)
				r.RecordSent(now, req, ch.Target.ID)
				res := AttemptResult{Request: req, Target: ch.Target.ID, Outcome: answered, Latency: time.Millisecond}
				if ch.Target.ID == bad {
					res.Outcome, res.Reason = c.outcome, c.reason
					failures++
				}
				r.RecordOutcome(now, res)
				out = len(s.ejected)
			}
			if c.after == 0 {
				if out != 0 || failures == 0 {
					t.Fatalf("%d ejected after %d outcomes that are no failures", out, failures)
				}
				return
			}
			if failures != c.after || out != 1 {
				t.Fatalf("%d ejected after %d failures, want 1 after %d", out, failures, c.after)
			}
			now = now.Add(1100 * time.Millisecond)
			probes := 0
			probe := testRequest("c", true, now, time.Hour)
			for range 50 {
				req := testRequest("c", true, now, time.Hour)
				if ch, _ := r.Pick(now, req); ch.Target.ID == bad {
					probe = req
					probes++
				}
			}
			if probes != 1 {
				t.Fatalf("%d probes at a time", probes)
			}
			r.RecordSent(now, probe, bad)
			r.RecordOutcome(now, AttemptResult{Request: probe, Target: bad, Outcome: answered, Latency: time.Millisecond})
			if len(s.ejected) != 0 {
				t.Fatal("a target that answered its probe is still ejected")
			}
		})
	}
}

// Symptom: an attempt more than is safe, or none where one would do. Sequence: one
// attempt ends with each outcome and reason. Cause: a wrong line in the rules of which
// attempt may follow which outcome.
func TestRetryRules(t *testing.T) {
	for _, c := range []struct {
		outcome         apiv1.Outcome
		reason          apiv1.Reason
		idempotent, not bool // allowed when idempotent, when not
	}{
		{answered, noReason, false, false},
		{failed, noReason, true, false},
		{unknown, noReason, true, false},
		{unknown, unreachable, true, false},
		{unknown, deadline, false, false},
		{unknown, apiv1.Reason_REASON_CANCELED, false, false},
		{notRun, slotsFull, true, true},
		{notRun, leaving, true, true},
		{notRun, unreachable, true, true},
		{notRun, duplicate, false, false},
		{notRun, deadline, false, false},
		{notRun, apiv1.Reason_REASON_KEY_REUSED, false, false},
		{notRun, apiv1.Reason_REASON_BAD_REQUEST, false, false},
	} {
		for _, idempotent := range []bool{true, false} {
			want := c.not
			if idempotent {
				want = c.idempotent
			}
			r := testRouter(5, Config{})
			req := testRequest("c", idempotent, start, time.Hour)
			r.Admit(start, req)
			attempt(r, start, req, c.outcome, c.reason, time.Millisecond)
			if d := r.Retry(start, req, c.outcome, c.reason); d.Allowed != want {
				t.Errorf("%s, %s, idempotent %v: allowed %v (%s)", c.outcome, c.reason, idempotent, d.Allowed, d.Text)
			}
			spent := testRequest("c", idempotent, start, 0)
			if d := r.Retry(start.Add(time.Second), spent, c.outcome, c.reason); d.Allowed {
				t.Errorf("%s, %s: retried past the deadline", c.outcome, c.reason)
			}
		}
	}
}

// Symptom: a service that comes back from a fault is held down by retries and
// hedges. Sequence: everything fails for a while. Cause: attempts beside the
// first ones that no success has paid for.
func TestExtraAttemptsStayWithinTheBudget(t *testing.T) {
	r := testRouter(20, Config{})
	now := start
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		runRequest(r, now, "c", 10*time.Millisecond)
	}
	hedges, retries := 0, 0
	for range 300 {
		now = now.Add(20 * time.Millisecond)
		req := testRequest("c", true, now, time.Hour)
		r.Admit(now, req)
		c, _ := r.Pick(now, req)
		r.RecordSent(now, req, c.Target.ID)
		if h, ok := r.Pick(now, req); ok {
			hedges++
			if h.Target.ID == c.Target.ID {
				t.Fatal("hedged to the same target")
			}
		}
		r.RecordOutcome(now, AttemptResult{Request: req, Target: c.Target.ID, Outcome: failed})
		if r.Retry(now, req, failed, noReason).Allowed {
			retries++
		}
		r.Release(now, req, failed)
	}
	if hedges > 10 || retries > 20 || hedges == 0 || retries == 0 {
		t.Errorf("%d hedges and %d retries while nothing succeeds, at most 10 and 20 were saved up", hedges, retries)
	}
}
