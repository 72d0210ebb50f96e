package node_test

import (
	"fmt"
	"testing"

	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

// Guards against a second lost disk that is never repaired, so that the group has no majority
// after the next loss. A follower loses its disk and rejoins; it becomes the leader, as the leader
// loses its disk; that one requests to join, and so on for each host. A replica that rejoined must
// be able to pass on everything that it holds.
func TestConsecutiveDiskReplacements(t *testing.T) {
	forSeeds(t, 10, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		number := 0
		fill := func() {
			for range 3 {
				number++
				g.Propose(fmt.Sprint(number))
			}
		}
		fill()
		for _, name := range []string{g.Followers()[0], g.Leader(), g.Followers()[1], g.Leader(), g.Leader()} {
			g.ReplaceDisk(name)
			fill()
			g.WaitAllVoters()
			g.Wait(fmt.Sprint(number, " on ", name), func() bool { return g.HasCommand(name, fmt.Sprint(number)) })
		}
	})
}
