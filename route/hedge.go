package route

import "time"

// minHedgeSamples is the least number of observed response times to hedge by.
const minHedgeSamples = 50

// HedgeAfter returns how long the driver waits for a request's first attempt
// before it asks Pick for a second one beside it (Dean and Barroso, "The Tail at
// Scale", 2013); false when the request is not to be hedged. Pick takes the
// token from the hedge budget and refuses when it is spent. The loser is
// canceled and settled with the reason CANCELED or REVOKED.
func (r *Router) HedgeAfter(now time.Time, req *Request) (time.Duration, bool) {
	if !req.Idempotent {
		return 0, false
	}
	s := r.service(req.Service)
	if s == nil {
		return 0, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(req.openAttempts) > 1 || req.Attempt >= s.cfg.MaxAttempts || s.eligible() < 2 {
		return 0, false
	}
	// A busy service gains nothing from doing work twice: what a hedge takes,
	// another request waits for.
	if s.queue.len() > 0 || float64(s.inFlight) > s.cfg.HedgeLoad*s.limit.value {
		return 0, false
	}
	after := s.latency.quantile(now, q95)
	if s.latency.count < minHedgeSamples || !s.hedgeBudget.available() {
		return 0, false
	}
	if req.remaining(now) < after+s.requiredTime(now) {
		return 0, false
	}
	return after, true
}
