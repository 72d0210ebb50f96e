package runs

import (
	"time"

	"github.com/cairnlift/cairnlift/logging/event"
)

// clockReading is what the worker's clock showed, read no later than received.
type clockReading struct {
	ms       int64
	received time.Time
}

// latestTimeOf is when the clock shows a reading at the latest: it may run slower by the bound.
func (c clockReading) latestTimeOf(ms int64) time.Time {
	left := time.Duration(ms-c.ms) * time.Millisecond
	return c.received.Add(left * ppm / (ppm - clockRateErrorPPM))
}

// recordStatus notes an answer of the worker.
func (s *session) recordStatus(status Status, received time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before := s.clock.ms; status.ClockMs < before {
		// The clock of a worker never goes back, so another process answers under its name,
		// and numbers its ends anew.
		event.WorkerClockWentBack.Write(s.d.logger, event.Worker(s.incarnation), event.ClockMs(status.ClockMs),
			event.ClockBeforeMs(before), event.Acknowledged(s.acknowledged))
	}
	s.clock = clockReading{status.ClockMs, received}
	s.status = status
}

// nextDeadline is the deadline for the next call: the end of the leader's lease, but
// no later than the worker grants from its last answer on. It is noted, since a call
// without an answer may be carried out all the same; so it stays as it is while the
// worker gives none, or nobody could ever tell when the worker has stopped. s.mu is
// held; 0 when there is no lease.
func (s *session) nextDeadline() int64 {
	if s.leaseDeadlineMs == 0 || s.clock.received.IsZero() {
		return 0
	}
	longest := s.clock.ms + s.d.opts.MaxLease.Milliseconds()
	deadline := min(s.leaseDeadlineMs, longest)
	s.d.lease.extend(s.clock.latestTimeOf(deadline))
	return deadline
}

// dropLease has the session make no start until the leader grants another lease. It is called
// before the leader is told that nothing runs any more: the leader's lease outlasts the worker's, and
// a start under the rest of it would run beside the one that the leader orders elsewhere.
func (s *session) dropLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseDeadlineMs = 0
}

// capLease gives up what the agent holds of its lease beyond the time that the
// worker may run on by itself, given the worker's newest clock, and returns what is
// left at most, in milliseconds. What goes wrong without it: a host that announced
// that it leaves is gone with its agent, and the leader waits for the whole lease,
// which is meant for agents that come back.
func (s *session) capLease(clockMs int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := s.d.opts.MaxLease.Milliseconds()
	s.leaseDeadlineMs = min(s.leaseDeadlineMs, clockMs+longest)
	return longest * ppm / (ppm - clockRateErrorPPM)
}
