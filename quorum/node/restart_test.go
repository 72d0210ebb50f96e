package node_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

const (
	// startSpread is the time within which the hosts of a group that lost power are back,
	// in the test group's time, where the shortest election timeout is 100 ms.
	startSpread = 60 * time.Millisecond
	// maxTimeToLeader is the longest that a group may be without a leader once all its hosts
	// are back: less than one election timeout, in which nothing can be learnt that its disks
	// don't say.
	maxTimeToLeader = 80 * time.Millisecond
)

// restartAll kills all hosts and starts them in random order within startSpread. It
// returns how long after the last start there is a leader.
func restartAll(g *nodetest.Group, random *rand.Rand) time.Duration {
	g.Kill()
	names := g.Names()
	random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		time.Sleep(time.Duration(random.Int64N(int64(startSpread) / int64(len(names)))))
		g.MustStart(name)
	}
	began := time.Now()
	g.Leader()
	return time.Since(began)
}

// Symptom: after a power cut nothing is accepted or started for a second and more, though
// all hosts are back at once.
// Sequence: all hosts of a group stop and start within half an election timeout of each
// other. Cause: each waits a whole timeout or two for a leader that can't be there.
func TestFullRestartElectsWithinElectionTimeout(t *testing.T) {
	for name, hosts := range map[string][]string{"three": threeHosts, "five": {"a", "b", "c", "d", "e"}} {
		t.Run(name, func(t *testing.T) {
			forSeeds(t, 20, hosts, func(g *nodetest.Group) {
				random := rand.New(rand.NewPCG(g.Seed, 5))
				g.MustStart()
				g.WaitAllVoters()
				for round := range 3 {
					g.Propose("before")
					if took := restartAll(g, random); took >= maxTimeToLeader {
						g.T.Errorf("seed %d, round %d: %v without a leader", g.Seed, round, took)
					}
				}
				g.Propose("after")
			})
		})
	}
}

// Symptom: a planned restart of a follower deposes the leader.
// Sequence: followers restart one after another, at any distance from the leader's
// heartbeats. Cause: one that has just started asks for votes before it heard the leader.
func TestFollowerRestartsKeepLeader(t *testing.T) {
	forSeeds(t, 20, threeHosts, func(g *nodetest.Group) {
		random := rand.New(rand.NewPCG(g.Seed, 6))
		g.MustStart()
		g.WaitAllVoters()
		leader := g.Leader()
		term := g.Node(leader).Status().Term
		for range 6 {
			name := g.Followers()[random.IntN(2)]
			g.Kill(name)
			time.Sleep(time.Duration(random.Int64N(int64(60 * time.Millisecond))))
			g.MustStart(name)
			time.Sleep(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
		}
		g.Propose("after")
		if s := g.Node(leader).Status(); s.Term != term {
			g.T.Errorf("seed %d: the term went from %d to %d", g.Seed, term, s.Term)
		}
	})
}

// Symptom: a new group stops for good after its first acknowledgement, though only one disk
// was lost.
// Sequence: three hosts found a group; the first two to know it elect a leader and commit;
// one of them loses its disk before the third has learnt that it is a member. Cause: the third
// takes the membership from the founder only, which has forgotten it, and the one that is
// left has no majority.
func TestNewGroupElectsAfterAllMembersKnowIt(t *testing.T) {
	forSeeds(t, 40, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Leader()
		for _, name := range g.Names() {
			if g.Node(name).Status().Membership == nil {
				g.T.Errorf("seed %d: there is a leader, and %s does not know the group", g.Seed, name)
			}
		}
	})
}
