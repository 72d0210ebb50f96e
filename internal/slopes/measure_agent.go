package main

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cairnlift/cairnlift/agent/gate"
	"github.com/cairnlift/cairnlift/agent/lease"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// measureAgent measures an agent's leases and its gate, the agent's admission control.
func (r *recorder) measureAgent() {
	r.measure("agentLease", "agent: four looks at the worker and one heartbeat with its codec, by leases", "ns", "lease", leaseSizes, func(n int) float64 {
		now := time.Hour
		m := lease.New(now - time.Minute)
		o := lease.Observation{Info: workerInfo(3), Tasks: workerHeartbeat(3, n, 0).Tasks}
		return costPerCall(func() {
			for range 4 {
				now += 250 * time.Millisecond
				m.Observe(now, o)
			}
			hb := m.Heartbeat(now)
			_, err := proto.Marshal(&apiv1.HeartbeatRequest{Worker: hb})
			must(err)
			m.ApplyOrders(now, &apiv1.WorkerOrders{Worker: hb.Worker, Sequence: hb.Sequence, Renewed: true, LeaseMs: 6000})
		})
	})
	r.measure("gateRecord", "agent: attempts remembered for two minutes", "B", "attempt", taskSizes, func(n int) float64 {
		return retainedHeap(func() any {
			g := newGate()
			for i := range n {
				g.admitAndFinish(i)
			}
			return g
		})
	})
	r.measure("gateRequest", "agent: attempts admitted and finished", "ns", "attempt", taskSizes, func(n int) float64 {
		return costPerCall(func() {
			g := newGate()
			for i := range n {
				g.admitAndFinish(i)
			}
		})
	})
}

// measuredGate is a gate with one target and its own clock.
type measuredGate struct {
	*gate.Gate
	now time.Time
}

const gateIncarnation = 7

func newGate() *measuredGate {
	g := &measuredGate{Gate: gate.New(gateIncarnation, gate.DefaultLimits()), now: epoch}
	g.Configure(&apiv1.Configuration{Version: 1, Services: []*apiv1.Service{service(0)}})
	g.Expire(g.now)
	g.Announce(g.now, gate.Announcement{
		Name: target(0).Name, Service: serviceName(0), Address: "10.0.0.17:8080", TTL: time.Hour,
	})
	return g
}

// admitAndFinish admits attempt i, a millisecond after the previous one, and finishes it.
func (g *measuredGate) admitAndFinish(i int) {
	g.now = g.now.Add(time.Millisecond)
	if i%500 == 0 {
		g.Expire(g.now)
		g.Confirm(1, g.now)
	}
	key := gate.Key{RequestID: fmt.Sprintf("entry-01-%016d", i), Attempt: 1}
	a := g.Admit(g.now, gate.Dispatch{
		Key: key, Service: serviceName(0), Target: target(0).Name, Incarnation: gateIncarnation,
		Remaining: time.Second, ConfigurationVersion: 1, ConfirmedAge: time.Millisecond,
	})
	if !a.Run {
		panic("gate refused an attempt for an idle target: " + a.Verdict.Message)
	}
	g.Finish(g.now, key, gate.Verdict{Outcome: apiv1.Outcome_OUTCOME_ANSWERED})
}
