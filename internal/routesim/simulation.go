package routesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cairnlift/cairnlift/agent/gate"
)

const (
	// lostHostTimeout is the time from the start of an attempt at an unreachable host until
	// the entry regards the host as lost.
	lostHostTimeout = 500 * time.Millisecond
	// faultDivisor divides a run into thirds. Temporary faults are active in the middle third.
	faultDivisor = 3
)

// simulation is the state of one run: targets, faults, callers and the policy's driver.
type simulation struct {
	clock
	run     Run
	targets []*simTarget
	byID    map[string]*simTarget
	rng     *rand.Rand
	driver  driver
	report  *Report
	// brownout is set while all targets are slowed down by brownoutFactor.
	brownout bool
}

// driver runs one policy.
type driver interface {
	// arrive handles a new request. The driver ends it by exactly one call of
	// simulation.finish.
	arrive(c *call)
	// queuesAtTargets reports whether targets queue requests up to their connection limit, as
	// servers without an agent do.
	queuesAtTargets() bool
	// targetChanged is called when a target starts or stops leaving.
	targetChanged(t *simTarget)
	// attemptCounts returns the policy's counts of attempts.
	attemptCounts() (retries, hedges, refusedDispatches int)
}

// call is the state of one request in a run.
type call struct {
	request  request
	arrived  time.Duration
	deadline time.Duration
	finished bool
	// attempts counts the attempts sent, executions those that a target started.
	attempts, executions int
}

// Simulate runs one policy and returns the results that its callers see.
func Simulate(r Run) *Report {
	sim := &simulation{run: r, byID: map[string]*simTarget{}, rng: rand.New(rand.NewPCG(r.Seed, 2))}
	sim.report = newReport(r)
	sim.driver = newDriver(sim)
	for i := range r.Deployment.Targets {
		sim.addTarget(i)
	}
	sim.tickAgents()
	if s, ok := sim.driver.(interface{ start() }); ok {
		s.start()
	}
	sim.scheduleFaults()
	for _, req := range r.requests() {
		sim.after(req.arrival, func() { sim.offer(req) })
	}
	sim.runAll()
	sim.report.finalize(sim)
	return sim.report
}

func (sim *simulation) addTarget(i int) {
	d := sim.run.Deployment
	t := &simTarget{
		clock: &sim.clock, rng: sim.rng, id: fmt.Sprintf("t%02d", i), zone: zoneName(i % d.Zones),
		slots: d.Slots, connections: d.Connections, slowFactor: 1,
	}
	if !sim.driver.queuesAtTargets() {
		t.agent = newSimAgent(t, sim.run.AgentQueue)
	}
	sim.targets = append(sim.targets, t)
	sim.byID[t.id] = t
}

func zoneName(i int) string { return fmt.Sprintf("az-%d", i) }

// offer passes a new request to the policy.
func (sim *simulation) offer(req request) {
	c := &call{request: req, arrived: sim.now, deadline: sim.now + sim.run.Deployment.Deadline}
	sim.report.offered++
	sim.report.unfinished++
	sim.driver.arrive(c)
}

// oneWayLatency returns the network latency from an entry to a target.
func (sim *simulation) oneWayLatency(entry int, t *simTarget) time.Duration {
	if zoneName(entry%sim.run.Deployment.Zones) == t.zone {
		return sim.run.Deployment.SameZoneLatency
	}
	return sim.run.Deployment.CrossZoneLatency
}

// send delivers a dispatch to a target and passes the reply to onReply, each after the network
// latency. The returned function cancels the attempt.
func (sim *simulation) send(c *call, t *simTarget, onReply func(reply)) (cancel func()) {
	latency := sim.oneWayLatency(c.request.entry, t)
	c.attempts++
	d := dispatch{
		request: c.request, key: gate.Key{RequestID: c.request.id, Attempt: uint32(c.attempts)}, deadline: c.deadline,
		onStart: func() { sim.recordStart(c) },
		onReply: func(r reply) { sim.after(latency, func() { onReply(r) }) },
	}
	sim.after(latency, func() {
		if sim.brownout {
			d.request.serviceTime *= brownoutFactor
		}
		t.dispatch(d)
	})
	return func() {
		sim.after(latency, func() {
			if t.agent != nil && !t.unreachable {
				t.agent.cancel(d.key)
			}
		})
	}
}

// tickAgents does the periodic work of all agents, until the deadline of the last request.
func (sim *simulation) tickAgents() {
	for _, t := range sim.targets {
		if t.agent != nil {
			t.agent.tick()
		}
	}
	if sim.now < sim.run.Duration+sim.run.Deployment.Deadline {
		sim.after(tickPeriod, sim.tickAgents)
	}
}

// recordStart counts a started execution, and violations of the invariant that a request that
// is not idempotent runs at most once.
func (sim *simulation) recordStart(c *call) {
	c.executions++
	sim.report.executions++
	if c.executions > 1 && !c.request.idempotent {
		sim.report.RunTwice++
	}
}

// scheduleFaults schedules the fault of the run and the slowdowns.
func (sim *simulation) scheduleFaults() {
	if sim.run.Fault != FaultFree {
		sim.moveSlowdowns()
	}
	from, to := sim.run.Duration/faultDivisor, 2*sim.run.Duration/faultDivisor
	victim := sim.targets[sim.rng.IntN(len(sim.targets))]
	switch sim.run.Fault {
	case Failing:
		sim.scheduleInterval(from, to, func(on bool) { victim.failing = on })
	case HostLost:
		sim.scheduleInterval(from, to, func(on bool) { victim.unreachable = on })
	case Leaving:
		sim.scheduleInterval(from, to, func(on bool) {
			victim.leaving = on
			if on && victim.agent != nil {
				victim.agent.withdraw()
			}
			sim.driver.targetChanged(victim)
		})
	case ZoneLost:
		sim.scheduleInterval(from, to, func(on bool) {
			for _, t := range sim.targets {
				t.unreachable = on && t.zone == victim.zone
			}
		})
	case Brownout:
		sim.scheduleInterval(from, to, func(on bool) { sim.brownout = on })
	case ErrorStorm:
		sim.scheduleInterval(from, to, func(on bool) {
			for _, t := range sim.targets {
				t.errorStorm = on
			}
		})
	}
}

// scheduleInterval calls set(true) at one time and set(false) at a later one.
func (sim *simulation) scheduleInterval(from, to time.Duration, set func(on bool)) {
	sim.after(from, func() { set(true) })
	sim.after(to, func() { set(false) })
}

// moveSlowdowns ends the slowdowns and slows down newly drawn targets, every slowPeriod.
func (sim *simulation) moveSlowdowns() {
	if sim.now >= sim.run.Duration {
		return
	}
	for _, t := range sim.targets {
		t.slowFactor = 1
	}
	for _, i := range sim.rng.Perm(len(sim.targets))[:slowTargets] {
		sim.targets[i].slowFactor = minSlowFactor + (maxSlowFactor-minSlowFactor)*sim.rng.Float64()
	}
	sim.after(slowPeriod, sim.moveSlowdowns)
}
