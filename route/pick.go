package route

import "time"

const (
	// extraChoices is the number of further targets that are sampled if all choices seem full.
	extraChoices = 8
	// maxRedraws limits the random draws for one choice. A target that was already tried is drawn
	// again.
	maxRedraws = 6
	// fullPenalty is more than the score of any target with a free slot.
	fullPenalty = 1000
	// slowStartFloor is the fraction of its slots with which a new target starts.
	slowStartFloor = 0.1
)

// Pick chooses a target for the next attempt of an admitted request: the least loaded of a few
// random ones, according to the power of two choices (Mitzenmacher, 2001). It refuses a second
// attempt that could run a non-idempotent request twice, and a hedge that the hedge budget does not
// allow.
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
	// A second dispatch of a request that may have run could run it twice. Pick checks this itself,
	// in addition to Retry, so that no error in a driver can cause it.
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
		t, reason = s.scan(now, req, false), "last untried target"
	}
	if t == nil && !hedge {
		t, reason = s.scan(now, req, true), "all targets were tried"
	}
	if t == nil {
		reason = "all targets were tried"
	}
	c.Reason = reason
	return t, c
}

// chooseByTier samples targets of the entry's own availability zone while the load of that zone is
// low enough, otherwise of the region. It samples other regions only if this one has no target.
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

// sample returns the least loaded of some random targets from a and b together. If it seems full,
// sample considers a few more targets.
func (s *service) sample(now time.Time, req *Request, a, b []*target) *target {
	var best *target
	bestScore := 0.0
	sampled := 0
	for range s.cfg.Choices + extraChoices {
		t := s.sampleOne(req, best, a, b)
		if t == nil {
			return best
		}
		t.expireLoadReport(now)
		if sc := t.score(now); best == nil || sc < bestScore {
			best, bestScore = t, sc
		}
		sampled++
		if sampled >= s.cfg.Choices && !best.full() {
			return best
		}
	}
	return best
}

// sampleOne returns a random target from a and b together that is neither exclude nor already tried,
// or nil if it finds none within maxRedraws draws.
func (s *service) sampleOne(req *Request, exclude *target, a, b []*target) *target {
	n := len(a) + len(b)
	if n == 0 || (n == 1 && exclude != nil) {
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
		if t != exclude && !req.wasTried(t.ID) && !req.hasOpenAttempt(t) {
			return t
		}
	}
	return nil
}

// scan returns the least loaded target of the nearest tier that has one without an open attempt of
// the request. Targets that were already tried are considered only if includeTried is set.
func (s *service) scan(now time.Time, req *Request, includeTried bool) *target {
	for i := range s.tiers {
		var best *target
		for _, t := range s.tiers[i].targets {
			if req.hasOpenAttempt(t) || (!includeTried && req.wasTried(t.ID)) {
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

// score returns the load per slot that the target would have with one more request, weighted by its
// slowness. A full target scores worse than any other, however slow.
func (t *target) score(now time.Time) float64 {
	sc := (t.load() + 1) / (float64(t.Slots) * t.slowStartShare(now)) * t.slowness()
	if t.full() {
		sc += fullPenalty
	}
	return sc
}

// slowStartShare returns the fraction of its slots that counts for a new target. Without a slow
// start, all entries would send their next requests to the one idle target at once, while its
// caches are cold.
func (t *target) slowStartShare(now time.Time) float64 {
	age := now.Sub(t.addedAt)
	if age >= t.svc.cfg.SlowStart {
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(t.svc.cfg.SlowStart))
}
