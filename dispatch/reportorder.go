package dispatch

import (
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// maxPreviousSessions bounds the sessions of a worker that are remembered as over: an agent
// has a new one after each restart.
const maxPreviousSessions = 64

// reportOrder tells reports that the network held up from new ones.
//
// A cut holds what was sent before it for as long as it lasts, and delivers it after its
// sender has given it up. What goes wrong without a look at the order: an agent says that
// its worker's lease ran out, then its report of seconds ago arrives; the worker counts as
// in reach and empty, and all tasks that wait are ordered to a worker that never answers.
// A session of which nothing was heard while it lasted is told from a new one by its
// beginning: else its late report would end the new session, whose worker gets no work then.
type reportOrder struct {
	byWorker map[string]*sessionState
	// newestIncarnations are the newest incarnations that were heard of, by their host.
	newestIncarnations map[string]jobqueue.Incarnation
}

func newReportOrder() *reportOrder {
	return &reportOrder{byWorker: map[string]*sessionState{}, newestIncarnations: map[string]jobqueue.Incarnation{}}
}

// sessionState is the newest report of a worker, and the sessions before its own.
type sessionState struct {
	session, sequence uint64
	// startedMs is when the session began, by the worker's clock; 0 when it did not say.
	startedMs int64
	previous  map[uint64]bool
}

// outdated reports whether a newer report of the worker was taken in before this one, and
// notes it otherwise. The same report may come twice, through two control hosts.
func (o *reportOrder) outdated(m *jobqueue.Machine, r *apiv1.JobsReportRequest) bool {
	if o.fromPreviousIncarnation(m, r) {
		return true
	}
	if r.Session == 0 {
		return false
	}
	seen := o.byWorker[r.Worker.GetId()]
	if seen == nil {
		seen = &sessionState{session: r.Session, startedMs: r.SessionBeganMs, previous: map[uint64]bool{}}
		o.byWorker[r.Worker.GetId()] = seen
	}
	if seen.previous[r.Session] {
		return true
	}
	if seen.session != r.Session {
		if r.SessionBeganMs != 0 && r.SessionBeganMs < seen.startedMs {
			return true
		}
		seen.startSession(r)
	}
	if r.Sequence < seen.sequence {
		return true
	}
	seen.sequence = r.Sequence
	return false
}

// fromPreviousIncarnation reports whether a later life of the worker is known on its host. What goes
// wrong without it: a life that ended soon is heard of for the first time when its successor
// is at work, and ends that one in the log; the successor's tasks run on and start elsewhere
// as well, and it gets no work any more.
func (o *reportOrder) fromPreviousIncarnation(m *jobqueue.Machine, r *apiv1.JobsReportRequest) bool {
	host := r.Worker.GetHost()
	life := jobqueue.ParseIncarnation(r.Worker.GetId())
	before := func(later jobqueue.Incarnation) bool {
		return life.Precedes(later) && !slices.Contains(r.Follows, later.Name())
	}
	if known := m.WorkerOnHost(host); known != nil && before(jobqueue.ParseIncarnation(known.Spec.Id)) {
		return true
	}
	if last := o.newestIncarnations[host]; before(last) && !m.HasDeparted(last.Name()) {
		return true
	}
	o.newestIncarnations[host] = life
	return false
}

// startSession notes that another session has followed.
func (s *sessionState) startSession(r *apiv1.JobsReportRequest) {
	if len(s.previous) >= maxPreviousSessions {
		clear(s.previous)
	}
	s.previous[s.session] = true
	s.session, s.startedMs, s.sequence = r.Session, r.SessionBeganMs, 0
}

// endSession notes that the session of a worker is over: its agent says that the worker's lease
// ran out, and numbers what it reports after that as another session.
func (o *reportOrder) endSession(worker string) {
	if seen := o.byWorker[worker]; seen != nil {
		seen.previous[seen.session] = true
	}
}
