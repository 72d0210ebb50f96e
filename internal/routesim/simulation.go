package routesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cairnlift/cairnlift/agent/gate"
)

const (
	// lostHostTimeout is how long an entry waits for a sign of life of an attempt's
	// host before it takes it for lost.
	lostHostTimeout = 500 * time.Millisecond
	// The faults that end last from a third to two thirds of a run.
	faultDivisor = 3
)

// simulation is one run: targets, faults, callers and a policy's driver.
type simulation struct {
	clock
	run     Run
	targets []*simTarget
	byID    map[string]*simTarget
	rng     *rand.Rand
	driver  driver
	report  *Report
	// brownout slows all targets down.
	brownout bool
}

// driver is a policy under test.
type driver interface {
	// arrive gets a request; it ends it through world.end, once.
	arrive(c *call)
	// queuesAtTargets says whether targets queue up to their connections.
	queuesAtTargets() bool
	// targetChanged is told that a target is announced as leaving or is back.
	targetChanged(t *simTarget)
	// attemptCounts are the policy's own.
	attemptCounts() (retries, hedges, refusedDispatches int)
}

// call is one request in a run.
type call struct {
	request  request
	arrived  time.Duration
	deadline time.Duration
	finished bool
	// attempts counts the attempts, begun those that began at a target.
	attempts, executions int
}

// Simulate runs one policy and returns what its callers got.
func Simulate(r Run) *Report {
	w := &simulation{run: r, byID: map[string]*simTarget{}, rng: rand.New(rand.NewPCG(r.Seed, 2))}
	w.report = newReport(r)
	w.driver = newDriver(w)
	for i := range r.Deployment.Targets {
		w.addTarget(i)
	}
	w.tickAgents()
	if s, ok := w.driver.(interface{ start() }); ok {
		s.start()
	}
	w.scheduleFaults()
	for _, req := range r.requests() {
		w.after(req.arrival, func() { w.offer(req) })
	}
	w.runAll()
	w.report.finalize(w)
	return w.report
}

func (w *simulation) addTarget(i int) {
	d := w.run.Deployment
	t := &simTarget{
		clock: &w.clock, rng: w.rng, id: fmt.Sprintf("t%02d", i), zone: zoneName(i % d.Zones),
		slots: d.Slots, connections: d.Connections, slowFactor: 1,
	}
	if !w.driver.queuesAtTargets() {
		t.agent = newSimAgent(t, w.run.AgentQueue)
	}
	w.targets = append(w.targets, t)
	w.byID[t.id] = t
}

func zoneName(i int) string { return fmt.Sprintf("az-%d", i) }

func (w *simulation) offer(req request) {
	c := &call{request: req, arrived: w.now, deadline: w.now + w.run.Deployment.Deadline}
	w.report.offered++
	w.report.unfinished++
	w.driver.arrive(c)
}

// oneWayLatency is the time one way from an entry to a target.
func (w *simulation) oneWayLatency(entry int, t *simTarget) time.Duration {
	if zoneName(entry%w.run.Deployment.Zones) == t.zone {
		return w.run.Deployment.SameZoneLatency
	}
	return w.run.Deployment.CrossZoneLatency
}

// send carries a dispatch to a target and its answer back. The result gives it up.
func (w *simulation) send(c *call, t *simTarget, back func(reply)) (cancel func()) {
	hop := w.oneWayLatency(c.request.entry, t)
	c.attempts++
	d := dispatch{
		request: c.request, key: gate.Key{RequestID: c.request.id, Attempt: uint32(c.attempts)}, deadline: c.deadline,
		onStart: func() { w.recordStart(c) },
		onReply: func(r reply) { w.after(hop, func() { back(r) }) },
	}
	w.after(hop, func() {
		if w.brownout {
			d.request.serviceTime *= brownoutFactor
		}
		t.dispatch(d)
	})
	return func() {
		w.after(hop, func() {
			if t.agent != nil && !t.unreachable {
				t.agent.cancel(d.key)
			}
		})
	}
}

// tickAgents does what agents do all the time, until the last deadline.
func (w *simulation) tickAgents() {
	for _, t := range w.targets {
		if t.agent != nil {
			t.agent.tick()
		}
	}
	if w.now < w.run.Duration+w.run.Deployment.Deadline {
		w.after(tickPeriod, w.tickAgents)
	}
}

// recordStart notes work that starts at a target, and counts violations of the invariant
// that a request that is not idempotent runs at most once.
func (w *simulation) recordStart(c *call) {
	c.executions++
	w.report.executions++
	if c.executions > 1 && !c.request.idempotent {
		w.report.RunTwice++
	}
}

func (w *simulation) scheduleFaults() {
	if w.run.Fault != FaultFree {
		w.moveSlowdowns()
	}
	from, to := w.run.Duration/faultDivisor, 2*w.run.Duration/faultDivisor
	victim := w.targets[w.rng.IntN(len(w.targets))]
	switch w.run.Fault {
	case Failing:
		w.scheduleInterval(from, to, func(on bool) { victim.failing = on })
	case HostLost:
		w.scheduleInterval(from, to, func(on bool) { victim.unreachable = on })
	case Leaving:
		w.scheduleInterval(from, to, func(on bool) {
			victim.leaving = on
			if on && victim.agent != nil {
				victim.agent.withdraw()
			}
			w.driver.targetChanged(victim)
		})
	case ZoneLost:
		w.scheduleInterval(from, to, func(on bool) {
			for _, t := range w.targets {
				t.unreachable = on && t.zone == victim.zone
			}
		})
	case Brownout:
		w.scheduleInterval(from, to, func(on bool) { w.brownout = on })
	case ErrorStorm:
		w.scheduleInterval(from, to, func(on bool) {
			for _, t := range w.targets {
				t.errorStorm = on
			}
		})
	}
}

func (w *simulation) scheduleInterval(from, to time.Duration, set func(on bool)) {
	w.after(from, func() { set(true) })
	w.after(to, func() { set(false) })
}

// moveSlowdowns moves the hidden slow-downs to other targets.
func (w *simulation) moveSlowdowns() {
	if w.now >= w.run.Duration {
		return
	}
	for _, t := range w.targets {
		t.slowFactor = 1
	}
	for _, i := range w.rng.Perm(len(w.targets))[:slowTargets] {
		w.targets[i].slowFactor = minSlowFactor + (maxSlowFactor-minSlowFactor)*w.rng.Float64()
	}
	w.after(slowPeriod, w.moveSlowdowns)
}
