package dispatch

import apiv1 "github.com/cairnlift/cairnlift/api/v1"

// maxFormerSessions bounds the sessions of a worker that are remembered as over: an agent
// has a new one after each restart.
const maxFormerSessions = 64

// reportOrder tells reports that the network held up from new ones, by worker.
//
// A cut holds what was sent before it for as long as it lasts, and delivers it after its
// sender has given it up. What goes wrong without a look at the order: an agent says that
// its worker's lease ran out, then its report of seconds ago arrives; the worker counts as
// in reach and empty, and all tasks that wait are ordered to a worker that never answers.
type reportOrder map[string]*reportsSeen

// reportsSeen is the newest report of a worker, and the sessions before its own.
type reportsSeen struct {
	session, sequence uint64
	former            map[uint64]bool
}

// outdated reports whether a newer report of the worker was taken in before this one, and
// notes it otherwise. The same report may come twice, through two control hosts.
func (o reportOrder) outdated(r *apiv1.JobsReportRequest) bool {
	if r.Session == 0 {
		return false
	}
	seen := o[r.Worker.GetId()]
	if seen == nil {
		seen = &reportsSeen{session: r.Session, former: map[uint64]bool{}}
		o[r.Worker.GetId()] = seen
	}
	if seen.session != r.Session {
		if seen.former[r.Session] {
			return true
		}
		seen.begin(r.Session)
	}
	if r.Sequence < seen.sequence {
		return true
	}
	seen.sequence = r.Sequence
	return false
}

// begin notes that another session has followed.
func (s *reportsSeen) begin(session uint64) {
	if len(s.former) >= maxFormerSessions {
		clear(s.former)
	}
	s.former[s.session] = true
	s.session, s.sequence = session, 0
}
