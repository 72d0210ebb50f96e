package routesim

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/route"
)

// Names of the routing policies.
const (
	Random        = "random"
	RoundRobin    = "round-robin"
	LeastInFlight = "least-in-flight"
	Cairnlift     = "cairnlift"
)

// Policies lists the baseline policies and the router in the order of the tables.
var Policies = []string{Random, RoundRobin, LeastInFlight, Cairnlift}

const (
	serviceName = "s"
	tickPeriod  = 100 * time.Millisecond
)

func newDriver(sim *simulation) driver {
	if sim.run.Policy != Cairnlift {
		return newBaseline(sim, sim.run.Policy)
	}
	return &routerDriver{sim: sim, waiting: map[*route.Request]*routedRequest{}}
}

// routerDriver is the driver of the Cairnlift policy, with one router per entry.
type routerDriver struct {
	sim       *simulation
	routers   []*route.Router
	waiting   map[*route.Request]*routedRequest
	slotsFull int
}

// routedRequest is a request that a router has admitted or queued.
type routedRequest struct {
	*call
	driver *routerDriver
	router *route.Router
	req    *route.Request
	// openAttempts counts the attempts without an outcome; cancels holds the function that
	// cancels each attempt.
	openAttempts int
	cancels      []func()
}

func (d *routerDriver) queuesAtTargets() bool { return false }

// start creates the routers. The targets must exist, since every router learns of them here.
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

// targetChanged passes the state of a target to every router.
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

// handleWakes continues queued requests on which a router has decided.
func (d *routerDriver) handleWakes(wakes []route.Wake) {
	for _, w := range wakes {
		d.waiting[w.Request].handleAdmission(w.Admission)
	}
}

// handleAdmission starts the first attempt of an admitted request and ends a refused one.
func (f *routedRequest) handleAdmission(a route.Admission) {
	delete(f.driver.waiting, f.req)
	if !a.OK {
		f.driver.sim.finish(f.call, apiv1.Outcome_OUTCOME_NOT_RUN, a.RetryAfter)
		return
	}
	f.attempt(apiv1.Outcome_OUTCOME_NOT_RUN)
}

// attempt dispatches the request once. If the router picks no target and no attempt is open,
// the request ends with the outcome last.
func (f *routedRequest) attempt(last apiv1.Outcome) {
	sim := f.driver.sim
	c, ok := f.router.Pick(sim.time(), f.req)
	if !ok {
		if f.openAttempts == 0 {
			f.finish(last)
		}
		return
	}
	t := sim.byID[c.Target.ID]
	f.router.RecordSent(sim.time(), f.req, t.id)
	f.openAttempts++
	sent := sim.now
	settled := false
	settle := func(r reply) {
		if settled {
			return
		}
		settled = true
		f.handleReply(t, r, sim.now-sent)
	}
	f.cancels = append(f.cancels, sim.send(f.call, t, settle))
	f.scheduleTimeout(t, settle)
	f.scheduleHedge()
}

// scheduleTimeout ends an attempt with an unknown outcome at the deadline, or earlier if its
// host is unreachable.
func (f *routedRequest) scheduleTimeout(t *simTarget, settle func(reply)) {
	sim := f.driver.sim
	timeout, reason := f.deadline-sim.now, apiv1.Reason_REASON_DEADLINE
	if t.unreachable && lostHostTimeout < timeout {
		timeout, reason = lostHostTimeout, apiv1.Reason_REASON_TARGET_UNREACHABLE
	}
	sim.after(timeout, func() {
		settle(reply{outcome: apiv1.Outcome_OUTCOME_UNKNOWN, reason: reason})
	})
}

// scheduleHedge starts another attempt after the router's hedging delay, if the request is
// unfinished and exactly one attempt is open then.
func (f *routedRequest) scheduleHedge() {
	sim := f.driver.sim
	after, ok := f.router.HedgeAfter(sim.time(), f.req)
	if !ok {
		return
	}
	sim.after(after, func() {
		if !f.finished && f.openAttempts == 1 {
			f.attempt(apiv1.Outcome_OUTCOME_UNKNOWN)
		}
	})
}

// handleReply records the outcome of an attempt and ends or retries the request.
func (f *routedRequest) handleReply(t *simTarget, r reply, took time.Duration) {
	sim := f.driver.sim
	f.openAttempts--
	if f.finished && r.outcome != apiv1.Outcome_OUTCOME_ANSWERED {
		// Another attempt has ended the request, so this one was canceled.
		r.outcome, r.reason = apiv1.Outcome_OUTCOME_UNKNOWN, apiv1.Reason_REASON_CANCELED
	}
	if r.reason == apiv1.Reason_REASON_SLOTS_FULL {
		f.driver.slotsFull++
	}
	f.router.RecordOutcome(sim.time(), route.AttemptResult{
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
	next := f.router.Retry(sim.time(), f.req, r.outcome, r.reason)
	if !next.Allowed {
		f.finish(r.outcome)
		return
	}
	sim.after(next.Delay, func() { f.attempt(r.outcome) })
}

// finish ends the request, cancels its other attempts and releases its slot at the router.
func (f *routedRequest) finish(outcome apiv1.Outcome) {
	sim := f.driver.sim
	sim.finish(f.call, outcome, 0)
	for _, cancel := range f.cancels {
		cancel()
	}
	f.driver.handleWakes(f.router.Release(sim.time(), f.req, outcome))
}
