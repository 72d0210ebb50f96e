package node_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

// settled lets a group take every host in and make the changes of its membership
// that it wants.
const settled = 10 * nodetest.ReplaceAfter

// foundersAndSpares starts three founding hosts, and others that join them.
func foundersAndSpares(g *nodetest.Group, spares ...string) {
	g.T.Helper()
	g.MustStart()
	g.Propose("first")
	for _, name := range spares {
		g.AddSpare(name)
	}
	for _, name := range slices.Concat(three, spares) {
		g.Wait("the log on "+name, func() bool { return g.Has(name, "first") })
	}
	time.Sleep(settled)
}

// Symptom: after a power cut that cost two hosts their disks nothing is served any
// more, an acknowledged configuration can't be read back, and accepted jobs get no
// answer. The control hosts refuse each other's requests to join until somebody
// comes to help.
// Sequence: six hosts with disks run the control group; a command is acknowledged;
// the power is cut everywhere, and two hosts come back with empty disks.
// Cause: only the three founding hosts had votes, so that two lost disks were a
// majority, whatever the other three disks held.
// Evidence: on a traced day of such a deployment two of the three voters come back
// from the last power cut with empty disks. Both ask to join twice a second until the
// end; the third answers each time that it knows no leader.
func TestTwoDisksLostInAPowerCut(t *testing.T) {
	for _, spares := range [][]string{{"d", "e"}, {"d", "e", "f"}} {
		t.Run(fmt.Sprint(3+len(spares), " hosts"), func(t *testing.T) {
			forSeeds(t, 15, three, func(g *nodetest.Group) {
				foundersAndSpares(g, spares...)
				g.Propose("acknowledged")
				voters := g.Voters()
				random := rand.New(rand.NewPCG(g.Seed, 1))
				random.Shuffle(len(voters), func(i, j int) { voters[i], voters[j] = voters[j], voters[i] })
				g.Kill()
				for _, name := range voters[:2] {
					g.Host(name).Disk.Erase()
				}
				g.MustStart()
				for _, name := range slices.Concat(three, spares) {
					g.Wait("the acknowledged command on "+name, func() bool { return g.Has(name, "acknowledged") })
				}
			})
		})
	}
}
