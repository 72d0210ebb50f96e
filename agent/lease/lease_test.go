package lease

import (
	"fmt"
	"math/rand"
	"strconv"
	"testing"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/fakes"
	"github.com/cairnlift/cairnlift/worker"
)

const (
	seeds     = 400
	steps     = 3000
	tasks     = 3
	hosts     = 3
	duration  = 3 * time.Second
	rateError = 0.02 // Far beyond real clocks, so that a missing bound shows.
	room      = 2    // Grants that fit on a worker.
	running   = apiv1.TaskPhase_TASK_PHASE_RUNNING
)

var one = &apiv1.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30, Accelerators: 1}

// host is a stand-in worker and the agent beside it, with a clock of its own.
type host struct {
	w       *world
	name    string
	rate    float64
	starts  uint64 // Of the worker.
	tells   bool   // The worker names its incarnation and the grants.
	worker  *fakes.Worker
	manager *Manager
	frozen  time.Duration
	// The leader's view.
	handled               time.Duration
	incarnation, sequence uint64
}

// event is something on its way.
type event struct {
	at time.Duration
	do func()
}

// task is the leader's record of one task.
type task struct {
	name       string
	attempt    uint64
	host       *host
	stopping   bool
	checkpoint string
}

// faults are chances in percent; each seed has its own, some of them extreme.
type faults struct{ lost, startFails, stopHangs, evicted, restarts, lateLoss int }

// world is true time, the leader, and the judge of what runs where.
type world struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	events []event
	hosts  []*host
	tasks  []*task
	rate   float64 // Of the leader's clock.
	faults faults
	ended  int // Attempts that ended in any way, to see that the run does something.
}

func newWorld(t *testing.T, seed int64) *world {
	w := &world{t: t, rng: rand.New(rand.NewSource(seed)), now: time.Hour}
	pick := func(values ...int) int { return values[w.rng.Intn(len(values))] }
	w.faults = faults{
		lost: pick(0, 10, 40), startFails: pick(5, 30, 80), stopHangs: pick(0, 30, 90),
		evicted: pick(0, 5, 40), restarts: pick(0, 1, 4), lateLoss: pick(10, 50),
	}
	w.rate = w.clockRate()
	for i := range hosts {
		h := &host{w: w, name: fmt.Sprint("h", i), rate: w.clockRate(), tells: w.chance(50)}
		h.startWorker()
		h.manager = New(h.clock())
		w.hosts = append(w.hosts, h)
	}
	for i := range tasks {
		w.tasks = append(w.tasks, &task{name: strconv.Itoa(i)})
	}
	return w
}

func (w *world) clockRate() float64 { return 1 + rateError*(2*w.rng.Float64()-1) }

func (w *world) chance(percent int) bool { return w.rng.Intn(100) < percent }

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int63n(int64(d))) }

func (w *world) later(d time.Duration, do func()) { w.events = append(w.events, event{w.now + d, do}) }

func (w *world) leaderClock() time.Duration { return time.Duration(float64(w.now) * w.rate) }

func (h *host) clock() time.Duration { return time.Duration(float64(h.w.now) * h.rate) }

func (h *host) startWorker() {
	h.starts++
	record, _ := fakes.NewRecorder[fakes.RunEvent]("")
	capacity := &apiv1.Resources{MilliProcessors: room * 1000, MemoryBytes: room << 30, Accelerators: room}
	h.worker = fakes.NewWorker(fakes.WorkerConfig{Info: &apiv1.WorkerInfo{Name: h.name, Capacity: capacity}}, record, h.clock())
}

func (w *world) judge() {
	where := map[string]string{}
	for _, h := range w.hosts {
		n := 0
		for _, st := range h.worker.Tasks(h.clock()) {
			if st.Phase != running {
				continue
			}
			n++
			if at := where[st.Task.Task]; at != "" {
				w.t.Fatalf("%v runs at %s and at %s", st.Task, at, h.name)
			}
			where[st.Task.Task] = h.name
		}
		if n > room {
			w.t.Fatalf("%s runs %d tasks and has room for %d", h.name, n, room)
		}
	}
}

func (h *host) observe() {
	o := Observation{Info: h.worker.Info(), Instance: strconv.FormatUint(h.starts, 10), WallClock: uint64(h.w.now)}
	o.Tasks = h.worker.Tasks(h.clock())
	if h.tells {
		o.Info.Incarnation = h.starts
	} else {
		for _, st := range o.Tasks {
			st.Grant = nil
		}
	}
	h.manager.Observe(h.clock(), o)
}

// beat is one turn of an agent: look, send, and some time later follow the reply.
func (h *host) beat() {
	if h.w.now < h.frozen {
		return
	}
	h.observe()
	hb := h.manager.Heartbeat(h.clock())
	if hb == nil || h.w.chance(h.w.faults.lost) {
		return
	}
	m := h.manager
	h.w.later(h.w.upTo(400*time.Millisecond), func() {
		reply := h.w.handle(h, hb)
		if reply != nil && !h.w.chance(h.w.faults.lost) {
			h.w.later(h.w.upTo(400*time.Millisecond), func() { h.follow(m, reply) })
		}
	})
}

// follow carries out orders. An agent that was frozen follows them when it wakes;
// one that was restarted never does.
func (h *host) follow(m *Manager, o *apiv1.WorkerOrders) {
	if h.w.now < h.frozen {
		h.w.later(h.frozen-h.w.now, func() { h.follow(m, o) })
		return
	}
	if m != h.manager {
		return
	}
	a := m.Orders(h.clock(), o)
	if !h.w.chance(h.w.faults.lost) {
		h.worker.Renew(a.Renew, a.Deadline, h.clock())
	}
	for _, s := range a.Stop {
		h.stop(m, s)
	}
	for _, s := range a.Start {
		h.start(m, s, a)
	}
	h.worker.Forget(a.Forget)
}

func (h *host) stop(m *Manager, s *apiv1.StopTask) {
	if h.w.chance(h.w.faults.stopHangs) {
		m.Stopped(s.Task, "", false)
		return
	}
	name, _ := h.worker.Checkpoint(s.Task, h.clock())
	if h.w.chance(30) {
		name = "" // The reply is lost.
	}
	m.Stopped(s.Task, name, h.worker.Stop(s.Task, h.clock()) == nil)
}

// start may lose the message, the reply, or deliver the message late, also to a
// worker that has restarted since.
func (h *host) start(m *Manager, s *apiv1.StartTask, a Actions) {
	run := func() error { return h.worker.Start(s, a.StartDeadline, h.clock()) }
	result := StartUnknown
	if !h.w.chance(h.w.faults.startFails) {
		result = resultOf(run())
	} else if !h.w.chance(h.w.faults.lateLoss) {
		h.w.later(h.w.upTo(duration), func() { _ = run() })
	}
	if m.Started(s, result, "refused", a.Deadline) {
		h.worker.Renew([]*apiv1.TaskAttempt{s.Task}, a.Deadline, h.clock())
	}
}

func resultOf(err error) StartResult {
	switch {
	case err == nil:
		return StartDone
	case worker.Refused(err, worker.CodeExpired):
		return StartLate
	}
	return StartRefused
}

// handle is the leader's side of a heartbeat.
func (w *world) handle(h *host, hb *apiv1.WorkerHeartbeat) *apiv1.WorkerOrders {
	fresh := hb.Incarnation > h.incarnation
	if hb.Incarnation < h.incarnation || fresh && hb.Info == nil {
		return &apiv1.WorkerOrders{Sequence: hb.Sequence} // As the leader, which can't register it.
	}
	if !fresh && hb.Sequence <= h.sequence {
		return nil
	}
	h.incarnation, h.sequence, h.handled = hb.Incarnation, hb.Sequence, w.leaderClock()
	o := &apiv1.WorkerOrders{Sequence: hb.Sequence, Renewed: true, LeaseMs: duration.Milliseconds()}
	reported := w.takeReports(h, hb, o)
	for _, t := range w.tasks {
		a := Attempt{t.name, t.attempt}
		switch {
		case t.host != h:
		case fresh && !reported[a]:
			w.end(t)
		case t.stopping:
			o.Stop = append(o.Stop, &apiv1.StopTask{Task: a.proto(), Checkpoint: true})
		case !reported[a]:
			o.Start = append(o.Start, &apiv1.StartTask{Task: a.proto(), Grant: one, Checkpoint: t.checkpoint, ExpectedRunMs: 20000})
		}
	}
	return o
}

func (w *world) takeReports(h *host, hb *apiv1.WorkerHeartbeat, o *apiv1.WorkerOrders) map[Attempt]bool {
	reported := map[Attempt]bool{}
	for _, st := range hb.Tasks {
		k := attemptOf(st.Task)
		reported[k] = true
		i, _ := strconv.Atoi(k.Task)
		t := w.tasks[i]
		live := t.host == h && t.attempt == k.Number
		if st.Phase == running {
			if !live {
				o.Stop = append(o.Stop, &apiv1.StopTask{Task: st.Task})
			}
			continue
		}
		o.Acknowledged = append(o.Acknowledged, st.Task)
		if !live {
			continue
		}
		if st.Checkpoint != "" {
			t.checkpoint = st.Checkpoint
		} else if t.checkpoint != "" && st.Message != neverStarted {
			w.t.Fatalf("%v lost its checkpoint %s", k, t.checkpoint)
		}
		w.end(t)
	}
	return reported
}

func (w *world) end(t *task) {
	t.host, t.stopping = nil, false
	w.ended++
}

// lead places, evicts, and expires what has surely run out. It overfills the
// workers on purpose: the agent must check again.
func (w *world) lead() {
	wait := duration * 102 / 98 // (1 + rateError) / (1 - rateError)
	for _, t := range w.tasks {
		h := w.hosts[w.rng.Intn(hosts)]
		switch {
		case t.host != nil && w.leaderClock()-t.host.handled > wait:
			w.end(t)
		case t.host == nil && w.leaderClock()-h.handled < duration/2 && w.chance(30):
			t.attempt++
			t.host = h
		case t.host != nil && w.chance(w.faults.evicted):
			t.stopping = true
		}
	}
}

func (w *world) step() {
	w.now += w.upTo(60 * time.Millisecond)
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at > w.now {
			w.events = append(w.events, e)
			continue
		}
		e.do()
	}
	w.disturb(w.hosts[w.rng.Intn(hosts)])
	w.judge()
}

func (w *world) disturb(h *host) {
	switch n := w.rng.Intn(100); {
	case n < 30:
		h.beat()
	case n < 50:
		w.lead()
	case n < 53:
		h.observe()
	case n >= 60 || !w.chance(25*w.faults.restarts):
	case n < 56:
		h.frozen = w.now + w.upTo(4*duration)
	case n < 59:
		h.manager = New(h.clock()) // The agent restarts.
	default:
		h.startWorker()
	}
}

// Symptom: one task runs on two workers, or a worker runs more than it has room for.
// Sequence: heartbeats, replies, starts and stops are lost, late or out of order; agents
// freeze and restart; workers restart; clocks run at different rates.
// Cause: a deadline counted from the wrong moment, or an end reported too early.
func TestNeverInTwoPlaces(t *testing.T) {
	ended := 0
	for seed := range int64(seeds) {
		w := newWorld(t, seed)
		for range steps {
			w.step()
		}
		ended += w.ended
	}
	if ended < 10*seeds {
		t.Fatalf("only %d attempts ended: the runs prove little", ended)
	}
}
