package runs

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// clockReading is a reading of the worker's clock, taken no later than received.
type clockReading struct {
	ms       int64
	received time.Time
}

// latestTimeOf returns the latest time at which the worker's clock shows a reading. That clock
// may run slower than this host's by the bound on its rate error.
func (c clockReading) latestTimeOf(ms int64) time.Time {
	left := time.Duration(ms-c.ms) * time.Millisecond
	return c.received.Add(left * ppm / (ppm - clockRateErrorPPM))
}

// recordStatus records the status in an answer of the worker.
func (s *session) recordStatus(status Status, requested, received time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before := s.clock.ms; status.ClockMs < before {
		// A worker's clock never goes back, so a different process is answering under its name,
		// and numbers its ends from the start again.
		event.WorkerClockWentBack.Write(s.d.logger, event.Worker(s.incarnation), event.ClockMs(status.ClockMs),
			event.PreviousClockMs(before), event.Acknowledged(s.acknowledged))
	}
	s.previousCallsSettled = s.previousCallsSettled || requested.After(s.d.previousCallsUntil)
	s.clock = clockReading{status.ClockMs, received}
	s.status = status
	s.callHistory.recordListed(status.Running, s.runsPresent, received)
	s.recordRuns(status, requested)
	s.pruneReservations()
}

// recordRuns records the runs in a status. The caller must hold s.mu.
func (s *session) recordRuns(status Status, requested time.Time) {
	if !status.Partial {
		clear(s.runsPresent)
		s.allRunsKnown = s.previousCallsSettled
	}
	for _, r := range status.Running {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(r.Task), Number: r.Run}
		delete(s.startsInFlight, id)
		s.runsPresent[id] = true
	}
	for _, e := range status.Ended {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(e.Task), Number: e.Run}
		delete(s.startsInFlight, id)
		s.runsPresent[id] = true
		s.callHistory.recordEnded(id)
	}
	for _, id := range s.startsInFlight.expire(requested) {
		if status.Partial {
			s.runsPresent[id] = true
		}
	}
}

// mayBeUnreadable reports whether a run that no start may begin any more may be in a row that can't be
// read, of a status that does not list it. The caller must hold s.mu.
func (s *session) mayBeUnreadable(id jobqueue.RunID) bool {
	return !s.allRunsKnown || s.runsPresent[id]
}

// nextDeadline returns the deadline for the next call: the end of the leader's lease, but at most
// MaxLease after the worker's last answer; 0 when there is no lease. It extends the host's lease
// to that deadline, because the worker may carry out a call without answering it. The deadline
// does not advance while the worker gives no answer; otherwise the time at which the worker has
// stopped could never be known. The caller must hold s.mu.
func (s *session) nextDeadline() int64 {
	if s.leaseDeadlineMs == 0 || s.clock.received.IsZero() {
		return 0
	}
	longest := s.clock.ms + s.d.opts.MaxLease.Milliseconds()
	deadline := min(s.leaseDeadlineMs, longest)
	s.d.lease.extend(s.clock.latestTimeOf(deadline))
	return deadline
}

// startWindow is the time in which a start must reach the worker, longer than callTimeout. The
// renewals keep the run active after that. With the whole lease as its deadline, a start without
// an answer would take effect seconds later at every worker, also at one that refuses a start whose own
// deadline has passed.
const startWindow = time.Second

// startDeadline returns the deadline of a start that is sent now: it must reach the worker before the
// capacity that it relies on is outdated. The caller must hold s.mu.
func (s *session) startDeadline(a jobqueue.Availability) int64 {
	lease := s.nextDeadline()
	window := startWindow
	if a.MaxCapacityAge > 0 {
		window = min(window, a.MaxCapacityAge-a.CapacityAge)
	}
	clockMs := s.clock.ms + s.d.opts.Now().Sub(s.clock.received).Milliseconds()
	return min(lease, clockMs+window.Milliseconds())
}

// dropLease prevents further starts until the leader grants another lease. It is called before
// the leader is notified that nothing runs any more: the leader's lease outlasts the worker's,
// and a start under the rest of it would run in parallel with the one that the leader orders
// elsewhere.
func (s *session) dropLease() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseDeadlineMs = 0
}

// capLease shortens the agent's lease to the time that the worker may keep running without it,
// counted from the worker's newest clock reading, and returns a bound on the remaining time in
// milliseconds. Without this limit, after the departure of a host that announced it together with
// its agent, the leader would wait for the whole lease, which is meant for agents that come back.
func (s *session) capLease(clockMs int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	longest := s.d.opts.MaxLease.Milliseconds()
	s.leaseDeadlineMs = min(s.leaseDeadlineMs, clockMs+longest)
	return longest * ppm / (ppm - clockRateErrorPPM)
}
