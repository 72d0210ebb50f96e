package quorum

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// slowSaveThreshold is the save duration from which a leader looks for a faster
	// voter. Below it, callers lose less time than an election costs them.
	slowSaveThreshold = 30 * time.Millisecond
	// minSpeedup is how many times faster the disk of another voter must be. Two disks
	// of the same kind differ by less, so leadership does not move back and forth
	// between them.
	minSpeedup = 4
	// saveSamples is the number of last saves by which a disk is rated. A stall that
	// ends after one or two saves is not worth an election.
	saveSamples = 3
)

// durationWindow holds the durations of the last saves of entries, oldest first.
type durationWindow struct {
	samples []time.Duration
}

func (s *durationWindow) add(took time.Duration) {
	if len(s.samples) == saveSamples {
		s.samples = slices.Delete(s.samples, 0, 1)
	}
	s.samples = append(s.samples, took)
}

// min returns the shortest of the last saves, or 0 until there were saveSamples of them. If
// even the shortest is long, the disk is slow.
func (s *durationWindow) min() time.Duration {
	if len(s.samples) < saveSamples {
		return 0
	}
	return slices.Min(s.samples)
}

// max returns the longest of the last saves, or 0 until there were saveSamples of them. If
// even the longest is short, the disk is fast.
func (s *durationWindow) max() time.Duration {
	if len(s.samples) < saveSamples {
		return 0
	}
	return slices.Max(s.samples)
}

// ReportSaveDuration reports how long the driver took to store and sync entries.
func (r *Raft) ReportSaveDuration(took time.Duration) { r.saveDurations.add(took) }

// saveMicros returns the save duration that this replica reports to its leader, in
// microseconds. It is 0 while unknown, and otherwise at least 1.
func (r *Raft) saveMicros() uint64 {
	if len(r.saveDurations.samples) < saveSamples {
		return 0
	}
	return uint64(max(1, r.saveDurations.max().Microseconds()))
}

// FasterVoter returns the voter to which a leader with a slow disk should transfer
// leadership. A leader receives acknowledgements only between two of its own syncs, so with
// a slow disk each commit takes at least as long as one sync, and callers wait although a
// majority of the disks is fast.
func (r *Raft) FasterVoter() (id uint64, found bool) {
	leaderSave := r.saveDurations.min()
	if r.role != Leader || r.transferee != 0 || leaderSave < slowSaveThreshold {
		return 0, false
	}
	fastest := leaderSave / minSpeedup
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

// almostCaughtUp reports whether a replica lacks no more entries than fit in one message.
func (r *Raft) almostCaughtUp(p *progress) bool {
	return p.state == replicating && p.match+uint64(r.cfg.MaxEntriesPerMessage) >= r.log.lastIndex()
}

// recordSaveDuration records the save duration in a replica's response.
func (p *progress) recordSaveDuration(m *apiv1.QuorumMessage) {
	if micros := m.GetSaveMicros(); micros > 0 {
		p.saveDuration = time.Duration(micros) * time.Microsecond
	}
}
