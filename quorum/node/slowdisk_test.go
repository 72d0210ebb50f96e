package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

const (
	// slowSync is the duration of a sync on a slow disk. On the other disks a sync takes no time
	// in this test.
	slowSync = 60 * time.Millisecond
	// slowCommits is enough commits for a leader to detect that its disk stays slow.
	slowCommits = 10
)

// commitTimes proposes commands one after the other and returns the duration of each.
func commitTimes(g *nodetest.Group, name string) []time.Duration {
	var times []time.Duration
	for i := range slowCommits {
		began := time.Now()
		g.Propose(fmt.Sprint(name, " ", i))
		times = append(times, time.Since(began))
	}
	return times
}

// Guards against commits at the speed of the leader's slow disk although a majority of the disks
// is fast. The disk of the leader's host becomes slow and stays slow. A leader handles the others'
// acknowledgements only after its own sync. Without a leadership transfer, each commit takes 60 ms
// for as long as the disk is slow; with it, the last commits take as long as on a fast disk.
func TestLeaderWithSlowDiskTransfersLeadership(t *testing.T) {
	forSeeds(t, 10, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.WaitAllVoters()
		leader := g.Leader()
		g.Host(leader).Disk.SetSyncDelay(slowSync)
		times := commitTimes(g, "slow")
		if last := times[len(times)-1]; last >= slowSync {
			g.T.Errorf("seed %d: a commit still takes %v after %v", g.Seed, last, times)
		}
		if now := g.Leader(); now == leader {
			g.T.Errorf("seed %d: %s is still the leader", g.Seed, now)
		}
		for _, name := range g.Names() {
			if !g.HasCommand(name, "slow 0") {
				g.T.Errorf("seed %d: %s lacks what was committed on the slow disk", g.Seed, name)
			}
		}
	})
}

// Guards against leadership that moves repeatedly, so that every commit waits for elections. All
// disks become slow together, as on shared storage, or the leader's disk is slow for only two
// syncs. A leader must not transfer leadership without a faster voter, or as soon as its disk is
// slow.
func TestLeaderKeepsLeadershipWithoutFasterVoter(t *testing.T) {
	slow := map[string]func(g *nodetest.Group, leader string){
		"all": func(g *nodetest.Group, _ string) {
			for _, name := range g.Names() {
				g.Host(name).Disk.SetSyncDelay(slowSync)
			}
			commitTimes(g, "all")
		},
		"a moment": func(g *nodetest.Group, leader string) {
			g.Host(leader).Disk.SetSyncDelay(slowSync)
			g.Propose("first")
			g.Host(leader).Disk.SetSyncDelay(0)
			commitTimes(g, "later")
		},
	}
	for name, play := range slow {
		t.Run(name, func(t *testing.T) {
			forSeeds(t, 5, threeHosts, func(g *nodetest.Group) {
				g.MustStart()
				g.WaitAllVoters()
				leader := g.Leader()
				term := g.Node(leader).Status().Term
				play(g, leader)
				if s := g.Node(leader).Status(); s.Role != quorum.Leader || s.Term != term {
					g.T.Errorf("seed %d: %s no longer leads: %+v", g.Seed, leader, s)
				}
			})
		})
	}
}
