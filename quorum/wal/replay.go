package wal

import (
	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// maxIndex bounds indexes, so that none overflows while it is counted on.
const maxIndex = 1 << 62

// replay rebuilds the log from its records, oldest first.
type replay struct {
	hardState *apiv1.HardState
	// entries are consecutive and begin at first.
	first   uint64
	entries []*apiv1.LogEntry
	started bool
}

func (r *replay) last() uint64 { return r.first + uint64(len(r.entries)) - 1 }

// contains reports whether the log holds the entry of that index and term.
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

// applySnapshot handles the record of a stored snapshot. Entries before it stay, so
// that an older snapshot can stand in for a damaged one. A log that doesn't
// contain the snapshot's last entry is replaced as a whole. Nothing is known
// from a snapshot whose preceding entries were dropped: the entries that follow
// in the log tell where it begins, and after checks that against the snapshots.
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

// appendEntries appends entries, which replace those of the same and higher indexes.
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

// continuesFrom reports whether entries after a snapshot fit the log as recorded.
// They don't when the process died between storing the snapshot and recording it.
func (r *replay) continuesFrom(m *apiv1.SnapshotMeta) bool {
	return !r.started || r.contains(m.Index, m.Term) || r.first == m.Index+1
}

// entriesAfter returns the entries that follow a snapshot. With ok false the log can't
// continue it: entries between are missing.
func (r *replay) entriesAfter(m *apiv1.SnapshotMeta) (entries []*apiv1.LogEntry, ok bool) {
	index := m.GetIndex()
	if !r.started || r.last() < index {
		return nil, true
	}
	if r.first > index+1 {
		return nil, false
	}
	if r.first <= index && !r.contains(index, m.GetTerm()) {
		// The snapshot came from the leader and the process died before it was
		// recorded: the log is the conflicting one that the snapshot replaces.
		return nil, true
	}
	return r.entries[index+1-r.first:], true
}
