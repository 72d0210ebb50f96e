package node_test

import (
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
	"github.com/cairnlift/cairnlift/quorum/wal/waltest"
)

// Guards against a replica that takes the whole processor in Stop: it leads when its disk refuses a write, before
// or during Stop, or is stopped twice.
func TestFailedLeaderStopsWithoutWaiting(t *testing.T) {
	for _, test := range []func(*nodetest.Group, string){
		func(g *nodetest.Group, leader string) {
			g.Propose("2")
			<-g.Node(leader).Failed()
		},
		func(*nodetest.Group, string) {},
	} {
		forSeeds(t, 4, []string{"a", "b", "c", "d", "e"}, func(g *nodetest.Group) {
			g.MustStart()
			g.Propose("1")
			g.WaitAllVoters()
			leader := g.Leader()
			n := g.Node(leader)
			g.Host(leader).Disk.FailAt(1, waltest.NoSpace)
			test(g, leader)
			for range 2 {
				began := time.Now()
				err := n.Stop(nodetest.Within(time.Minute))
				if waited := time.Since(began); err == nil || waited >= time.Second {
					g.T.Fatalf("stopped after %v with %v", waited, err)
				}
			}
		})
	}
}
