package wal

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
)

// A snapshot file, like the identity file, consists of a magic, the XXH64 checksum of the
// payload, and the payload.
const (
	snapshotSuffix  = ".snapshot"
	temporarySuffix = ".tmp"
	damagedSuffix   = ".damaged"
	blobMagic       = "CAIRNBLB"
	blobHeaderSize  = 16
	// retainedSnapshots is the number of snapshots that are kept on the disk. If the newest
	// one can't be read, the previous one and the log since then hold the same state.
	retainedSnapshots = 2
)

func encodeBlob(payload []byte) []byte {
	b := make([]byte, 0, blobHeaderSize+len(payload))
	b = append(b, blobMagic...)
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, payload...)
}

func decodeBlob(b []byte) ([]byte, bool) {
	if len(b) < blobHeaderSize || string(b[:len(blobMagic)]) != blobMagic {
		return nil, false
	}
	payload := b[blobHeaderSize:]
	return payload, binary.LittleEndian.Uint64(b[8:]) == xxhash.Sum64(payload)
}

// writeBlob stores a file atomically: it writes and syncs a temporary file, renames it, and
// syncs the folder. The order matters. A rename that reached the disk before the data would
// leave an empty file under the final name, and a rename that is not synced could be undone
// by a power cut after the log that the file replaces was dropped.
func (l *Log) writeBlob(name string, payload []byte) error {
	temporary := l.path(name + temporarySuffix)
	if err := l.writeFile(temporary, encodeBlob(payload)); err != nil {
		_ = l.fs.Remove(temporary) // The next load removes it otherwise, if the disk has space for that.
		return err
	}
	if err := l.fs.Rename(temporary, l.path(name)); err != nil {
		return &WriteError{Op: "rename", File: temporary, Cause: err}
	}
	if err := l.fs.SyncDir(l.folder); err != nil {
		return &WriteError{Op: "sync", File: l.folder, Cause: err}
	}
	return nil
}

func (l *Log) writeFile(path string, b []byte) error {
	f, err := l.fs.Create(path)
	if err != nil {
		return &WriteError{Op: "create", File: path, Cause: err}
	}
	if _, err := f.Write(b); err != nil {
		f.Close()
		return &WriteError{Op: "write", File: path, Cause: err}
	}
	if err := f.Sync(); err != nil {
		f.Close()
		return &WriteError{Op: "sync", File: path, Cause: err}
	}
	if err := f.Close(); err != nil {
		return &WriteError{Op: "close", File: path, Cause: err}
	}
	return nil
}

// snapshotID identifies a snapshot file.
type snapshotID struct{ index, term uint64 }

func (s snapshotID) name() string {
	return fmt.Sprintf("%016x-%016x%s", s.index, s.term, snapshotSuffix)
}

// snapshotIDs returns the ids of the snapshots among a folder's files, oldest first.
func snapshotIDs(names []string) []snapshotID {
	var ids []snapshotID
	for _, n := range names {
		var id snapshotID
		if !strings.HasSuffix(n, snapshotSuffix) {
			continue
		}
		if _, err := fmt.Sscanf(n, "%016x-%016x"+snapshotSuffix, &id.index, &id.term); err == nil && id.name() == n {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b snapshotID) int {
		if a.index < b.index {
			return -1
		}
		return 1
	})
	return ids
}

func decodeSnapshot(path string, b []byte) (*apiv1.QuorumSnapshot, error) {
	payload, ok := decodeBlob(b)
	if !ok {
		return nil, &DamageError{File: path, Reason: "checksum mismatch"}
	}
	s := &apiv1.QuorumSnapshot{}
	if err := proto.Unmarshal(payload, s); err != nil {
		return nil, &DamageError{File: path, Offset: blobHeaderSize, Reason: err.Error()}
	}
	if s.Meta == nil || s.Meta.Index > maxIndex || filepath.Base(path) != (snapshotID{s.Meta.Index, s.Meta.Term}).name() {
		return nil, &DamageError{File: path, Offset: blobHeaderSize, Reason: "the file name does not match the snapshot in the file"}
	}
	return s, nil
}

// newestSnapshot reads the newest snapshot that is not damaged. It returns an older one only
// if the log holds every entry from that snapshot to the damaged ones.
func (l *Log) newestSnapshot(r *replay) (*apiv1.QuorumSnapshot, error) {
	var damage error
	var damaged []snapshotID
	for len(l.snapshots) > 0 {
		id := l.snapshots[len(l.snapshots)-1]
		path := l.path(id.name())
		b, err := l.fs.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read snapshot")
		}
		s, err := decodeSnapshot(path, b)
		if err == nil {
			if !r.coversAll(id, damaged) {
				return nil, damage
			}
			return s, l.renameDamaged(damaged)
		}
		damage = errors.CombineErrors(damage, err)
		damaged = append(damaged, id)
		l.snapshots = l.snapshots[:len(l.snapshots)-1]
	}
	return nil, damage
}

// coversAll reports whether the log holds all entries from a snapshot up to each of the later
// ones.
func (r *replay) coversAll(from snapshotID, to []snapshotID) bool {
	for _, id := range to {
		if r.first > from.index+1 || !r.contains(id.index, id.term) {
			return false
		}
	}
	return true
}

// renameDamaged renames damaged snapshots, so that they remain for inspection but do not count as
// retained snapshots.
func (l *Log) renameDamaged(ids []snapshotID) error {
	for _, id := range ids {
		path := l.path(id.name())
		event.SnapshotDamaged.Write(l.logger, event.File(path))
		if err := l.fs.Rename(path, path+damagedSuffix); err != nil {
			return l.fail("rename", path, err)
		}
	}
	if len(ids) == 0 {
		return nil
	}
	return l.syncFolder()
}
