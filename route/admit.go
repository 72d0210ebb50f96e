package route

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// minAdmittedShare is the share of the limit that is admitted even when the observed
	// response times say that a request can't finish in time.
	minAdmittedShare = 0.1
	// newCallerQueueFactor lets a caller below its share queue when others fill the queue.
	newCallerQueueFactor = 2
)

// Admit decides at once whether a request may start, waits or is refused. A
// queued request gets its final admission through a Wake, exactly once, or is
// taken back with Abandon.
func (r *Router) Admit(now time.Time, req *Request) Admission {
	s := r.service(req.Service)
	if s == nil {
		req.state = requestDone
		return Admission{Reason: apiv1.Reason_REASON_UNKNOWN_SERVICE, Text: "service is unknown"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.state != requestNew {
		panic("route: a request is admitted once, but " + req.ID + " came again")
	}
	return s.admit(now, req)
}

func (s *service) admit(now time.Time, req *Request) Admission {
	if !s.declared {
		return s.refuse(req, apiv1.Reason_REASON_UNKNOWN_SERVICE, 0, "service is unknown")
	}
	if s.eligible()+len(s.ejected) == 0 {
		return s.refuse(req, apiv1.Reason_REASON_NO_TARGET, s.noTargetRetryAfter(now), "no target")
	}
	run := s.requiredTime(now)
	left := req.remaining(now)
	if left <= 0 {
		return s.refuse(req, apiv1.Reason_REASON_DEADLINE, 0, "deadline has passed")
	}
	if s.queue.len() == 0 && s.limit.allows(s.inFlight) {
		if run > left && float64(s.inFlight) >= minAdmittedShare*s.limit.value {
			return s.refuse(req, apiv1.Reason_REASON_DEADLINE, s.retryAfter(now, run-left), "takes longer than the time left")
		}
		return s.startRequest(now, req, "below the limit")
	}
	wait := s.predictWait(s.queue.ahead(req) + 1)
	if bound := s.maxResponseTime(left, run); wait+run > bound {
		left = bound
		return s.refuse(req, apiv1.Reason_REASON_OVERLOADED, s.retryAfter(now, wait+run-left), "queue is longer than the time left or the objective")
	}
	if s.queueFull(req) {
		return s.refuse(req, apiv1.Reason_REASON_OVERLOADED, s.retryAfter(now, wait), "queue is full")
	}
	req.state = requestQueued
	s.queue.push(req)
	s.counters.Queued++
	return Admission{Queued: true, LatestStart: req.Deadline.Add(-run), Text: "over the limit"}
}

func (s *service) startRequest(now time.Time, req *Request, text string) Admission {
	req.state = requestAdmitted
	req.admittedAt = now
	s.inFlight++
	s.counters.Admitted++
	return Admission{OK: true, Text: text}
}

func (s *service) refuse(req *Request, reason apiv1.Reason, retryAfter time.Duration, text string) Admission {
	req.state = requestDone
	s.counters.Refused++
	return Admission{Reason: reason, RetryAfter: retryAfter, Text: text}
}

// requiredTime is the response time that a request must have left to be started.
func (s *service) requiredTime(now time.Time) time.Duration {
	switch {
	case s.cfg.FinishQuantile >= 0.95:
		return s.latency.quantile(now, q95)
	case s.cfg.FinishQuantile >= 0.9:
		return s.latency.quantile(now, q90)
	}
	return s.latency.quantile(now, q50)
}

// maxResponseTime is the longest predicted time to an answer that a request is queued
// for. Beyond the objective a longer queue starts no more work, it only makes
// every answer late.
func (s *service) maxResponseTime(left, run time.Duration) time.Duration {
	if s.objective <= 0 {
		return left
	}
	bound := time.Duration(s.cfg.WaitObjectives * float64(s.objective))
	return min(left, max(bound, 2*run))
}

// predictWait predicts how long a number of starts take: by Little's law the limit's
// requests leave at limit / hold.
func (s *service) predictWait(starts float64) time.Duration {
	return time.Duration(starts * float64(s.latency.meanInFlightTime) / max(1, s.limit.value))
}

// queueFull bounds the queue as a whole and each caller's part of it. A caller
// keeps one share less than an even split among those that wait, so that there
// is room for one caller more.
func (s *service) queueFull(req *Request) bool {
	bound := s.cfg.QueueFactor * s.limit.value
	c := s.queue.classOf(req)
	own := 0
	callers := len(c.flows)
	if f := c.byName[req.Caller]; f != nil {
		own = len(f.requests)
		callers--
	}
	share := max(1, bound/float64(callers+2))
	if own > 0 && float64(own)+1 > share {
		return true
	}
	if own == 0 {
		bound *= newCallerQueueFactor
	}
	return float64(s.queue.len()+1) > bound
}

// Release ends an admitted request, with the outcome that its caller gets. It
// returns the queued requests that start now or are refused; the driver hands
// them to Deliver or reads them itself. A second Release does nothing.
func (r *Router) Release(now time.Time, req *Request, outcome apiv1.Outcome) []Wake {
	s := r.service(req.Service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.state != requestAdmitted {
		return nil
	}
	req.state = requestDone
	s.inFlight--
	s.counters.count(outcome)
	s.latency.recordInFlightTime(now.Sub(req.admittedAt))
	return s.startQueued(now)
}

// Abandon takes a queued request back, because its caller has gone or its latest
// start has passed. It returns false when the request is no longer queued: its
// wake is then on the way and has to be honoured.
func (r *Router) Abandon(now time.Time, req *Request) (Admission, bool) {
	s := r.service(req.Service)
	if s == nil {
		return Admission{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.state != requestQueued {
		return Admission{}, false
	}
	s.queue.remove(req)
	return s.refuseTooLate(now, req), true
}

func (s *service) refuseTooLate(now time.Time, req *Request) Admission {
	lack := max(0, s.requiredTime(now)-req.remaining(now))
	return s.refuse(req, apiv1.Reason_REASON_OVERLOADED, s.retryAfter(now, lack), "waited until too little time was left")
}

// startQueued starts queued requests while the limit allows.
func (s *service) startQueued(now time.Time) []Wake {
	if s.queue.len() == 0 {
		return nil
	}
	if s.eligible()+len(s.ejected) == 0 {
		return s.refuseQueued(apiv1.Reason_REASON_NO_TARGET, "no target")
	}
	var wakes []Wake
	for s.queue.len() > 0 && s.limit.allows(s.inFlight) {
		req := s.queue.pop()
		if req.remaining(now) < s.requiredTime(now) {
			wakes = append(wakes, Wake{req, s.refuseTooLate(now, req)})
			continue
		}
		wakes = append(wakes, Wake{req, s.startRequest(now, req, "left the queue")})
	}
	return wakes
}

// refuseExpired refuses what has waited until it can't finish any more.
func (s *service) refuseExpired(now time.Time) []Wake {
	if s.queue.len() == 0 {
		return nil
	}
	var wakes []Wake
	for _, req := range s.queue.withDeadlineBefore(now.Add(s.requiredTime(now))) {
		s.queue.remove(req)
		wakes = append(wakes, Wake{req, s.refuseTooLate(now, req)})
	}
	return wakes
}

func (s *service) refuseQueued(reason apiv1.Reason, text string) []Wake {
	var wakes []Wake
	for s.queue.len() > 0 {
		req := s.queue.pop()
		wakes = append(wakes, Wake{req, s.refuse(req, reason, defaultRetryAfter, text)})
	}
	return wakes
}
