package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// saturatedRouter returns a router whose concurrency limit is reached, with response times of
// 100 ms, and the requests in flight.
func saturatedRouter(cfg Config) (*Router, []*Request) {
	r := testRouter(1, cfg)
	for i := range 20 {
		runRequest(r, start.Add(time.Duration(i)*time.Second), "c", 100*time.Millisecond)
	}
	var inFlight []*Request
	for range 8 {
		req := testRequest("c", true, start, time.Hour)
		if r.Admit(start, req).OK {
			inFlight = append(inFlight, req)
		}
	}
	return r, inFlight
}

// Guards against requests that wait although their answer would be too late, and against refused
// callers that all retry at the same time. There are more requests than slots. The faults are
// admission that ignores the deadline and a Retry-After that does not follow from the queue.
func TestAdmitRefusesRequestsThatCannotFinish(t *testing.T) {
	r, inFlight := saturatedRouter(Config{QueueFactor: 100})
	if len(inFlight) != 8 {
		t.Fatalf("%d of 8 requests were admitted", len(inFlight))
	}
	for i, c := range []struct {
		left   time.Duration
		queued bool
	}{{50 * time.Millisecond, false}, {110 * time.Millisecond, false}, {time.Second, true}, {-time.Second, false}} {
		a := r.Admit(start, testRequest("c", true, start, c.left))
		if a.Queued != c.queued || a.OK {
			t.Errorf("case %d: %+v", i, a)
		}
	}
	var last time.Duration
	for i := range 200 {
		a := r.Admit(start, testRequest("c", true, start, time.Second))
		if a.Queued {
			continue
		}
		if a.RetryAfter <= last {
			t.Fatalf("refusal %d has Retry-After %v, the previous one %v", i, a.RetryAfter, last)
		}
		last = a.RetryAfter
	}
	if last == 0 {
		t.Fatal("nothing was refused")
	}
}

// Guards against a service that refuses everything after a slow period although its targets are
// idle. Response times exceed all deadlines and then decrease. The fault is an estimate that only
// admitted requests update, while it causes all requests to be refused.
func TestAdmissionRecoversAfterSlowPeriod(t *testing.T) {
	r := testRouter(3, Config{})
	now := start
	for range 50 {
		runRequest(r, now, "c", 5*time.Second)
	}
	admitted := 0
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		req := testRequest("c", true, now, time.Second)
		if !r.Admit(now, req).OK {
			continue
		}
		admitted++
		attempt(r, now, req, answered, noReason, 10*time.Millisecond)
		r.Release(now.Add(10*time.Millisecond), req, answered)
	}
	if admitted < 300 {
		t.Errorf("%d of 400 requests admitted after the slow period", admitted)
	}
}

// Guards against one caller's burst that delays all other callers, urgent requests that wait behind
// batch requests, and batch requests that never start. One caller queues 60 requests, then five
// others one each, and there are batch requests. The fault is a queue in the order of arrival.
func TestQueueOrder(t *testing.T) {
	var q queue
	q.init(0.1)
	push := func(caller string, p apiv1.Priority, left time.Duration) {
		req := testRequest(caller, true, start, left)
		req.Priority = p
		q.push(req)
	}
	for i := range 60 {
		push("heavy", apiv1.Priority_PRIORITY_URGENT, time.Duration(60-i)*time.Millisecond)
	}
	for i := range 30 {
		push("batch", apiv1.Priority_PRIORITY_BATCH, time.Duration(i)*time.Millisecond)
	}
	for i := range 5 {
		push(fmt.Sprintf("small%d", i), apiv1.Priority_PRIORITY_URGENT, time.Hour)
	}
	var heavy []time.Time
	small, batch := 0, 0
	for i := range 65 {
		req := q.pop()
		switch {
		case req.isBatch():
			batch++
		case req.Caller == "heavy":
			heavy = append(heavy, req.Deadline)
		default:
			small = i
		}
	}
	if small > 8 {
		t.Errorf("the last caller with one request started at position %d", small)
	}
	if batch < 6 || batch > 7 {
		t.Errorf("batch had %d of 65 starts, its minimum is a tenth", batch)
	}
	if !slices.IsSortedFunc(heavy, time.Time.Compare) {
		t.Error("a caller's requests did not start by least slack")
	}
}

// Guards against a caller with a backlog that gets either all starts or none. Callers with a
// backlog wait while another caller sends one request after the other, or while each round brings a
// new caller. The faults are start tags that do not count the starts that a caller has had, and a
// virtual time that does not advance.
func TestFairShareOverTime(t *testing.T) {
	const backlogged, rounds = 9, 300
	for _, fresh := range []bool{false, true} {
		var c priorityClass
		c.init()
		for i := range backlogged * rounds {
			left := time.Hour
			if i%backlogged == 0 {
				left = time.Second
			}
			c.push(testRequest(fmt.Sprintf("b%d", i%backlogged), true, start, left))
		}
		singles, first, last := 0, 0, 0
		for i := range rounds {
			name := "single"
			if fresh {
				name = fmt.Sprintf("new%d", i)
			}
			c.push(testRequest(name, true, start, time.Millisecond))
			starts := 2
			if fresh {
				starts = 1
			}
			for range starts {
				switch req := c.pop(); {
				case req.Caller == "b0":
					first++
					last = i
				case req.Caller[0] != 'b':
					singles++
				}
			}
		}
		fair := 2 * rounds / (backlogged + 1)
		if !fresh && singles > fair*3/2 {
			t.Errorf("a caller with one request at a time had %d of %d starts, its share is %d", singles, 2*rounds, fair)
		}
		if first > fair*3/2 {
			t.Errorf("new callers %v: the caller with the earliest deadlines had %d starts, its share is %d", fresh, first, fair)
		}
		if last < rounds*3/4 {
			t.Errorf("new callers %v: a caller with a backlog had %d starts, the last in round %d", fresh, first, last)
		}
	}
}

// Guards against a request that is answered twice or never, and against a slot of the limit that is
// lost. From many goroutines, callers give up at the moment when their request is woken. The fault
// is that a wake and Abandon both take effect.
func TestQueuedRequestsEndOnce(t *testing.T) {
	r, inFlight := saturatedRouter(Config{QueueFactor: 100})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			for range 400 {
				req := testRequestWithWake(rng, start)
				a := r.Admit(start, req)
				if a.Queued && rng.IntN(2) == 0 {
					if i == 0 && len(inFlight) > 0 {
						Deliver(r.Release(start, inFlight[0], answered))
						inFlight = inFlight[1:]
					}
					var ok bool
					if a, ok = r.Abandon(start, req); !ok {
						a = <-req.Woken
					}
				} else if a.Queued {
					Deliver(r.Tick(start.Add(time.Hour)))
					a = <-req.Woken
				}
				if a.Queued || (len(req.Woken) > 0) {
					t.Errorf("%s did not end exactly once: %+v", req.ID, a)
				}
				if a.OK {
					Deliver(r.Release(start, req, answered))
					Deliver(r.Release(start, req, answered))
				}
			}
		})
	}
	wg.Wait()
	for _, req := range inFlight {
		Deliver(r.Release(start, req, answered))
	}
	st, _ := r.Stats(start, "s")
	if st.InFlight != 0 || st.QueuedUrgent != 0 {
		t.Errorf("%d in flight and %d queued after all requests ended", st.InFlight, st.QueuedUrgent)
	}
}

func testRequestWithWake(rng *rand.Rand, now time.Time) *Request {
	return &Request{
		ID: fmt.Sprintf("w%d", rng.Uint64()), Service: "s", Caller: fmt.Sprintf("c%d", rng.IntN(4)),
		Idempotent: true, Deadline: now.Add(time.Second), Woken: make(chan Admission, 1),
	}
}

// Guards against targets without requests while others are full, caused by subsets that each entry
// draws at random. With ranks for each target, each target is in the subsets of the same number of
// entries, and an entry that leaves moves only its own share.
func TestSubsetsCoverEachTargetEvenly(t *testing.T) {
	const targets, entries = 300, 20
	names := func(n int) (out []string) {
		for i := range n {
			out = append(out, fmt.Sprintf("e%02d", i))
		}
		return out
	}
	kept := func(n int) (all []map[string]bool) {
		for i := range n {
			r := testRouter(targets, Config{})
			r.SetEntries(names(n)[i], names(n))
			m := map[string]bool{}
			for id, x := range r.service("s").targets {
				m[id] = x.inSubset
			}
			all = append(all, m)
		}
		return all
	}
	before, after := kept(entries), kept(entries-1)
	for id := range before[0] {
		n, moved := 0, 0
		for i := range entries - 1 {
			if before[i][id] != after[i][id] {
				moved++
			}
		}
		for i := range entries {
			if before[i][id] {
				n++
			}
		}
		if n != 8 || moved > 1 || (moved == 1) != before[entries-1][id] {
			t.Fatalf("%s is kept by %d entries, want 8; %d changed when one left", id, n, moved)
		}
	}
}

// Guards against a burst of errors from a target that has just started. It is the most idle one, so
// every entry would send it the next requests. Slow start limits them, and the own zone is
// preferred while it has free capacity.
func TestSlowStartAndZonePreference(t *testing.T) {
	r := testRouter(9, Config{})
	fresh := testTarget(9)
	r.Upsert(start, fresh)
	picks := map[string]int{}
	zones := map[string]int{}
	for i := range 24 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		req := testRequest("c", true, now, time.Hour)
		c, _ := r.Pick(now, req)
		r.RecordSent(now, req, c.Target.ID)
		picks[c.Target.ID]++
		zones[c.Target.AvailabilityZone]++
	}
	if picks[fresh.ID] > 1 {
		t.Errorf("a newly started target got %d of 24 requests", picks[fresh.ID])
	}
	if zones["az-0"] < 20 || zones["az-0"] == 24 {
		t.Errorf("requests by zone: %v, want the own zone first up to a load of 0.7", zones)
	}
}

// Guards against an entry that overloads full targets, or refuses requests for which they have free
// capacity. Refusals for lack of slots are followed by answers and by the loss of half of the
// slots. The faults are a limit that does not adapt, and a limit below the even share of the entry.
func TestLimitAdaptsToRefusals(t *testing.T) {
	for entries, want := range map[int]float64{0: 1, 2: 40, 4: 20} {
		l := concurrencyLimit{}
		l.setBounds(80, entries)
		for range 500 {
			l.lower()
		}
		if l.value != want {
			t.Errorf("%d entries: %v after refusals, want %v", entries, l.value, want)
		}
		for range 20000 {
			l.raise(int(l.value), 0.5)
		}
		if l.value < 79 || l.value > 80 {
			t.Errorf("%d entries: %v after answers, want all 80 slots", entries, l.value)
		}
		for range 20000 {
			l.raise(3, 0.5)
		}
		if l.setBounds(40, entries); l.value < 39 || l.value > 40 {
			t.Errorf("%d entries: %v with half the slots", entries, l.value)
		}
	}
}
