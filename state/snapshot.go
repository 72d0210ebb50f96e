package state

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// snapshotMagic starts every snapshot and identifies the version of the format. It is
// followed by the xxhash64 of the message in big endian order, and by the encoded
// apiv1.StateSnapshot.
var snapshotMagic = []byte("cairnlift-state-1\n")

const checksumBytes = 8

// Snapshot encodes the whole state. Replicas that run the same build encode equal states
// as equal bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	options := proto.MarshalOptions{Deterministic: true}
	body, err := options.Marshal(m.messageWithoutSubmittedJobs())
	parts := [][]byte{body}
	// Decoding merges the messages of single jobs into one.
	for r := range m.callerJobs.JobRecords() {
		if err != nil {
			break
		}
		body, err = options.Marshal(&apiv1.StateSnapshot{SubmittedJobs: &apiv1.JobsSnapshot{Jobs: []*apiv1.SubmittedJobRecord{r}}})
		parts = append(parts, body)
	}
	if err != nil {
		return nil, errors.Wrap(err, "state snapshot can't be encoded")
	}
	return addSnapshotHeader(parts...), nil
}

// addSnapshotHeader joins the parts of an encoded message and prepends the magic and the checksum.
func addSnapshotHeader(parts ...[]byte) []byte {
	size := len(snapshotMagic) + checksumBytes
	for _, p := range parts {
		size += len(p)
	}
	buf := append(make([]byte, 0, size), snapshotMagic...)
	sum := xxhash.New()
	for _, p := range parts {
		_, _ = sum.Write(p)
	}
	buf = binary.BigEndian.AppendUint64(buf, sum.Sum64())
	for _, p := range parts {
		buf = append(buf, p...)
	}
	return buf
}

// Restore replaces the state with that of a snapshot. On an error the machine is
// unchanged: a snapshot is restored only if it is complete and consistent.
func (m *Machine) Restore(data []byte) error {
	s, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	restored := New()
	if err := restored.load(s); err != nil {
		return errors.Wrap(err, "state snapshot is inconsistent")
	}
	if err := restored.Check(); err != nil {
		return errors.Wrap(err, "state snapshot violates an invariant")
	}
	*m = *restored
	return nil
}

func decodeSnapshot(data []byte) (*apiv1.StateSnapshot, error) {
	rest, ok := bytes.CutPrefix(data, snapshotMagic)
	if !ok || len(rest) < checksumBytes {
		return nil, errors.New("state snapshot: unsupported format")
	}
	sum, body := binary.BigEndian.Uint64(rest), rest[checksumBytes:]
	if xxhash.Sum64(body) != sum {
		return nil, errors.New("state snapshot: checksum does not match")
	}
	s := &apiv1.StateSnapshot{}
	if err := proto.Unmarshal(body, s); err != nil {
		return nil, errors.Wrap(err, "state snapshot can't be decoded")
	}
	return s, nil
}

func (m *Machine) messageWithoutSubmittedJobs() *apiv1.StateSnapshot {
	s := &apiv1.StateSnapshot{
		Index:         m.index,
		TimeMs:        m.timeMs,
		LeaderTerm:    m.leaderTerm,
		Configuration: m.configuration,
		Submissions:   m.submissions.order,
		SubmittedJobs: m.callerJobs.SnapshotWithoutJobs(),
		Directories:   m.directories,
	}
	s.Tasks = make([]*apiv1.TaskRecord, 0, len(m.tasks))
	for _, name := range sortedKeys(m.jobs) {
		m.jobs[name].addTo(s)
	}
	for _, id := range sortedKeys(m.removedJobs) {
		m.removedJobs[id].addTo(s)
	}
	for _, name := range sortedKeys(m.workers) {
		s.Workers = append(s.Workers, m.workers[name].message())
	}
	for _, c := range m.claims.byKey {
		s.Claims = append(s.Claims, c.record)
	}
	slices.SortFunc(s.Claims, func(a, b *apiv1.ClaimRecord) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
	})
	return s
}

// addTo adds the job and its tasks. Tasks are listed by job and number, so that they need
// no sorting.
func (j *job) addTo(s *apiv1.StateSnapshot) {
	s.Jobs = append(s.Jobs, j.message())
	for _, t := range j.tasks {
		s.Tasks = append(s.Tasks, t.message())
	}
}

func (j *job) message() *apiv1.JobRecord {
	r := &apiv1.JobRecord{
		Name:           j.definition.Name,
		Canceled:       j.canceled,
		ParkedReason:   j.parkedReason,
		CreatedMs:      j.createdMs,
		CreatedVersion: j.createdVersion,
		Removed:        j.removed,
	}
	if j.removed {
		r.Definition = j.definition
	}
	return r
}

func (t *task) message() *apiv1.TaskRecord {
	r := &apiv1.TaskRecord{
		Task:          t.id,
		Job:           t.job.id,
		Number:        int32(t.number),
		State:         t.state,
		Attempt:       t.attempt,
		Checkpoint:    t.checkpoint,
		Failures:      t.failures,
		Evictions:     t.evictions,
		QueuedMs:      t.queuedMs,
		GrantedMs:     t.grantedMs,
		Reason:        t.reason,
		FailedWorkers: t.failedWorkers,
		NotBeforeMs:   t.notBeforeMs,
		LastWorker:    t.lastWorker,
	}
	if t.live() {
		r.Worker = t.worker.name
		r.Grant = t.grant.Message()
	}
	return r
}

func (w *worker) message() *apiv1.WorkerRecord {
	return &apiv1.WorkerRecord{
		Name:             w.name,
		Incarnation:      w.incarnation,
		Region:           w.region,
		AvailabilityZone: w.availabilityZone,
		Rack:             w.rack,
		Capacity:         w.capacity.Message(),
		Reserved:         w.reserved.Message(),
		Draining:         w.draining,
	}
}
