package wal_test

import (
	"errors"
	"fmt"
	"io"
	"path"
	"slices"
	"strings"
	"syscall"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/wal"
	"github.com/cairnlift/cairnlift/quorum/wal/waltest"
)

const folder = "/data"

func makeEntries(term, from, to uint64) []*apiv1.LogEntry {
	var es []*apiv1.LogEntry
	for i := from; i <= to; i++ {
		es = append(es, &apiv1.LogEntry{Term: term, Index: i, Data: fmt.Appendf(nil, "%d-%d", term, i)})
	}
	return es
}

func makeSnapshot(index, term uint64) *apiv1.QuorumSnapshot {
	return &apiv1.QuorumSnapshot{Meta: &apiv1.SnapshotMeta{Index: index, Term: term}, Data: fmt.Appendf(nil, "state at %d", index)}
}

// op is a Save, or a SaveSnapshot if snapshot is set.
type op struct {
	hs       *apiv1.HardState
	entries  []*apiv1.LogEntry
	snapshot *apiv1.QuorumSnapshot
}

func (o op) run(s quorum.Storage) error {
	if o.snapshot != nil {
		return s.SaveSnapshot(o.snapshot)
	}
	return s.Save(o.hs, o.entries)
}

// testOps returns operations that overwrite conflicting entries, compact the log, and store
// snapshots of a leader both ahead of the log and in conflict with it.
func testOps() []op {
	ops := []op{
		{snapshot: makeSnapshot(1, 1)},
		{hs: &apiv1.HardState{Term: 1, Vote: 7}, entries: makeEntries(1, 2, 4)},
		{entries: makeEntries(1, 5, 9)},
		{hs: &apiv1.HardState{Term: 2, Commit: 5}, entries: makeEntries(2, 7, 8)},
		{snapshot: makeSnapshot(5, 1)},
		{entries: makeEntries(2, 9, 30)},
		{snapshot: makeSnapshot(20, 2)},
		{entries: makeEntries(2, 31, 33)},
		{snapshot: makeSnapshot(50, 3)},
		{hs: &apiv1.HardState{Term: 4, Vote: 9}, entries: makeEntries(4, 51, 60)},
		{snapshot: makeSnapshot(55, 5)},
		{hs: &apiv1.HardState{Term: 5}, entries: makeEntries(5, 56, 57)},
		{snapshot: makeSnapshot(57, 5)},
	}
	for i := uint64(58); i < 64; i++ {
		ops = append(ops, op{entries: makeEntries(5, i, i)})
	}
	return ops
}

// expectedState returns the state that a log must hold after ops, according to quorum.Storage.
func expectedState(ops []op) quorum.StoredState {
	var st quorum.StoredState
	for _, o := range ops {
		if o.hs != nil {
			st.HardState = o.hs
		}
		if len(o.entries) > 0 {
			st.Entries = append(entriesThrough(st.Entries, o.entries[0].Index-1), o.entries...)
		}
		if o.snapshot != nil {
			st.Snapshot = o.snapshot
			m := o.snapshot.Meta
			if st.HardState.GetTerm() < m.Term {
				st.HardState = &apiv1.HardState{Term: m.Term}
			}
			kept := entriesThrough(st.Entries, m.Index)
			if n := len(kept); n > 0 && kept[n-1].Index == m.Index && kept[n-1].Term == m.Term {
				st.Entries = st.Entries[n:]
			} else {
				st.Entries = nil
			}
		}
	}
	return st
}

func entriesThrough(es []*apiv1.LogEntry, index uint64) []*apiv1.LogEntry {
	for i, e := range es {
		if e.Index > index {
			return es[:i:i]
		}
	}
	return es
}

// equalState compares two states. It ignores the commit index, which may be older than the
// saved one, and allows that a term is known only from a snapshot.
func equalState(a, b quorum.StoredState) bool {
	same := a.HardState.GetVote() == b.HardState.GetVote()
	same = same && max(a.HardState.GetTerm(), a.Snapshot.GetMeta().GetTerm()) == max(b.HardState.GetTerm(), b.Snapshot.GetMeta().GetTerm())
	same = same && proto.Equal(a.Snapshot, b.Snapshot) && len(a.Entries) == len(b.Entries)
	for i := 0; same && i < len(a.Entries); i++ {
		same = proto.Equal(a.Entries[i], b.Entries[i])
	}
	return same
}

func open(d *waltest.Disk) (*wal.Log, quorum.StoredState, error) {
	l, err := wal.Open(wal.Options{Folder: folder, FS: d, SegmentBytes: 150})
	if err != nil {
		return nil, quorum.StoredState{}, err
	}
	st, err := l.Load()
	if err != nil {
		l.Close()
	}
	return l, st, err
}

// startReplica opens and loads the log as a replica does, which stores its identity first.
func startReplica(d *waltest.Disk) (*wal.Log, quorum.StoredState, error) {
	l, err := wal.Open(wal.Options{Folder: folder, FS: d, SegmentBytes: 150})
	if err != nil {
		return nil, quorum.StoredState{}, err
	}
	id, err := l.Identity()
	if err == nil && id == nil {
		err = l.SaveIdentity(&apiv1.ReplicaIdentity{ReplicaId: 7})
	}
	if err != nil {
		return l, quorum.StoredState{}, err
	}
	st, err := l.Load()
	return l, st, err
}

// runOps stores an identity and runs testOps up to the first error. It returns the number of
// operations that succeeded.
func runOps(d *waltest.Disk) (*wal.Log, int, error) {
	l, _, err := startReplica(d)
	if err != nil {
		return l, 0, err
	}
	for i, o := range testOps() {
		if err := o.run(l); err != nil {
			return l, i, err
		}
	}
	return l, len(testOps()), nil
}

// Guards against a replica that after a restart lacks entries that it acknowledged, or does
// not start. The causes are data that counts as stored before its sync, a rename without a
// folder sync, use after a failed sync, and a torn record taken for damage. Each write, sync,
// rename, creation and removal fails in turn, by a power cut, a short write, a full disk or a
// failed sync. Then the process starts again, and the power is cut once more.
func TestFaultAtEveryStep(t *testing.T) {
	d := waltest.NewDisk(0)
	d.FailAt(0, 0)
	if _, _, err := runOps(d); err != nil {
		t.Fatal(err)
	}
	steps := d.Steps()
	faults := []waltest.Fault{waltest.PowerCut, waltest.ShortWrite, waltest.NoSpace, waltest.SyncFailure}
	for _, fault := range faults {
		for step := 1; step <= steps; step++ {
			for seed := uint64(0); seed < 8; seed++ {
				if err := faultAt(fault, step, seed); err != nil {
					t.Fatalf("fault %d at step %d, seed %d: %v", fault, step, seed, err)
				}
			}
		}
	}
	t.Logf("%d steps, %d faults, 8 seeds each", steps, len(faults))
}

func faultAt(fault waltest.Fault, step int, seed uint64) error {
	d := waltest.NewDisk(seed)
	d.FailAt(step, fault)
	l, acked, err := runOps(d)
	if err != nil {
		var failed *wal.WriteError
		if !errors.As(err, &failed) {
			return fmt.Errorf("error is not a *wal.WriteError: %w", err)
		}
		if fault == waltest.NoSpace && !errors.Is(err, syscall.ENOSPC) {
			return fmt.Errorf("error does not wrap ENOSPC: %w", err)
		}
		if again := l.Save(nil, makeEntries(9, 90, 90)); !errors.Is(again, err) {
			return fmt.Errorf("a Save after a failed write returned another error: %w", again)
		}
	}
	l.Close()
	if fault == waltest.PowerCut {
		d.CutPower()
	}
	d.FailAt(0, 0)
	if fault == waltest.NoSpace {
		d.FreeSpace()
	}
	return checkRestart(d, acked)
}

// checkRestart starts the replica twice, with a power cut after each start, and then checks
// that further writes are stored.
func checkRestart(d *waltest.Disk, acked int) error {
	var first quorum.StoredState
	for n := range 2 {
		l, st, err := startReplica(d)
		if err != nil {
			return fmt.Errorf("start %d: %w", n, err)
		}
		next := min(acked+1, len(testOps()))
		if !equalState(st, expectedState(testOps()[:acked])) && !equalState(st, expectedState(testOps()[:next])) {
			return fmt.Errorf("start %d after %d operations loaded an unexpected state: %v", n, acked, st)
		}
		if n > 0 && !equalState(st, first) {
			return fmt.Errorf("the state loaded before a power cut differs from the state after it: %v, then %v", first, st)
		}
		first = st
		l.Close()
		d.CutPower()
	}
	l, st, err := open(d)
	if err != nil {
		return err
	}
	last := st.Snapshot.GetMeta().GetIndex() + uint64(len(st.Entries))
	if err := l.Save(&apiv1.HardState{Term: 8}, makeEntries(8, last+1, last+3)); err != nil {
		return err
	}
	d.CutPower()
	_, again, err := open(d)
	if err != nil || len(again.Entries) != len(st.Entries)+3 {
		return fmt.Errorf("entries written after the restart are lost: %v, %w", again, err)
	}
	return nil
}

// Guards against a replica with a damaged disk that starts with a shorter or different log
// than it acknowledged, and votes based on it. The causes are a corrupt record taken for a
// torn one, and a snapshot whose checksum is not verified. One bit is flipped, in each byte
// of each file in turn. Only damage of the very last record can't be distinguished from a
// torn record.
func TestDamageStopsLoad(t *testing.T) {
	d := waltest.NewDisk(1)
	l, n, err := runOps(d)
	if err != nil || n != len(testOps()) {
		t.Fatal(n, err)
	}
	l.Close()
	names, _ := d.List(folder)
	last := ""
	for _, n := range names {
		if strings.HasSuffix(n, ".log") {
			last = max(last, n)
		}
	}
	stopped, survived := 0, 0
	for _, name := range names {
		file := path.Join(folder, name)
		b, _ := d.ReadFile(file)
		for offset := range b {
			flipped := d.Clone()
			flipped.Corrupt(file, offset)
			l, st, err := open(flipped)
			if err == nil {
				_, err = l.Identity()
			}
			var damage *wal.DamageError
			switch {
			case errors.As(err, &damage):
				stopped++
				if !strings.HasPrefix(damage.File, folder) || damage.File == file && damage.Offset > int64(offset) {
					t.Fatalf("damage of %s at offset %d is reported as %v", file, offset, err)
				}
			case err != nil:
				t.Fatalf("damage of %s at offset %d: %v", file, offset, err)
			default:
				survived++
				if m := st.Snapshot.GetMeta(); !proto.Equal(st.Snapshot, makeSnapshot(m.GetIndex(), m.GetTerm())) {
					t.Fatalf("damage of %s at offset %d is not detected: the snapshot is %v", file, offset, st.Snapshot)
				}
				end := st.Snapshot.GetMeta().GetIndex() + uint64(len(st.Entries))
				if end < 63 && (name != last || end < 62) {
					t.Fatalf("damage of %s at offset %d is not detected: the log ends at %d", file, offset, end)
				}
			}
		}
	}
	if stopped == 0 || survived == 0 {
		t.Fatalf("damage was detected %d times and the log was loaded %d times; the test needs both", stopped, survived)
	}
}

// Guards against a replica that takes a new id after a power cut although it was already a
// member under another one, and against the loss of a snapshot whose log was removed. A file
// is written and renamed, then the power is cut. The cause is a rename without a folder sync.
func TestRenamedFilesAreDurable(t *testing.T) {
	for seed := range uint64(20) {
		d := waltest.NewDisk(seed)
		l, _, err := startReplica(d)
		if err != nil {
			t.Fatal(err)
		}
		if err := l.SaveIdentity(&apiv1.ReplicaIdentity{ReplicaId: 8}); err != nil {
			t.Fatal(err)
		}
		if err := l.StageSnapshot(makeSnapshot(9, 1)); err != nil {
			t.Fatal(err)
		}
		d.CutPower()
		l, st, err := startReplica(d)
		id, idErr := l.Identity()
		if err != nil || idErr != nil || id.GetReplicaId() != 8 || st.Snapshot.GetMeta().GetIndex() != 9 {
			t.Fatalf("seed %d: loaded identity %v and state %v, errors %v and %v", seed, id, st, err, idErr)
		}
	}
}

// Guards against two processes that append to one log and corrupt each other's records, and
// against a lock that remains after its holder has closed the log. A second process opens
// the folder while the first one has it open, and again after the first one has closed it.
func TestOpenLocksFolder(t *testing.T) {
	o := wal.Options{Folder: t.TempDir()}
	l, err := wal.Open(o)
	if err != nil {
		t.Fatal(err)
	}
	var locked *wal.LockedError
	if _, err := wal.Open(o); !errors.As(err, &locked) {
		t.Fatalf("a second Open of a locked folder returned %v", err)
	}
	l.Close()
	if l, err = wal.Open(o); err != nil {
		t.Fatal(err)
	}
	l.Close()
}

// readOnlyLock is a disk on which the lock file can't be created.
type readOnlyLock struct{ wal.FS }

func (readOnlyLock) Lock(string) (io.Closer, error) { return nil, syscall.EROFS }

// Guards against a process that ends at each start, instead of serving without its replica, because its disk
// refuses writes from the first one on.
func TestRefusedLockIsAWriteError(t *testing.T) {
	_, err := wal.Open(wal.Options{Folder: t.TempDir(), FS: readOnlyLock{wal.OS{}}})
	var refused *wal.WriteError
	if !errors.As(err, &refused) || !errors.Is(err, syscall.EROFS) {
		t.Errorf("%T: %v", err, err)
	}
}

// FuzzLoad loads valid frames with arbitrary payloads, followed by torn or unrelated data.
// Load must never panic. A log that it accepts must accept further writes, and return them
// when it is loaded again.
func FuzzLoad(f *testing.F) {
	snap := wal.MustMarshal(makeSnapshot(4, 1))
	first := wal.MustMarshal(&apiv1.WalRecord{HardState: &apiv1.HardState{Term: 1}, Entries: makeEntries(1, 2, 6)})
	second := wal.MustMarshal(&apiv1.WalRecord{Entries: makeEntries(2, 5, 9), Snapshot: &apiv1.SnapshotMeta{Index: 4, Term: 1}})
	f.Add(first, second, []byte{}, snap, uint64(4), uint64(1))
	f.Add(second, first, []byte("torn"), []byte{}, uint64(0), uint64(0))
	f.Add(first, second, wal.EncodeSegment(1, first), snap, uint64(4), uint64(2))
	f.Fuzz(func(t *testing.T, first, second, tail, snap []byte, index, term uint64) {
		d := waltest.NewDisk(1)
		d.Put(folder+"/0000000000000001.log", append(wal.EncodeSegment(1, first, second), tail...))
		if len(snap) > 0 {
			d.Put(fmt.Sprintf("%s/%016x-%016x.snapshot", folder, index, term), wal.EncodeBlob(snap))
		}
		l, st, err := open(d)
		if err != nil {
			return
		}
		last := st.Snapshot.GetMeta().GetIndex()
		if n := len(st.Entries); n > 0 {
			last = st.Entries[n-1].Index
		}
		if err := l.Save(&apiv1.HardState{Term: 9}, makeEntries(9, last+1, last+2)); err != nil {
			t.Fatal(err)
		}
		l.Close()
		_, again, err := open(d)
		if err != nil || len(again.Entries) != len(st.Entries)+2 {
			t.Fatalf("%d entries before two were added, then %d: %v", len(st.Entries), len(again.Entries), err)
		}
	})
}

// Guards against a host that stays without its replica: the disk is full of a snapshot that did not fit, which
// only the start of the replica would remove.
func TestRefusedSnapshotLeavesNoFile(t *testing.T) {
	for step, fault := range map[int]waltest.Fault{2: waltest.NoSpace, 3: waltest.SyncFailure} {
		disk := waltest.NewDisk(1)
		l, err := wal.Open(wal.Options{Folder: folder, FS: disk})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := l.Load(); err != nil {
			t.Fatal(err)
		}
		before, _ := disk.List(folder) // fails for a missing folder only
		disk.FailAt(step, fault)
		err = l.StageSnapshot(&apiv1.QuorumSnapshot{Meta: &apiv1.SnapshotMeta{Index: 1, Term: 1}, Data: make([]byte, 1<<20)})
		var refused *wal.WriteError
		if !errors.As(err, &refused) {
			t.Fatalf("step %d: %v", step, err)
		}
		if after, _ := disk.List(folder); !slices.Equal(before, after) {
			t.Errorf("step %d: files %v, %v before", step, after, before)
		}
	}
}
