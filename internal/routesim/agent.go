package routesim

import (
	"time"

	"github.com/cairnlift/cairnlift/agent/gate"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// announceTTL is longer than any run, so that no announcement expires.
	announceTTL          = time.Hour
	incarnation          = 1
	configurationVersion = 1
)

// simAgent simulates an agent: it runs the agent's real gate in front of one target.
type simAgent struct {
	target  *simTarget
	gate    *gate.Gate
	waiting map[gate.Key]dispatch
}

func newSimAgent(t *simTarget, maxWaiting int) *simAgent {
	limits := gate.DefaultLimits()
	limits.MaxWaiting = maxWaiting
	a := &simAgent{target: t, gate: gate.New(incarnation, limits), waiting: map[gate.Key]dispatch{}}
	a.announce()
	return a
}

func (a *simAgent) now() time.Time { return a.target.clock.time() }

func (a *simAgent) announce() {
	a.gate.Announce(a.now(), gate.Announcement{
		Name: a.target.id, Service: serviceName, Address: a.target.id,
		Slots: a.target.slots, Connections: a.target.connections, TTL: announceTTL,
	})
}

// tick does the periodic work of an agent: it announces its target, unless that is leaving,
// expires old state of the gate and handles the gate's decisions.
func (a *simAgent) tick() {
	if !a.target.leaving {
		a.announce()
	}
	a.gate.Expire(a.now())
	a.deliverDecisions()
}

// withdraw removes the target from the gate. Once the target stops leaving, a later tick
// announces it again.
func (a *simAgent) withdraw() {
	a.gate.Withdraw(a.now(), a.target.id)
	a.deliverDecisions()
}

func (a *simAgent) dispatch(d dispatch) {
	ad := a.gate.Admit(a.now(), gate.Dispatch{
		Key: d.key, Service: serviceName, Target: a.target.id, Incarnation: incarnation,
		Remaining: d.deadline - a.target.clock.now, ConfigurationVersion: configurationVersion,
		Batch: d.request.priority == apiv1.Priority_PRIORITY_BATCH,
	})
	if ad.Wait {
		a.waiting[d.key] = d
		a.target.clock.after(ad.LatestStart.Sub(a.now()), func() { a.expireWaiting(d.key) })
	} else {
		a.handleAdmission(d, ad)
	}
	a.deliverDecisions()
}

// expireWaiting ends a waiting attempt that reached its latest start.
func (a *simAgent) expireWaiting(k gate.Key) {
	a.gate.TimeOut(a.now(), k)
	a.deliverDecisions()
}

// cancel ends an attempt that its entry canceled, if it is still waiting.
func (a *simAgent) cancel(k gate.Key) {
	a.gate.Cancel(a.now(), k)
	a.deliverDecisions()
}

// deliverDecisions handles the gate's decisions on attempts that were waiting.
func (a *simAgent) deliverDecisions() {
	for _, decided := range a.gate.Decisions() {
		d := a.waiting[decided.Key]
		delete(a.waiting, decided.Key)
		a.handleAdmission(d, decided.Admission)
	}
}

// handleAdmission executes an admitted attempt and replies to a refused one.
func (a *simAgent) handleAdmission(d dispatch, ad gate.Admission) {
	if !ad.Run {
		a.target.reply(d, reply{outcome: ad.Verdict.Outcome, reason: ad.Verdict.Reason, load: ad.Load})
		return
	}
	a.target.execute(d, func(out reply) {
		out.load = a.gate.Finish(a.now(), d.key, gate.Verdict{Outcome: out.outcome})
		a.deliverDecisions()
		a.target.reply(d, out)
	})
}
