package runs

import (
	"context"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// admit reports whether the leader may be told of the worker: it knows the
// incarnation, or nothing runs there.
//
// What goes wrong without it: the log knows the worker by another name, as the agent before
// this one gave it, which told no start. The first report under the new name ends the old
// one, and what runs on is started elsewhere as well. So all that runs on an incarnation
// that the log does not know is stopped first.
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

// knownToLeader asks whether the log knows the incarnation; one that it knows has an epoch.
func (s *session) knownToLeader() (bool, error) {
	resp, err := s.findLeader()
	return err == nil && resp.Epoch != 0, err
}

// findLeader looks for the leader and learns its term. Nothing else may look for it: a
// session that is not admitted reports nothing, and waits for orders only where the leader
// is known.
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

// stopUnknownRuns has the worker stop runs that the log does not hold there. It is called again
// until none of them is listed.
func (s *session) stopUnknownRuns(running []*apiv1.RunObservation) {
	event.UnknownRunsStopped.Write(s.d.logger, event.Worker(s.incarnation), event.RunningCount(len(running)))
	for _, r := range running {
		if _, err := s.callStop(jobqueue.RunID{Task: jobqueue.TaskIDOf(r.Task), Number: r.Run}); err != nil {
			s.sleep(minRetryDelay)
		}
	}
}

// admissionRetryInterval is the time between two looks at a worker that is not admissible: a stop
// takes up to some hundred milliseconds.
const admissionRetryInterval = 100 * time.Millisecond
