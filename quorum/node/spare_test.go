package node_test

import (
	"slices"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

// Symptom: after a host of the control group was replaced by one of another name,
// the loss of one more host stops the group for good.
// Sequence: a follower is gone for good; a host of a new name joins with an empty
// disk; then the other follower is gone.
// Cause: the vote of the host that is gone is kept, so that two of three voters are
// missing, or the newcomer never gets a vote.
func TestSpareTakesThePlaceOfALostVoter(t *testing.T) {
	forSeeds(t, 20, three, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		gone, other := g.Followers()[0], g.Followers()[1]
		g.Kill(gone)
		g.AddSpare("new")
		g.Wait("the new host to vote", func() bool {
			voters := g.Voters()
			return len(voters) == 3 && slices.Contains(voters, "new") && !slices.Contains(voters, gone)
		})
		g.Kill(other)
		g.Propose("2")
		g.Wait("2 on the new host", func() bool { return g.Has("new", "2") })
	})
}

// Symptom: a newcomer to a whole group makes it need one more host for a majority.
// Sequence: a host of a new name joins while all voters live; then one of the
// voters is gone.
// Cause: a spare that is given a vote beside those that it should replace.
func TestSpareWaitsWhileAllVotersLive(t *testing.T) {
	forSeeds(t, 20, three, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		g.AddSpare("new")
		g.Wait("the log on the new host", func() bool { return g.Has("new", "1") })
		if voters := g.Voters(); !slices.Equal(voters, three) {
			t.Fatalf("seed %d: voters are %v", g.Seed, voters)
		}
		gone := g.Followers()[0]
		g.Kill(gone)
		g.Wait("the new host to vote", func() bool { return slices.Contains(g.Voters(), "new") })
	})
}

// Symptom: a host that was down for long never takes part again, and nobody tells.
// Sequence: a follower is down until a spare has its place; it comes back with its
// disk, by which it still is a voter.
// Cause: nobody sends to a replica that was removed, and it does not ask.
func TestReplacedVoterComesBackAsSpare(t *testing.T) {
	forSeeds(t, 20, three, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		down := g.Followers()[0]
		g.Kill(down)
		g.AddSpare("new")
		g.Wait("the new host to vote", func() bool { return slices.Contains(g.Voters(), "new") })
		g.Propose("2")
		g.MustStart(down)
		g.Wait("2 on the host that was down", func() bool { return g.Has(down, "2") })
		if voters := g.Voters(); len(voters) != 3 || slices.Contains(voters, down) {
			t.Fatalf("seed %d: voters are %v", g.Seed, voters)
		}
	})
}

// Symptom: a group of three that lost one voter and repaired a disk has no majority.
// Sequence: a spare is there while one voter is silent.
// Cause: the spare gets its vote before the silent voter is removed.
func TestSpareStepsNeedNoMoreThanTheLiving(t *testing.T) {
	const ticks = 5
	s := quorum.Status{
		ID: 1, LastIndex: 10, Match: map[uint64]uint64{1: 10, 2: 10, 4: 10},
		SilentTicks: map[uint64]int{3: ticks},
		Membership: &apiv1.Membership{Replicas: []*apiv1.Replica{
			{Id: 1, Name: "a"}, {Id: 2, Name: "b"}, {Id: 3, Name: "c"}, {Id: 4, Name: "d", Learner: true, Spare: true},
		}},
	}
	steps := 0
	for next, _ := node.NextMembershipAfter(s, ticks); next != nil; next, _ = node.NextMembershipAfter(s, ticks) {
		s.Membership = next
		steps++
		if voters := votersOf(next); voters == 4 {
			t.Fatalf("after step %d there are %d voters, one of them gone", steps, voters)
		}
	}
	if steps != 3 || votersOf(s.Membership) != 3 || s.Membership.Replicas[2].Id != 4 {
		t.Fatalf("%d steps lead to %v", steps, s.Membership)
	}
}

func votersOf(m *apiv1.Membership) int {
	voters := 0
	for _, r := range m.Replicas {
		if !r.Learner {
			voters++
		}
	}
	return voters
}

// Symptom: a group of three has four voters, so that it needs one more host.
// Sequence: a spare restarts at another address and asks to be taken in again.
// Cause: the note of its new address forgets that it is a spare.
func TestSpareThatMovesStaysASpare(t *testing.T) {
	forSeeds(t, 3, three, func(g *nodetest.Group) {
		foundersAndSpares(g, "new")
		leader := g.Leader()
		moved := &apiv1.Replica{Id: g.Node("new").Status().ID, Name: "new", Address: "elsewhere", Learner: true, Spare: true}
		answer, err := g.Node(leader).Service().Join(nodetest.Within(time.Second), &apiv1.JoinRequest{Cell: "test", Replica: moved})
		if err != nil || !answer.Accepted {
			g.T.Fatalf("seed %d: %v, %v", g.Seed, answer, err)
		}
		for _, r := range g.Node(leader).Status().Membership.Replicas {
			if r.Name == "new" && (!r.Spare || r.Address != "elsewhere") {
				g.T.Fatalf("seed %d: the spare is now %v", g.Seed, r)
			}
		}
	})
}
