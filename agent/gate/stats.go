package gate

import "time"

const (
	// meanDivisor is the weight of the newest response time in the moving average, as a
	// divisor.
	meanDivisor = 8
	// fastestWindow is how long a quickest answer counts, at least.
	fastestWindow = 10 * time.Second
	// minFastestSamples is how many answers a window needs to be believed.
	minFastestSamples = 20
	minRetryAfter     = time.Millisecond
)

// responseStats is what the gate learns of a target's response times.
type responseStats struct {
	mean    time.Duration
	current window
	last    window
}

type window struct {
	start   time.Time
	samples int
	fastest time.Duration
}

func (s *responseStats) observe(now time.Time, took time.Duration) {
	if s.mean == 0 {
		s.mean = took
	}
	s.mean += (took - s.mean) / meanDivisor
	s.rollWindow(now)
	if s.current.samples == 0 || took < s.current.fastest {
		s.current.fastest = took
	}
	s.current.samples++
}

func (s *responseStats) rollWindow(now time.Time) {
	age := now.Sub(s.current.start)
	if age < fastestWindow {
		return
	}
	s.last = s.current
	if age >= 2*fastestWindow {
		s.last = window{}
	}
	s.current = window{start: now}
}

// fastest is the quickest answer of late, zero when too few are known. Old windows
// are dropped, so refusals for want of time end by themselves.
func (s *responseStats) fastest(now time.Time) time.Duration {
	s.rollWindow(now)
	if s.current.samples+s.last.samples < minFastestSamples {
		return 0
	}
	if s.last.samples == 0 {
		return s.current.fastest
	}
	if s.current.samples == 0 {
		return s.last.fastest
	}
	return min(s.current.fastest, s.last.fastest)
}

func (t *target) requestStarted() { t.inFlight++ }

func (t *target) requestEnded(now time.Time, took time.Duration, counts bool) {
	t.inFlight--
	if counts {
		t.stats.observe(now, took)
	}
}

// nextFreeSlot estimates when one of n slots becomes free that nobody waits for: with n
// independent requests in progress one ends every mean/n.
func (t *target) nextFreeSlot(n int) time.Duration {
	ends := time.Duration(1 + len(t.waiting))
	return max(ends*t.stats.mean/time.Duration(n), minRetryAfter)
}
