package quorum

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// slowSaveThreshold is what a leader's saves must take before it looks for a faster voter:
	// below it callers lose less than an election costs them.
	slowSaveThreshold = 30 * time.Millisecond
	// minSpeedup is how many times as fast another voter must be. Two disks of one kind
	// differ by less, so leadership does not wander between them.
	minSpeedup = 4
	// saveSamples is the number of saves that a disk is judged by: a stall that is over
	// after one or two is not worth an election.
	saveSamples = 3
)

// durationWindow are how long the last saves of entries took, oldest first.
type durationWindow struct {
	samples []time.Duration
}

func (s *durationWindow) add(took time.Duration) {
	if len(s.samples) == saveSamples {
		s.samples = slices.Delete(s.samples, 0, 1)
	}
	s.samples = append(s.samples, took)
}

// min is the shortest of the last saves: a disk is surely slow if even that is long.
// 0 until there were enough.
func (s *durationWindow) min() time.Duration {
	if len(s.samples) < saveSamples {
		return 0
	}
	return slices.Min(s.samples)
}

// max is the longest of the last saves: a disk is surely fast if even that is short.
// 0 until there were enough.
func (s *durationWindow) max() time.Duration {
	if len(s.samples) < saveSamples {
		return 0
	}
	return slices.Max(s.samples)
}

// ReportSaveDuration tells the core how long the driver took to store and sync entries.
func (r *Raft) ReportSaveDuration(took time.Duration) { r.saveDurations.add(took) }

// saveMicros is what this replica tells its leader of its disk, in microseconds; at
// least 1 once it is known.
func (r *Raft) saveMicros() uint64 {
	if len(r.saveDurations.samples) < saveSamples {
		return 0
	}
	return uint64(max(1, r.saveDurations.max().Microseconds()))
}

// FasterVoter returns the voter that a leader with a slow disk should hand over to.
//
// What goes wrong without it: a leader hears the others' acknowledgements only between
// two syncs of its own, so with a slow disk each commit lasts at least as long as one,
// and callers wait although a majority of the disks is fast.
func (r *Raft) FasterVoter() (id uint64, found bool) {
	own := r.saveDurations.min()
	if r.role != Leader || r.transferee != 0 || own < slowSaveThreshold {
		return 0, false
	}
	fastest := own / minSpeedup
	for _, replica := range r.membership.current().GetReplicas() {
		p := r.progress[replica.GetId()]
		if replica.GetLearner() || replica.GetId() == r.id || !r.recentlyActive(replica.GetId()) || !r.almostCaughtUp(p) {
			continue
		}
		if p.saveDuration > 0 && p.saveDuration < fastest {
			id, fastest = replica.GetId(), p.saveDuration
		}
	}
	return id, id != 0
}

// almostCaughtUp reports whether a replica lacks no more than one message can bring.
func (r *Raft) almostCaughtUp(p *progress) bool {
	return p.state == replicating && p.match+uint64(r.cfg.MaxEntriesPerMessage) >= r.log.lastIndex()
}

// recordSaveDuration takes in what a replica's answer tells of its disk.
func (p *progress) recordSaveDuration(m *apiv1.QuorumMessage) {
	if micros := m.GetSaveMicros(); micros > 0 {
		p.saveDuration = time.Duration(micros) * time.Microsecond
	}
}
