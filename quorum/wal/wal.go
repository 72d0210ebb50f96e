// Package wal keeps a replica's part of the replicated log in a folder: segment
// files of checksummed records, snapshots, and the replica's identity. It
// implements quorum.Storage.
//
// What is on the disk counts only once it is synced, and names in a folder only
// once the folder is synced. A record that a power cut left torn at the very end
// is cut off; anything else that can't be read stops the replica with a
// *DamageError. After a failed write or sync the log refuses all use.
//
// Not told apart: a last record that was synced and later rotted looks like a
// torn one. And after a failed sync the kernel may show a restarted process the
// last record from memory and call it synced: a replica whose disk reported such
// an error is to be restarted with an empty folder, on a sound disk.
package wal

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
)

const (
	lockFile            = "lock"
	defaultSegmentBytes = 16 << 20
)

// Options say where the log is kept.
type Options struct {
	Folder string
	// FS is the operating system's when nil.
	FS FS
	// Logger may be nil.
	Logger *zap.Logger
	// SegmentBytes is the size at which a new segment begins; 16 MiB when 0.
	SegmentBytes int64
}

// Log is a replica's data folder. Its methods are called from one goroutine, but
// for StageSnapshot.
type Log struct {
	fs           FS
	folder       string
	logger       *zap.Logger
	segmentBytes int64
	lock         io.Closer
	// err is the first write error; it is final.
	err error

	loaded    bool
	segments  []segment
	file      File
	size      int64
	hardState *apiv1.HardState
	// hardStateDirty is set while only the commit index changed since the last write.
	hardStateDirty bool
	snapshots      []snapshotID
	buffer         []byte
}

var _ quorum.Storage = (*Log)(nil)

// Open takes the folder for this process, creating it when missing. It returns
// *LockedError when another process has it.
func Open(o Options) (*Log, error) {
	l := &Log{fs: o.FS, folder: o.Folder, logger: o.Logger, segmentBytes: o.SegmentBytes}
	if l.fs == nil {
		l.fs = OS{}
	}
	if l.logger == nil {
		l.logger = zap.NewNop()
	}
	if l.segmentBytes == 0 {
		l.segmentBytes = defaultSegmentBytes
	}
	if err := l.fs.MkdirAll(l.folder); err != nil {
		return nil, &WriteError{Op: "create", File: l.folder, Cause: err}
	}
	lock, err := l.fs.Lock(l.path(lockFile))
	if err != nil {
		return nil, err
	}
	l.lock = lock
	return l, nil
}

func (l *Log) path(name string) string { return filepath.Join(l.folder, name) }

// fail records the first write error.
func (l *Log) fail(op, file string, cause error) error {
	if l.err == nil {
		l.err = &WriteError{Op: op, File: file, Cause: cause}
	}
	return l.err
}

func (l *Log) syncFolder() error {
	if err := l.fs.SyncDir(l.folder); err != nil {
		return l.fail("sync", l.folder, err)
	}
	return nil
}

// rotate begins a new segment with a copy of the hard state, so that earlier
// segments can be dropped.
func (l *Log) rotate() error {
	s := segment{sequence: 1, salt: randomSalt()}
	if n := len(l.segments); n > 0 {
		s.sequence = l.segments[n-1].sequence + 1
	}
	path := l.path(segmentName(s.sequence))
	f, err := l.fs.Create(path)
	if err != nil {
		return l.fail("create", path, err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file = f
	l.segments = append(l.segments, s)
	if err := l.write(header{s.sequence, s.salt}.encode()); err != nil {
		return err
	}
	if err := l.syncFolder(); err != nil {
		return err
	}
	l.size = headerSize
	if l.hardState == nil {
		return nil
	}
	return l.append(&apiv1.WalRecord{HardState: l.hardState})
}

func randomSalt() uint64 {
	var b [8]byte
	rand.Read(b[:]) // Never fails, by its documentation.
	return binary.LittleEndian.Uint64(b[:])
}

// write appends bytes to the last segment and syncs it.
func (l *Log) write(b []byte) error {
	path := l.path(segmentName(l.segments[len(l.segments)-1].sequence))
	n, err := l.file.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	if err != nil {
		return l.fail("write", path, err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail("sync", path, err)
	}
	return nil
}

// append writes one record as one synced frame.
func (l *Log) append(r *apiv1.WalRecord) error {
	payload, err := proto.Marshal(r)
	if err != nil {
		return l.fail("encode", l.folder, err)
	}
	if len(payload) > maxPayload {
		return l.fail("encode", l.folder, errors.Newf("a record of %d bytes is too large", len(payload)))
	}
	current := &l.segments[len(l.segments)-1]
	l.buffer = appendFrame(l.buffer[:0], current.salt, payload)
	if err := l.write(l.buffer); err != nil {
		return err
	}
	l.size += int64(len(l.buffer))
	current.updateLastIndex(r)
	return nil
}

// Save implements quorum.Storage. A change of nothing but the commit index is
// kept back until the next write: commitIndex is volatile in the Raft paper, a
// replica learns it again from its leader, and a sync per commit would double
// the syncs of a follower.
func (l *Log) Save(hs *apiv1.HardState, entries []*apiv1.LogEntry) error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	voted := hs != nil && (hs.Term != l.hardState.GetTerm() || hs.Vote != l.hardState.GetVote())
	write := voted || len(entries) > 0
	if write && l.size >= l.segmentBytes {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	if hs != nil {
		l.hardState = proto.CloneOf(hs)
		l.hardStateDirty = true
	}
	if !write {
		return nil
	}
	return l.flush(entries)
}

// flush writes the hard state, if it isn't yet, together with entries.
func (l *Log) flush(entries []*apiv1.LogEntry) error {
	r := &apiv1.WalRecord{Entries: entries}
	if l.hardStateDirty {
		r.HardState = l.hardState
	}
	if err := l.append(r); err != nil {
		return err
	}
	l.hardStateDirty = false
	return nil
}

func (l *Log) checkUsable() error {
	if l.err == nil && !l.loaded {
		panic("wal: the log is read by Load before it is written, or a torn end would be followed by whole records")
	}
	return l.err
}

// SaveSnapshot implements quorum.Storage. The snapshot before it stays, and with
// it the log since then.
func (l *Log) SaveSnapshot(s *apiv1.QuorumSnapshot) error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	if err := l.StageSnapshot(s); err != nil {
		l.err = err
		return err
	}
	return l.CommitSnapshot(s.Meta)
}

// StageSnapshot stores a snapshot's file and leaves the log alone. It is the one
// method that may run beside others, so that a large snapshot of what this
// replica itself applied does not hold up its log. CommitSnapshot completes it.
func (l *Log) StageSnapshot(s *apiv1.QuorumSnapshot) error {
	payload, err := proto.Marshal(s)
	if err != nil {
		return &WriteError{Op: "encode", File: l.folder, Cause: err}
	}
	return l.writeBlob(snapshotID{s.Meta.Index, s.Meta.Term}.name(), payload)
}

// CommitSnapshot notes a staged snapshot in the log and drops what only older
// ones need. One that a newer snapshot has overtaken is left alone.
func (l *Log) CommitSnapshot(m *apiv1.SnapshotMeta) error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	id := snapshotID{m.Index, m.Term}
	if n := len(l.snapshots); n > 0 && l.snapshots[n-1].index >= id.index {
		return nil
	}
	if err := l.rotate(); err != nil {
		return err
	}
	if err := l.recordSnapshot(m); err != nil {
		return err
	}
	l.snapshots = append(l.snapshots, id)
	return l.dropObsolete()
}

// recordSnapshot notes in the log that a snapshot is stored.
func (l *Log) recordSnapshot(m *apiv1.SnapshotMeta) error {
	position := &apiv1.SnapshotMeta{Index: m.Index, Term: m.Term}
	return l.append(&apiv1.WalRecord{HardState: l.hardState, Snapshot: position})
}

// dropObsolete removes what no kept snapshot needs. The folder is synced after each
// segment: if a later removal reached the disk without an earlier one, the files
// left would have a gap, which Load takes for damage.
func (l *Log) dropObsolete() error {
	for len(l.snapshots) > retainedSnapshots {
		if err := l.remove(l.snapshots[0].name()); err != nil {
			return err
		}
		l.snapshots = l.snapshots[1:]
	}
	if len(l.snapshots) < retainedSnapshots {
		return nil
	}
	for len(l.segments) > 1 && l.segments[0].lastIndex <= l.snapshots[0].index {
		if err := l.remove(segmentName(l.segments[0].sequence)); err != nil {
			return err
		}
		if err := l.syncFolder(); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	return nil
}

func (l *Log) remove(name string) error {
	if err := l.fs.Remove(l.path(name)); err != nil {
		return l.fail("remove", l.path(name), err)
	}
	return nil
}

// Close writes a commit index that was kept back and gives the folder free.
func (l *Log) Close() error {
	err := l.err
	if err == nil && l.hardStateDirty {
		err = l.flush(nil)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.lock.Close()
	if l.err == nil {
		l.err = errors.New("the log is closed")
	}
	return err
}
