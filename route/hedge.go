package route

import "time"

// minHedgeSamples is the minimum number of observed response times from which a hedge delay is
// derived.
const minHedgeSamples = 50

// HedgeAfter returns how long the driver waits for the first attempt of a request before it calls
// Pick for a concurrent second attempt (Dean and Barroso, "The Tail at Scale", 2013), or false if
// the request should not be hedged. Pick takes the token from the hedge budget and refuses the
// hedge if there is none. The driver cancels the slower attempt and records its outcome with the
// reason CANCELED or REVOKED.
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
	// A busy service gains nothing from running requests twice: another request has to wait for the
	// slot that a hedge takes.
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
