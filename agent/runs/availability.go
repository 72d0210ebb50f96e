package runs

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// availability returns what may start on the worker now. The caller must hold s.mu.
func (s *session) availability() jobqueue.Availability {
	return jobqueue.Availability{
		Capacity: jobqueue.CapacityOf(s.announced.Worker), CapacityAge: s.capacityAge(s.d.opts.Now()), MaxCapacityAge: s.d.opts.MaxCapacityAge,
	}
}

// capacityAge returns the time since the worker announced its capacity. An announcement that was
// delayed is as old as the worker's clock tells. The caller must hold s.mu.
func (s *session) capacityAge(now time.Time) time.Duration {
	age := now.Sub(s.announcedAt)
	if s.announced.ClockMs > 0 && !s.clock.received.IsZero() {
		byWorker := time.Duration(s.clock.ms-s.announced.ClockMs)*time.Millisecond + now.Sub(s.clock.received)
		age = max(age, byWorker)
	}
	return age
}

// errCapacityOutdated means that the worker runs and has not announced its capacity for long.
var errCapacityOutdated = errors.New("the worker has not announced its capacity for long, and gets no starts")

// reviewCapacityAge logs and counts a worker that can be called and whose announcements are lost: it
// gets no starts. It returns the age of the capacity.
func (s *session) reviewCapacityAge() time.Duration {
	s.mu.Lock()
	available := s.availability()
	s.mu.Unlock()
	if available.ShortageFor(jobqueue.Resources{}) != jobqueue.ShortageOutdated {
		s.d.capacityWatch.Record(nil)
		return available.CapacityAge
	}
	s.d.metrics.capacityOutdated.Inc(1)
	s.d.capacityWatch.Record(errCapacityOutdated)
	return available.CapacityAge
}
