package route

import (
	"slices"
	"time"
)

const (
	// ejectWindow is the length of a window of outcomes; ratios are over one to two.
	ejectWindow = 5 * time.Second
	// minEjectSamples is the least number of outcomes that a ratio is taken from.
	minEjectSamples = 10
	// outlierRatio is how many times the other targets' failure ratio a target
	// must reach to be ejected: a fault of all targets is no target's fault.
	outlierRatio = 2
	// failureRateWeight is the weight of one outcome in the recent failures.
	failureRateWeight = 0.1
	// maxProbeCandidates bounds the ejected targets that one pick looks at.
	maxProbeCandidates = 4
	// maxEjectDoublings keeps the shift of the ejection time from overflowing.
	maxEjectDoublings = 16
	// probeRatio is the number of probes that a success allows, probeBurst the
	// most that is saved up.
	probeRatio = 0.02
	probeBurst = 5
	// probeTimeout frees the place of a probe whose outcome never came.
	probeTimeout = 10 * time.Second
)

// outcomeWindow counts outcomes over one to two windows.
type outcomeWindow struct {
	start                             time.Time
	succeeded, failed                 int // in the current window
	previousSucceeded, previousFailed int
}

func (w *outcomeWindow) add(now time.Time, good bool) {
	if age := now.Sub(w.start); age >= ejectWindow {
		w.previousSucceeded, w.previousFailed = w.succeeded, w.failed
		w.succeeded, w.failed = 0, 0
		if age >= 2*ejectWindow {
			w.previousSucceeded, w.previousFailed = 0, 0
		}
		w.start = now
	}
	if good {
		w.succeeded++
	} else {
		w.failed++
	}
}

func (w *outcomeWindow) total() int {
	return w.succeeded + w.previousSucceeded + w.failed + w.previousFailed
}
func (w *outcomeWindow) failures() int { return w.failed + w.previousFailed }

// health is what a target's outcomes say about it.
type health struct {
	window      outcomeWindow
	consecutive int
	// failureRate is the moving average of failures, 0 to 1.
	failureRate   float64
	lastOutcomeAt time.Time
	ejected       bool
	unreachable   bool
	// probeAfter is when an ejected target may be probed, probedAt when it last was.
	probeAfter time.Time
	probedAt   time.Time
	probing    bool
	// ejections counts those without a success between them.
	ejections int
}

func (h *health) add(now time.Time, good bool) {
	h.window.add(now, good)
	h.lastOutcomeAt = now
	failed := 1.0
	if good {
		failed = 0
	}
	h.failureRate += failureRateWeight * (failed - h.failureRate)
}

// recordSuccess takes in a success.
func (s *service) recordSuccess(now time.Time, t *target) {
	t.health.add(now, true)
	t.health.consecutive = 0
	t.health.ejections = 0
	if t.health.ejected {
		s.readmit(now, t)
	}
}

// recordFailure takes in a failure of the target itself.
func (s *service) recordFailure(now time.Time, t *target) {
	t.health.add(now, false)
	t.health.consecutive++
	if t.health.ejected {
		s.recordFailedProbe(now, t)
		return
	}
	if s.shouldEject(now, t) {
		s.eject(now, t, s.cfg.EjectShare)
	}
}

// recordFailedProbe keeps a target out, unless the others have come to fail as much:
// then what looked like its own fault is everyone's.
func (s *service) recordFailedProbe(now time.Time, t *target) {
	if s.isOutlier(now, t) {
		s.scheduleProbe(now, t)
		return
	}
	s.readmit(now, t)
}

// shouldEject reports whether a target's failures, by their ratio or in a row, are
// reason to eject it.
func (s *service) shouldEject(now time.Time, t *target) bool {
	w := &t.health.window
	highRatio := w.total() >= minEjectSamples && float64(w.failures()) >= s.cfg.EjectRatio*float64(w.total())
	if !highRatio && t.health.consecutive < s.cfg.EjectConsecutive {
		return false
	}
	return s.isOutlier(now, t)
}

// isOutlier reports whether a target fails much more than the others do. In a fault
// that all targets share, like a failing dependency, ejections would only take
// capacity away from those that are left.
func (s *service) isOutlier(now time.Time, t *target) bool {
	var rest failureMean
	for i := range s.tiers {
		rest.add(now, t, s.tiers[i].targets)
	}
	rest.add(now, t, s.ejected)
	return rest.n == 0 || t.health.failureRate >= outlierRatio*rest.sum/float64(rest.n)
}

// failureMean averages the recent failures of all targets but one.
type failureMean struct {
	sum float64
	n   int
}

func (m *failureMean) add(now time.Time, except *target, list []*target) {
	for _, t := range list {
		if t != except && !t.health.lastOutcomeAt.IsZero() && now.Sub(t.health.lastOutcomeAt) < ejectWindow {
			m.sum += t.health.failureRate
			m.n++
		}
	}
}

// recordUnreachable takes in that an agent can't be reached: none of its targets can.
func (s *service) recordUnreachable(now time.Time, t *target) {
	if t.health.ejected {
		s.scheduleProbe(now, t)
		return
	}
	for _, o := range s.byAgent[t.Agent] {
		if o.AgentIncarnation == t.AgentIncarnation && !o.health.ejected {
			s.ejectUnreachable(now, o)
		}
	}
}

func (s *service) ejectUnreachable(now time.Time, t *target) {
	s.eject(now, t, s.cfg.UnreachableShare)
	t.health.unreachable = t.health.ejected
}

// eject takes a target out until its probe, unless too many are out already:
// ejecting the last ones would turn a partial failure into a whole one.
func (s *service) eject(now time.Time, t *target, share float64) {
	if t.tierIndex < 0 || len(s.ejected)+1 > maxEjected(s.eligible()+len(s.ejected), share) {
		return
	}
	t.health.ejected = true
	t.health.unreachable = false
	s.ejected = append(s.ejected, t)
	s.counters.Ejections++
	s.updateEligibility(t)
	s.scheduleProbe(now, t)
	s.limit.setBounds(s.slots(), s.sharingEntries())
}

// maxEjected is how many of a number of targets may be out at a time; at least
// one target always stays.
func maxEjected(total int, share float64) int {
	if total < 2 {
		return 0
	}
	return max(1, int(share*float64(total)))
}

// scheduleProbe sets the time of the next probe, with exponential backoff.
func (s *service) scheduleProbe(now time.Time, t *target) {
	h := &t.health
	d := s.cfg.EjectTimeMax
	if h.ejections < maxEjectDoublings {
		d = min(d, s.cfg.EjectTime<<h.ejections)
	}
	h.ejections++
	h.probing = false
	h.probeAfter = now.Add(d)
}

// pickProbe returns an ejected target whose time has come for one request. Probes
// are a small share of all requests, since a lost host makes each one wait: when
// a zone is lost, its targets' probes would otherwise delay requests by the
// hundred. Requests that are not idempotent are kept away for an ejection longer,
// as their outcome could stay unknown.
func (s *service) pickProbe(now time.Time, req *Request) *target {
	if len(s.ejected) == 0 || !s.probeBudget.available() {
		return nil
	}
	for range min(len(s.ejected), maxProbeCandidates) {
		s.probeCursor = (s.probeCursor + 1) % len(s.ejected)
		t := s.ejected[s.probeCursor]
		if !t.probeDue(now, req) {
			continue
		}
		s.probeBudget.tryWithdraw()
		t.health.probing = true
		t.health.probedAt = now
		return t
	}
	return nil
}

func (t *target) probeDue(now time.Time, req *Request) bool {
	h := &t.health
	from := h.probeAfter
	if !req.Idempotent {
		from = from.Add(t.svc.cfg.EjectTime)
	}
	if now.Before(from) || t.Leaving || !t.inSubset || req.wasTried(t.ID) {
		return false
	}
	return !h.probing || now.Sub(h.probedAt) >= probeTimeout
}

// readmit gives a target work again, with a slow start and a clean record.
func (s *service) readmit(now time.Time, t *target) {
	s.clearEjection(t)
	t.health = health{ejections: t.health.ejections}
	t.addedAt = now
	s.updateEligibility(t)
	s.limit.setBounds(s.slots(), s.sharingEntries())
}

func (s *service) clearEjection(t *target) {
	if !t.health.ejected {
		return
	}
	t.health.ejected = false
	if i := slices.Index(s.ejected, t); i >= 0 {
		s.ejected = slices.Delete(s.ejected, i, i+1)
	}
}

// enforceEjectionCap readmits targets when others went away and the cap shrank.
func (s *service) enforceEjectionCap(now time.Time) {
	for len(s.ejected) > maxEjected(s.eligible()+len(s.ejected), s.cfg.UnreachableShare) {
		s.readmit(now, s.ejected[0])
	}
}
