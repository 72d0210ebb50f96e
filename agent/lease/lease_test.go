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
	seeds         = 400
	steps         = 3000
	tasks         = 3
	hosts         = 3
	leaseDuration = 3 * time.Second
	rateError     = 0.02 // Far beyond real clocks, so that a missing bound shows.
	maxRunning    = 2    // Grants that fit on a worker.
	running       = apiv1.TaskPhase_TASK_PHASE_RUNNING
)

var unitGrant = &apiv1.Resources{MilliProcessors: 1000, MemoryBytes: 1 << 30, Accelerators: 1}

// host is a stand-in worker and the agent beside it, with a clock of its own.
type host struct {
	sim              *simulation
	name             string
	rate             float64
	starts           uint64 // Of the worker.
	namesIncarnation bool   // The worker names its incarnation and the grants.
	worker           *fakes.Worker
	manager          *Manager
	frozenUntil      time.Duration
	// The leader's view.
	lastHeartbeat         time.Duration
	incarnation, sequence uint64
}

// event is something on its way.
type event struct {
	at  time.Duration
	run func()
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

// simulation is true time, the leader, and the judge of what runs where.
type simulation struct {
	t               *testing.T
	rng             *rand.Rand
	now             time.Duration
	events          []event
	hosts           []*host
	tasks           []*task
	leaderClockRate float64 // Of the leader's clock.
	faults          faults
	ended           int // Attempts that ended in any way, to see that the run does something.
}

func newSimulation(t *testing.T, seed int64) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewSource(seed)), now: time.Hour}
	pick := func(values ...int) int { return values[w.rng.Intn(len(values))] }
	w.faults = faults{
		lost: pick(0, 10, 40), startFails: pick(5, 30, 80), stopHangs: pick(0, 30, 90),
		evicted: pick(0, 5, 40), restarts: pick(0, 1, 4), lateLoss: pick(10, 50),
	}
	w.leaderClockRate = w.clockRate()
	for i := range hosts {
		h := &host{sim: w, name: fmt.Sprint("h", i), rate: w.clockRate(), namesIncarnation: w.chance(50)}
		h.startWorker()
		h.manager = New(h.clock())
		w.hosts = append(w.hosts, h)
	}
	for i := range tasks {
		w.tasks = append(w.tasks, &task{name: strconv.Itoa(i)})
	}
	return w
}

func (w *simulation) clockRate() float64 { return 1 + rateError*(2*w.rng.Float64()-1) }

func (w *simulation) chance(percent int) bool { return w.rng.Intn(100) < percent }

func (w *simulation) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int63n(int64(d)))
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.events = append(w.events, event{w.now + d, do})
}

func (w *simulation) leaderClock() time.Duration {
	return time.Duration(float64(w.now) * w.leaderClockRate)
}

func (h *host) clock() time.Duration { return time.Duration(float64(h.sim.now) * h.rate) }

func (h *host) startWorker() {
	h.starts++
	record, _ := fakes.NewRecorder[fakes.RunEvent]("")
	capacity := &apiv1.Resources{MilliProcessors: maxRunning * 1000, MemoryBytes: maxRunning << 30, Accelerators: maxRunning}
	h.worker = fakes.NewWorker(fakes.WorkerConfig{Info: &apiv1.WorkerInfo{Name: h.name, Capacity: capacity}}, record, h.clock())
}

func (w *simulation) check() {
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
		if n > maxRunning {
			w.t.Fatalf("%s runs %d tasks and has room for %d", h.name, n, maxRunning)
		}
	}
}

func (h *host) observe() {
	o := Observation{Info: h.worker.Info(), Instance: strconv.FormatUint(h.starts, 10), WallClock: uint64(h.sim.now)}
	o.Tasks = h.worker.Tasks(h.clock())
	if h.namesIncarnation {
		o.Info.Incarnation = h.starts
	} else {
		for _, st := range o.Tasks {
			st.Grant = nil
		}
	}
	h.manager.Observe(h.clock(), o)
}

// heartbeat is one turn of an agent: look, send, and some time later follow the reply.
func (h *host) heartbeat() {
	if h.sim.now < h.frozenUntil {
		return
	}
	h.observe()
	hb := h.manager.Heartbeat(h.clock())
	if hb == nil || h.sim.chance(h.sim.faults.lost) {
		return
	}
	m := h.manager
	h.sim.schedule(h.sim.randomUpTo(400*time.Millisecond), func() {
		reply := h.sim.handleHeartbeat(h, hb)
		if reply != nil && !h.sim.chance(h.sim.faults.lost) {
			h.sim.schedule(h.sim.randomUpTo(400*time.Millisecond), func() { h.followOrders(m, reply) })
		}
	})
}

// followOrders carries out orders. An agent that was frozen follows them when it wakes;
// one that was restarted never does.
func (h *host) followOrders(m *Manager, o *apiv1.WorkerOrders) {
	if h.sim.now < h.frozenUntil {
		h.sim.schedule(h.frozenUntil-h.sim.now, func() { h.followOrders(m, o) })
		return
	}
	if m != h.manager {
		return
	}
	a := m.ApplyOrders(h.clock(), o)
	if !h.sim.chance(h.sim.faults.lost) {
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
	if h.sim.chance(h.sim.faults.stopHangs) {
		m.RecordStop(s.Task, "", false)
		return
	}
	name, _ := h.worker.Checkpoint(s.Task, h.clock())
	if h.sim.chance(30) {
		name = "" // The reply is lost.
	}
	m.RecordStop(s.Task, name, h.worker.Stop(s.Task, h.clock()) == nil)
}

// start may lose the message, the reply, or deliver the message late, also to a
// worker that has restarted since.
func (h *host) start(m *Manager, s *apiv1.StartTask, a Actions) {
	run := func() error { return h.worker.Start(s, a.StartDeadline, h.clock()) }
	result := StartUnknown
	if !h.sim.chance(h.sim.faults.startFails) {
		result = resultOf(run())
	} else if !h.sim.chance(h.sim.faults.lateLoss) {
		h.sim.schedule(h.sim.randomUpTo(leaseDuration), func() { _ = run() })
	}
	if m.RecordStart(s, result, "refused", a.Deadline) {
		h.worker.Renew([]*apiv1.TaskAttempt{s.Task}, a.Deadline, h.clock())
	}
}

func resultOf(err error) StartResult {
	switch {
	case err == nil:
		return StartDone
	case worker.Refused(err, worker.CodeExpired):
		return StartExpired
	}
	return StartRefused
}

// handleHeartbeat is the leader's side of a heartbeat.
func (w *simulation) handleHeartbeat(h *host, hb *apiv1.WorkerHeartbeat) *apiv1.WorkerOrders {
	fresh := hb.Incarnation > h.incarnation
	if hb.Incarnation < h.incarnation || fresh && hb.Info == nil {
		return &apiv1.WorkerOrders{Sequence: hb.Sequence} // As the leader, which can't register it.
	}
	if !fresh && hb.Sequence <= h.sequence {
		return nil
	}
	h.incarnation, h.sequence, h.lastHeartbeat = hb.Incarnation, hb.Sequence, w.leaderClock()
	o := &apiv1.WorkerOrders{Sequence: hb.Sequence, Renewed: true, LeaseMs: leaseDuration.Milliseconds()}
	reported := w.applyReports(h, hb, o)
	for _, t := range w.tasks {
		a := Attempt{t.name, t.attempt}
		switch {
		case t.host != h:
		case fresh && !reported[a]:
			w.endTask(t)
		case t.stopping:
			o.Stop = append(o.Stop, &apiv1.StopTask{Task: a.proto(), Checkpoint: true})
		case !reported[a]:
			o.Start = append(o.Start, &apiv1.StartTask{Task: a.proto(), Grant: unitGrant, Checkpoint: t.checkpoint, ExpectedRunMs: 20000})
		}
	}
	return o
}

func (w *simulation) applyReports(h *host, hb *apiv1.WorkerHeartbeat, o *apiv1.WorkerOrders) map[Attempt]bool {
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
		} else if t.checkpoint != "" && st.Message != neverStartedMessage {
			w.t.Fatalf("%v lost its checkpoint %s", k, t.checkpoint)
		}
		w.endTask(t)
	}
	return reported
}

func (w *simulation) endTask(t *task) {
	t.host, t.stopping = nil, false
	w.ended++
}

// leaderStep places, evicts, and expires what has surely run out. It overfills the
// workers on purpose: the agent must check again.
func (w *simulation) leaderStep() {
	wait := leaseDuration * 102 / 98 // (1 + rateError) / (1 - rateError)
	for _, t := range w.tasks {
		h := w.hosts[w.rng.Intn(hosts)]
		switch {
		case t.host != nil && w.leaderClock()-t.host.lastHeartbeat > wait:
			w.endTask(t)
		case t.host == nil && w.leaderClock()-h.lastHeartbeat < leaseDuration/2 && w.chance(30):
			t.attempt++
			t.host = h
		case t.host != nil && w.chance(w.faults.evicted):
			t.stopping = true
		}
	}
}

func (w *simulation) step() {
	w.now += w.randomUpTo(60 * time.Millisecond)
	due := w.events
	w.events = nil
	for _, e := range due {
		if e.at > w.now {
			w.events = append(w.events, e)
			continue
		}
		e.run()
	}
	w.hostStep(w.hosts[w.rng.Intn(hosts)])
	w.check()
}

func (w *simulation) hostStep(h *host) {
	switch n := w.rng.Intn(100); {
	case n < 30:
		h.heartbeat()
	case n < 50:
		w.leaderStep()
	case n < 53:
		h.observe()
	case n >= 60 || !w.chance(25*w.faults.restarts):
	case n < 56:
		h.frozenUntil = w.now + w.randomUpTo(4*leaseDuration)
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
func TestTaskNeverRunsOnTwoWorkers(t *testing.T) {
	ended := 0
	for seed := range int64(seeds) {
		w := newSimulation(t, seed)
		for range steps {
			w.step()
		}
		ended += w.ended
	}
	if ended < 10*seeds {
		t.Fatalf("only %d attempts ended: the runs prove little", ended)
	}
}
