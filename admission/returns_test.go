package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// full is a backlog in which no job of 5 core-seconds would be of use.
var full = Backlog{Ahead: Work{CoreMs: 1_000_000}, Drain: Work{CoreMs: 100_000}, Trusted: true}

func request(account, job string) Request {
	return Request{Job: job, Account: account, Work: Work{CoreMs: 5000}, Chain: 500 * ms, Allowed: 1500 * ms}
}

// Guards against callers that were refused first and are told to return last, and against callers of
// one burst that all return at the same time.
func TestReturnsFollowOrderOfRefusals(t *testing.T) {
	c, now := New(Estimate, 1), time.UnixMilli(0)
	var last time.Duration
	for i := range 100 {
		d := c.Decide(request("a", fmt.Sprint(i)), full, now)
		if d.Reason != TooLate || d.RetryAfter <= last {
			t.Fatalf("caller %d: %v, returns after %v, the one before after %v", i, d.Reason, d.RetryAfter, last)
		}
		last = d.RetryAfter
	}
	if refused, next := c.Account("a", now); refused != 100 || next <= 0 {
		t.Errorf("%d refused, next turn in %v", refused, next)
	}
}

// Guards against callers that return early and so take the place of those that keep to the times that
// they were told, and against a new time for each early return.
func TestEarlyReturnKeepsItsTime(t *testing.T) {
	c, now := New(Estimate, 1), time.UnixMilli(0)
	told := map[int]time.Duration{}
	for i := range 30 {
		told[i] = c.Decide(request("a", fmt.Sprint(i)), full, now).RetryAfter
	}
	now = now.Add(200 * ms)
	if d := c.Decide(request("a", "29"), full, now); d.Reason != TooLate || d.RetryAfter != told[29]-200*ms {
		t.Errorf("full queue: %v, returns after %v of %v", d.Reason, d.RetryAfter, told[29]-200*ms)
	}
	// There is room for some callers, but not for all that were told earlier times.
	some := full
	some.Ahead.CoreMs = 50_000
	if d := c.Decide(request("a", "29"), some, now); d.Reason != EarlyReturn || d.RetryAfter != told[29]-200*ms {
		t.Errorf("last caller: %v, returns after %v of %v", d.Reason, d.RetryAfter, told[29]-200*ms)
	}
	if d := c.Decide(request("a", "0"), some, now); d.Reason != Accepted {
		t.Errorf("first caller: %v", d.Reason)
	}
	if d := c.Decide(request("a", "29"), some, now.Add(told[29])); d.Reason != Accepted {
		t.Errorf("last caller at its time: %v", d.Reason)
	}
}

// Guards against memory that grows with the names of accounts, the callers and the accepted jobs, and
// against a flood of names that ends the turns of a known account.
func TestStateIsBounded(t *testing.T) {
	c, now := New(Estimate, 1), time.UnixMilli(0)
	due := c.Decide(request("known", "x"), full, now).RetryAfter
	random := rand.New(rand.NewPCG(1, 1))
	idle := Backlog{Drain: full.Drain, Trusted: true}
	for i := range 200_000 {
		b := full
		if i%2 == 0 {
			b = idle
		}
		r := request(fmt.Sprint("flood", random.IntN(50_000)), fmt.Sprint(i))
		r.Priority = uint32(random.IntN(1000))
		c.Decide(r, b, now.Add(time.Duration(i)*10*time.Microsecond))
	}
	returns := 0
	for e := c.accounts.order.Front(); e != nil; e = e.Next() {
		returns += e.Value.(*account).returns.Len()
	}
	alone := New(Estimate, 1)
	fast := full
	fast.Drain.CoreMs *= 10
	fast.Ahead.CoreMs *= 10
	for i := range 4 * maxReturns {
		alone.Decide(request("one", fmt.Sprint(i)), fast, now)
	}
	if n := alone.accounts.get("one", now).returns.Len(); n > maxReturns {
		t.Errorf("%d returns of one account", n)
	}
	if len(c.accounts.byName) > maxAccounts+1 || returns > (maxAccounts+1)*maxReturns || len(c.expected.byJob) > maxExpected || len(c.errors) > maxPriorities {
		t.Errorf("%d accounts, %d returns, %d expected ends, %d priorities", len(c.accounts.byName), returns, len(c.expected.byJob), len(c.errors))
	}
	if _, kept := c.accounts.get("known", now).toldTime("x", now.Add(due-ms)); !kept {
		t.Error("the flood dropped the return of a known account")
	}
	later := now.Add(2 * accountRetention)
	c.Decide(request("new", "z"), full, later)
	if refused, _ := c.Account("new", later); refused != 1 {
		t.Error("a new account gets no state of its own after the flood")
	}
}

// Guards against an estimate of a new leader that knows no rate yet: jobs are accepted within a bound
// on the queueing delay.
func TestWithoutEstimateDelayIsBounded(t *testing.T) {
	c, now := New(Estimate, 1), time.UnixMilli(0)
	for _, b := range []Backlog{{Ahead: full.Ahead}, {Ahead: full.Ahead, Trusted: true}, {Ahead: full.Ahead, Drain: full.Drain}} {
		if d := c.Decide(request("a", "x"), b, now); d.Reason != Accepted {
			t.Errorf("%+v: %v", b, d.Reason)
		}
		b.Delay = 5 * time.Second
		if d := c.Decide(request("a", "y"), b, now); d.Reason != Delayed || d.RetryAfter < minRetryAfter {
			t.Errorf("%+v: %v after %v", b, d.Reason, d.RetryAfter)
		}
	}
}

// Guards against refusals of jobs without an end of their own, and in mode off.
func TestJobsThatAreNeverRefused(t *testing.T) {
	late := full
	late.Delay = time.Minute
	for mode, change := range map[Mode]func(*Request){
		Off: func(*Request) {}, Estimate: func(r *Request) { r.LongRunning = true }, Delay: func(r *Request) { r.Scheduled = true },
	} {
		r := request("a", "x")
		change(&r)
		if d := New(mode, 1).Decide(r, late, time.UnixMilli(0)); d != (Decision{}) {
			t.Errorf("%v: %+v", mode, d)
		}
	}
}

// BenchmarkDecide measures one decision with 390 accounts, half of the callers refused.
func BenchmarkDecide(b *testing.B) {
	const accounts = 390
	c := New(Estimate, 1)
	var waiting Waiting
	names := make([]string, accounts)
	for i := range names {
		names[i] = fmt.Sprint("account", i)
		waiting.Add(0, names[i], Work{CoreMs: int64(1000 * i)})
	}
	weight := func(string) float64 { return 1 }
	now := time.UnixMilli(0)
	for i := 0; b.Loop(); i++ {
		r := request(names[i%accounts], "")
		r.Job = names[i*7%accounts]
		backlog := full
		backlog.Ahead = waiting.Ahead(r, weight)
		c.Decide(r, backlog, now.Add(time.Duration(i)*time.Millisecond))
	}
}

// Guards against a caller that returns early and takes the place of others, because the times that callers are
// told have come to their bound when it is refused.
func TestEarlyReturnBeyondTheBoundKeepsItsTime(t *testing.T) {
	c, now := New(Estimate, 1), time.UnixMilli(0)
	slow := full
	slow.Drain.CoreMs = 5000
	var told time.Duration
	for i := range 60 { // one a second: the first 20 have a place
		told = c.Decide(request("a", fmt.Sprint(i)), slow, now).RetryAfter
	}
	some := full
	some.Ahead.CoreMs = 50_000
	if d := c.Decide(request("a", "59"), some, now); d.Reason != EarlyReturn || d.RetryAfter != told {
		t.Errorf("an early return: %v, after %v, told %v", d.Reason, d.RetryAfter, told)
	}
	if d := c.Decide(request("a", "59"), some, now.Add(told)); d.Reason != Accepted {
		t.Errorf("at its time: %v", d.Reason)
	}
}
