package node_test

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

func gaugeValue(g *nodetest.Group, host, name string) int64 {
	return g.Host(host).Metrics.Get(name).(metrics.Gauge).Value()
}

// Symptom: nothing is served, and the logs of the control hosts show refused requests
// to join without a reason, twice a second.
// Sequence: the power is cut, and two of three hosts come back with empty disks.
// Cause: nobody says that the majority is gone, or which hosts it is.
func TestLostMajorityIsReported(t *testing.T) {
	forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		g.Kill()
		g.Host("a").Disk.Erase()
		g.Host("c").Disk.Erase()
		g.MustStart()
		for _, name := range threeHosts {
			g.Wait("two lost disks seen on "+name, func() bool { return gaugeValue(g, name, "quorum.voters_lost") == 2 })
		}
		joiner := &apiv1.Replica{Id: 7, Name: "d", Address: "d", Learner: true}
		answer, err := g.Node("b").Service().Join(nodetest.Within(time.Second), &apiv1.JoinRequest{Cell: "test", Replica: joiner})
		if err != nil || answer.Accepted || answer.Message == "" {
			g.T.Fatalf("seed %d: refusal is %v, %v", g.Seed, answer, err)
		}
	})
}

// Symptom: after a cut the metrics still say that voters are silent.
// Sequence: a follower is cut off from the others, and is connected again.
// Cause: what was said of a group without a leader is not taken back.
func TestUnresponsiveVotersGaugeResets(t *testing.T) {
	forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		cut := g.Followers()[0]
		g.Isolate(cut, true)
		g.Wait("two silent voters", func() bool { return gaugeValue(g, cut, "quorum.voters_silent") == 2 })
		g.Isolate(cut, false)
		g.Wait("none silent", func() bool { return gaugeValue(g, cut, "quorum.voters_silent") == 0 })
	})
}

// Symptom: a host with an empty disk never takes part, though the group is whole.
// Sequence: the hosts that its settings name are all replaced by others before it comes.
// Cause: it asks nobody else.
func TestJoinsThroughDiscoveredHosts(t *testing.T) {
	forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
		foundersAndSpares(g, "d", "e", "f")
		g.Discover = func() []string { return []string{"gone", "e"} }
		g.Peers = []string{"gone"}
		g.AddSpare("late")
		g.Wait("the log on the late host", func() bool { return g.HasCommand("late", "first") })
	})
}

// Symptom: a host with an empty disk never takes part, though the group is whole.
// Sequence: its settings name a host that is silent, as does what it discovered, before
// a member of the group.
// Cause: the silent host uses up the time for all of them, in each round.
func TestUnresponsiveHostDoesNotBlockDiscovery(t *testing.T) {
	forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
		foundersAndSpares(g, "d", "e", "f")
		g.Unresponsive = []string{"silent"}
		g.Discover = func() []string { return []string{"silent", "e"} }
		g.Peers = []string{"silent"}
		g.AddSpare("late")
		g.Wait("the log on the late host", func() bool { return g.HasCommand("late", "first") })
	})
}

// Symptom: an operator can't see from the metrics that one more loss stops the group.
// Sequence: a follower of three is down.
// Cause: the leader does not show whom it hears.
func TestLeaderExportsGroupGauges(t *testing.T) {
	forSeeds(t, 1, threeHosts, func(g *nodetest.Group) {
		foundersAndSpares(g, "d")
		g.Wait("three voters and a learner", func() bool {
			leader := g.Leader()
			return gaugeValue(g, leader, "quorum.voters") == 3 && gaugeValue(g, leader, "quorum.voters_heard") == 3 &&
				gaugeValue(g, leader, "quorum.learners") == 1
		})
		g.Kill("d", g.Followers()[0])
		g.Wait("one voter not heard", func() bool { return gaugeValue(g, g.Leader(), "quorum.voters_heard") == 2 })
	})
}
