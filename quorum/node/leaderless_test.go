package node_test

import (
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

func gaugeValue(g *nodetest.Group, host, name string) int64 {
	return g.Host(host).Metrics.Get(name).(metrics.Gauge).Value()
}

// Guards against an unexplained outage: no requests are served, and the logs of the control hosts
// show refused join requests without a reason, twice a second. Power is lost, and two of three
// hosts return with empty disks. The replicas have to report that the majority is lost, and which
// hosts lost their disks.
func TestLostMajorityIsReported(t *testing.T) {
	forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		g.Kill()
		g.Host("a").Disk.Erase()
		g.Host("c").Disk.Erase()
		g.MustStart()
		for _, name := range threeHosts {
			g.Wait("two lost disks reported by "+name, func() bool { return gaugeValue(g, name, "quorum.voters_lost") == 2 })
		}
		joiner := &apiv1.Replica{Id: 7, Name: "d", Address: "d", Learner: true}
		answer, err := g.Node("b").Service().Join(nodetest.Within(time.Second), &apiv1.JoinRequest{Cell: "test", Replica: joiner})
		if err != nil || answer.Accepted || answer.Message == "" {
			g.T.Fatalf("seed %d: refusal is %v, %v", g.Seed, answer, err)
		}
	})
}

// Guards against an operator who gives up a majority whose disks hold everything: two of three hosts answer
// without a replica, because their disks refuse writes, and count as lost disks.
func TestHostsWithoutReplicaHaveNotLostTheirDisks(t *testing.T) {
	forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		g.Kill("a", "c")
		g.WithoutReplica = []string{"a", "c"}
		g.Wait("a group without a leader", func() bool { return gaugeValue(g, "b", "quorum.voters_without_replica") == 2 })
		if lost := gaugeValue(g, "b", "quorum.voters_lost"); lost != 0 {
			g.T.Errorf("seed %d: %d disks are reported as lost", g.Seed, lost)
		}
		g.WithoutReplica = nil
		g.MustStart("a", "c")
		g.Wait("a leader again", func() bool { return gaugeValue(g, "b", "quorum.voters_without_replica") == 0 })
	})
}

// Guards against metrics that report unresponsive voters after a partition has ended. A follower
// is partitioned from the others and reconnected. The gauges of a group without a leader must be
// reset.
func TestUnresponsiveVotersGaugeResets(t *testing.T) {
	forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		cut := g.Followers()[0]
		g.Isolate(cut, true)
		g.Wait("two unresponsive voters", func() bool { return gaugeValue(g, cut, "quorum.voters_silent") == 2 })
		g.Isolate(cut, false)
		g.Wait("no unresponsive voter", func() bool { return gaugeValue(g, cut, "quorum.voters_silent") == 0 })
	})
}

// Guards against a host with an empty disk that never joins a group that is running. All hosts
// that its settings name are replaced by others before it starts. It must query other hosts too.
func TestJoinsThroughDiscoveredHosts(t *testing.T) {
	forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
		foundersAndSpares(g, "d", "e", "f")
		g.Discover = func() []string { return []string{"gone", "e"} }
		g.Peers = []string{"gone"}
		g.AddSpare("late")
		g.Wait("the log on the late host", func() bool { return g.HasCommand("late", "first") })
	})
}

// Guards against a host with an empty disk that never joins a group that is running. Both its
// settings and the discovered hosts list an unresponsive host before a member of the group. In
// each round, the unresponsive host must not use up the time for all of them.
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

// Guards against a host with an empty disk that gets no vote before the next loss is allowed, because it asks
// hosts that are down one after the other.
func TestUnresponsiveHostsDoNotDelayJoining(t *testing.T) {
	const nextLossAllowed = 4 * time.Second
	silent := []string{"silent1", "silent2", "silent3", "silent4"}
	for name, configure := range map[string]func(*nodetest.Group){
		"named by the settings": func(g *nodetest.Group) { g.Peers = slices.Concat(silent, []string{"b"}) },
		"discovered": func(g *nodetest.Group) {
			g.Peers = silent[:1]
			g.Discover = func() []string { return slices.Concat(silent, []string{"b"}) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
				foundersAndSpares(g, "d")
				g.Unresponsive = silent
				configure(g)
				began := time.Now()
				g.AddSpare("late")
				g.Wait("the log on the late host", func() bool { return g.HasCommand("late", "first") })
				if waited := time.Since(began); waited > nextLossAllowed {
					g.T.Errorf("seed %d: the host joined after %v", g.Seed, waited)
				}
			})
		})
	}
}

// Guards against a host that stops asking for its group after a time in which none answered.
func TestHostAsksAgainAfterAllWereSilent(t *testing.T) {
	forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
		foundersAndSpares(g, "d")
		g.Unresponsive = []string{"a", "b", "c", "d", "silent"}
		g.Peers = []string{"b", "silent"}
		g.Discover = func() []string { return []string{"c", "silent"} }
		g.AddSpare("late")
		time.Sleep(5 * time.Second)
		g.Unresponsive = []string{"silent"}
		g.Wait("the log on the late host", func() bool { return g.HasCommand("late", "first") })
	})
}

// Guards against metrics that don't show that one more loss stops the group. One follower of three
// is down. The leader must report from how many voters it gets messages.
func TestLeaderExportsGroupGauges(t *testing.T) {
	forSeeds(t, 1, threeHosts, func(g *nodetest.Group) {
		foundersAndSpares(g, "d")
		g.Wait("three voters and a learner", func() bool {
			leader := g.Leader()
			return gaugeValue(g, leader, "quorum.voters") == 3 && gaugeValue(g, leader, "quorum.voters_heard") == 3 &&
				gaugeValue(g, leader, "quorum.learners") == 1
		})
		g.Kill("d", g.Followers()[0])
		g.Wait("one unresponsive voter", func() bool { return gaugeValue(g, g.Leader(), "quorum.voters_heard") == 2 })
	})
}
