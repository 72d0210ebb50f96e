package node_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"

	"github.com/cairnlift/cairnlift/quorum/node"
	"github.com/cairnlift/cairnlift/quorum/node/nodetest"
)

// noTimeLimit lets a check take as long as it needs: with a limit the verdict depends on the load.
const noTimeLimit time.Duration = 0

// register is a register's model: an input is the value written, "" for a read.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if input != "" {
			return true, input
		}
		return output == state, state
	},
}

// history collects the operations of concurrent clients. Its clock counts
// events, since many happen in the same instant of virtual time.
type history struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
	reads      int
	unknown    int
}

// neverReturned is when a write that may still take effect returns.
const neverReturned = 1 << 60

func (h *history) add(o porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
	if o.Input == "" {
		h.reads++
	}
	if o.Return == neverReturned {
		h.unknown++
	}
}

func (h *history) write(client int, n *node.Node, value string) {
	o := porcupine.Operation{ClientId: client, Input: value, Call: h.clock.Add(1)}
	_, _, err := n.Propose(nodetest.Within(time.Second), []byte(value))
	o.Return = h.clock.Add(1)
	var unknown *node.UnknownError
	switch {
	case errors.As(err, &unknown):
		o.Return = neverReturned
	case err != nil:
		return // Not run, says the replica: it must not be seen by any read.
	}
	h.add(o)
}

func (h *history) read(client int, n *node.Node, m *nodetest.StateMachine) {
	o := porcupine.Operation{ClientId: client, Input: "", Call: h.clock.Add(1)}
	if _, err := n.ReadBarrier(nodetest.Within(time.Second)); err != nil {
		return
	}
	o.Output = ""
	if values := m.Commands(); len(values) > 0 {
		o.Output = values[len(values)-1]
	}
	o.Return = h.clock.Add(1)
	h.add(o)
}

// hasEnough reports whether the history holds 50 reads and 50 acknowledged writes. How
// many of the first 60 calls of each client succeed hangs on the scheduling of
// goroutines, so clients go on until it does.
func (h *history) hasEnough() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads >= 50 && len(h.operations)-h.reads-h.unknown >= 50
}

// Symptom: a read misses an acknowledged write, a write is seen after its caller
// was told that it was not run, or the register goes back to an earlier value.
// Sequence: clients write and read through all hosts while hosts are cut off,
// lose power, and hand leadership over, several at once.
// Cause: any fault in commits, reads, recovery or the answers to callers.
func TestHistoryIsLinearizable(t *testing.T) {
	forSeeds(t, 20, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		h := &history{}
		var clients conc.WaitGroup
		var disturbed atomic.Bool
		for client := range 5 {
			clients.Go(func() {
				random := rand.New(rand.NewPCG(g.Seed, uint64(client)))
				for i := 0; i < 60 || !disturbed.Load() || !h.hasEnough() && i < 5000; i++ {
					time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
					host := g.Host(threeHosts[random.IntN(3)])
					n, m := host.Node, host.StateMachine
					switch {
					case n == nil:
					case random.IntN(2) == 0:
						h.write(client, n, fmt.Sprintf("%d-%d", client, i))
					default:
						h.read(client, n, m)
					}
				}
			})
		}
		injectFaults(g, 25)
		disturbed.Store(true)
		clients.Wait()
		if !h.hasEnough() {
			g.T.Fatalf("seed %d: %d operations, %d reads, %d unknown: too few succeeded", g.Seed, len(h.operations), h.reads, h.unknown)
		}
		result := porcupine.CheckOperationsTimeout(register, h.operations, noTimeLimit)
		if result != porcupine.Ok {
			g.T.Fatalf("seed %d: history of %d operations is %s", g.Seed, len(h.operations), result)
		}
	})
}

// injectFaults does one disturbance after the other to random hosts and their leader.
func injectFaults(g *nodetest.Group, count int) {
	random := rand.New(rand.NewPCG(g.Seed, 99))
	for range count {
		name := threeHosts[random.IntN(3)]
		if random.IntN(2) == 0 {
			name = g.Leader()
		}
		pause := time.Duration(50+random.IntN(300)) * time.Millisecond
		switch random.IntN(4) {
		case 0:
			g.Isolate(name, true)
			time.Sleep(pause)
			g.Isolate(name, false)
		case 1:
			g.Kill(name)
			time.Sleep(pause)
			g.MustStart(name)
		case 2:
			g.Node(name).TransferLeadership(nodetest.Within(time.Second))
		case 3:
			other := threeHosts[random.IntN(3)]
			g.Isolate(name, true)
			g.Kill(other)
			time.Sleep(pause)
			g.MustStart(other)
			g.Isolate(name, false)
		}
	}
}
