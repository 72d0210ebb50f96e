package node_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

const (
	// startSpread is the time within which the hosts of a group return after a power loss, in the
	// virtual time of the test, where the shortest election timeout is 100 ms.
	startSpread = 60 * time.Millisecond
	// maxTimeToLeader is the longest time from the start of the last host until there is a leader:
	// less than one election timeout, since waiting for one would tell the replicas nothing that
	// is not on their disks.
	maxTimeToLeader = 80 * time.Millisecond
)

// restartAll kills all hosts and starts them in random order within startSpread. It returns the
// time from the last start until there is a leader.
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

// Guards against a second or more without service after a power loss although all hosts return
// together. All hosts of a group stop, and start within half an election timeout of each other.
// They must not wait one or two election timeouts for a leader that can't exist.
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

// Guards against a planned restart of a follower that deposes the leader. Followers restart one
// after another, at random times relative to the leader's heartbeats. A replica that has just
// started must not request votes before the leader's heartbeat can reach it.
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

// Guards against a new group that stops permanently after its first acknowledgement although only
// one disk was lost. Three hosts form a group; the first two to know the membership elect a leader
// and commit; one of them loses its disk before the third knows that it is a member. The third
// adopts the membership from the founder only. If the founder has lost it, the remaining member
// has no majority.
func TestNewGroupElectsAfterAllMembersKnowIt(t *testing.T) {
	forSeeds(t, 40, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Leader()
		for _, name := range g.Names() {
			if g.Node(name).Status().Membership == nil {
				g.T.Errorf("seed %d: there is a leader, but %s does not know the membership", g.Seed, name)
			}
		}
	})
}
