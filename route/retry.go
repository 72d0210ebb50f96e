package route

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// immediateRedirects is the number of redirects without a delay: another target is
	// likely to have room.
	immediateRedirects = 4
	// maxBackoffDoublings bounds the doublings of the delay.
	maxBackoffDoublings = 4
)

// Retry decides whether a request goes on after an attempt ended without an
// answer. The driver calls it once per ended attempt, and not while another
// attempt of the request is open. A granted retry has taken its token from the
// budget.
func (r *Router) Retry(now time.Time, req *Request, outcome apiv1.Outcome, reason apiv1.Reason) RetryDecision {
	s := r.service(req.Service)
	if s == nil {
		return RetryDecision{Text: "service is unknown"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retry(now, req, outcome, reason)
}

func (s *service) retry(now time.Time, req *Request, outcome apiv1.Outcome, reason apiv1.Reason) RetryDecision {
	switch {
	case outcome == apiv1.Outcome_OUTCOME_ANSWERED:
		return RetryDecision{Text: "was answered"}
	case !req.Idempotent && (req.possiblyRun > 0 || !confirmedNotRun(outcome, reason)):
		return RetryDecision{Text: "not idempotent and may have run"}
	case !retryable(reason):
		return RetryDecision{Text: "no target would do better"}
	case refusedWithoutWork(outcome, reason):
		return s.redirect(now, req)
	case req.Attempt-req.redirects >= s.cfg.MaxAttempts:
		return RetryDecision{Text: "out of attempts"}
	}
	delay := s.backoff(int(req.Attempt - req.redirects))
	if req.remaining(now) < delay+s.requiredTime(now) {
		return RetryDecision{Text: "too little time left"}
	}
	if !s.retryBudget.tryWithdraw() {
		s.counters.RetriesDenied++
		return RetryDecision{Text: "retry budget is spent"}
	}
	s.counters.Retries++
	return RetryDecision{Allowed: true, Delay: delay, Text: "within the retry budget"}
}

// redirect decides about another target after a refusal that cost no work. These
// attempts have a budget of their own: under the retry budget a moment of full
// slots would use up what failures need, and the other way round.
func (s *service) redirect(now time.Time, req *Request) RetryDecision {
	if req.redirects >= s.cfg.MaxRedirects {
		return RetryDecision{Text: "refused by too many targets"}
	}
	delay := s.redirectDelay(req)
	if req.remaining(now) < delay+s.requiredTime(now) {
		return RetryDecision{Text: "too little time left"}
	}
	if !s.redirectBudget.tryWithdraw() {
		s.counters.RedirectsDenied++
		return RetryDecision{Text: "redirect budget is spent"}
	}
	req.redirects++
	s.counters.Redirects++
	return RetryDecision{Allowed: true, Delay: delay, Text: "refused without work"}
}

// redirectDelay does not grow: slots come free all the time, and a growing delay
// had requests wait long after there was one, or run out of attempts with most of
// their time left.
func (s *service) redirectDelay(req *Request) time.Duration {
	if req.redirects < immediateRedirects {
		return 0
	}
	return s.backoff(1)
}

// refusedWithoutWork: no target did anything for the attempt, because of the
// target's state and not of the request. That its agent could not be reached is
// one such state: under the retry budget the callers of a small service were
// refused while one of its few hosts was down and another had room.
func refusedWithoutWork(o apiv1.Outcome, reason apiv1.Reason) bool {
	if o != apiv1.Outcome_OUTCOME_NOT_RUN {
		return false
	}
	v := classify(o, reason)
	return v == outcomeSlotsFull || v == outcomeLeaving || v == outcomeUnreachable
}

// retryable names the reasons that another target, or the same one later, may
// not have.
func retryable(reason apiv1.Reason) bool {
	switch reason {
	case apiv1.Reason_REASON_DEADLINE,
		apiv1.Reason_REASON_DUPLICATE,
		apiv1.Reason_REASON_CANCELED,
		apiv1.Reason_REASON_BAD_REQUEST,
		apiv1.Reason_REASON_UNKNOWN_SERVICE,
		apiv1.Reason_REASON_NO_QUORUM,
		apiv1.Reason_REASON_KEY_REUSED,
		apiv1.Reason_REASON_KEY_EXPIRED,
		apiv1.Reason_REASON_KEY_IN_PROGRESS:
		return false
	}
	return true
}

// backoff is the delay before the n-th attempt that has one: half the median
// response time, doubled with each and spread evenly over its upper half so that
// attempts do not come in step.
func (s *service) backoff(n int) time.Duration {
	d := (s.latency.cachedQuantiles[q50] / 2) << min(max(0, n-1), maxBackoffDoublings)
	if n <= 0 || d <= 0 {
		return 0
	}
	return d/2 + time.Duration(s.rng.Int64N(int64(d/2)+1))
}
