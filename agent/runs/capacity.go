package runs

import "time"

// capacityAge returns the time since the worker announced its capacity. An announcement that was
// delayed is as old as the worker's clock tells. The caller must hold s.mu.
func (s *session) capacityAge(now time.Time) time.Duration {
	age := now.Sub(s.announcedAt)
	if s.announced.ClockMs > 0 && !s.clock.received.IsZero() {
		byWorker := time.Duration(s.clock.ms-s.announced.ClockMs)*time.Millisecond + now.Sub(s.clock.received)
		age = max(age, byWorker)
	}
	return age
}

func (s *session) currentCapacityAge() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.capacityAge(s.d.opts.Now())
}
