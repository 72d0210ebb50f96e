package wal

import (
	"strings"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/quorum"
)

// Load implements quorum.Storage. It is called once, before any Save.
func (l *Log) Load() (quorum.StoredState, error) {
	if l.err != nil {
		return quorum.StoredState{}, l.err
	}
	names, err := l.fs.List(l.folder)
	if err != nil {
		return quorum.StoredState{}, errors.Wrap(err, "log folder can't be listed")
	}
	names, err = l.removeTemporary(names)
	if err != nil {
		return quorum.StoredState{}, err
	}
	r := &replay{}
	if err := l.readSegments(names, r); err != nil {
		return quorum.StoredState{}, err
	}
	l.snapshots = snapshotIDs(names)
	if len(l.snapshots) > 0 && len(l.segments) == 0 {
		return quorum.StoredState{}, &DamageError{File: l.folder, Reason: "there are snapshots but no log"}
	}
	snapshot, err := l.newestSnapshot(r)
	if err != nil {
		return quorum.StoredState{}, err
	}
	entries, ok := r.entriesAfter(snapshot.GetMeta())
	if !ok {
		first := l.path(segmentName(l.segments[0].sequence))
		return quorum.StoredState{}, &DamageError{File: first, Reason: "the log begins after the newest snapshot's end"}
	}
	l.hardState = raiseHardState(snapshot.GetMeta(), r.hardState)
	if err := l.openLastSegment(); err != nil {
		return quorum.StoredState{}, err
	}
	if snapshot != nil && !r.continuesFrom(snapshot.Meta) {
		if err := l.recordSnapshot(snapshot.Meta); err != nil {
			return quorum.StoredState{}, err
		}
	}
	l.loaded = true
	return quorum.StoredState{HardState: l.hardState, Snapshot: snapshot, Entries: entries}, nil
}

// raiseHardState brings a hard state up to the snapshot that is stored: a snapshot
// arrives committed, and from a leader whose term is at least its own. Nobody
// got this replica's vote in a term that it had not stored.
func raiseHardState(m *apiv1.SnapshotMeta, hs *apiv1.HardState) *apiv1.HardState {
	if hs == nil {
		return nil
	}
	raised := proto.CloneOf(hs)
	raised.Commit = max(raised.Commit, m.GetIndex())
	if raised.Term < m.GetTerm() {
		raised.Term, raised.Vote = m.GetTerm(), 0
	}
	return raised
}

func (l *Log) removeTemporary(names []string) ([]string, error) {
	var kept []string
	for _, n := range names {
		if !strings.HasSuffix(n, temporarySuffix) {
			kept = append(kept, n)
			continue
		}
		if err := l.fs.Remove(l.path(n)); err != nil {
			return nil, l.fail("remove", l.path(n), err)
		}
	}
	return kept, nil
}

// readSegments replays all segments and remembers where the last one ends.
func (l *Log) readSegments(names []string, r *replay) error {
	seqs, err := segmentSequences(l.folder, names)
	if err != nil {
		return err
	}
	for i, seq := range seqs {
		path := l.path(segmentName(seq))
		b, err := l.fs.ReadFile(path)
		if err != nil {
			return errors.Wrap(err, "segment can't be read")
		}
		last := i == len(seqs)-1
		if _, ok := decodeHeader(b); last && !ok && len(b) <= headerSize {
			// A power cut while the file was created: the header is synced before
			// any frame is written, so this file never held one.
			event.UnfinishedSegmentRemoved.Write(l.logger, event.File(path))
			return l.remove(segmentName(seq))
		}
		s, size, err := readSegment(path, b, last, r.applyRecord)
		if err != nil {
			return err
		}
		l.segments = append(l.segments, s)
		l.size = size
		if cut := int64(len(b)) - size; cut > 0 {
			event.TornRecordTruncated.Write(l.logger, event.File(path), event.Offset(size), event.Bytes(int(cut)))
		}
	}
	return nil
}

// openLastSegment opens the last segment for appending. What Load read may still be
// unsynced when only the process died: it is synced before anyone acts on it,
// or a power cut later could take back what this replica then acknowledged.
func (l *Log) openLastSegment() error {
	if len(l.segments) == 0 {
		if err := l.syncFolder(); err != nil {
			return err
		}
		return l.rotate()
	}
	path := l.path(segmentName(l.segments[len(l.segments)-1].sequence))
	f, err := l.fs.Append(path)
	if err != nil {
		return l.fail("open", path, err)
	}
	l.file = f
	if err := f.Truncate(l.size); err != nil {
		return l.fail("truncate", path, err)
	}
	if err := f.Sync(); err != nil {
		return l.fail("sync", path, err)
	}
	return l.syncFolder()
}
