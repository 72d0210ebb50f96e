package node_test

import (
	"fmt"
	"testing"

	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

// Symptom: the second lost disk of a day is never repaired, and the group has no
// majority after the next loss.
// Sequence: a follower loses its disk and is taken in again; it comes to lead, as the
// leader loses its disk; that one asks to be taken in, and so on for each host.
// Cause: the replica that was taken in holds something that it can't pass on.
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
