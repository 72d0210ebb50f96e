package cordon_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/cordon"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	ok         = apiv1.JobOutcome_JOB_OUTCOME_OK
	noZone     = apiv1.JobOutcome_JOB_OUTCOME_NO_ZONE
	invalid    = apiv1.JobOutcome_JOB_OUTCOME_INVALID
	superseded = apiv1.JobOutcome_JOB_OUTCOME_SUPERSEDED
	zone       = "north"
)

// group is a control group with one state machine. Calls may be held up before or after they are applied.
type group struct {
	mu      sync.Mutex
	machine *jobqueue.Machine
	nowMs   int64
	// beforeRead and beforeSet run before a read and before the application of an order; afterSet runs
	// after it and before the answer.
	beforeRead, beforeSet, afterSet func()
	sent                            []*apiv1.SetCordon
	readError                       error
}

func newGroup() *group {
	g := &group{machine: jobqueue.New()}
	g.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Report{Report: &apiv1.ReportWorker{
		Worker: &apiv1.JobWorker{Id: "w", Host: "h", Pool: "p", AvailabilityZone: zone},
	}}})
	return g
}

func (g *group) apply(c *apiv1.JobsCommand) apiv1.JobOutcome {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nowMs++
	return g.machine.Apply(c, g.nowMs, 1)
}

func (g *group) cordoned() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.machine.Cordoned(zone)
}

func call(f *func()) {
	if *f != nil {
		hook := *f
		*f = nil
		hook()
	}
}

func (g *group) Read(context.Context, *apiv1.JobsReadRequest) (*apiv1.JobsReadResponse, error) {
	call(&g.beforeRead)
	if g.readError != nil {
		return nil, g.readError
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return &apiv1.JobsReadResponse{Outcome: ok, Zones: g.machine.Zones().Sorted(), Queues: g.machine.Holds()}, nil
}

func (g *group) SetQueueHold(_ context.Context, o *apiv1.SetQueueHold) (apiv1.JobOutcome, error) {
	call(&g.beforeSet)
	outcome := g.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_SetQueueHold{SetQueueHold: o}})
	call(&g.afterSet)
	return outcome, nil
}

func (g *group) Prioritize(_ context.Context, id, operator string) (apiv1.JobOutcome, error) {
	return g.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_Prioritize{
		Prioritize: &apiv1.PrioritizeJob{Id: id, Prioritized: true, Operator: operator},
	}}), nil
}

func (g *group) SetCordon(_ context.Context, c *apiv1.SetCordon) (apiv1.JobOutcome, error) {
	g.sent = append(g.sent, c)
	call(&g.beforeSet)
	outcome := g.apply(&apiv1.JobsCommand{Body: &apiv1.JobsCommand_SetCordon{SetCordon: c}})
	call(&g.afterSet)
	return outcome, nil
}

// host is a control host with its own clock, which goes on while the host is suspended.
type host struct {
	*cordon.Receiver
	suspended time.Duration
	started   time.Time
}

func newHost(g *group) *host {
	h := &host{started: time.Now()}
	h.Receiver = cordon.NewReceiver(cordon.Options{Log: g, Zones: []string{zone, "south"}, Now: h.clock})
	return h
}

func (h *host) clock() time.Duration { return time.Since(h.started) + h.suspended }

func (h *host) order(t *testing.T, cordoned bool) (apiv1.JobOutcome, error) {
	return h.OrderZone(t.Context(), cordon.Order{Zone: zone, Cordoned: cordoned, Operator: "op"})
}

func mustOrder(t *testing.T, h *host, cordoned bool) {
	t.Helper()
	if outcome, err := h.order(t, cordoned); err != nil || outcome != ok {
		t.Fatalf("order to cordon (%v): %v, %v", cordoned, outcome, err)
	}
}

func isUnavailable(err error) bool {
	var unavailable *control.UnavailableError
	return errors.As(err, &unavailable)
}

// Guards against a host that is suspended with an order in hand before it has read the zone: the order
// was sent again elsewhere and withdrawn meanwhile.
func TestOrderHeldUpBeforeTheReadIsDiscarded(t *testing.T) {
	g := newGroup()
	frozen, other := newHost(g), newHost(g)
	g.beforeRead = func() {
		mustOrder(t, other, true)
		mustOrder(t, other, false)
		frozen.suspended += 3 * time.Second
	}
	if outcome, err := frozen.order(t, true); !isUnavailable(err) {
		t.Errorf("the copy is answered with %v, %v", outcome, err)
	}
	if g.cordoned() {
		t.Error("the copy took effect after the order was withdrawn")
	}
}

// Guards against a host that is suspended between its read and its proposal.
func TestOrderHeldUpAfterTheReadIsSuperseded(t *testing.T) {
	g := newGroup()
	frozen, other := newHost(g), newHost(g)
	g.beforeSet = func() {
		mustOrder(t, other, true)
		mustOrder(t, other, false)
	}
	if outcome, err := frozen.order(t, true); err != nil || outcome != superseded {
		t.Errorf("the copy is answered with %v, %v", outcome, err)
	}
	if g.cordoned() {
		t.Error("the copy took effect after the order was withdrawn")
	}
}

// Guards against an order that waited in a socket's buffer while the process was stopped, and that looks
// like a new one once the process goes on.
func TestOrderThatWaitedThroughAPauseIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup()
		h := newHost(g)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { h.Run(ctx) })
		time.Sleep(time.Second)
		mustOrder(t, h, false)
		h.suspended += 5 * time.Second
		if _, err := h.order(t, true); !isUnavailable(err) || g.cordoned() {
			t.Errorf("right after the pause: %v", err)
		}
		time.Sleep(1500 * time.Millisecond)
		mustOrder(t, h, true)
		cancel()
		running.Wait()
	})
}

// Guards against an order whose sender has closed the connection, to send it to another host.
func TestOrderOfGoneSenderIsDiscarded(t *testing.T) {
	g := newGroup()
	ctx, cancel := context.WithCancel(t.Context())
	g.beforeRead = cancel
	_, err := newHost(g).OrderZone(ctx, cordon.Order{Zone: zone, Cordoned: true})
	if !isUnavailable(err) || g.cordoned() {
		t.Errorf("the order of a sender that has gone: %v", err)
	}
}

// Guards against a copy that a forwarder delivers after a later order, and against a retry of our own
// over a change of leader: the first try was committed, its answer was lost.
func TestDelayedProposalHasNoEffect(t *testing.T) {
	g := newGroup()
	h := newHost(g)
	mustOrder(t, h, true)
	delayed := g.sent[0]
	if outcome, _ := g.SetCordon(t.Context(), delayed); outcome != ok {
		t.Errorf("the retry of an accepted order is answered with %v", outcome)
	}
	mustOrder(t, h, false)
	if outcome, _ := g.SetCordon(t.Context(), delayed); outcome != superseded {
		t.Errorf("the delayed copy is answered with %v", outcome)
	}
	if g.cordoned() {
		t.Error("a delayed copy took effect")
	}
}

// Guards against an accepted order that is refused when it is sent again, as it is when its answer is
// lost, and against two hosts of which only one acknowledges the same order.
func TestRepeatedOrderIsAcknowledged(t *testing.T) {
	g := newGroup()
	a, b := newHost(g), newHost(g)
	mustOrder(t, a, true)
	mustOrder(t, a, true)
	mustOrder(t, b, true)
	mustOrder(t, a, false)
	g.beforeSet = func() { mustOrder(t, b, true) }
	mustOrder(t, a, true)
	if !g.cordoned() {
		t.Error("not cordoned")
	}
}

// Guards against an order that is taken although nobody can tell whether it is, or that names a zone that
// does not exist.
func TestOrdersThatCannotBeTakenAreRefused(t *testing.T) {
	registry := metrics.NewRegistry()
	core, lines := observer.New(zapcore.InfoLevel)
	g := newGroup()
	h := cordon.NewReceiver(cordon.Options{Log: g, Zones: []string{"south"}, Logger: zap.New(core), Metrics: registry})
	for name, want := range map[string]apiv1.JobOutcome{
		"": invalid, strings.Repeat("z", 300): invalid, "east": noZone, "North": noZone, " north": noZone, "south": ok, zone: ok,
	} {
		if outcome, err := h.OrderZone(t.Context(), cordon.Order{Zone: name, Cordoned: true}); err != nil || outcome != want {
			t.Errorf("zone %.20q: %v, %v, want %v", name, outcome, err, want)
		}
	}
	g.readError = errors.New("no leader")
	if _, err := h.OrderZone(t.Context(), cordon.Order{Zone: zone}); !isUnavailable(err) {
		t.Errorf("without a leader: %v", err)
	}
	if !g.cordoned() || len(g.sent) != 2 {
		t.Errorf("%d orders were sent, want 2", len(g.sent))
	}
	if n := metrics.GetOrRegisterCounter("zones.orders_rejected", registry).Count(); n != 6 {
		t.Errorf("%d rejected orders are counted, want 6", n)
	}
	if lines.FilterMessage("all availability zones are cordoned, nothing starts").Len() == 0 {
		t.Error("no line tells that nothing starts anywhere")
	}
}
