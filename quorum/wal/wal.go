// Package wal stores a replica's copy of the replicated log in a folder: segment files of
// checksummed records, snapshots, and the replica's identity. It implements quorum.Storage.
//
// Data counts as stored only after the file is synced, and a file name only after its
// folder is synced. A record at the very end that a power cut left torn is truncated. Any
// other data that can't be read stops the replica with a *DamageError. After a failed write
// or sync the log rejects all further use.
//
// Two faults are not detected. A last record that was synced and later damaged looks like a
// torn one. And after a failed sync, the kernel may return the last record from memory to a
// restarted process and report it as synced. A replica whose disk reported such an error
// must be restarted with an empty folder, on a disk without errors.
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

// Options configures a log.
type Options struct {
	// Folder is the folder that holds the log.
	Folder string
	// FS defaults to the file system of the operating system.
	FS FS
	// Logger may be nil.
	Logger *zap.Logger
	// SegmentBytes is the size from which a new segment is begun; it defaults to 16 MiB.
	SegmentBytes int64
}

// Log is a replica's data folder. Its methods must be called from one goroutine, except for
// StageSnapshot.
type Log struct {
	fs           FS
	folder       string
	logger       *zap.Logger
	segmentBytes int64
	lock         io.Closer
	// err is the first write error. It is never reset.
	err error

	loaded    bool
	segments  []segment
	file      File
	size      int64
	hardState *apiv1.HardState
	// hardStateDirty is set while hardState may differ from the last written one.
	hardStateDirty bool
	snapshots      []snapshotID
	buffer         []byte
}

var _ quorum.Storage = (*Log)(nil)

// Open locks the folder for this process and creates it if it is missing. It returns a
// *LockedError if another process has locked it, and a *WriteError if the disk refuses that.
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
		return nil, lockError(l.path(lockFile), err)
	}
	l.lock = lock
	return l, nil
}

// lockError returns a *LockedError as it is, and any other error as a refusal by the disk.
func lockError(file string, err error) error {
	var locked *LockedError
	if errors.As(err, &locked) {
		return err
	}
	return &WriteError{Op: "lock", File: file, Cause: err}
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

// rotate begins a new segment with a copy of the hard state, so that earlier segments can be
// removed.
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
	rand.Read(b[:]) // Documented to never fail.
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

// append writes a record as one frame and syncs it.
func (l *Log) append(r *apiv1.WalRecord) error {
	payload, err := proto.Marshal(r)
	if err != nil {
		return l.fail("encode", l.folder, err)
	}
	if len(payload) > maxPayload {
		return l.fail("encode", l.folder, errors.Newf("record of %d bytes exceeds the limit", len(payload)))
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

// Save implements quorum.Storage. If only the commit index has changed, it is not written
// until the next write. The commit index is volatile state in the Raft paper: a replica
// learns it again from its leader, and a sync per commit would double the syncs of a
// follower.
func (l *Log) Save(hs *apiv1.HardState, entries []*apiv1.LogEntry) error {
	if err := l.checkUsable(); err != nil {
		return err
	}
	termOrVoteChanged := hs != nil && (hs.Term != l.hardState.GetTerm() || hs.Vote != l.hardState.GetVote())
	write := termOrVoteChanged || len(entries) > 0
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

// flush writes the entries, together with the hard state if it has changed.
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
		panic("wal: Load must be called before the log is written, so that no valid records follow a torn one")
	}
	return l.err
}

// SaveSnapshot implements quorum.Storage. The previous snapshot and the log since then are
// kept.
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

// StageSnapshot stores a snapshot's file without changing the log; CommitSnapshot must
// follow. It is the only method that may run concurrently with the others, so that a large
// snapshot of the state that this replica applied does not block its log.
func (l *Log) StageSnapshot(s *apiv1.QuorumSnapshot) error {
	payload, err := proto.Marshal(s)
	if err != nil {
		return &WriteError{Op: "encode", File: l.folder, Cause: err}
	}
	return l.writeBlob(snapshotID{s.Meta.Index, s.Meta.Term}.name(), payload)
}

// CommitSnapshot records a staged snapshot in the log, and removes the snapshots and
// segments that are no longer needed. It does nothing if the log has recorded a snapshot at
// the same or a higher index.
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

// recordSnapshot writes to the log that a snapshot is stored.
func (l *Log) recordSnapshot(m *apiv1.SnapshotMeta) error {
	position := &apiv1.SnapshotMeta{Index: m.Index, Term: m.Term}
	return l.append(&apiv1.WalRecord{HardState: l.hardState, Snapshot: position})
}

// dropObsolete removes the snapshots and segments that no retained snapshot needs. The folder
// is synced after each removed segment: if a later removal reached the disk without an
// earlier one, the remaining segments would have a gap, which Load reports as damage.
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

// Close writes a commit index that has not been written yet, and unlocks the folder.
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
