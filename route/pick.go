package route

import "time"

const (
	// extraChoices is how many further targets are looked at when all choices are
	// believed full.
	extraChoices = 8
	// maxRedraws bounds the draws for one choice; tried targets are drawn again.
	maxRedraws = 6
	// fullPenalty is more than the score of a target with a free slot.
	fullPenalty = 1000
	// slowStartFloor is the share of its slots that a new target begins with.
	slowStartFloor = 0.1
)

// Pick chooses a target for the next attempt of an admitted request: the least
// loaded of a few random ones, after the power of two choices (Mitzenmacher, 2001).
// It refuses a second attempt that could run a non-idempotent request twice, and an
// attempt beside an open one that the hedge budget does not allow.
func (r *Router) Pick(now time.Time, req *Request) (Choice, bool) {
	s := r.service(req.Service)
	if s == nil {
		return Choice{Reason: "service is unknown"}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pick(now, req)
}

func (s *service) pick(now time.Time, req *Request) (Choice, bool) {
	// A second dispatch of a request that may have run could run it twice. This is
	// checked here, and not only by Retry, so that no mistake of a driver can
	// cause it.
	if !req.Idempotent && req.possiblyRun > 0 {
		return Choice{Reason: "not idempotent and may have run"}, false
	}
	hedge := len(req.openAttempts) > 0
	if hedge && !s.hedgeBudget.available() {
		return Choice{Reason: "hedge budget is spent"}, false
	}
	t, c := s.choose(now, req, hedge)
	if t == nil {
		return c, false
	}
	if hedge {
		s.hedgeBudget.tryWithdraw()
		s.counters.Hedges++
	}
	c.Target = t.Target
	c.Load = t.load() / float64(t.Slots)
	s.counters.Picks++
	return c, true
}

func (s *service) choose(now time.Time, req *Request, hedge bool) (*target, Choice) {
	c := Choice{Candidates: s.eligible()}
	if t := s.pickProbe(now, req); t != nil {
		c.Reason = "probe after ejection"
		return t, c
	}
	if c.Candidates == 0 {
		c.Reason = "no target"
		return nil, c
	}
	t, reason := s.chooseByTier(now, req)
	if t == nil {
		t, reason = s.scan(now, req, false), "last untried"
	}
	if t == nil && !hedge {
		t, reason = s.scan(now, req, true), "all were tried"
	}
	if t == nil {
		reason = "all were tried"
	}
	c.Reason = reason
	return t, c
}

// chooseByTier draws from the own availability zone until that is loaded, then
// from the region, and from other regions only when this one has no target.
func (s *service) chooseByTier(now time.Time, req *Request) (*target, string) {
	zone := &s.tiers[tierZone]
	if len(zone.targets) > 0 && zone.utilization() < s.cfg.LocalLoad {
		if t := s.sample(now, req, zone.targets, nil); t != nil && !t.full() {
			return t, "own zone"
		}
	}
	region := s.tiers[tierRegion].targets
	if len(zone.targets)+len(region) > 0 {
		return s.sample(now, req, zone.targets, region), "region"
	}
	return s.sample(now, req, s.tiers[tierRemote].targets, nil), "other region"
}

// sample takes the least loaded of some random targets of a and b together, and
// looks at a few more when it seems full.
func (s *service) sample(now time.Time, req *Request, a, b []*target) *target {
	var best *target
	bestScore := 0.0
	looked := 0
	for range s.cfg.Choices + extraChoices {
		t := s.sampleOne(req, best, a, b)
		if t == nil {
			return best
		}
		t.expireLoadReport(now)
		if sc := t.score(now); best == nil || sc < bestScore {
			best, bestScore = t, sc
		}
		looked++
		if looked >= s.cfg.Choices && !best.full() {
			return best
		}
	}
	return best
}

func (s *service) sampleOne(req *Request, not *target, a, b []*target) *target {
	n := len(a) + len(b)
	if n == 0 || (n == 1 && not != nil) {
		return nil
	}
	for range maxRedraws {
		i := s.rng.IntN(n)
		var t *target
		if i < len(a) {
			t = a[i]
		} else {
			t = b[i-len(a)]
		}
		if t != not && !req.wasTried(t.ID) && !req.hasOpenAttempt(t) {
			return t
		}
	}
	return nil
}

// scan looks at all targets, nearest tier first, for the least loaded one.
func (s *service) scan(now time.Time, req *Request, again bool) *target {
	for i := range s.tiers {
		var best *target
		for _, t := range s.tiers[i].targets {
			if req.hasOpenAttempt(t) || (!again && req.wasTried(t.ID)) {
				continue
			}
			if best == nil || t.score(now) < best.score(now) {
				best = t
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// score is the load per slot that the target would have with one request more,
// weighted by how slow it is. A full target comes after any other, however slow.
func (t *target) score(now time.Time) float64 {
	sc := (t.load() + 1) / (float64(t.Slots) * t.slowStartShare(now)) * t.slowness()
	if t.full() {
		sc += fullPenalty
	}
	return sc
}

// slowStartShare is the share of its slots that a new target counts with. Without a slow
// start all entries send their next requests to the one idle target at once,
// while its caches are cold.
func (t *target) slowStartShare(now time.Time) float64 {
	age := now.Sub(t.addedAt)
	if age >= t.svc.cfg.SlowStart {
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(t.svc.cfg.SlowStart))
}
