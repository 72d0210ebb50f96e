package route

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// AttemptResult is what became of one attempt.
type AttemptResult struct {
	Request *Request
	// Target is the id of the target that the attempt was sent to.
	Target  string
	Outcome apiv1.Outcome
	Reason  apiv1.Reason
	// Load rode on the answer; nil when there was none.
	Load *apiv1.Load
	// Latency is the time from Sent to the outcome.
	Latency time.Duration
}

// RecordSent notes that an attempt is on its way to a target, before it is sent.
func (r *Router) RecordSent(now time.Time, req *Request, target string) {
	s := r.service(req.Service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	req.Attempt++
	req.Tried = append(req.Tried, target)
	req.possiblyRun++
	s.counters.Sent++
	t := s.targets[target]
	if t == nil {
		t = s.placeholderTarget(target)
	}
	t.addOwnInFlight(1)
	req.openAttempts = append(req.openAttempts, t)
}

// RecordOutcome takes in the outcome of an attempt. Only the first outcome of an
// attempt counts.
func (r *Router) RecordOutcome(now time.Time, res AttemptResult) {
	s := r.service(res.Request.Service)
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := res.Request.closeAttempt(res.Target)
	if t == nil {
		return
	}
	t.addOwnInFlight(-1)
	t.applyLoadReport(now, res.Load)
	if confirmedNotRun(res.Outcome, res.Reason) {
		res.Request.possiblyRun--
	}
	s.applyResult(now, t, res)
}

// confirmedNotRun: a duplicate was not run itself, but the attempt that it
// duplicates may have been.
func confirmedNotRun(o apiv1.Outcome, reason apiv1.Reason) bool {
	return o == apiv1.Outcome_OUTCOME_NOT_RUN && reason != apiv1.Reason_REASON_DUPLICATE
}

// applyResult draws the conclusions about the target, the limit and the budgets.
func (s *service) applyResult(now time.Time, t *target, res AttemptResult) {
	switch classify(res.Outcome, res.Reason) {
	case outcomeSuccess:
		s.latency.record(now, res.Latency)
		t.meanResponseTime = average(t.meanResponseTime, res.Latency, targetResponseTimeWeight)
		s.retryBudget.deposit()
		s.redirectBudget.deposit()
		s.hedgeBudget.deposit()
		s.probeBudget.deposit()
		s.limit.raise(s.inFlight, s.cfg.RefusalShare)
		s.recordSuccess(now, t)
	case outcomeFailure:
		s.recordFailure(now, t)
	case outcomeSlow:
		s.latency.record(now, res.Latency)
		t.meanResponseTime = average(t.meanResponseTime, res.Latency, targetResponseTimeWeight)
		s.recordFailure(now, t)
	case outcomeSlotsFull:
		s.counters.SlotsFull++
		s.limit.lower()
		t.setOtherInFlight(now, max(t.otherInFlight, float64(t.Slots-t.ownInFlight)))
		s.recordReachable(now, t)
	case outcomeLeaving:
		s.markLeaving(now, t)
	case outcomeUnreachable:
		s.recordUnreachable(now, t)
	case outcomeNeutral:
		s.recordReachable(now, t)
	}
}

// recordReachable notes that a target's agent answered, though it said nothing about
// how well the target works.
func (s *service) recordReachable(now time.Time, t *target) {
	t.health.probing = false
	if t.health.ejected && t.health.unreachable {
		s.readmit(now, t)
	}
}

type outcomeClass uint8

const (
	outcomeNeutral outcomeClass = iota
	outcomeSuccess
	outcomeFailure
	outcomeSlow
	outcomeSlotsFull
	outcomeLeaving
	outcomeUnreachable
)

// classify tells what an outcome says about the target: a lack of slots is a signal
// of capacity and a leaving target works as it should, neither is a failure.
func classify(o apiv1.Outcome, reason apiv1.Reason) outcomeClass {
	switch reason {
	case apiv1.Reason_REASON_SLOTS_FULL, apiv1.Reason_REASON_CONNECTIONS_FULL:
		return outcomeSlotsFull
	case apiv1.Reason_REASON_TARGET_LEAVING, apiv1.Reason_REASON_SHUTTING_DOWN, apiv1.Reason_REASON_NO_TARGET:
		return outcomeLeaving
	case apiv1.Reason_REASON_TARGET_UNREACHABLE, apiv1.Reason_REASON_STALE_INCARNATION:
		return outcomeUnreachable
	}
	switch o {
	case apiv1.Outcome_OUTCOME_ANSWERED:
		return outcomeSuccess
	case apiv1.Outcome_OUTCOME_FAILED:
		return outcomeFailure
	case apiv1.Outcome_OUTCOME_UNKNOWN:
		return classifyUnknown(reason)
	}
	return outcomeNeutral
}

func classifyUnknown(reason apiv1.Reason) outcomeClass {
	switch reason {
	case apiv1.Reason_REASON_CANCELED, apiv1.Reason_REASON_REVOKED:
		return outcomeNeutral
	case apiv1.Reason_REASON_DEADLINE:
		return outcomeSlow
	}
	return outcomeFailure
}

// placeholderTarget stands in for a target that was removed between Pick and Sent.
func (s *service) placeholderTarget(id string) *target {
	return &target{Target: Target{ID: id, Slots: 1}, svc: s, tierIndex: -1}
}
