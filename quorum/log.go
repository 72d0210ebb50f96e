package quorum

import (
	"sort"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// entryOverhead is what an entry costs beyond its data, in bytes, rounded up.
const entryOverhead = 32

// raftLog is the part of the log that is kept in memory: everything after the
// base, which is the last compacted entry. Entries are never changed once they
// are in it, so slices handed out may share them.
//
//	base <= applied <= commit <= last, and stable <= last
type raftLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []*apiv1.LogEntry
	stable    uint64 // last entry known to be on the disk
	writing   uint64 // last entry that is on the disk after the current Ready
	commit    uint64
	applied   uint64
}

func (l *raftLog) lastIndex() uint64 {
	return l.baseIndex + uint64(len(l.entries))
}

func (l *raftLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at index, and false when it is compacted
// or beyond the end.
func (l *raftLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].GetTerm(), true
}

func (l *raftLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// upToDate is the election restriction of the paper (5.4.1): a vote goes only to
// a candidate whose last entry is not older than the voter's. A committed entry
// is on a majority, every majority that elects has a member of that one, and
// that member refuses a candidate without the entry: leader completeness.
func (l *raftLog) upToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || term == own && index >= l.lastIndex()
}

// slice copies the entries from..to, both included.
func (l *raftLog) slice(from, to uint64) []*apiv1.LogEntry {
	if from > to {
		return nil
	}
	if from <= l.baseIndex || to > l.lastIndex() {
		invariantViolated("entries %d to %d asked of a log that holds %d to %d", from, to, l.baseIndex+1, l.lastIndex())
	}
	part := l.entries[from-l.baseIndex-1 : to-l.baseIndex]
	return append([]*apiv1.LogEntry(nil), part...)
}

// batch copies entries from index on, up to count and about maxBytes, but at
// least one if there is any.
func (l *raftLog) batch(from uint64, count, maxBytes int) []*apiv1.LogEntry {
	to, size := from, 0
	for to <= l.lastIndex() && to-from < uint64(count) {
		size += entrySize(l.entries[to-l.baseIndex-1])
		if size > maxBytes && to > from {
			break
		}
		to++
	}
	return l.slice(from, to-1)
}

// size returns about how many bytes the entries from..to take, both included.
func (l *raftLog) size(from, to uint64) int {
	total := 0
	for _, e := range l.entries[from-l.baseIndex-1 : to-l.baseIndex] {
		total += entrySize(e)
	}
	return total
}

func entrySize(e *apiv1.LogEntry) int {
	return len(e.GetData()) + entryOverhead
}

// firstConflict returns the index of the first of the entries that the log does
// not hold with the same term, or 0 when it holds them all.
func (l *raftLog) firstConflict(entries []*apiv1.LogEntry) uint64 {
	for _, e := range entries {
		if !l.matches(e.GetIndex(), e.GetTerm()) {
			return e.GetIndex()
		}
	}
	return 0
}

// append puts entries, which are contiguous, at their indexes and cuts off
// what they replace. Cutting off a committed entry would break state machine
// safety, so it stops the process.
func (l *raftLog) append(entries []*apiv1.LogEntry) {
	if len(entries) == 0 {
		return
	}
	before := entries[0].GetIndex() - 1
	if before < l.commit {
		invariantViolated("committed entry %d would be replaced (committed up to %d)", before+1, l.commit)
	}
	if before > l.lastIndex() {
		invariantViolated("entry %d would leave a gap after %d", before+1, l.lastIndex())
	}
	l.entries = append(l.entries[:before-l.baseIndex], entries...)
	l.stable = min(l.stable, before)
	l.writing = min(l.writing, before)
}

func (l *raftLog) commitTo(index uint64) {
	if index > l.lastIndex() {
		invariantViolated("commit of entry %d, but the log ends at %d", index, l.lastIndex())
	}
	l.commit = max(l.commit, index)
}

// acceptReady returns the entries that are not on the disk yet.
func (l *raftLog) beginWrite() []*apiv1.LogEntry {
	l.writing = l.lastIndex()
	return l.slice(l.stable+1, l.writing)
}

// finishWrite notes that what was handed out is on the disk. Entries that were
// replaced meanwhile are not: append has set the mark back before them.
func (l *raftLog) finishWrite() {
	l.stable = max(l.stable, l.writing)
}

// lastWithTermAtMost returns the highest index up to the given one whose term is at
// most term. A follower and its leader use it to skip a whole run of terms that
// can't match in one step (section 5.3's faster backtracking).
func (l *raftLog) lastWithTermAtMost(index, term uint64) (uint64, uint64) {
	index = min(index, l.lastIndex())
	if index <= l.baseIndex {
		baseTerm, _ := l.term(index)
		return index, baseTerm
	}
	n := sort.Search(int(index-l.baseIndex), func(i int) bool {
		return l.entries[i].GetTerm() > term
	})
	found := l.baseIndex + uint64(n)
	foundTerm, _ := l.term(found)
	return found, foundTerm
}

// tailStart returns the index from which on, and up to the given one, there are
// at most count entries of at most maxBytes.
func (l *raftLog) tailStart(index uint64, count, maxBytes int) uint64 {
	start, size := index, 0
	for start > l.baseIndex && index-start < uint64(count) {
		size += entrySize(l.entries[start-l.baseIndex-1])
		if size > maxBytes {
			break
		}
		start--
	}
	return start
}

// compact drops the entries up to index from memory. What remains is copied, so
// that the dropped ones are really released.
func (l *raftLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index == l.baseIndex {
		return
	}
	l.entries = l.slice(index+1, l.lastIndex())
	l.baseIndex, l.baseTerm = index, term
}

// restore replaces the log by a snapshot that ends at index and term.
func (l *raftLog) restore(index, term uint64) {
	*l = raftLog{baseIndex: index, baseTerm: term, stable: index, writing: index, commit: index, applied: index}
}
