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

// noTimeLimit lets a check take as long as it needs. With a limit, the result would depend on the
// load of the machine.
const noTimeLimit time.Duration = 0

// register models a register: an input is the value written, or "" for a read.
var register = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		if input != "" {
			return true, input
		}
		return output == state, state
	},
}

// history collects the operations of concurrent clients. Its clock counts events, because many
// events happen at the same instant of virtual time.
type history struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
	reads      int
	unknown    int
}

// neverReturned is the return time of a write that may still take effect.
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
		return // The replica reported that the write was not run: no read may return it.
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

// hasEnough reports whether the history holds 50 reads and 50 acknowledged writes. How many of the
// first 60 calls of each client succeed depends on the scheduling of goroutines, so clients
// continue until the history has enough.
func (h *history) hasEnough() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reads >= 50 && len(h.operations)-h.reads-h.unknown >= 50
}

// Guards against any fault in commits, reads, recovery or the responses to callers: a read that
// misses an acknowledged write, a write that takes effect after its caller was told that it was
// not run, or a register that returns to an earlier value. Clients write and read through all
// hosts while hosts are partitioned, lose power and transfer leadership, several at once.
func TestHistoryIsLinearizable(t *testing.T) {
	forSeeds(t, 20, threeHosts, func(g *nodetest.Group) {
		g.MustStart()
		h := &history{}
		var clients conc.WaitGroup
		var faultsDone atomic.Bool
		for client := range 5 {
			clients.Go(func() {
				random := rand.New(rand.NewPCG(g.Seed, uint64(client)))
				for i := 0; i < 60 || !faultsDone.Load() || !h.hasEnough() && i < 5000; i++ {
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
		faultsDone.Store(true)
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

// injectFaults injects one fault after the other at random hosts and their leader.
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
