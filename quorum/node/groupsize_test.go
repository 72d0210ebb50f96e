package node_test

import (
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

// Symptom: the metrics show a group that is whole while one follower has nothing new
// for minutes, and nobody sees how often leaders change.
// Sequence: a follower is cut off while the leader commits, then connected again; then
// the leader is cut off. Cause: neither the lag nor the elections are counted.
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
		g.Wait("one voter not heard", func() bool { return g.Node(leader).GroupSize() == node.GroupSize{Voters: 3, Responsive: 2} })
		g.Isolate(cut, false)
		g.Wait("no lag", func() bool { return gaugeValue(g, leader, "quorum.lag_entries") == 0 })
		before := elections(g)
		g.Isolate(leader, true)
		g.Wait("another election", func() bool { return elections(g) > before })
		g.Wait("nothing heard by the former leader", func() bool { return g.Node(leader).GroupSize().Responsive == 0 })
	})
}

// elections is the number of elections won on all hosts.
func elections(g *nodetest.Group) int64 {
	sum := int64(0)
	for _, name := range threeHosts {
		sum += g.Host(name).Metrics.Get("quorum.elections").(metrics.Counter).Count()
	}
	return sum
}
