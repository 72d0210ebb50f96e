package gate

import (
	"fmt"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Symptom: a request is charged twice, or a caller told "not run" finds it was run.
// Sequence: dispatches come doubled, late after their revocation, for an older
// incarnation, to targets that leave, while records, tombstones and answers run out
// of room. Some wait for a slot, and meanwhile are revoked, canceled, too late, or
// their target leaves, the agent stands still or closes.
// Cause: the gate forgets or trusts something that it should not.
func TestRepliesMatchRuns(t *testing.T) {
	runs, waited := 0, map[apiv1.Reason]int{}
	for seed := range int64(seeds) {
		w := newSimulation(t, seed)
		for range steps {
			w.step()
		}
		w.gate.Close(w.now)
		w.collectDecisions()
		if n := w.gate.Waiting(); n > 0 {
			t.Fatalf("%d wait at a gate that is closed", n)
		}
		for reason, n := range w.waitResults {
			waited[reason] += n
		}
		for _, a := range w.attempts {
			runs += a.runs
		}
	}
	if runs < 50*seeds {
		t.Fatalf("only %d attempts ran: the judgement proves little", runs)
	}
	for _, reason := range []apiv1.Reason{
		apiv1.Reason_REASON_UNSPECIFIED, apiv1.Reason_REASON_SLOTS_FULL, apiv1.Reason_REASON_REVOKED, apiv1.Reason_REASON_CANCELED,
		apiv1.Reason_REASON_TARGET_LEAVING, apiv1.Reason_REASON_STALE_CONFIGURATION, apiv1.Reason_REASON_SHUTTING_DOWN,
	} {
		if waited[reason] < 5 {
			t.Errorf("waiting ended with %v %d times: the judgement proves little", reason, waited[reason])
		}
	}
}

// Symptom: an entry gives a request up that another target would serve, or sends it to
// one that can't. Sequence: each case is one state of the gate and a dispatch that it
// must refuse. Cause: a filter that lets it through, or a reply with the wrong reason
// or without the time until the retry.
func TestRefusals(t *testing.T) {
	now := time.Unix(1e9, 0)
	base := Dispatch{Key: Key{"r", 1}, Service: "s", Target: "t", Incarnation: 1,
		Remaining: time.Second, ConfigurationVersion: 1, ConfirmedAge: 0}
	tests := map[string]struct {
		set    func(g *Gate, d *Dispatch)
		reason apiv1.Reason
		retry  bool
	}{
		"no target":      {func(_ *Gate, d *Dispatch) { d.Target = "x" }, apiv1.Reason_REASON_NO_TARGET, false},
		"other service":  {func(_ *Gate, d *Dispatch) { d.Service = "x" }, apiv1.Reason_REASON_NO_TARGET, false},
		"restarted":      {func(_ *Gate, d *Dispatch) { d.Incarnation = 2 }, apiv1.Reason_REASON_STALE_INCARNATION, false},
		"late":           {func(_ *Gate, d *Dispatch) { d.Remaining = 0 }, apiv1.Reason_REASON_DEADLINE, false},
		"drained":        {func(g *Gate, _ *Dispatch) { g.Drain(now, "") }, apiv1.Reason_REASON_TARGET_LEAVING, false},
		"shutting down":  {func(g *Gate, _ *Dispatch) { g.Close(now) }, apiv1.Reason_REASON_SHUTTING_DOWN, false},
		"never fresh":    {func(_ *Gate, d *Dispatch) { d.ConfirmedAge = -1 }, apiv1.Reason_REASON_STALE_CONFIGURATION, false},
		"older than own": {func(g *Gate, _ *Dispatch) { g.Configure(&apiv1.Configuration{Version: 2}) }, apiv1.Reason_REASON_STALE_CONFIGURATION, false},
		"slots": {func(g *Gate, d *Dispatch) {
			fillTarget(g, now, *d, 8+MaxWaiting)
		}, apiv1.Reason_REASON_SLOTS_FULL, true},
		"connections": {func(g *Gate, d *Dispatch) {
			g.targets["t"].Connections = 2
			fillTarget(g, now, *d, 2+MaxWaiting)
		}, apiv1.Reason_REASON_CONNECTIONS_FULL, true},
		"no time to wait": {func(g *Gate, d *Dispatch) {
			fillTarget(g, now, *d, 8)
			g.targets["t"].stats.mean = 900 * time.Millisecond // The first wait is an eighth of it.
		}, apiv1.Reason_REASON_SLOTS_FULL, true},
		"can't finish": {func(g *Gate, d *Dispatch) {
			for range minFastestSamples {
				g.targets["t"].stats.observe(now, 2*time.Second)
			}
		}, apiv1.Reason_REASON_DEADLINE, false},
		"no room": {func(g *Gate, _ *Dispatch) { g.records.limits.MaxRecords = 0 }, apiv1.Reason_REASON_OVERLOADED, true},
	}
	for name, test := range tests {
		g := New(1, DefaultLimits())
		g.Announce(now, Announcement{Name: "t", Service: "s", Address: "127.0.0.1:1", TTL: time.Minute})
		d := base
		test.set(g, &d)
		ad := g.Admit(now, d)
		if ad.Run || ad.Verdict.Outcome != apiv1.Outcome_OUTCOME_NOT_RUN || ad.Verdict.Reason != test.reason {
			t.Errorf("%s: run %v, %v %v", name, ad.Run, ad.Verdict.Outcome, ad.Verdict.Reason)
		}
		if (ad.Verdict.RetryAfter > 0) != test.retry {
			t.Errorf("%s: retry after %v", name, ad.Verdict.RetryAfter)
		}
	}
}

// Symptom: a request runs minutes after its revocation, or targets look slower than
// they are. Sequence: an attempt waits, is revoked, and a copy of it comes when its
// record is gone; another one waits as long as it runs. Cause: what waits leaves no
// tombstone, or its wait is counted.
func TestRevokedWaitIsNotRunAndWaitIsNotMeasured(t *testing.T) {
	now := time.Unix(1e9, 0)
	g := New(1, DefaultLimits())
	g.Announce(now, Announcement{Name: "t", Service: "s", Address: "127.0.0.1:1", Slots: 1, TTL: time.Hour})
	d := Dispatch{Key: Key{"revoked", 1}, Service: "s", Target: "t", Incarnation: 1, Remaining: time.Minute, ConfigurationVersion: 1}
	fillTarget(g, now, d, 2)
	if !g.Admit(now, d).Wait {
		t.Fatal("the attempt does not wait")
	}
	g.Revoke(now, Revocation{Key: d.Key, Incarnation: 1})
	for i := range 2 {
		now = now.Add(time.Second)
		g.Finish(now, Key{fmt.Sprint("fill-", i), 1}, Verdict{Outcome: apiv1.Outcome_OUTCOME_ANSWERED})
	}
	if mean := g.targets["t"].stats.mean; mean != time.Second {
		t.Errorf("the mean of two response times of 1s is %v", mean)
	}
	if ad := g.Admit(now.Add(10*time.Minute), d); ad.Verdict.Reason != apiv1.Reason_REASON_REVOKED {
		t.Errorf("copy of a revoked attempt: run %v, %v", ad.Run, ad.Verdict.Reason)
	}
}

func fillTarget(g *Gate, now time.Time, d Dispatch, n int) {
	for i := range n {
		d.Key.RequestID = fmt.Sprint("fill-", i)
		g.Admit(now, d)
	}
}

func BenchmarkAdmit(b *testing.B) {
	now := time.Unix(1e9, 0)
	g := New(1, DefaultLimits())
	g.Announce(now, Announcement{Name: "t", Service: "s", Address: "127.0.0.1:1", TTL: 24 * time.Hour})
	v := Verdict{Outcome: apiv1.Outcome_OUTCOME_ANSWERED, Response: &apiv1.HttpResponse{Body: make([]byte, 256)}}
	keys := make([]Key, b.N)
	for i := range keys {
		keys[i] = Key{fmt.Sprintf("request-%020d", i), 1}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(50 * time.Microsecond)
		d := Dispatch{Key: keys[i], Service: "s", Target: "t", Incarnation: 1, Remaining: time.Second, ConfigurationVersion: 1}
		if !g.Admit(now, d).Run {
			b.Fatal("refused")
		}
		g.Finish(now, keys[i], v)
	}
}

// BenchmarkAdmitWaiting is a decision about an attempt that waits before it runs.
func BenchmarkAdmitWaiting(b *testing.B) {
	now := time.Unix(1e9, 0)
	g := New(1, DefaultLimits())
	g.Announce(now, Announcement{Name: "t", Service: "s", Address: "127.0.0.1:1", Slots: 8, TTL: 24 * time.Hour})
	keys := make([]Key, b.N+8)
	for i := range keys {
		keys[i] = Key{fmt.Sprintf("request-%020d", i), 1}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range keys {
		now = now.Add(50 * time.Microsecond)
		g.Admit(now, Dispatch{Key: keys[i], Service: "s", Target: "t", Incarnation: 1, Remaining: time.Second, ConfigurationVersion: 1})
		if i >= 8 {
			g.Finish(now, keys[i-8], Verdict{Outcome: apiv1.Outcome_OUTCOME_ANSWERED})
		}
		if started := len(g.Decisions()); i >= 8 && started != 1 {
			b.Fatalf("%d attempts started", started)
		}
	}
}
