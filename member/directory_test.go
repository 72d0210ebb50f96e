package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// node is one entry of the test with the messages under way to it.
type node struct {
	name        string
	dir         *Directory
	partitioned bool
}

// exchange pushes once from one entry to another; a cut end loses it, and the
// answer may be lost on its own.
func exchange(now time.Time, from, to *node, answerLost bool) {
	req, seq := from.dir.BuildSyncRequest(now, to.name, 1)
	req.Entry = from.name
	if from.partitioned || to.partitioned {
		return
	}
	resp := &apiv1.SyncResponse{Resend: to.dir.ApplySyncRequest(now, req)}
	if !answerLost {
		from.dir.RecordSyncResponse(to.name, seq, resp)
	}
}

// Symptom: one entry refuses a service, or sends work to a dead agent, long after
// the others know better. Sequence: agents restart with clocks set back, change
// their home entry, and change their announcements while pushes and answers are
// lost and entries restart empty. Cause: a change was taken as known to a peer
// that never kept it.
func TestDirectoriesConvergeAfterFaults(t *testing.T) {
	for seed := uint64(1); seed <= 300; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkConvergence(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

func checkConvergence(t *testing.T, rng *rand.Rand) {
	now := time.Unix(1000, 0)
	nodes := []*node{}
	for i := range 4 {
		nodes = append(nodes, &node{name: fmt.Sprint("entry-", i), dir: New(DefaultConfig())})
	}
	agents := []*apiv1.AgentInfo{}
	homes := make([]int, 6)
	for i := range homes {
		agents = append(agents, &apiv1.AgentInfo{Name: fmt.Sprint("agent-", i), Incarnation: uint64(1000 + i), Revision: 1})
	}
	step := func(faults bool) {
		now = now.Add(500 * time.Millisecond)
		for i, a := range agents {
			if faults && rng.IntN(10) == 0 {
				next := &apiv1.AgentInfo{Name: a.Name, Incarnation: a.Incarnation, Revision: a.Revision + 1}
				if rng.IntN(3) == 0 {
					// A restart; the host's clock may have been set back, so the
					// number is another one but need not be higher.
					next.Incarnation = rng.Uint64()
					next.Revision = 1
				}
				agents[i], a = next, next
			}
			if faults && rng.IntN(8) == 0 {
				homes[i] = rng.IntN(len(nodes))
			}
			dir := nodes[homes[i]].dir
			hb := &apiv1.HeartbeatRequest{AgentName: a.Name, AgentIncarnation: a.Incarnation, Revision: a.Revision, ConfigurationVersion: 1}
			if !dir.RecordHeartbeat(now, hb) {
				hb.Agent = a
				dir.RecordHeartbeat(now, hb)
			}
		}
		for i, from := range nodes {
			if faults && rng.IntN(40) == 0 {
				from.dir = New(DefaultConfig())
			}
			from.partitioned = faults && rng.IntN(5) == 0
			for j, to := range nodes {
				if i != j {
					exchange(now, from, to, faults && rng.IntN(4) == 0)
				}
			}
			from.dir.Tick(now)
		}
	}
	for range 60 {
		step(true)
	}
	for range 14 {
		step(false)
	}
	for _, n := range nodes {
		for _, a := range agents {
			got := n.dir.agents[a.Name]
			if got == nil || !got.usable || got.info.GetIncarnation() != a.Incarnation || got.info.GetRevision() != a.Revision {
				t.Fatalf("%s has %v (%+v), want %v at %v, home %v; home has %v", n.name, got.info, got, a, now.Unix(), homes, nodes[homes[0]].dir.agents[a.Name])
			}
		}
	}
}

// Symptom: an entry goes on sending work to a host that died. Sequence: the agent
// falls silent; its home entry lives on and keeps pushing. Cause: the home
// entry's pushes refreshed every agent it listed, the silent one too.
func TestUnresponsiveAgentBecomesUnusableEverywhere(t *testing.T) {
	now := time.Unix(1000, 0)
	home := &node{name: "home", dir: New(DefaultConfig())}
	other := &node{name: "other", dir: New(DefaultConfig())}
	home.dir.RecordHeartbeat(now, &apiv1.HeartbeatRequest{Agent: &apiv1.AgentInfo{Name: "a", Incarnation: 1, Revision: 1}})
	full := 0
	for range 14 {
		home.dir.Tick(now)
		exchange(now, home, other, false)
		if home.dir.peers["other"].needsFull {
			full++
		}
		now = now.Add(500 * time.Millisecond)
	}
	if full > 0 {
		t.Errorf("one agent's silence had all agents sent again %d times", full)
	}
	for _, n := range []*node{home, other} {
		n.dir.Tick(now)
		if n.dir.agents["a"].usable {
			t.Errorf("%s still uses an agent silent for 7 s", n.name)
		}
	}
}
