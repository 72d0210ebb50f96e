package dispatch

import (
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// maxPreviousSessions bounds the previous sessions that are remembered per worker. An agent starts
// a new session at each restart.
const maxPreviousSessions = 64

// reportOrder detects reports that are older than ones already received.
//
// A network partition can delay a message until the partition ends, after the sender has given up
// on it. Without this check, a report from before the partition could arrive after the agent's
// report that the worker's lease expired: the worker would count as reachable and empty, and all
// waiting tasks would be ordered to a worker that never responds. A session whose reports all arrive
// late is distinguished from a newer one by its start time: otherwise its late report would end the
// newer session, and that worker would get no work.
type reportOrder struct {
	byWorker map[string]*sessionState
	// newestIncarnations are the newest reported incarnations, by host.
	newestIncarnations map[string]jobqueue.Incarnation
}

func newReportOrder() *reportOrder {
	return &reportOrder{byWorker: map[string]*sessionState{}, newestIncarnations: map[string]jobqueue.Incarnation{}}
}

// sessionState is the newest report of a worker and the sessions before its own.
type sessionState struct {
	session, sequence uint64
	// startedMs is when the session began by the worker's clock, 0 if the report did not include
	// it.
	startedMs int64
	previous  map[uint64]bool
}

// outdated reports whether a newer report of the worker was recorded before this one, and records
// it otherwise. The same report may arrive twice, through two control hosts.
func (o *reportOrder) outdated(m *jobqueue.Machine, r *apiv1.JobsReportRequest) bool {
	if o.fromPreviousIncarnation(m, r) {
		return true
	}
	if r.Session == 0 {
		return false
	}
	state := o.byWorker[r.Worker.GetId()]
	if state == nil {
		state = &sessionState{session: r.Session, startedMs: r.SessionBeganMs, previous: map[uint64]bool{}}
		o.byWorker[r.Worker.GetId()] = state
	}
	if state.previous[r.Session] {
		return true
	}
	if state.session != r.Session {
		if r.SessionBeganMs != 0 && r.SessionBeganMs < state.startedMs {
			return true
		}
		state.startSession(r)
	}
	if r.Sequence < state.sequence {
		return true
	}
	state.sequence = r.Sequence
	return false
}

// fromPreviousIncarnation reports whether a later incarnation of the worker is known on its host.
// Without this check, the first report of a short-lived incarnation could arrive while its
// successor is running and end the successor in the log. The successor's tasks would then run on
// and also start elsewhere, and the successor would get no more work.
func (o *reportOrder) fromPreviousIncarnation(m *jobqueue.Machine, r *apiv1.JobsReportRequest) bool {
	host := r.Worker.GetHost()
	incarnation := jobqueue.ParseIncarnation(r.Worker.GetId())
	precedes := func(later jobqueue.Incarnation) bool {
		return incarnation.Precedes(later) && !slices.Contains(r.Follows, later.Name())
	}
	if worker := m.WorkerOnHost(host); worker != nil && precedes(jobqueue.ParseIncarnation(worker.Spec.Id)) {
		return true
	}
	if last := o.newestIncarnations[host]; precedes(last) && !m.HasDeparted(last.Name()) {
		return true
	}
	o.newestIncarnations[host] = incarnation
	return false
}

// startSession records that another session has replaced the current one.
func (s *sessionState) startSession(r *apiv1.JobsReportRequest) {
	if len(s.previous) >= maxPreviousSessions {
		clear(s.previous)
	}
	s.previous[s.session] = true
	s.session, s.startedMs, s.sequence = r.Session, r.SessionBeganMs, 0
}

// endSession records that a worker's session has ended: its agent reports that the worker's lease
// expired, and sends later reports under a new session.
func (o *reportOrder) endSession(worker string) {
	if state := o.byWorker[worker]; state != nil {
		state.previous[state.session] = true
	}
}
