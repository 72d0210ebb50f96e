package wal

import (
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const identityFile = "identity"

// Identity returns whose data the folder holds, nil when it is empty.
func (l *Log) Identity() (*apiv1.ReplicaIdentity, error) {
	names, err := l.fs.List(l.folder)
	if err != nil {
		return nil, errors.Wrap(err, "log folder can't be listed")
	}
	path := l.path(identityFile)
	if !slices.Contains(names, identityFile) {
		return nil, l.requireNoLog(names)
	}
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "identity can't be read")
	}
	payload, ok := decodeBlob(b)
	id := &apiv1.ReplicaIdentity{}
	if !ok || proto.Unmarshal(payload, id) != nil || id.ReplicaId == 0 {
		return nil, &DamageError{File: path, Reason: "the checksum does not match"}
	}
	return id, nil
}

// requireNoLog refuses a log without an identity: it belongs to a replica that is
// not known, and going on under a new id would count it twice.
func (l *Log) requireNoLog(names []string) error {
	seqs, err := segmentSequences(l.folder, names)
	if err != nil {
		return err
	}
	if len(seqs) > 0 || len(snapshotIDs(names)) > 0 {
		return &DamageError{File: l.path(identityFile), Reason: "the file is missing but there is a log"}
	}
	return nil
}

// SaveIdentity stores whose data the folder holds.
func (l *Log) SaveIdentity(id *apiv1.ReplicaIdentity) error {
	if l.err != nil {
		return l.err
	}
	payload, err := proto.Marshal(id)
	if err != nil {
		return l.fail("encode", l.path(identityFile), err)
	}
	if err := l.writeBlob(identityFile, payload); err != nil {
		l.err = err
		return err
	}
	return nil
}
