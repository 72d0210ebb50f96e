package cordon_test

import (
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/cordon"
)

const queue = "q"

func newGroupWithQueue() *group {
	g := newGroup()
	g.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_PutQueues{PutQueues: &apiv1.PutQueues{Configuration: &apiv1.QueueConfiguration{
		Version: 1, Pools: []*apiv1.WorkerPool{{Name: "p"}},
		Queues: []*apiv1.JobQueue{{Name: queue, Host: "h", PathPrefix: "/q/", Pool: "p", TimeoutMs: 1}},
	}}}})
	return g
}

func (g *group) queueHeld() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.QueueHeld(queue)
}

func orderQueue(t *testing.T, h *host, held bool) (apiv1.JobOutcome, error) {
	return h.OrderQueue(t.Context(), cordon.QueueOrder{Queue: queue, Held: held, Operator: "op"})
}

func mustOrderQueue(t *testing.T, h *host, held bool) {
	t.Helper()
	if outcome, err := orderQueue(t, h, held); err != nil || outcome != ok {
		t.Fatalf("order to hold (%v): %v, %v", held, outcome, err)
	}
}

// Guards against a host that is suspended with an order to hold a queue, before or after it has read the
// queue, and that undoes a later release when it continues.
func TestDelayedHoldDoesNotUndoRelease(t *testing.T) {
	for name, delay := range map[string]func(g *group, f func()){
		"before the read": func(g *group, f func()) { g.beforeRead = f },
		"after the read":  func(g *group, f func()) { g.beforeSet = f },
	} {
		g := newGroupWithQueue()
		frozen, other := newHost(g), newHost(g)
		delay(g, func() {
			mustOrderQueue(t, other, true)
			mustOrderQueue(t, other, false)
			frozen.suspended += 3 * time.Second
		})
		outcome, err := orderQueue(t, frozen, true)
		if !isUnavailable(err) && outcome != superseded || g.queueHeld() {
			t.Errorf("%s: %v, %v; held %v", name, outcome, err, g.queueHeld())
		}
	}
}

// Guards against an operator who repeats an order since its acknowledgement was lost and is refused, and
// against an order about a queue that does not exist.
func TestRepeatedAndUnknownQueueOrders(t *testing.T) {
	g := newGroupWithQueue()
	h := newHost(g)
	for range 2 {
		mustOrderQueue(t, h, true)
	}
	if !g.queueHeld() {
		t.Error("the queue is not held")
	}
	outcome, err := h.OrderQueue(t.Context(), cordon.QueueOrder{Queue: "x", Held: true})
	if err != nil || outcome != apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE {
		t.Errorf("unknown queue: %v, %v", outcome, err)
	}
}
