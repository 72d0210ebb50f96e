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
	orders, err := s.findLeader()
	if err != nil {
		return false
	}
	s.recordOrdersOfPreviousAgent(orders)
	if len(status.Running) == 0 && !status.Partial {
		s.admitted = s.barFormerStarts()
		return s.admitted
	}
	if !knowsWorker(orders) {
		s.stopUnknownRuns(status.Running)
		return false
	}
	s.admitted = true
	return true
}

// barFormerStarts reports whether no start can arrive any more that was ordered under a former name
// of the worker. It has the worker stop the runs whose start the leader still orders under that name:
// the worker then refuses them permanently.
func (s *session) barFormerStarts() bool {
	ctx, cancel := context.WithTimeout(s.ctx, reportTimeout)
	defer cancel()
	host, err := s.d.opts.Leader.HostLease(ctx, s.d.opts.Host)
	if err != nil {
		return false
	}
	if !isFormerName(host.LastLife, s.incarnation) {
		return true
	}
	orders, err := s.d.opts.Leader.CurrentOrders(ctx, host.LastLife)
	if err != nil {
		return false
	}
	s.mu.Lock()
	s.recordTerm(orders.Term)
	s.mu.Unlock()
	barred := true
	for _, o := range orders.Starts {
		answer, err := s.callStop(jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run})
		barred = barred && err == nil && answer == AnswerDone
	}
	return barred
}

// isFormerName reports whether two names are of one incarnation that did not always report its start
// time.
func isFormerName(former, current string) bool {
	f, c := jobqueue.ParseIncarnation(former), jobqueue.ParseIncarnation(current)
	return former != current && f.WorkerID == c.WorkerID && (f.StartedMs == 0 || c.StartedMs == 0)
}

// recordOrdersOfPreviousAgent records the starts that a previous agent may have sent. It is called before
// the first report, so that no lease is granted before they are known.
func (s *session) recordOrdersOfPreviousAgent(orders *apiv1.JobsOrdersResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordFirstOrders(orders)
	s.recordReservations(orders)
}

// knowsWorker reports whether the log knows the incarnation that a leader's orders are for. A known
// incarnation has an epoch.
func knowsWorker(orders *apiv1.JobsOrdersResponse) bool { return orders.Epoch != 0 }

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
