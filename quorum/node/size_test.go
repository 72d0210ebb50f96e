package node_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

// settleTime is enough time for a group to add every host and to make all pending membership
// changes.
const settleTime = 10 * nodetest.ReplaceAfter

// foundersAndSpares starts three founding hosts, and spares that join them.
func foundersAndSpares(g *nodetest.Group, spares ...string) {
	g.T.Helper()
	g.MustStart()
	g.Propose("first")
	for _, name := range spares {
		g.AddSpare(name)
	}
	for _, name := range slices.Concat(threeHosts, spares) {
		g.Wait("the log on "+name, func() bool { return g.HasCommand(name, "first") })
	}
	time.Sleep(settleTime)
}

// Guards against the loss of the majority in a power loss that costs two hosts their disks: no
// requests are served, an acknowledged configuration can't be read back, accepted jobs get no
// response, and the control hosts refuse each other's join requests until an operator intervenes.
// Six hosts with disks run the control group; a command is acknowledged; power is lost on all
// hosts, and two of them return with empty disks. If only the three founding hosts vote, two lost
// disks are a majority, whatever the other three disks hold.
//
// This was seen on a traced day of such a deployment: two of the three voters returned from the
// last power loss with empty disks. Both requested to join twice a second until the end, and the
// third responded each time that it knew no leader.
func TestTwoDisksLostInAPowerCut(t *testing.T) {
	for _, spares := range [][]string{{"d", "e"}, {"d", "e", "f"}} {
		t.Run(fmt.Sprint(3+len(spares), " hosts"), func(t *testing.T) {
			forSeeds(t, 15, threeHosts, func(g *nodetest.Group) {
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
				for _, name := range slices.Concat(threeHosts, spares) {
					g.Wait("the acknowledged command on "+name, func() bool { return g.HasCommand(name, "acknowledged") })
				}
			})
		})
	}
}

// Guards against a group that needs one host more than it should, or tolerates one loss less. One
// host after another joins three founding ones. The test fails if every new host gets a vote, or
// if none does.
func TestVoterCountFollowsHosts(t *testing.T) {
	for spares, want := range []int{3, 3, 5, 5, 5} {
		t.Run(fmt.Sprint(3+spares, " hosts"), func(t *testing.T) {
			forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
				foundersAndSpares(g, []string{"d", "e", "f", "g"}[:spares]...)
				if voters := g.Voters(); len(voters) != want {
					g.T.Fatalf("seed %d: voters are %v", g.Seed, voters)
				}
			})
		})
	}
}

// Guards against a group of four or seven hosts, set up by operators, that loses votes by itself.
// A group whose number of voters is set by its settings runs for minutes. The leader must not
// change that number.
func TestFoundingSizeIsKept(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f", "g"}
	for _, count := range []int{4, 7} {
		forSeeds(t, 2, names[:count], func(g *nodetest.Group) {
			g.MaxVoters = 0
			g.MustStart()
			g.Propose("1")
			time.Sleep(3 * time.Minute)
			if voters := g.Voters(); len(voters) != count {
				g.T.Fatalf("seed %d: voters are %v", g.Seed, voters)
			}
		})
	}
}

// Guards against a group that the next loss stops after a host was lost while the group grew. Two
// spares join; one of the five hosts is lost at some time during that, and returns with an empty
// disk. A vote given while a voter is unresponsive, or to a spare with little of the log, makes
// all remaining hosts necessary for a majority.
func TestDiskLossDuringGrowth(t *testing.T) {
	forSeeds(t, 60, threeHosts, func(g *nodetest.Group) {
		random := rand.New(rand.NewPCG(g.Seed, 2))
		g.MustStart()
		g.Propose("first")
		g.AddSpare("d")
		g.AddSpare("e")
		time.Sleep(time.Duration(random.Int64N(int64(nodetest.ReplaceAfter))))
		lost := []string{"a", "b", "c", "d", "e"}[random.IntN(5)]
		g.Kill(lost)
		g.Propose("with one lost")
		g.Host(lost).Disk.Erase()
		g.MustStart(lost)
		g.Wait("five voters", func() bool { return len(g.Voters()) == 5 })
		for _, name := range []string{"a", "b", "c", "d", "e"} {
			g.Wait("all on "+name, func() bool { return g.HasCommand(name, "first") && g.HasCommand(name, "with one lost") })
		}
	})
}

// Guards against hosts that still count after they were removed permanently, so that a group with
// three hosts left stops at the next loss. Two of five hosts are removed; after some minutes one
// more is lost. The majority must no longer be counted from five.
func TestGroupShrinksWhenHostsDepart(t *testing.T) {
	forSeeds(t, 5, threeHosts, func(g *nodetest.Group) {
		foundersAndSpares(g, "d", "e")
		g.Kill("d", "e")
		time.Sleep(2 * time.Minute)
		g.Wait("three voters", func() bool { return len(g.Voters()) == 3 })
		running := g.Followers()
		running = slices.DeleteFunc(running, func(name string) bool { return name == "d" || name == "e" })
		g.Kill(running[0])
		g.Propose("with one more lost")
	})
}

// Guards against a group that accepts no new hosts after some hundred were replaced. Spares join
// and are removed, one after another. The number of replicas is bounded, so departed learners must
// not stay in the membership.
func TestDepartedSparesAreRemoved(t *testing.T) {
	forSeeds(t, 1, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		for i := range 20 {
			name := fmt.Sprint("spare-", i)
			g.AddSpare(name)
			g.Wait("the spare's place", func() bool { return g.Node(name).Status().Membership != nil })
			g.Kill(name)
			time.Sleep(2 * time.Minute)
		}
		if replicas := g.Node(g.Leader()).Status().Membership.Replicas; len(replicas) != 3 {
			g.T.Fatalf("seed %d: members are %v", g.Seed, replicas)
		}
	})
}

// Guards against the loss of an acknowledged command, or a group that never commits again, from
// any fault in how votes are given, taken and replaced. In each round, one or two of six hosts, or
// all, lose power, and up to two of them their disk; then the group repairs itself. Seeds 252 and
// 354 ended in a group of four voters that had lost two disks, while the disk of a replaced voter
// was intact.
func TestRepeatedDoubleDiskLoss(t *testing.T) {
	forSeeds(t, 20, threeHosts, repeatedDoubleDiskLoss)
	for _, seed := range []uint64{252, 354} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, seed, threeHosts, repeatedDoubleDiskLoss) })
	}
}

func repeatedDoubleDiskLoss(g *nodetest.Group) {
	const rounds = 8
	foundersAndSpares(g, "d", "e", "f")
	all := []string{"a", "b", "c", "d", "e", "f"}
	random := rand.New(rand.NewPCG(g.Seed, 3))
	for round := range rounds {
		g.Propose(fmt.Sprint(round))
		random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		down := all[:1+random.IntN(2)]
		g.Kill(down...)
		for _, name := range down {
			if random.IntN(2) == 0 {
				g.Host(name).Disk.Erase()
			}
		}
		switch random.IntN(3) {
		case 0:
			g.Kill()
			down = all
		case 1:
			time.Sleep(time.Duration(random.Int64N(int64(4 * nodetest.ReplaceAfter))))
		}
		g.MustStart(down...)
		for _, name := range all {
			for past := range round + 1 {
				g.Wait(fmt.Sprint(past, " on ", name), func() bool { return g.HasCommand(name, fmt.Sprint(past)) })
			}
		}
		g.Wait("five running voters", func() bool { return runningVoters(g) == 5 })
	}
}

// runningVoters returns the number of voters, or -1 if a member does not run or has another disk
// now.
func runningVoters(g *nodetest.Group) int {
	voters := 0
	for _, r := range g.Node(g.Leader()).Status().Membership.Replicas {
		n := g.Node(r.Name)
		switch {
		case n == nil || n.Status().ID != r.Id:
			return -1
		case !r.Learner:
			voters++
		}
	}
	return voters
}

// Guards against a new deployment that never serves requests. One of the three hosts that the
// settings name has no disk. The founder must not wait for the answer of a replica that will never
// exist.
func TestFormingWithoutPeerThatKeepsNoReplica(t *testing.T) {
	for _, diskless := range []string{"0", "n", "z"} { // before, between and after the others
		forSeeds(t, 3, []string{"m", "o"}, func(g *nodetest.Group) {
			g.Peers = []string{diskless, "m", "o"}
			g.WithoutReplica = []string{diskless}
			g.MustStart()
			g.Propose("1")
			g.Peers = []string{diskless}
			g.Discover = func() []string { return []string{"m"} }
			g.AddSpare("p")
			g.Wait("three voters", func() bool { return len(g.Voters()) == 3 })
		})
	}
}

// Guards against the loss of an acknowledged command, or a group that never commits again, from
// any fault in a replica that gets messages from no leader or from an old one. In each round, one
// of five hosts loses its disk, while another one, sometimes the leader, is partitioned from all
// others or from all but one, for up to four times as long as it takes to replace it.
func TestDiskLossDuringPartition(t *testing.T) {
	forSeeds(t, 20, threeHosts, func(g *nodetest.Group) {
		foundersAndSpares(g, "d", "e")
		random := rand.New(rand.NewPCG(g.Seed, 5))
		for round := range 6 {
			g.Propose(fmt.Sprint(round))
			all := g.Names()
			random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			cut, lost := all[0], all[1]
			if random.IntN(2) == 0 {
				cut = g.Leader()
			}
			if lost == cut {
				lost = all[2]
			}
			g.Isolate(cut, true)
			if random.IntN(2) == 0 {
				g.CutLink(cut, lost, false)
				g.CutLink(lost, cut, false)
			}
			g.ReplaceDisk(lost)
			time.Sleep(time.Duration(random.Int64N(int64(4 * nodetest.ReplaceAfter))))
			g.Heal()
			time.Sleep(settleTime)
			for _, name := range g.Names() {
				for past := range round + 1 {
					if !g.HasCommand(name, fmt.Sprint(past)) {
						g.T.Fatalf("seed %d, round %d: command %d is not on %s: %v", g.Seed, round, past, name, g.Node(name).Status())
					}
				}
			}
			if voters := runningVoters(g); voters != 5 {
				g.T.Fatalf("seed %d, round %d: %d voters", g.Seed, round, voters)
			}
		}
	})
}

// Guards against a log that fills the disk and the memory with few large entries, such as changes of a large
// configuration: it was compacted by the number of its entries only.
func TestLogOfLargeEntriesIsCompacted(t *testing.T) {
	const commands, commandBytes = 64, 1024
	forSeeds(t, 3, threeHosts, func(g *nodetest.Group) {
		g.SnapshotEntries, g.SnapshotBytes = 1<<40, 4*commandBytes
		g.MustStart()
		last := ""
		for i := range commands {
			last = fmt.Sprint(i, strings.Repeat("x", commandBytes))
			g.Propose(last)
		}
		for _, name := range threeHosts {
			g.Wait("all commands on "+name, func() bool { return g.HasCommand(name, last) })
		}
		g.Kill()
		g.MustStart()
		for _, name := range threeHosts {
			g.Wait("all commands on "+name, func() bool { return g.HasCommand(name, last) })
			// The test's snapshots hold all commands, so that each is due at twice the size of the one before.
			if n := metrics.GetOrRegisterCounter("quorum.entries_applied", g.Host(name).Metrics).Count(); n > commands*3/4 {
				t.Errorf("%s applies %d entries from its log again", name, n)
			}
		}
	})
}
