package routesim

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// baselineRetries is how often a baseline tries again at once, without a budget.
const baselineRetries = 2

// baseline sends every request on at once: no admission, no queue at the entry,
// no ejection. Targets queue up to their connections. Failed and refused
// attempts are tried again at once where that is safe.
type baseline struct {
	sim    *simulation
	choose func(entry int) *simTarget
	// inFlight counts each entry's attempts per target.
	inFlight        []map[*simTarget]int
	roundRobinIndex []int

	retries, slotsFull int
}

func newBaseline(w *simulation, policy string) *baseline {
	b := &baseline{sim: w, roundRobinIndex: make([]int, w.run.Deployment.Entries)}
	for range w.run.Deployment.Entries {
		b.inFlight = append(b.inFlight, map[*simTarget]int{})
	}
	switch policy {
	case Random:
		b.choose = b.random
	case RoundRobin:
		b.choose = b.roundRobin
	case LeastInFlight:
		b.choose = b.leastInFlight
	}
	return b
}

func (b *baseline) queuesAtTargets() bool          { return true }
func (b *baseline) targetChanged(*simTarget)       {}
func (b *baseline) attemptCounts() (int, int, int) { return b.retries, 0, b.slotsFull }
func (b *baseline) arrive(c *call)                 { b.attempt(c, 0) }
func (b *baseline) random(int) *simTarget {
	return b.sim.targets[b.sim.rng.IntN(len(b.sim.targets))]
}

func (b *baseline) roundRobin(entry int) *simTarget {
	b.roundRobinIndex[entry]++
	return b.sim.targets[b.roundRobinIndex[entry]%len(b.sim.targets)]
}

func (b *baseline) leastInFlight(entry int) *simTarget {
	from := b.sim.rng.IntN(len(b.sim.targets))
	var best *simTarget
	for i := range b.sim.targets {
		t := b.sim.targets[(from+i)%len(b.sim.targets)]
		if best == nil || b.inFlight[entry][t] < b.inFlight[entry][best] {
			best = t
		}
	}
	return best
}

func (b *baseline) attempt(c *call, n int) {
	t := b.choose(c.request.entry)
	held := b.inFlight[c.request.entry]
	held[t]++
	settled := false
	settle := func(r reply) {
		if settled {
			return
		}
		settled = true
		held[t]--
		b.handleReply(c, n, r)
	}
	b.sim.send(c, t, settle)
	limit := c.deadline - b.sim.now
	if t.unreachable {
		limit = min(limit, lostHostTimeout)
	}
	b.sim.after(limit, func() {
		settle(reply{outcome: apiv1.Outcome_OUTCOME_UNKNOWN, reason: apiv1.Reason_REASON_DEADLINE})
	})
}

func (b *baseline) handleReply(c *call, n int, r reply) {
	if r.reason == apiv1.Reason_REASON_SLOTS_FULL {
		b.slotsFull++
	}
	notRun := r.outcome == apiv1.Outcome_OUTCOME_NOT_RUN
	again := r.outcome != apiv1.Outcome_OUTCOME_ANSWERED && (c.request.idempotent || notRun)
	if again && n < baselineRetries && b.sim.now < c.deadline {
		b.retries++
		b.attempt(c, n+1)
		return
	}
	b.sim.finish(c, r.outcome, time.Second)
}
