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

// Guards against an acknowledged command that is missing on one of the replicas, from any fault in
// the path from proposal to applied entry. A single replica, and a group of three, process a
// hundred commands without an injected fault.
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

// Guards against the loss of an acknowledged command in a power loss. Each single step of the disk
// of the only replica fails in turn, and power is lost; clients get their responses until then. No
// response may be sent before its entry is synced.
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

// Guards against a replica with a full or failing disk that continues to respond, or that blocks
// the group. The leader's disk refuses a write; the others continue; the disk is repaired and the
// replica restarted. A storage error must not be retried or only logged.
func TestFailingDiskStopsReplica(t *testing.T) {
	forSeeds(t, 6, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		failing := g.Leader()
		n := g.Node(failing)
		fault, cause := waltest.NoSpace, syscall.ENOSPC
		if g.Seed%2 == 0 {
			fault, cause = waltest.SyncFailure, syscall.EIO
		}
		g.Host(failing).Disk.FailAt(2-int(g.Seed%2), fault)
		var unknown *node.UnknownError
		if err := g.ProposeOnce(failing, "2"); !errors.As(err, &unknown) {
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
			g.T.Fatal("stopped replica reports that it is the leader")
		}
		g.Propose("3", failing)
		g.Kill(failing)
		g.MustStart(failing)
		g.Wait("3 on the repaired replica", func() bool { return g.HasCommand(failing, "3") })
	})
}

// Guards against a replica that takes the whole processor after its disk refused a write: it is stopped, and
// waits for a leader that it can no longer hear.
func TestFailedReplicaStopsWithoutWaiting(t *testing.T) {
	for step, fault := range []waltest.Fault{waltest.NoSpace, waltest.SyncFailure} {
		forSeeds(t, 6, threeHosts, func(g *nodetest.Group) {
			g.MustStart()
			g.Propose("1")
			failing := g.Followers()[g.Seed%2]
			n := g.Node(failing)
			g.Host(failing).Disk.FailAt(1+step, fault)
			g.Propose("2", failing)
			<-n.Failed()
			began := time.Now()
			var refused *wal.WriteError
			if err := n.Stop(nodetest.Within(time.Minute)); !errors.As(err, &refused) {
				g.T.Fatalf("the failed replica stopped with %v", err)
			}
			if waited := time.Since(began); waited > 0 {
				g.T.Fatalf("the failed replica waited for %v", waited)
			}
			g.Kill(failing)
			g.MustStart(failing)
			g.Wait("2 on the restarted replica", func() bool { return g.HasCommand(failing, "2") })
			g.Propose("3", g.Followers()...)
		})
	}
}

// Guards against an acknowledged command that is on one disk only. One of three replicas is
// partitioned, and the disk of another one fails while it stores a command of the leader. The
// follower must not respond before the entry is synced.
func TestFollowerAcknowledgesAfterSync(t *testing.T) {
	forSeeds(t, 4, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		for _, name := range threeHosts {
			g.Wait("1 on "+name, func() bool { return g.HasCommand(name, "1") })
		}
		leader, followers := g.Leader(), g.Followers()
		g.Isolate(followers[0], true)
		if g.Seed%2 == 0 {
			g.Host(followers[1]).Disk.FailAt(1, waltest.NoSpace)
		} else {
			g.Host(followers[1]).Disk.FailAt(2, waltest.SyncFailure)
		}
		if err := g.ProposeOnce(leader, "2"); err == nil {
			g.T.Fatalf("seed %d: command is acknowledged, and only the leader has it", g.Seed)
		}
		var failed *wal.WriteError
		if err := <-g.Node(followers[1]).Failed(); !errors.As(err, &failed) {
			g.T.Fatalf("follower failed with %v", err)
		}
	})
}

// Guards against a follower that was unreachable and never catches up. It is partitioned while
// hundreds of commands are committed and compacted, and is then reconnected, or restarted and
// reconnected. The leader no longer has the entries and must send its snapshot.
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

// Guards against a caller that is told that a command was not run although it was, and against a
// partitioned leader that continues to respond. A leader is partitioned without notice while it
// processes a command; the others elect a new leader; the old one is reconnected. A leader must
// check its quorum, and must not guess the result of a proposal.
func TestPartitionedLeader(t *testing.T) {
	forSeeds(t, 20, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		previous := g.Leader()
		g.Isolate(previous, true)
		for _, patience := range []time.Duration{20 * time.Millisecond, time.Second} {
			var unknown *node.UnknownError
			_, _, err := g.Node(previous).Propose(nodetest.Within(patience), []byte("lost"))
			if !errors.As(err, &unknown) {
				g.T.Fatalf("proposal of a partitioned leader returned %v", err)
			}
		}
		g.Propose("2", previous)
		if s := g.Node(previous).Status(); s.Role == quorum.Leader {
			g.T.Fatal("the previous leader still leads after another was elected")
		}
		var notLeader *node.NotLeaderError
		if _, err := g.Node(previous).ReadBarrier(nodetest.Within(time.Second)); !errors.As(err, &notLeader) {
			g.T.Fatalf("partitioned replica answers a read: %v", err)
		}
		g.Isolate(previous, false)
		g.Wait("2 on the previous leader", func() bool { return g.HasCommand(previous, "2") })
		for _, name := range threeHosts {
			if g.HasCommand(name, "lost") {
				g.T.Fatalf("seed %d: the late entry of the previous leader is applied on %s", g.Seed, name)
			}
		}
	})
}

// Guards against a read that misses what a later leader acknowledged, and against a late command
// of an old leader that takes effect. The leader's process is paused while the others elect a
// leader and commit; then it resumes with a proposal and a read in its queues. A leader must
// confirm its leadership with a majority.
func TestPausedLeaderResumes(t *testing.T) {
	forSeeds(t, 10, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		previous := g.Leader()
		h := g.Host(previous)
		thaw := h.StateMachine.Freeze()
		defer thaw()
		type answer struct {
			err  error
			list []string
		}
		var calls conc.WaitGroup
		defer calls.Wait()
		reads := make(chan answer, 1)
		late := make(chan error, 1)
		propose := func(command string) error {
			_, _, err := h.Node.Propose(nodetest.Within(time.Minute), []byte(command))
			return err
		}
		calls.Go(func() { propose("2") })
		g.Wait("a paused leader", func() bool { return slices.Contains(h.StateMachine.Commands(), "2") })
		calls.Go(func() { late <- propose("late") })
		calls.Go(func() {
			_, err := h.Node.ReadBarrier(nodetest.Within(time.Minute))
			reads <- answer{err, h.StateMachine.Commands()}
		})
		g.Propose("3", previous)
		thaw()
		if a := <-reads; a.err == nil && !slices.Contains(a.list, "3") {
			g.T.Fatalf("seed %d: resumed leader answers a read without 3: %v", g.Seed, a.list)
		}
		if err := <-late; err == nil {
			g.T.Fatalf("seed %d: resumed leader acknowledged a late command", g.Seed)
		}
		g.Wait("3 on the previous leader", func() bool { return g.HasCommand(previous, "3") })
		if g.HasCommand(previous, "late") {
			g.T.Fatalf("seed %d: a late command took effect", g.Seed)
		}
	})
}

// Guards against a planned stop of the leader that leaves the group without a leader for an
// election timeout, or loses commands in progress. The leader is stopped while it has a command to
// commit. It must transfer leadership first.
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
