package dispatch

import (
	"cmp"
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
// late is distinguished from a newer one by its number: otherwise its late report would supersede the
// newer session. A leader accepts only numbers that it issued itself: it knows nothing of the sessions
// that earlier leaders heard, so the first report that reaches it could be one of a previous session.
type reportOrder struct {
	// term is the leader's term.
	term     uint64
	byWorker map[string]*sessionState
	// newestSessions are the starts of the newest reported sessions with a number, by host: the
	// sessions of a host follow one another, whatever incarnation of the worker they serve.
	newestSessions map[string]sessionStart
	// newestIncarnations are the newest reported incarnations, by host.
	newestIncarnations map[string]jobqueue.Incarnation
	// lastSessionNumber is the last session number that this leader issued.
	lastSessionNumber uint64
}

func newReportOrder(term uint64) *reportOrder {
	return &reportOrder{
		term: term, byWorker: map[string]*sessionState{},
		newestSessions: map[string]sessionStart{}, newestIncarnations: map[string]jobqueue.Incarnation{},
	}
}

// sessionState is the newest report of a worker and the sessions before its own.
type sessionState struct {
	session, sequence uint64
	began             sessionStart
	previous          map[uint64]bool
}

// sessionStart orders the sessions with one worker. A number that a leader issued orders them
// strictly: an agent uses a number only if it got the response, and the agents of a host serve the
// worker one after another. A clock reading does not, since two sessions may begin at the same one.
type sessionStart struct {
	// term and number identify the issued number; number is 0 if the agent has none.
	term, number uint64
	// clockMs is the reading of the worker's clock, 0 if it is unknown.
	clockMs int64
}

func sessionStartOf(r *apiv1.JobsReportRequest) sessionStart {
	return sessionStart{term: r.SessionTerm, number: r.SessionNumber, clockMs: r.SessionBeganMs}
}

// before reports whether a session began before another one.
func (s sessionStart) before(other sessionStart) bool {
	if s.number != 0 && other.number != 0 {
		return cmp.Or(cmp.Compare(s.term, other.term), cmp.Compare(s.number, other.number)) < 0
	}
	return s.clockMs != 0 && s.clockMs < other.clockMs
}

// issueSessionNumber returns a number that is higher than all that this leader issued before.
func (o *reportOrder) issueSessionNumber() uint64 {
	o.lastSessionNumber++
	return o.lastSessionNumber
}

// numberedByPreviousLeader reports whether an earlier leader issued the number of a report's session.
// Its agent, if it is still running, has this leader issue another one.
func (o *reportOrder) numberedByPreviousLeader(r *apiv1.JobsReportRequest) bool {
	return r.SessionNumber != 0 && r.SessionTerm < o.term
}

// outdated reports whether a newer report of the worker was recorded before this one, and records
// it otherwise. The same report may arrive twice, through two control hosts.
func (o *reportOrder) outdated(m *jobqueue.Machine, r *apiv1.JobsReportRequest) bool {
	return o.fromPreviousSession(r) || o.fromPreviousIncarnation(m, r) || o.precedesRecorded(r)
}

// fromPreviousSession reports whether a session of the host with a higher number was recorded, and
// records the session otherwise.
func (o *reportOrder) fromPreviousSession(r *apiv1.JobsReportRequest) bool {
	if o.precedesNewestSession(r) {
		return true
	}
	if r.SessionNumber != 0 {
		o.newestSessions[r.Worker.GetHost()] = sessionStartOf(r)
	}
	return false
}

func (o *reportOrder) precedesNewestSession(r *apiv1.JobsReportRequest) bool {
	newest := o.newestSessions[r.Worker.GetHost()]
	return r.SessionNumber != 0 && newest.number != 0 && sessionStartOf(r).before(newest)
}

// reportedByLaterSession reports whether a later session with a number of this leader has reported the
// incarnation of a report. Its agent found the incarnation working, and sees a real end of it itself.
func (o *reportOrder) reportedByLaterSession(r *apiv1.JobsReportRequest) bool {
	state := o.byWorker[r.Worker.GetId()]
	return state != nil && state.session != r.Session && state.began.term == o.term && sessionStartOf(r).before(state.began)
}

// precedesRecorded reports whether a report of a later session, or a later one of the same session,
// was recorded before this one, and records it otherwise.
func (o *reportOrder) precedesRecorded(r *apiv1.JobsReportRequest) bool {
	if r.Session == 0 {
		return false
	}
	state := o.byWorker[r.Worker.GetId()]
	if state == nil {
		state = &sessionState{session: r.Session, began: sessionStartOf(r), previous: map[uint64]bool{}}
		o.byWorker[r.Worker.GetId()] = state
	}
	if state.previous[r.Session] {
		return true
	}
	if state.session != r.Session {
		if sessionStartOf(r).before(state.began) {
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
	s.session, s.began, s.sequence = r.Session, sessionStartOf(r), 0
}

// superseded reports whether the session of a report has ended for the leader, so that none of its
// reports will be accepted.
func (o *reportOrder) superseded(r *apiv1.JobsReportRequest) bool {
	if o.numberedByPreviousLeader(r) || o.precedesNewestSession(r) {
		return true
	}
	state := o.byWorker[r.Worker.GetId()]
	return r.Session != 0 && state != nil && (state.session != r.Session || state.previous[r.Session])
}

// endSession records that a worker's session has ended: its agent reports that the worker's lease
// expired, and sends later reports under a new session.
func (o *reportOrder) endSession(worker string) {
	if state := o.byWorker[worker]; state != nil {
		state.previous[state.session] = true
	}
}
