package quorum

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// slowSave is what a leader's saves must take before it looks for a faster voter:
	// below it callers lose less than an election costs them.
	slowSave = 30 * time.Millisecond
	// fasterBy is how many times as fast another voter must be. Two disks of one kind
	// differ by less, so leadership does not wander between them.
	fasterBy = 4
	// savesKept is the number of saves that a disk is judged by: a stall that is over
	// after one or two is not worth an election.
	savesKept = 3
)

// saveTimes are how long the last saves of entries took, oldest first.
type saveTimes struct {
	last []time.Duration
}

func (s *saveTimes) add(took time.Duration) {
	if len(s.last) == savesKept {
		s.last = slices.Delete(s.last, 0, 1)
	}
	s.last = append(s.last, took)
}

// least is the shortest of the last saves: a disk is surely slow if even that is long.
// 0 until there were enough.
func (s *saveTimes) least() time.Duration {
	if len(s.last) < savesKept {
		return 0
	}
	return slices.Min(s.last)
}

// most is the longest of the last saves: a disk is surely fast if even that is short.
// 0 until there were enough.
func (s *saveTimes) most() time.Duration {
	if len(s.last) < savesKept {
		return 0
	}
	return slices.Max(s.last)
}

// ReportSave tells the core how long the driver took to store and sync entries.
func (r *Raft) ReportSave(took time.Duration) { r.saves.add(took) }

// saveMicros is what this replica tells its leader of its disk, in microseconds; at
// least 1 once it is known.
func (r *Raft) saveMicros() uint64 {
	if len(r.saves.last) < savesKept {
		return 0
	}
	return uint64(max(1, r.saves.most().Microseconds()))
}

// FasterVoter returns the voter that a leader with a slow disk should hand over to.
//
// What goes wrong without it: a leader hears the others' acknowledgements only between
// two syncs of its own, so with a slow disk each commit lasts at least as long as one,
// and callers wait although a majority of the disks is fast.
func (r *Raft) FasterVoter() (id uint64, found bool) {
	own := r.saves.least()
	if r.role != Leader || r.transferee != 0 || own < slowSave {
		return 0, false
	}
	fastest := own / fasterBy
	for _, replica := range r.membership.current().GetReplicas() {
		p := r.progress[replica.GetId()]
		if replica.GetLearner() || replica.GetId() == r.id || !r.hears(replica.GetId()) || !r.almostCaughtUp(p) {
			continue
		}
		if p.save > 0 && p.save < fastest {
			id, fastest = replica.GetId(), p.save
		}
	}
	return id, id != 0
}

// almostCaughtUp reports whether a replica lacks no more than one message can bring.
func (r *Raft) almostCaughtUp(p *progress) bool {
	return p.state == replicating && p.match+uint64(r.cfg.MaxEntriesPerMessage) >= r.log.lastIndex()
}

// noteSave takes in what a replica's answer tells of its disk.
func (p *progress) noteSave(m *apiv1.QuorumMessage) {
	if micros := m.GetSaveMicros(); micros > 0 {
		p.save = time.Duration(micros) * time.Microsecond
	}
}
