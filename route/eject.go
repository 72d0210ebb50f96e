package route

import (
	"slices"
	"time"
)

const (
	// ejectWindow is the length of a window of outcomes. Failure ratios cover one to two windows.
	ejectWindow = 5 * time.Second
	// minEjectSamples is the minimum number of outcomes for a failure ratio.
	minEjectSamples = 10
	// outlierRatio is how many times the mean failure rate of the other targets a target's failure
	// rate must be to eject it: a fault that all targets share is not the target's own fault.
	outlierRatio = 2
	// failureRateWeight is the weight of one outcome in the moving average of failures.
	failureRateWeight = 0.1
	// maxProbeCandidates limits the ejected targets that one Pick considers for a probe.
	maxProbeCandidates = 4
	// maxEjectDoublings prevents an overflow of the shift of the ejection time.
	maxEjectDoublings = 16
	// probeRatio is the number of probes that a success adds to the budget. probeBurst is the
	// maximum that the budget accumulates.
	probeRatio = 0.02
	probeBurst = 5
	// probeTimeout is the time from a probe until another one may be sent although the first has no
	// outcome.
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

// health is the state of a target that follows from its outcomes.
type health struct {
	window      outcomeWindow
	consecutive int
	// failureRate is the moving average of failures, from 0 to 1.
	failureRate   float64
	lastOutcomeAt time.Time
	ejected       bool
	unreachable   bool
	// probeAfter is the time from which an ejected target may be probed. probedAt is the time of
	// its last probe.
	probeAfter time.Time
	probedAt   time.Time
	probing    bool
	// ejections counts the ejections and failed probes since the last success.
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

// recordSuccess records a success of the target.
func (s *service) recordSuccess(now time.Time, t *target) {
	t.health.add(now, true)
	t.health.consecutive = 0
	t.health.ejections = 0
	if t.health.ejected {
		s.readmit(now, t)
	}
}

// recordFailure records a failure of the target itself.
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

// recordFailedProbe keeps a target ejected, unless the other targets now fail as much: then the
// failures are not the target's own.
func (s *service) recordFailedProbe(now time.Time, t *target) {
	if s.isOutlier(now, t) {
		s.scheduleProbe(now, t)
		return
	}
	s.readmit(now, t)
}

// shouldEject reports whether to eject a target because of its failure ratio or its consecutive
// failures.
func (s *service) shouldEject(now time.Time, t *target) bool {
	w := &t.health.window
	highRatio := w.total() >= minEjectSamples && float64(w.failures()) >= s.cfg.EjectRatio*float64(w.total())
	if !highRatio && t.health.consecutive < s.cfg.EjectConsecutive {
		return false
	}
	return s.isOutlier(now, t)
}

// isOutlier reports whether a target fails much more often than the others. If all targets share a
// fault, such as a failing dependency, ejections would only reduce the capacity.
func (s *service) isOutlier(now time.Time, t *target) bool {
	var others failureMean
	for i := range s.tiers {
		others.add(now, t, s.tiers[i].targets)
	}
	others.add(now, t, s.ejected)
	return others.n == 0 || t.health.failureRate >= outlierRatio*others.sum/float64(others.n)
}

// failureMean is the mean failure rate of all targets with a recent outcome, except one.
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

// recordUnreachable records that an agent is unreachable, and with it all of its targets.
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

// eject removes a target from the eligible ones until its probe, unless too many targets are
// ejected already: ejecting the last ones would turn a partial failure into a complete one.
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

// maxEjected returns how many of a number of targets may be ejected at a time. At least one target
// always stays eligible.
func maxEjected(total int, share float64) int {
	if total < 2 {
		return 0
	}
	return max(1, int(share*float64(total)))
}

// scheduleProbe sets the time of the next probe with exponential backoff.
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

// pickProbe returns an ejected target that is due for a probe by this request, or nil. Probes are
// limited to a small fraction of all requests, because each probe of a lost host makes its request
// wait: when a zone is lost, the probes of its targets would otherwise delay hundreds of requests.
// A request that is not idempotent waits for one more ejection time before it may be a probe,
// because its outcome could stay unknown.
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
	due := h.probeAfter
	if !req.Idempotent {
		due = due.Add(t.svc.cfg.EjectTime)
	}
	if now.Before(due) || t.Leaving || !t.inSubset || req.wasTried(t.ID) {
		return false
	}
	return !h.probing || now.Sub(h.probedAt) >= probeTimeout
}

// readmit makes a target eligible again, with a slow start and a new health record.
func (s *service) readmit(now time.Time, t *target) {
	s.clearEjection(t)
	t.health = health{ejections: t.health.ejections}
	t.addedAt = now
	s.updateEligibility(t)
	s.limit.setBounds(s.slots(), s.sharingEntries())
}

// clearEjection removes a target from the ejected ones without making it eligible.
func (s *service) clearEjection(t *target) {
	if !t.health.ejected {
		return
	}
	t.health.ejected = false
	if i := slices.Index(s.ejected, t); i >= 0 {
		s.ejected = slices.Delete(s.ejected, i, i+1)
	}
}

// enforceEjectionCap readmits targets while more are ejected than the limit allows, after other
// targets were removed.
func (s *service) enforceEjectionCap(now time.Time) {
	for len(s.ejected) > maxEjected(s.eligible()+len(s.ejected), s.cfg.UnreachableShare) {
		s.readmit(now, s.ejected[0])
	}
}
