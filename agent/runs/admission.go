package runs

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// admit reports whether the session may report the worker to the leader: the leader knows the
// incarnation, or the worker runs nothing.
//
// The log may know the worker under another name that a previous agent gave it, one that did not
// report the worker's start time. The first report under the new name ends the old incarnation,
// and runs that continue would be started elsewhere as well. Therefore all runs of an incarnation
// that the log does not know are stopped first.
func (s *session) admit(status Status) bool {
	if s.admitted {
		return true
	}
	if len(status.Running) == 0 && !status.Partial {
		s.admitted = true
		return true
	}
	known, err := s.knownToLeader()
	if err != nil {
		return false
	}
	if !known {
		s.stopUnknownRuns(status.Running)
		return false
	}
	s.admitted = true
	return true
}

// knownToLeader queries the leader and reports whether the log knows the incarnation. A known
// incarnation has an epoch.
func (s *session) knownToLeader() (bool, error) {
	resp, err := s.findLeader()
	return err == nil && resp.Epoch != 0, err
}

// findLeader looks for the leader and records its term. No other call of a session that is not
// admitted looks for the leader: such a session sends no reports, and waits for orders only once
// the leader is known.
func (s *session) findLeader() (*apiv1.JobsOrdersResponse, error) {
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	resp, err := s.d.opts.Leader.CurrentOrders(ctx, s.incarnation)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordTerm(resp.Term)
	return resp, nil
}

// stopUnknownRuns has the worker stop runs that the log does not assign to it. It is called again
// until the worker lists none of them.
func (s *session) stopUnknownRuns(running []*apiv1.RunObservation) {
	event.UnknownRunsStopped.Write(s.d.logger, event.Worker(s.incarnation), event.RunningCount(len(running)))
	for _, r := range running {
		if _, err := s.callStop(jobqueue.RunID{Task: jobqueue.TaskIDOf(r.Task), Number: r.Run}); err != nil {
			s.sleep(minRetryDelay)
		}
	}
}

// admissionRetryInterval is the time between two checks of a worker that was not admitted. A stop
// takes up to a few hundred milliseconds.
const admissionRetryInterval = 100 * time.Millisecond
