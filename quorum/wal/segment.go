package wal

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const segmentSuffix = ".log"

// segment is what the log remembers of a segment file.
type segment struct {
	sequence uint64
	salt     uint64
	// lastIndex is the highest entry or snapshot index recorded in the file.
	lastIndex uint64
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf("%016x%s", sequence, segmentSuffix)
}

func (s *segment) updateLastIndex(r *apiv1.WalRecord) {
	if n := len(r.Entries); n > 0 {
		s.lastIndex = max(s.lastIndex, r.Entries[n-1].Index)
	}
	s.lastIndex = max(s.lastIndex, r.Snapshot.GetIndex())
}

// segmentSequences returns the sequence numbers of a folder's segment files in
// order. A missing one is damage: the log drops files only from the front.
func segmentSequences(folder string, names []string) ([]uint64, error) {
	var seqs []uint64
	for _, n := range names {
		var seq uint64
		if !strings.HasSuffix(n, segmentSuffix) {
			continue
		}
		if _, err := fmt.Sscanf(n, "%016x"+segmentSuffix, &seq); err == nil && n == segmentName(seq) {
			seqs = append(seqs, seq)
		}
	}
	slices.Sort(seqs)
	for i := 1; i < len(seqs); i++ {
		if seqs[i] != seqs[i-1]+1 {
			missing := filepath.Join(folder, segmentName(seqs[i-1]+1))
			return nil, &DamageError{File: missing, Reason: "the file is missing"}
		}
	}
	return seqs, nil
}

// readSegment passes a segment's records to visit and returns the size of its
// whole part.
//
// One save is one frame, and it is synced before the next begins. So a power cut
// can break only the last frame of the last segment: what it held was promised
// to nobody, and the caller cuts it off. A broken frame with a whole one behind
// it, or in an earlier segment, was synced once; reading on would skip entries
// that this replica acknowledged, so this is damage.
func readSegment(path string, b []byte, last bool, visit func(*apiv1.WalRecord) error) (segment, int64, error) {
	h, ok := decodeHeader(b)
	if !ok {
		return segment{}, 0, &DamageError{File: path, Reason: "the header is broken"}
	}
	s := segment{sequence: h.sequence, salt: h.salt}
	if filepath.Base(path) != segmentName(h.sequence) {
		return segment{}, 0, &DamageError{File: path, Reason: "the header belongs to another file"}
	}
	offset := headerSize
	for offset < len(b) {
		payload, size, ok := decodeFrame(b[offset:], h.salt)
		if !ok {
			if !last {
				return s, 0, &DamageError{File: path, Offset: int64(offset), Reason: "a frame in an earlier segment is broken"}
			}
			if next := findFrame(b[offset+1:], h.salt); next >= 0 {
				return s, 0, &DamageError{File: path, Offset: int64(offset), Reason: "a frame is broken and whole frames follow it"}
			}
			return s, int64(offset), nil
		}
		r := &apiv1.WalRecord{}
		if err := proto.Unmarshal(payload, r); err != nil {
			return s, 0, &DamageError{File: path, Offset: int64(offset), Reason: "a record can't be decoded: " + err.Error()}
		}
		if err := visit(r); err != nil {
			return s, 0, &DamageError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		s.updateLastIndex(r)
		offset += size
	}
	return s, int64(offset), nil
}
