package routesim

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// baselineRetries is how often a baseline retries a request, without delay or retry budget.
const baselineRetries = 2

// baseline dispatches every request immediately: it has no admission control, no queue at
// the entry and no ejection. Targets queue requests up to their connection limit. Failed
// and refused attempts are retried without delay if the request is idempotent or was not run.
type baseline struct {
	sim    *simulation
	choose func(entry int) *simTarget
	// inFlight counts the open attempts by entry and target.
	inFlight        []map[*simTarget]int
	roundRobinIndex []int

	retries, slotsFull int
}

func newBaseline(sim *simulation, policy string) *baseline {
	b := &baseline{sim: sim, roundRobinIndex: make([]int, sim.run.Deployment.Entries)}
	for range sim.run.Deployment.Entries {
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
	inFlight := b.inFlight[c.request.entry]
	inFlight[t]++
	settled := false
	settle := func(r reply) {
		if settled {
			return
		}
		settled = true
		inFlight[t]--
		b.handleReply(c, n, r)
	}
	b.sim.send(c, t, settle)
	timeout := c.deadline - b.sim.now
	if t.unreachable {
		timeout = min(timeout, lostHostTimeout)
	}
	b.sim.after(timeout, func() {
		settle(reply{outcome: apiv1.Outcome_OUTCOME_UNKNOWN, reason: apiv1.Reason_REASON_DEADLINE})
	})
}

func (b *baseline) handleReply(c *call, n int, r reply) {
	if r.reason == apiv1.Reason_REASON_SLOTS_FULL {
		b.slotsFull++
	}
	notRun := r.outcome == apiv1.Outcome_OUTCOME_NOT_RUN
	retriable := r.outcome != apiv1.Outcome_OUTCOME_ANSWERED && (c.request.idempotent || notRun)
	if retriable && n < baselineRetries && b.sim.now < c.deadline {
		b.retries++
		b.attempt(c, n+1)
		return
	}
	b.sim.finish(c, r.outcome, time.Second)
}
