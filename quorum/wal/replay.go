package wal

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// maxIndex limits indexes, so that index arithmetic can't overflow.
const maxIndex = 1 << 62

// replay rebuilds the log from its records, applied in the order in which they were written.
type replay struct {
	hardState *apiv1.HardState
	// first is the index of the first entry; entries are consecutive.
	first   uint64
	entries []*apiv1.LogEntry
	// started is set once first is known.
	started bool
}

func (r *replay) last() uint64 { return r.first + uint64(len(r.entries)) - 1 }

// contains reports whether the log holds an entry with the given index and term.
func (r *replay) contains(index, term uint64) bool {
	if !r.started || index < r.first || index > r.last() {
		return false
	}
	return r.entries[index-r.first].Term == term
}

func (r *replay) applyRecord(rec *apiv1.WalRecord) error {
	if rec.HardState != nil {
		r.hardState = rec.HardState
	}
	if m := rec.Snapshot; m != nil {
		if m.Index > maxIndex {
			return errors.Newf("snapshot index %d is out of range", m.Index)
		}
		r.applySnapshot(m)
	}
	return r.appendEntries(rec.Entries)
}

// applySnapshot applies the record of a stored snapshot. Entries before the snapshot are kept,
// so that an older snapshot can replace a damaged one. A log that does not contain the
// snapshot's last entry is replaced as a whole. If the entries before the snapshot have been
// dropped, the record does not show where the log begins: the next entries do, and
// entriesAfter checks that index against the snapshots.
func (r *replay) applySnapshot(m *apiv1.SnapshotMeta) {
	if !r.started || m.Index < r.first || r.contains(m.Index, m.Term) {
		return
	}
	r.reset(m.Index + 1)
}

func (r *replay) reset(first uint64) {
	r.first = first
	r.entries = nil
	r.started = true
}

// appendEntries appends the entries of one record, which replace existing entries with the same
// and higher indexes.
func (r *replay) appendEntries(entries []*apiv1.LogEntry) error {
	if len(entries) == 0 {
		return nil
	}
	from := entries[0].Index
	if from == 0 || from > maxIndex {
		return errors.Newf("entry index %d is out of range", from)
	}
	for i, e := range entries {
		if e.Index != from+uint64(i) {
			return errors.Newf("entry %d follows entry %d in one record", e.Index, from+uint64(i)-1)
		}
	}
	if !r.started || from < r.first {
		r.reset(from)
	}
	if from > r.last()+1 {
		return errors.Newf("entry %d follows entry %d", from, r.last())
	}
	r.entries = append(r.entries[:from-r.first:from-r.first], entries...)
	return nil
}

// continuesFrom reports whether new entries after a snapshot would continue the recorded log.
// They would not if the process died between storing the snapshot and recording it.
func (r *replay) continuesFrom(m *apiv1.SnapshotMeta) bool {
	return !r.started || r.contains(m.Index, m.Term) || r.first == m.Index+1
}

// entriesAfter returns the entries after a snapshot. ok is false if entries between the snapshot
// and the start of the log are missing.
func (r *replay) entriesAfter(m *apiv1.SnapshotMeta) (entries []*apiv1.LogEntry, ok bool) {
	index := m.GetIndex()
	if !r.started || r.last() < index {
		return nil, true
	}
	if r.first > index+1 {
		return nil, false
	}
	if r.first <= index && !r.contains(index, m.GetTerm()) {
		// The snapshot came from the leader, and the process died before the snapshot was
		// recorded. The log conflicts with the snapshot, which replaces it.
		return nil, true
	}
	return r.entries[index+1-r.first:], true
}
