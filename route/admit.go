package route

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// minAdmittedShare is the fraction of the limit up to which requests are admitted even if the
	// observed response times indicate that they can't finish in time.
	minAdmittedShare = 0.1
	// newCallerQueueFactor is the factor by which the bound of the queue is extended for a caller
	// without a queued request, so that it can queue when other callers fill the queue.
	newCallerQueueFactor = 2
)

// Admit decides immediately whether a request may start, has to wait or is refused. A queued
// request either gets its final admission by a Wake, exactly once, or is removed by Abandon.
func (r *Router) Admit(now time.Time, req *Request) Admission {
	s := r.service(req.Service)
	if s == nil {
		req.state = requestDone
		return Admission{Reason: apiv1.Reason_REASON_UNKNOWN_SERVICE, Text: "service is unknown"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.state != requestNew {
		panic("route: request " + req.ID + " was admitted more than once")
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
	required := s.requiredTime(now)
	left := req.remaining(now)
	if left <= 0 {
		return s.refuse(req, apiv1.Reason_REASON_DEADLINE, 0, "deadline has passed")
	}
	if s.queue.len() == 0 && s.limit.allows(s.inFlight) {
		if required > left && float64(s.inFlight) >= minAdmittedShare*s.limit.value {
			return s.refuse(req, apiv1.Reason_REASON_DEADLINE, s.retryAfter(now, required-left), "expected response time exceeds the time left")
		}
		return s.startRequest(now, req, "below the concurrency limit")
	}
	wait := s.predictWait(s.queue.ahead(req) + 1)
	if bound := s.maxResponseTime(left, required); wait+required > bound {
		left = bound
		return s.refuse(req, apiv1.Reason_REASON_OVERLOADED, s.retryAfter(now, wait+required-left), "expected time to the answer exceeds the time left or the objective")
	}
	if s.queueFull(req) {
		return s.refuse(req, apiv1.Reason_REASON_OVERLOADED, s.retryAfter(now, wait), "queue is full")
	}
	req.state = requestQueued
	s.queue.push(req)
	s.counters.Queued++
	return Admission{Queued: true, LatestStart: req.Deadline.Add(-required), Text: "concurrency limit is reached"}
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

// requiredTime returns the time to the deadline that a request must have left to be started. It is
// a quantile of the response time.
func (s *service) requiredTime(now time.Time) time.Duration {
	switch {
	case s.cfg.FinishQuantile >= 0.95:
		return s.latency.quantile(now, q95)
	case s.cfg.FinishQuantile >= 0.9:
		return s.latency.quantile(now, q90)
	}
	return s.latency.quantile(now, q50)
}

// maxResponseTime returns the longest predicted response time, including the time in the queue, at
// which a request is still queued. Beyond the objective, a longer queue does not start more
// requests, but makes every answer late.
func (s *service) maxResponseTime(left, required time.Duration) time.Duration {
	if s.objective <= 0 {
		return left
	}
	bound := time.Duration(s.cfg.WaitObjectives * float64(s.objective))
	return min(left, max(bound, 2*required))
}

// predictWait returns the predicted time that a number of starts take. By Little's law, requests
// finish at the rate limit / meanInFlightTime.
func (s *service) predictWait(starts float64) time.Duration {
	return time.Duration(starts * float64(s.latency.meanInFlightTime) / max(1, s.limit.value))
}

// queueFull reports whether the bound of the whole queue or of the caller's part of it is reached.
// A caller's part is the bound divided by one more than the number of waiting callers, so that
// there is space for one more caller.
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

// Release finishes an admitted request with the outcome that its caller gets. It returns wakes for
// the queued requests that start now or are refused. The driver passes them to Deliver or reads
// them itself. A second Release of a request does nothing.
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

// Abandon removes a request from the queue because its caller has disconnected or its latest start
// has passed. It returns false if the request is no longer queued. Then its wake has been or will
// be delivered, and the driver must respect it.
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
	return s.refuse(req, apiv1.Reason_REASON_OVERLOADED, s.retryAfter(now, lack), "too little time left after waiting")
}

// startQueued starts queued requests while the limit allows it.
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

// refuseExpired refuses queued requests that can no longer finish before their deadline.
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
