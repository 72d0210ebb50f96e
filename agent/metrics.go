package agent

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cairnlift/cairnlift/agent/gate"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// agentMetrics are the agent's metrics. Names end up in /metrics as they stand here.
type agentMetrics struct {
	registry       metrics.Registry
	responseTime   metrics.Timer
	waitTime       metrics.Timer
	outcomes       map[apiv1.Outcome]metrics.Counter
	refusals       map[apiv1.Reason]metrics.Counter
	heartbeats     metrics.Counter
	lostHeartbeats metrics.Counter
	cutRequests    metrics.Counter
	inFlight       metrics.Gauge
	waiting        metrics.Gauge
	records        metrics.Gauge
	tombstones     metrics.Gauge
	targets        metrics.Gauge
}

func newAgentMetrics(r metrics.Registry) *agentMetrics {
	m := &agentMetrics{
		registry:       r,
		responseTime:   metrics.GetOrRegisterTimer("agent.dispatch.response", r),
		waitTime:       metrics.GetOrRegisterTimer("agent.dispatch.waited", r),
		outcomes:       make(map[apiv1.Outcome]metrics.Counter),
		refusals:       make(map[apiv1.Reason]metrics.Counter),
		heartbeats:     metrics.GetOrRegisterCounter("agent.heartbeat.answered", r),
		lostHeartbeats: metrics.GetOrRegisterCounter("agent.heartbeat.lost", r),
		cutRequests:    metrics.GetOrRegisterCounter("agent.shutdown.cut_requests", r),
		inFlight:       metrics.GetOrRegisterGauge("agent.gate.in_flight", r),
		waiting:        metrics.GetOrRegisterGauge("agent.gate.waiting", r),
		records:        metrics.GetOrRegisterGauge("agent.gate.records", r),
		tombstones:     metrics.GetOrRegisterGauge("agent.gate.tombstones", r),
		targets:        metrics.GetOrRegisterGauge("agent.gate.targets", r),
	}
	for n, name := range apiv1.Outcome_name {
		m.outcomes[apiv1.Outcome(n)] = metrics.GetOrRegisterCounter("agent.dispatch.outcome."+name, r)
	}
	for n, name := range apiv1.Reason_name {
		m.refusals[apiv1.Reason(n)] = metrics.GetOrRegisterCounter("agent.dispatch.refused."+name, r)
	}
	return m
}

func (m *agentMetrics) recordRefusal(reason apiv1.Reason) {
	if c := m.refusals[reason]; c != nil {
		c.Inc(1)
	}
}

func (m *agentMetrics) recordOutcome(v gate.Verdict, took time.Duration) {
	if c := m.outcomes[v.Outcome]; c != nil {
		c.Inc(1)
	}
	m.responseTime.Update(took)
}
