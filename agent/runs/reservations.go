package runs

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// reservations is what the leader has told about the reservations of runs.
type reservations struct {
	byRun map[jobqueue.RunID]reservation
	// listed: a leader has listed the reservations on the worker.
	listed bool
	// requestedAt is when they were last requested.
	requestedAt time.Time
}

// reservation is what a run reserves on the worker.
type reservation struct {
	reserved jobqueue.Resources
	// unknown: the leader does not know it either.
	unknown bool
}

func newReservations() reservations {
	return reservations{byRun: map[jobqueue.RunID]reservation{}}
}

func (r reservations) record(id jobqueue.RunID, reserved *apiv1.JobResources) {
	r.byRun[id] = reservation{reserved: jobqueue.ResourcesOf(reserved), unknown: reserved == nil}
}

// reservationsInterval is the time from one request for the reservations on the worker to the next. The
// leader learns from the next report of a run that it does not know.
const reservationsInterval = 200 * time.Millisecond

// needsReservations reports whether the next request for orders has to ask for the reservations on the
// worker: no leader has listed them, or there is a run that the list lacked.
func (s *session) needsReservations() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reservations.listed {
		return true
	}
	_, complete := s.availability(jobqueue.RunID{})
	now := s.d.opts.Now()
	if complete || now.Sub(s.reservations.requestedAt) < reservationsInterval {
		return false
	}
	s.reservations.requestedAt = now
	return true
}

// recordReservationsOnly records a response that has no orders which the session does not know.
func (s *session) recordReservationsOnly(resp *apiv1.JobsOrdersResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordReservations(resp)
}

// recordReservations records what the leader tells about the reservations of runs. The caller must hold
// s.mu, until the orders in the response are recorded too: pruneReservations drops what has no order.
func (s *session) recordReservations(resp *apiv1.JobsOrdersResponse) {
	for _, r := range slices.Concat(resp.Reservations, resp.LostRuns) {
		s.reservations.record(jobqueue.RunID{Task: jobqueue.TaskIDOf(r.Task), Number: r.Run}, r.Reserved)
	}
	s.reservations.listed = s.reservations.listed || resp.ReservationsListed
	for _, o := range resp.Starts {
		if o.Reserved != nil {
			s.reservations.record(jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}, o.Reserved)
		}
	}
}

// pruneReservations drops the reservations of runs that are not on the worker and have no order. The
// caller must hold s.mu.
func (s *session) pruneReservations() {
	present := s.runsOnWorker()
	maps.DeleteFunc(s.reservations.byRun, func(id jobqueue.RunID, _ reservation) bool {
		return !present[id] && s.orders[id] == nil
	})
}
