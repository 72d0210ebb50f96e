package node_test

import (
	"errors"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
	"github.com/cairnlift/cairnlift/quorum/wal"
	"github.com/cairnlift/cairnlift/quorum/wal/waltest"
)

var threeHosts = []string{"a", "b", "c"}

// forSeeds runs a test in virtual time, once for each seed.
func forSeeds(t *testing.T, seeds uint64, names []string, test func(*nodetest.Group)) {
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, seed+1, names, test) })
	}
}

// runSeed runs a test in virtual time with one seed.
func runSeed(t *testing.T, seed uint64, names []string, test func(*nodetest.Group)) {
	synctest.Test(t, func(t *testing.T) {
		g := nodetest.NewGroup(t, seed, names...)
		defer g.Kill()
		test(g)
	})
}

// Symptom: a command is acknowledged and missing on one of the replicas.
// Sequence: a lone replica, and a group of three, take a hundred commands without
// a fault. Cause: any fault in the plain path from proposal to applied entry.
func TestGroupCommits(t *testing.T) {
	for _, names := range [][]string{{"a"}, threeHosts} {
		forSeeds(t, 3, names, func(g *nodetest.Group) {
			g.MustStart()
			for i := range 100 {
				g.Propose(fmt.Sprint(i))
			}
			for _, name := range names {
				g.Wait("all commands on "+name, func() bool { return g.HasCommand(name, "99") })
			}
		})
	}
}

// Symptom: an acknowledged command is gone after a power cut.
// Sequence: each single step of the disk of the only replica fails in turn, and
// the power is cut; clients get their answers until then.
// Cause: an answer that left before its entry was synced.
func TestPowerCutAtEveryStep(t *testing.T) {
	const commands = 30
	forSeeds(t, 1, []string{"a"}, func(g *nodetest.Group) {
		g.SnapshotEntries = 8
		faults := []waltest.Fault{waltest.PowerCut, waltest.NoSpace, waltest.SyncFailure}
		for step := 1; step < 150; step++ {
			h := g.Host("a")
			h.Disk.Erase()
			h.Disk.FailAt(step, faults[step%len(faults)])
			acked := 0
			if err := g.Start("a"); err == nil {
				for ; acked < commands && g.ProposeOnce("a", fmt.Sprint(acked)) == nil; acked++ {
				}
			}
			g.Kill("a")
			h.Disk.CutPower()
			if err := g.Start("a"); err != nil {
				g.T.Fatalf("step %d: no restart: %v", step, err)
			}
			for i := range acked {
				if !g.HasCommand("a", fmt.Sprint(i)) {
					g.T.Fatalf("step %d: command %d of %d is lost: %v", step, i, acked, h.StateMachine.Commands())
				}
			}
			g.Kill("a")
		}
	})
}

// Symptom: a replica with a full or failing disk goes on answering, or drags the
// group down.
// Sequence: the leader's disk refuses a write; the others go on; the disk is
// repaired and the replica started again.
// Cause: a storage error that is retried or only logged.
func TestFailingDiskStopsReplica(t *testing.T) {
	forSeeds(t, 6, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		sick := g.Leader()
		n := g.Node(sick)
		fault, cause := waltest.NoSpace, syscall.ENOSPC
		if g.Seed%2 == 0 {
			fault, cause = waltest.SyncFailure, syscall.EIO
		}
		g.Host(sick).Disk.FailAt(2-int(g.Seed%2), fault)
		var unknown *node.UnknownError
		if err := g.ProposeOnce(sick, "2"); !errors.As(err, &unknown) {
			g.T.Fatalf("proposal on a failing disk returned %v", err)
		}
		if err := <-n.Failed(); !errors.Is(err, cause) {
			g.T.Fatalf("replica failed with %v", err)
		}
		var stopped *node.StoppedError
		if _, err := n.ReadBarrier(nodetest.Within(time.Second)); !errors.As(err, &stopped) {
			g.T.Fatalf("stopped replica answers a read: %v", err)
		}
		if s := n.Status(); s.Role == quorum.Leader {
			g.T.Fatal("stopped replica says that it leads")
		}
		g.Propose("3", sick)
		g.Kill(sick)
		g.MustStart(sick)
		g.Wait("3 on the repaired replica", func() bool { return g.HasCommand(sick, "3") })
	})
}

// Symptom: an acknowledged command is on one disk only.
// Sequence: of three replicas one is cut off, and the disk of another fails while
// it stores a command of the leader.
// Cause: the follower's answer leaves before the entry is synced.
func TestFollowerAcknowledgesAfterSync(t *testing.T) {
	forSeeds(t, 4, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		for _, name := range threeHosts {
			g.Wait("1 on "+name, func() bool { return g.HasCommand(name, "1") })
		}
		leader, Followers := g.Leader(), g.Followers()
		g.Isolate(Followers[0], true)
		if g.Seed%2 == 0 {
			g.Host(Followers[1]).Disk.FailAt(1, waltest.NoSpace)
		} else {
			g.Host(Followers[1]).Disk.FailAt(2, waltest.SyncFailure)
		}
		if err := g.ProposeOnce(leader, "2"); err == nil {
			g.T.Fatalf("seed %d: command is acknowledged, and only the leader has it", g.Seed)
		}
		var failed *wal.WriteError
		if err := <-g.Node(Followers[1]).Failed(); !errors.As(err, &failed) {
			g.T.Fatalf("follower failed with %v", err)
		}
	})
}

// Symptom: a follower that was away stays behind for good.
// Sequence: a follower is cut off while hundreds of changes are committed and
// compacted away, and is then connected, or restarted, again.
// Cause: the leader no longer has the entries and doesn't send its snapshot.
func TestFollowerFarBehindGetsSnapshot(t *testing.T) {
	forSeeds(t, 6, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		behind := g.Followers()[0]
		g.Isolate(behind, true)
		for i := range 600 {
			g.Propose(fmt.Sprintf("%d-%0500d", i, i), behind)
		}
		if g.Seed%2 == 0 {
			g.Kill(behind)
			g.MustStart(behind)
		}
		restores := g.Host(behind).StateMachine.Restores()
		g.Isolate(behind, false)
		last := fmt.Sprintf("%d-%0500d", 599, 599)
		g.Wait("the last command", func() bool { return g.HasCommand(behind, last) })
		if g.Host(behind).StateMachine.Restores() == restores {
			g.T.Fatalf("seed %d: no snapshot was sent", g.Seed)
		}
	})
}

// Symptom: a caller is told that a command was not run, and it was; or a leader
// that is cut off goes on answering.
// Sequence: a leader is cut off in silence while it takes a command; the others
// elect a new leader; the old one is connected again.
// Cause: no check of the quorum, or a proposal's end that is guessed.
func TestPartitionedLeader(t *testing.T) {
	forSeeds(t, 20, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		old := g.Leader()
		g.Isolate(old, true)
		for _, patience := range []time.Duration{20 * time.Millisecond, time.Second} {
			var unknown *node.UnknownError
			_, _, err := g.Node(old).Propose(nodetest.Within(patience), []byte("lost"))
			if !errors.As(err, &unknown) {
				g.T.Fatalf("proposal of a leader that is cut off returned %v", err)
			}
		}
		g.Propose("2", old)
		if s := g.Node(old).Status(); s.Role == quorum.Leader {
			g.T.Fatal("the old leader still leads after another was elected")
		}
		var notLeader *node.NotLeaderError
		if _, err := g.Node(old).ReadBarrier(nodetest.Within(time.Second)); !errors.As(err, &notLeader) {
			g.T.Fatalf("replica that is cut off answers a read: %v", err)
		}
		g.Isolate(old, false)
		g.Wait("2 on the old leader", func() bool { return g.HasCommand(old, "2") })
		for _, name := range threeHosts {
			if g.HasCommand(name, "lost") {
				g.T.Fatalf("seed %d: the late entry of the old leader is applied on %s", g.Seed, name)
			}
		}
	})
}

// Symptom: a read misses what a later leader acknowledged, or a late command of an
// old leader takes effect.
// Sequence: the leader's process stands still, others elect a leader and commit;
// then it wakes with a proposal and a read in its queues.
// Cause: a leader that trusts its office without asking a majority.
func TestPausedLeaderResumes(t *testing.T) {
	forSeeds(t, 10, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		old := g.Leader()
		h := g.Host(old)
		thaw := h.StateMachine.Freeze()
		defer thaw()
		type answer struct {
			err  error
			list []string
		}
		var asked conc.WaitGroup
		defer asked.Wait()
		reads := make(chan answer, 1)
		late := make(chan error, 1)
		propose := func(command string) error {
			_, _, err := h.Node.Propose(nodetest.Within(time.Minute), []byte(command))
			return err
		}
		asked.Go(func() { propose("2") })
		g.Wait("a frozen leader", func() bool { return slices.Contains(h.StateMachine.Commands(), "2") })
		asked.Go(func() { late <- propose("late") })
		asked.Go(func() {
			_, err := h.Node.ReadBarrier(nodetest.Within(time.Minute))
			reads <- answer{err, h.StateMachine.Commands()}
		})
		g.Propose("3", old)
		thaw()
		if a := <-reads; a.err == nil && !slices.Contains(a.list, "3") {
			g.T.Fatalf("seed %d: woken leader answers a read without 3: %v", g.Seed, a.list)
		}
		if err := <-late; err == nil {
			g.T.Fatalf("seed %d: woken leader acknowledged a late command", g.Seed)
		}
		g.Wait("3 on the old leader", func() bool { return g.HasCommand(old, "3") })
		if g.HasCommand(old, "late") {
			g.T.Fatalf("seed %d: a late command took effect", g.Seed)
		}
	})
}

// Symptom: a planned stop of the leader leaves the group without one for an
// election timeout, or loses what was in progress.
// Sequence: the leader is stopped while it has a command to commit.
// Cause: no handover before the stop.
func TestStopTransfersLeadership(t *testing.T) {
	forSeeds(t, 6, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		leader := g.Leader()
		before := g.Node(leader).Status().Term
		if err := g.Node(leader).Stop(nodetest.Within(time.Second)); err != nil {
			g.T.Fatal(err)
		}
		g.Propose("2", leader)
		next := g.Leader(leader)
		if s := g.Node(next).Status(); s.Term != before+1 {
			g.T.Fatalf("seed %d: term %d follows %d: there was an election without handover", g.Seed, s.Term, before)
		}
	})
}
