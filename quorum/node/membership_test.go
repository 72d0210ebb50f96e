package node_test

import (
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

// Guards against an acknowledged command that is lost after a disk was replaced, or a group that
// never commits again. A follower loses its disk and its host returns with an empty one; that disk
// is lost before the replica gets its vote back; a third one is lost right after, and once it is
// repaired another host loses its disk. A new disk must not vote or count under the old id, and
// the membership must not keep votes of lost disks until too few running voters are left.
func TestRepeatedDiskLoss(t *testing.T) {
	forSeeds(t, 20, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		lost, other := g.Followers()[0], g.Followers()[1]
		old := g.Node(lost).Status().ID
		g.ReplaceDisk(lost)
		g.Wait("a learner", func() bool {
			return len(g.Node(g.Leader()).Status().Membership.Replicas) == 4
		})
		g.ReplaceDisk(lost)
		g.Propose("2")
		g.WaitAllVoters()
		g.ReplaceDisk(lost)
		g.Propose("3")
		g.WaitAllVoters()
		g.ReplaceDisk(other)
		g.WaitAllVoters()
		g.Propose("4")
		for _, name := range threeHosts {
			for _, command := range []string{"1", "2", "3", "4"} {
				g.Wait(command+" on "+name, func() bool { return g.HasCommand(name, command) })
			}
		}
		if id := g.Node(lost).Status().ID; id == old {
			g.T.Fatalf("seed %d: an empty disk got the old id %d again", g.Seed, id)
		}
	})
}

// Guards against two groups under one name, each with a leader. Hosts start one after the other
// and query each other over slow links, and one of them loses its disk at some time while the
// group is being formed. Hosts must not decide on the initial membership by themselves, from
// answers that are no longer true.
func TestFormingWithLostDisk(t *testing.T) {
	forSeeds(t, 100, threeHosts, func(g *nodetest.Group) {
		random := rand.New(rand.NewPCG(g.Seed, 7))
		pause := func(most int) { time.Sleep(time.Duration(random.IntN(most)) * time.Millisecond) }
		g.IdentifyDelay = func() { time.Sleep(time.Duration(rand.IntN(100)) * time.Millisecond) }
		for _, name := range threeHosts {
			pause(100)
			g.MustStart(name)
		}
		pause(500)
		victim := threeHosts[random.IntN(3)]
		g.ReplaceDisk(victim)
		g.Propose("1")
		g.WaitAllVoters()
		var initial *apiv1.Membership
		for _, name := range threeHosts {
			g.Wait("1 on "+name, func() bool { return g.HasCommand(name, "1") })
			identity := g.Identify(name)
			if initial == nil {
				initial = identity.InitialMembership
			}
			if identity.InitialMembership != nil && !proto.Equal(identity.InitialMembership, initial) {
				g.T.Fatalf("seed %d: hosts formed two groups: %v and %v", g.Seed, initial, identity.InitialMembership)
			}
		}
	})
}

// Guards against a group that never commits again after a repaired disk was lost a second time,
// although two of three hosts are healthy. A host returned with an empty disk; while the leader
// restores the membership to three voters, that disk is lost again after any of the steps. No step
// may need the new disk for a majority.
func TestRepairStepsKeepMajorityOfRunningVoters(t *testing.T) {
	s := quorum.Status{ID: 1, LastIndex: 10, Match: map[uint64]uint64{1: 10, 2: 10, 4: 10, 5: 10}, Membership: &apiv1.Membership{
		Replicas: []*apiv1.Replica{{Id: 1, Name: "a"}, {Id: 2, Name: "b"}, {Id: 3, Name: "c"},
			{Id: 4, Name: "c", Learner: true}, {Id: 5, Name: "c", Learner: true}},
	}}
	steps := 0
	for {
		next, reason := node.NextMembership(s)
		if next == nil {
			break
		}
		steps++
		s.Membership = next
		voters, running := 0, 0
		for _, r := range next.Replicas {
			if !r.Learner {
				voters++
				if r.Name != "c" {
					running++
				}
			}
		}
		if running <= voters/2 {
			t.Fatalf("after step %d (%s) %d of %d voters run", steps, reason, running, voters)
		}
	}
	if r := s.Membership.Replicas; steps != 3 || len(r) != 3 || r[2].Id != 5 || r[2].Learner {
		t.Fatalf("%d steps lead to %v", steps, s.Membership)
	}
}

// Guards against two leaders, or a group without a majority, after operators changed the
// membership at the same time. Two removals are requested concurrently. No change may start before
// the previous one is committed.
func TestConcurrentMembershipChanges(t *testing.T) {
	forSeeds(t, 10, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		leader := g.Node(g.Leader())
		before := leader.Status().Membership
		var done atomic.Int64
		var operators conc.WaitGroup
		for _, name := range g.Followers() {
			id := g.Node(name).Status().ID
			operators.Go(func() {
				if err := leader.Remove(nodetest.Within(time.Second), id); err == nil {
					done.Add(1)
				} else if !errors.Is(err, quorum.ErrMembershipPending) && !errors.Is(err, quorum.ErrMembershipChangeRefused) {
					g.T.Errorf("seed %d: %v", g.Seed, err)
				}
			})
		}
		operators.Wait()
		after := leader.Status().Membership
		if n := int(done.Load()); n == 0 || len(after.Replicas) != len(before.Replicas)-n {
			g.T.Fatalf("seed %d: %d of two concurrent changes succeeded: %v", g.Seed, n, after)
		}
		g.Propose("2")
	})
}
