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

func newDriver(w *simulation) driver {
	if w.run.Policy != Cairnlift {
		return newBaseline(w, w.run.Policy)
	}
	return &routerDriver{sim: w, waiting: map[*route.Request]*routedRequest{}}
}

// routerDriver drives one router per entry.
type routerDriver struct {
	sim       *simulation
	routers   []*route.Router
	waiting   map[*route.Request]*routedRequest
	slotsFull int
}

// routedRequest is a request that a router admitted or queued.
type routedRequest struct {
	*call
	driver *routerDriver
	router *route.Router
	req    *route.Request
	// openAttempts counts attempts without an outcome; cancels give them up.
	openAttempts int
	cancels      []func()
}

func (d *routerDriver) queuesAtTargets() bool { return false }

// start makes the routers, once the targets are there.
func (d *routerDriver) start() {
	dep := d.sim.run.Deployment
	for i := range dep.Entries {
		cfg := d.sim.run.Config
		cfg.AvailabilityZone = zoneName(i % dep.Zones)
		cfg.Seed = d.sim.run.Seed*100 + uint64(i)
		r := route.New(cfg)
		r.SetEntries(zoneName(i), entryNames(dep.Entries))
		r.SetService(&apiv1.Service{Name: serviceName, ObjectiveMs: dep.Objective.Milliseconds()})
		d.routers = append(d.routers, r)
	}
	for _, t := range d.sim.targets {
		d.targetChanged(t)
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

func (d *routerDriver) targetChanged(t *simTarget) {
	for _, r := range d.routers {
		d.handleWakes(r.Upsert(d.sim.time(), route.Target{
			ID: t.id, Service: serviceName, Agent: t.id, AvailabilityZone: t.zone,
			Slots: t.slots, Connections: t.connections, Leaving: t.leaving,
		}))
	}
}

func (d *routerDriver) tick() {
	for _, r := range d.routers {
		d.handleWakes(r.Tick(d.sim.time()))
	}
	if d.sim.now < d.sim.run.Duration+d.sim.run.Deployment.Deadline {
		d.sim.after(tickPeriod, d.tick)
	}
}

func (d *routerDriver) attemptCounts() (retries, hedges, full int) {
	for _, r := range d.routers {
		st, _ := r.Stats(d.sim.time(), serviceName)
		retries += int(st.Counters.Retries)
		hedges += int(st.Counters.Hedges)
	}
	return retries, hedges, d.slotsFull
}

func (d *routerDriver) arrive(c *call) {
	r := d.routers[c.request.entry]
	f := &routedRequest{call: c, driver: d, router: r}
	f.req = &route.Request{
		ID: c.request.id, Service: serviceName, Caller: c.request.caller, Idempotent: c.request.idempotent,
		Deadline: epoch.Add(c.deadline), Priority: c.request.priority,
	}
	a := r.Admit(d.sim.time(), f.req)
	if !a.Queued {
		f.handleAdmission(a)
		return
	}
	d.waiting[f.req] = f
	d.sim.after(a.LatestStart.Sub(d.sim.time()), func() {
		if late, ok := r.Abandon(d.sim.time(), f.req); ok {
			f.handleAdmission(late)
		}
	})
}

func (d *routerDriver) handleWakes(wakes []route.Wake) {
	for _, w := range wakes {
		d.waiting[w.Request].handleAdmission(w.Admission)
	}
}

func (f *routedRequest) handleAdmission(a route.Admission) {
	delete(f.driver.waiting, f.req)
	if !a.OK {
		f.driver.sim.finish(f.call, apiv1.Outcome_OUTCOME_NOT_RUN, a.RetryAfter)
		return
	}
	f.attempt(apiv1.Outcome_OUTCOME_NOT_RUN)
}

// attempt makes one dispatch; last is the outcome to end with when there is none.
func (f *routedRequest) attempt(last apiv1.Outcome) {
	w := f.driver.sim
	c, ok := f.router.Pick(w.time(), f.req)
	if !ok {
		if f.openAttempts == 0 {
			f.finish(last)
		}
		return
	}
	t := w.byID[c.Target.ID]
	f.router.RecordSent(w.time(), f.req, t.id)
	f.openAttempts++
	sent := w.now
	settled := false
	settle := func(r reply) {
		if settled {
			return
		}
		settled = true
		f.handleReply(t, r, w.now-sent)
	}
	f.cancels = append(f.cancels, w.send(f.call, t, settle))
	f.scheduleTimeout(t, settle)
	f.scheduleHedge()
}

// scheduleTimeout ends an attempt whose answer does not come in time.
func (f *routedRequest) scheduleTimeout(t *simTarget, settle func(reply)) {
	w := f.driver.sim
	limit, reason := f.deadline-w.now, apiv1.Reason_REASON_DEADLINE
	if t.unreachable && lostHostTimeout < limit {
		limit, reason = lostHostTimeout, apiv1.Reason_REASON_TARGET_UNREACHABLE
	}
	w.after(limit, func() {
		settle(reply{outcome: apiv1.Outcome_OUTCOME_UNKNOWN, reason: reason})
	})
}

func (f *routedRequest) scheduleHedge() {
	w := f.driver.sim
	after, ok := f.router.HedgeAfter(w.time(), f.req)
	if !ok {
		return
	}
	w.after(after, func() {
		if !f.finished && f.openAttempts == 1 {
			f.attempt(apiv1.Outcome_OUTCOME_UNKNOWN)
		}
	})
}

func (f *routedRequest) handleReply(t *simTarget, r reply, took time.Duration) {
	w := f.driver.sim
	f.openAttempts--
	if f.finished && r.outcome != apiv1.Outcome_OUTCOME_ANSWERED {
		// The loser of a hedge: the caller has its answer.
		r.outcome, r.reason = apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_CANCELED
	}
	if r.reason == apiv1.Reason_REASON_SLOTS_FULL {
		f.driver.slotsFull++
	}
	f.router.RecordOutcome(w.time(), route.AttemptResult{
		Request: f.req, Target: t.id, Outcome: r.outcome, Reason: r.reason, Load: r.load, Latency: took,
	})
	if f.finished {
		return
	}
	if r.outcome == apiv1.Outcome_OUTCOME_ANSWERED {
		f.finish(r.outcome)
		return
	}
	if f.openAttempts > 0 {
		return
	}
	next := f.router.Retry(w.time(), f.req, r.outcome, r.reason)
	if !next.Allowed {
		f.finish(r.outcome)
		return
	}
	w.after(next.Delay, func() { f.attempt(r.outcome) })
}

func (f *routedRequest) finish(outcome apiv1.Outcome) {
	w := f.driver.sim
	w.finish(f.call, outcome, 0)
	for _, cancel := range f.cancels {
		cancel()
	}
	f.driver.handleWakes(f.router.Release(w.time(), f.req, outcome))
}
