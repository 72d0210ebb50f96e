package node_test

import (
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

// Guards against metrics that show a healthy group while one follower gets no new entries for
// minutes, and that hide how often leaders change. A follower is partitioned while the leader
// commits, and then reconnected; then the leader is partitioned. Both the lag and the elections
// must be counted.
func TestGroupMetrics(t *testing.T) {
	forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		g.Propose("1")
		leader, cut := g.Leader(), g.Followers()[0]
		g.Isolate(cut, true)
		for range 5 {
			g.Propose("x")
		}
		g.Wait("a lag of five entries", func() bool { return gaugeValue(g, leader, "quorum.lag_entries") >= 5 })
		g.Wait("one unresponsive voter", func() bool { return g.Node(leader).GroupSize() == node.GroupSize{Voters: 3, Responsive: 2} })
		g.Isolate(cut, false)
		g.Wait("no lag", func() bool { return gaugeValue(g, leader, "quorum.lag_entries") == 0 })
		before := elections(g)
		g.Isolate(leader, true)
		g.Wait("another election", func() bool { return elections(g) > before })
		g.Wait("no responsive voters on the previous leader", func() bool { return g.Node(leader).GroupSize().Responsive == 0 })
	})
}

// elections returns the number of elections won on all hosts.
func elections(g *nodetest.Group) int64 {
	sum := int64(0)
	for _, name := range threeHosts {
		sum += g.Host(name).Metrics.Get("quorum.elections").(metrics.Counter).Count()
	}
	return sum
}
