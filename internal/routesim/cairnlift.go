package routesim

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/route"
)

// The policies that can be run.
const (
	Random        = "random"
	RoundRobin    = "round-robin"
	LeastInFlight = "least-in-flight"
	Cairnlift     = "cairnlift"
)

// Policies lists the baselines and the router, in the order of the tables.
var Policies = []string{Random, RoundRobin, LeastInFlight, Cairnlift}

const (
	serviceName = "s"
	tickPeriod  = 100 * time.Millisecond
)

func newDriver(w *world) driver {
	if w.run.Policy != Cairnlift {
		return newBaseline(w, w.run.Policy)
	}
	return &routed{w: w, waiting: map[*route.Request]*flight{}}
}

// routed drives one router per entry.
type routed struct {
	w       *world
	routers []*route.Router
	waiting map[*route.Request]*flight
	full    int
}

// flight is a request that a router admitted or queued.
type flight struct {
	*call
	d   *routed
	r   *route.Router
	req *route.Request
	// open counts attempts without an outcome; cancels give them up.
	open    int
	cancels []func()
}

func (d *routed) queues() bool { return false }

// start makes the routers, once the targets are there.
func (d *routed) start() {
	dep := d.w.run.Deployment
	for i := range dep.Entries {
		cfg := d.w.run.Config
		cfg.AvailabilityZone = zoneName(i % dep.Zones)
		cfg.Seed = d.w.run.Seed*100 + uint64(i)
		r := route.New(cfg)
		r.SetEntries(zoneName(i), entryNames(dep.Entries))
		r.SetService(&apiv1.Service{Name: serviceName, ObjectiveMs: dep.Objective.Milliseconds()})
		d.routers = append(d.routers, r)
	}
	for _, t := range d.w.targets {
		d.faultChanged(t)
	}
	d.tick()
}

func entryNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, zoneName(i))
	}
	return names
}

func (d *routed) faultChanged(t *simTarget) {
	for _, r := range d.routers {
		d.wake(r.Upsert(d.w.time(), route.Target{
			ID: t.id, Service: serviceName, Agent: t.id, AvailabilityZone: t.zone,
			Slots: t.slots, Connections: t.conns, Leaving: t.leaving,
		}))
	}
}

func (d *routed) tick() {
	for _, r := range d.routers {
		d.wake(r.Tick(d.w.time()))
	}
	if d.w.now < d.w.run.Duration+d.w.run.Deployment.Deadline {
		d.w.after(tickPeriod, d.tick)
	}
}

func (d *routed) counts() (retries, hedges, full int) {
	for _, r := range d.routers {
		st, _ := r.Stats(d.w.time(), serviceName)
		retries += int(st.Counters.Retries)
		hedges += int(st.Counters.Hedges)
	}
	return retries, hedges, d.full
}

func (d *routed) arrive(c *call) {
	r := d.routers[c.request.entry]
	f := &flight{call: c, d: d, r: r}
	f.req = &route.Request{
		ID: c.request.id, Service: serviceName, Caller: c.request.caller, Idempotent: c.request.idempotent,
		Deadline: epoch.Add(c.deadline), Priority: c.request.priority,
	}
	a := r.Admit(d.w.time(), f.req)
	if !a.Queued {
		f.admitted(a)
		return
	}
	d.waiting[f.req] = f
	d.w.after(a.LatestStart.Sub(d.w.time()), func() {
		if late, ok := r.Abandon(d.w.time(), f.req); ok {
			f.admitted(late)
		}
	})
}

func (d *routed) wake(wakes []route.Wake) {
	for _, w := range wakes {
		d.waiting[w.Request].admitted(w.Admission)
	}
}

func (f *flight) admitted(a route.Admission) {
	delete(f.d.waiting, f.req)
	if !a.OK {
		f.d.w.end(f.call, apiv1.Outcome_OUTCOME_NOT_RUN, a.RetryAfter)
		return
	}
	f.attempt(apiv1.Outcome_OUTCOME_NOT_RUN)
}

// attempt makes one dispatch; last is the outcome to end with when there is none.
func (f *flight) attempt(last apiv1.Outcome) {
	w := f.d.w
	c, ok := f.r.Pick(w.time(), f.req)
	if !ok {
		if f.open == 0 {
			f.finish(last)
		}
		return
	}
	t := w.byID[c.Target.ID]
	f.r.RecordSent(w.time(), f.req, t.id)
	f.open++
	sent := w.now
	settled := false
	settle := func(r reply) {
		if settled {
			return
		}
		settled = true
		f.settle(t, r, w.now-sent)
	}
	f.cancels = append(f.cancels, w.send(f.call, t, settle))
	f.watch(t, settle)
	f.hedge()
}

// watch ends an attempt whose answer does not come in time.
func (f *flight) watch(t *simTarget, settle func(reply)) {
	w := f.d.w
	limit, reason := f.deadline-w.now, apiv1.Reason_REASON_DEADLINE
	if t.lost && lostAfter < limit {
		limit, reason = lostAfter, apiv1.Reason_REASON_TARGET_UNREACHABLE
	}
	w.after(limit, func() {
		settle(reply{outcome: apiv1.Outcome_OUTCOME_UNKNOWN, reason: reason})
	})
}

func (f *flight) hedge() {
	w := f.d.w
	after, ok := f.r.HedgeAfter(w.time(), f.req)
	if !ok {
		return
	}
	w.after(after, func() {
		if !f.ended && f.open == 1 {
			f.attempt(apiv1.Outcome_OUTCOME_UNKNOWN)
		}
	})
}

func (f *flight) settle(t *simTarget, r reply, took time.Duration) {
	w := f.d.w
	f.open--
	if f.ended && r.outcome != apiv1.Outcome_OUTCOME_ANSWERED {
		// The loser of a hedge: the caller has its answer.
		r.outcome, r.reason = apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_CANCELED
	}
	if r.reason == apiv1.Reason_REASON_SLOTS_FULL {
		f.d.full++
	}
	f.r.RecordOutcome(w.time(), route.AttemptResult{
		Request: f.req, Target: t.id, Outcome: r.outcome, Reason: r.reason, Load: r.load, Latency: took,
	})
	if f.ended {
		return
	}
	if r.outcome == apiv1.Outcome_OUTCOME_ANSWERED {
		f.finish(r.outcome)
		return
	}
	if f.open > 0 {
		return
	}
	next := f.r.Retry(w.time(), f.req, r.outcome, r.reason)
	if !next.Allowed {
		f.finish(r.outcome)
		return
	}
	w.after(next.Delay, func() { f.attempt(r.outcome) })
}

func (f *flight) finish(outcome apiv1.Outcome) {
	w := f.d.w
	w.end(f.call, outcome, 0)
	for _, cancel := range f.cancels {
		cancel()
	}
	f.d.wake(f.r.Release(w.time(), f.req, outcome))
}
