package route

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Counters count a service's decisions and outcomes since the start.
type Counters struct {
	Admitted, Queued, Refused                 uint64
	Picks, Sent                               uint64
	Retries, RetriesDenied, Hedges            uint64
	Redirects, RedirectsDenied                uint64
	SlotsFull, Ejections                      uint64
	Answered, Failed, NotRun, UnknownOutcomes uint64
}

func (c *Counters) count(o apiv1.Outcome) {
	switch o {
	case apiv1.Outcome_OUTCOME_ANSWERED:
		c.Answered++
	case apiv1.Outcome_OUTCOME_FAILED:
		c.Failed++
	case apiv1.Outcome_OUTCOME_NOT_RUN:
		c.NotRun++
	default:
		c.UnknownOutcomes++
	}
}

// Stats is a service's state for the status page and the metrics.
type Stats struct {
	Service string
	// Limit is the concurrency limit, InFlight the requests that count towards
	// it, QueuedUrgent and QueuedBatch those that wait.
	Limit                     float64
	InFlight                  int
	QueuedUrgent, QueuedBatch int
	// Known counts all targets, Kept those in this entry's subset, Eligible those
	// that get work and Ejected those that wait for a probe.
	Known, InSubset, Eligible, Ejected int
	Slots                              float64
	P50, P95, P99                      time.Duration
	RetryTokens, HedgeTokens           float64
	Counters                           Counters
}

// Stats returns a service's state; false when the service is unknown.
func (r *Router) Stats(now time.Time, name string) (Stats, bool) {
	s := r.service(name)
	if s == nil {
		return Stats{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Stats{
		Service:      name,
		Limit:        s.limit.value,
		InFlight:     s.inFlight,
		QueuedUrgent: s.queue.urgent.length,
		QueuedBatch:  s.queue.batch.length,
		Known:        len(s.targets),
		Eligible:     s.eligible(),
		Ejected:      len(s.ejected),
		Slots:        s.slots(),
		P50:          s.latency.quantile(now, q50),
		P95:          s.latency.quantile(now, q95),
		P99:          s.latency.quantile(now, q99),
		RetryTokens:  s.retryBudget.tokens,
		HedgeTokens:  s.hedgeBudget.tokens,
		Counters:     s.counters,
	}
	for _, t := range s.targets {
		if t.inSubset {
			st.InSubset++
		}
	}
	return st, true
}
