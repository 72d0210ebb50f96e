package runs

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// availability returns what may start on the worker now; the run except does not count. complete means
// that the leader has told what each run on the worker reserves, or that it does not know. A leader of an
// earlier release tells nothing; then no run counts. The caller must hold s.mu.
func (s *session) availability(except jobqueue.RunID) (a jobqueue.Availability, complete bool) {
	a = s.announcedCapacity()
	if !s.reservations.listed {
		return a, true
	}
	complete = true
	for id := range s.runsOnWorker() {
		r, told := s.reservations.byRun[id]
		switch {
		case id == except:
		case !told:
			complete = false
		case r.unknown:
			a.UnknownRuns++
		default:
			a.Reserved = a.Reserved.Add(r.reserved)
		}
	}
	return a, complete
}

// announcedCapacity returns the worker's capacity, with nothing reserved. The caller must hold s.mu.
func (s *session) announcedCapacity() jobqueue.Availability {
	return jobqueue.Availability{
		Capacity: jobqueue.CapacityOf(s.announced.Worker), CapacityAge: s.capacityAge(s.d.opts.Now()), MaxCapacityAge: s.d.opts.MaxCapacityAge,
	}
}

// runsOnWorker returns the runs that the worker lists, those that may begin there at any time, and those
// that may be in a row of its list that can't be read. The caller must hold s.mu.
func (s *session) runsOnWorker() map[jobqueue.RunID]bool {
	found := map[jobqueue.RunID]bool{}
	for _, r := range s.status.Running {
		found[jobqueue.RunID{Task: jobqueue.TaskIDOf(r.Task), Number: r.Run}] = true
	}
	for id := range s.startsInFlight {
		found[id] = true
	}
	if s.status.Partial {
		for id := range s.reservations.byRun {
			if s.mayBeUnreadable(id) && !hasEnded(s.status, id) {
				found[id] = true
			}
		}
	}
	return found
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
	available := s.announcedCapacity()
	s.mu.Unlock()
	if available.ShortageFor(jobqueue.Resources{}) != jobqueue.ShortageOutdated {
		s.d.capacityWatch.Record(nil)
		return available.CapacityAge
	}
	s.d.metrics.capacityOutdated.Inc(1)
	s.d.capacityWatch.Record(errCapacityOutdated)
	return available.CapacityAge
}
