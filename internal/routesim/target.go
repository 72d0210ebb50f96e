package routesim

import (
	"math/rand/v2"
	"time"

	"github.com/cairnlift/cairnlift/agent/gate"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// reply is a target's reply to a dispatch.
type reply struct {
	outcome apiv1.Outcome
	reason  apiv1.Reason
	load    *apiv1.Load
}

// dispatch is one attempt of a request at a target.
type dispatch struct {
	request  request
	key      gate.Key
	deadline time.Duration
	onStart  func()
	onReply  func(reply)
}

// simTarget simulates a target, with an agent or without.
type simTarget struct {
	clock       *clock
	rng         *rand.Rand
	id          string
	zone        string
	slots       int
	connections int
	// agent is nil for a plain server, which accepts requests up to its connection limit and
	// serves them in order of arrival.
	agent *simAgent

	busy       int
	waiting    []dispatch
	slowFactor float64
	failing    bool
	errorStorm bool
	// unreachable is set while no message reaches the host or leaves it.
	unreachable bool
	leaving     bool
}

func (t *simTarget) dispatch(d dispatch) {
	switch {
	case t.unreachable:
	case t.agent != nil:
		t.agent.dispatch(d)
	case t.leaving:
		t.reply(d, t.refuse(apiv1.Reason_REASON_TARGET_LEAVING))
	case t.busy < t.slots:
		t.serve(d)
	case t.busy+len(t.waiting) < t.connections:
		t.waiting = append(t.waiting, d)
	default:
		t.reply(d, t.refuse(apiv1.Reason_REASON_SLOTS_FULL))
	}
}

func (t *simTarget) refuse(reason apiv1.Reason) reply {
	return reply{outcome: apiv1.Outcome_OUTCOME_NOT_RUN, reason: reason, load: t.load()}
}

func (t *simTarget) reply(d dispatch, r reply) {
	if !t.unreachable {
		d.onReply(r)
	}
}

// serve executes a request on a plain server and then starts the next waiting one.
func (t *simTarget) serve(d dispatch) {
	t.busy++
	t.execute(d, func(out reply) {
		t.busy--
		if t.unreachable {
			return
		}
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			t.serve(next)
		}
		out.load = t.load()
		t.reply(d, out)
	})
}

// execute simulates the execution of a request and calls done with the outcome after the
// service time.
func (t *simTarget) execute(d dispatch, done func(reply)) {
	d.onStart()
	serviceTime := time.Duration(float64(d.request.serviceTime) * t.slowFactor)
	out := reply{outcome: apiv1.Outcome_OUTCOME_ANSWERED}
	if t.failing || (t.errorStorm && t.rng.Float64() < errorStormFraction) {
		out.outcome = apiv1.Outcome_OUTCOME_FAILED
	}
	if t.failing {
		serviceTime = failureLatency
	}
	t.clock.after(serviceTime, func() { done(out) })
}

func (t *simTarget) load() *apiv1.Load {
	return &apiv1.Load{InFlight: int32(t.busy + len(t.waiting)), Slots: int32(t.slots)}
}
