package route

import "time"

// defaultRetryAfter is the Retry-After while no rate was observed yet.
const defaultRetryAfter = 100 * time.Millisecond

// RetryAfter returns how long a caller whose request was given up is to wait
// before it retries, from the service's queue and the rate at which it works it
// off.
func (r *Router) RetryAfter(now time.Time, service string) time.Duration {
	s := r.service(service)
	if s == nil {
		return defaultRetryAfter
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryAfter(now, s.predictWait(float64(s.queue.len())))
}

// retryAfter returns how long the caller of a refused request that lacks some
// time is to wait. The retries are spread, one per start that the service makes:
// with the same Retry-After for all, the callers refused in one burst would come
// back as the next one.
func (s *service) retryAfter(now time.Time, lack time.Duration) time.Duration {
	step := s.predictWait(1)
	if step == 0 {
		step = defaultRetryAfter
	}
	at := now.Add(lack)
	if s.lastRetryAt.After(at) {
		at = s.lastRetryAt
	}
	at = at.Add(step)
	if latest := now.Add(s.cfg.RetryAfterMax); at.After(latest) {
		half := s.cfg.RetryAfterMax / 2
		s.lastRetryAt = latest
		return half + time.Duration(s.rng.Int64N(int64(half)))
	}
	s.lastRetryAt = at
	return at.Sub(now)
}

// noTargetRetryAfter is the Retry-After of a service without targets: as long
// again as it has been without.
func (s *service) noTargetRetryAfter(now time.Time) time.Duration {
	if s.emptySince.IsZero() {
		s.emptySince = now
	}
	return min(s.cfg.RetryAfterMax, max(defaultRetryAfter, now.Sub(s.emptySince)))
}
