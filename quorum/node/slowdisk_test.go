package node_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/quorum"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

const (
	// slowSync is what a sync takes on a slow disk; the others take no time here.
	slowSync = 60 * time.Millisecond
	// slowCommits are enough for a leader to see that its disk stays slow.
	slowCommits = 10
)

// commitTimes proposes commands one after the other and returns how long each took.
func commitTimes(g *nodetest.Group, name string) []time.Duration {
	var times []time.Duration
	for i := range slowCommits {
		began := time.Now()
		g.Propose(fmt.Sprint(name, " ", i))
		times = append(times, time.Since(began))
	}
	return times
}

// Symptom: callers wait for the leader's disk with each submission, although a majority
// of the disks is as fast as ever.
// Sequence: the disk of the leader's host turns slow and stays so. Cause: a leader hears
// the others' acknowledgements only after its own sync, and leads on.
// Before: each commit takes 60 ms for as long as the disk is slow. After: the last ones
// take what a fast disk takes.
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
			g.T.Errorf("seed %d: %s leads on", g.Seed, now)
		}
		for _, name := range g.Names() {
			if !g.HasCommand(name, "slow 0") {
				g.T.Errorf("seed %d: %s lacks what was committed on the slow disk", g.Seed, name)
			}
		}
	})
}

// Symptom: leadership wanders and every commit waits for elections.
// Sequence: all disks turn slow alike, as on a shared storage; or the leader's is slow
// for two syncs only. Cause: a leader that hands over without a faster voter, or at once.
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
