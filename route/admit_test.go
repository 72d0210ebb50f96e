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

// saturatedRouter returns a router whose limit is taken, with response times of 100 ms.
func saturatedRouter(cfg Config) (*Router, []*Request) {
	r := testRouter(1, cfg)
	for i := range 20 {
		runRequest(r, start.Add(time.Duration(i)*time.Second), "c", 100*time.Millisecond)
	}
	var held []*Request
	for range 8 {
		req := testRequest("c", true, start, time.Hour)
		if r.Admit(start, req).OK {
			held = append(held, req)
		}
	}
	return r, held
}

// Symptom: a caller waits for an answer that comes too late, or comes back in step
// with all others. Sequence: more requests than slots. Cause: admission without
// a look at the deadline, or a time to come back that does not follow the queue.
func TestAdmitRefusesRequestsThatCannotFinish(t *testing.T) {
	r, held := saturatedRouter(Config{QueueFactor: 100})
	if len(held) != 8 {
		t.Fatalf("%d of 8 slots were given", len(held))
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
			t.Fatalf("refusal %d may come back after %v, the one before after %v", i, a.RetryAfter, last)
		}
		last = a.RetryAfter
	}
	if last == 0 {
		t.Fatal("nothing was refused")
	}
}

// Symptom: after a slow spell a service refuses everything although its targets
// are idle. Sequence: response times rise past all deadlines, then fall. Cause:
// the estimate that refuses is only renewed by requests that are admitted.
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
		t.Errorf("%d of 400 requests admitted after the spell", admitted)
	}
}

// Symptom: one caller's burst makes all others wait, urgent work stands behind
// batch, or batch never starts. Sequence: 60 requests of one caller, then one each
// of five others, and batch. Cause: a queue in the order of arrival.
func TestQueueOrder(t *testing.T) {
	var q queue
	q.init(0.1)
	push := func(caller string, p apiv1.Priority, left time.Duration) {
		req := testRequest(caller, true, start, left)
		req.Priority = p
		q.push(req)
	}
	for i := range 60 {
		push("hog", apiv1.Priority_PRIORITY_URGENT, time.Duration(60-i)*time.Millisecond)
	}
	for i := range 30 {
		push("batch", apiv1.Priority_PRIORITY_BATCH, time.Duration(i)*time.Millisecond)
	}
	for i := range 5 {
		push(fmt.Sprintf("small%d", i), apiv1.Priority_PRIORITY_URGENT, time.Hour)
	}
	var hog []time.Time
	small, batch := 0, 0
	for i := range 65 {
		req := q.pop()
		switch {
		case req.isBatch():
			batch++
		case req.Caller == "hog":
			hog = append(hog, req.Deadline)
		default:
			small = i
		}
	}
	if small > 8 {
		t.Errorf("the last small caller started as number %d", small)
	}
	if batch < 6 || batch > 7 {
		t.Errorf("batch had %d of 65 starts, its floor is a tenth", batch)
	}
	if !slices.IsSortedFunc(hog, time.Time.Compare) {
		t.Error("a caller's requests did not start by shortest slack")
	}
}

// Symptom: a busy caller gets all or nothing. Sequence: callers with a backlog wait
// while another sends one request after the other, or a new caller comes with each.
// Cause: tags that don't count what a caller has had, or a clock that stands still.
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
		drips, first, last := 0, 0, 0
		for i := range rounds {
			name := "drip"
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
					drips++
				}
			}
		}
		fair := 2 * rounds / (backlogged + 1)
		if !fresh && drips > fair*3/2 {
			t.Errorf("a caller with one request at a time had %d of %d starts, its share is %d", drips, 2*rounds, fair)
		}
		if first > fair*3/2 {
			t.Errorf("new callers %v: the caller in the greatest hurry had %d starts, its share is %d", fresh, first, fair)
		}
		if last < rounds*3/4 {
			t.Errorf("new callers %v: a caller with a backlog had %d starts, the last in round %d", fresh, first, last)
		}
	}
}

// Symptom: a request is answered twice or never, or a slot of the limit is lost.
// Sequence: callers give up at the moment their request is woken, from many
// goroutines. Cause: a wake and an abandonment that both take effect.
func TestQueuedRequestsEndOnce(t *testing.T) {
	r, held := saturatedRouter(Config{QueueFactor: 100})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(i), 1))
			for range 400 {
				req := testRequestWithWake(rng, start)
				a := r.Admit(start, req)
				if a.Queued && rng.IntN(2) == 0 {
					if i == 0 && len(held) > 0 {
						Deliver(r.Release(start, held[0], answered))
						held = held[1:]
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
					t.Errorf("%s was not ended once: %+v", req.ID, a)
				}
				if a.OK {
					Deliver(r.Release(start, req, answered))
					Deliver(r.Release(start, req, answered))
				}
			}
		})
	}
	wg.Wait()
	for _, req := range held {
		Deliver(r.Release(start, req, answered))
	}
	st, _ := r.Stats(start, "s")
	if st.InFlight != 0 || st.QueuedUrgent != 0 {
		t.Errorf("%d in flight and %d queued when all have ended", st.InFlight, st.QueuedUrgent)
	}
}

func testRequestWithWake(rng *rand.Rand, now time.Time) *Request {
	return &Request{
		ID: fmt.Sprintf("w%d", rng.Uint64()), Service: "s", Caller: fmt.Sprintf("c%d", rng.IntN(4)),
		Idempotent: true, Deadline: now.Add(time.Second), Woken: make(chan Admission, 1),
	}
}

// Symptom: some targets get no work although others are full. Cause: subsets that
// entries draw on their own. With ranks per target each has the same number of
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

// Symptom: a burst of errors from a target that has just started. Cause: it is the
// idlest one, so every entry sends it the next requests. Slow start holds back;
// the own zone comes first while it has room.
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
		t.Errorf("a target just started got %d of 24 requests", picks[fresh.ID])
	}
	if zones["az-0"] < 20 || zones["az-0"] == 24 {
		t.Errorf("requests by zone: %v, want the own zone first until it is 0.7 loaded", zones)
	}
}

// Symptom: an entry floods full targets, or refuses what they have room for.
// Sequence: refusals for lack of slots, then answers, then half the targets go.
// Cause: a limit that does not follow, or that gives up the entry's even share.
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
