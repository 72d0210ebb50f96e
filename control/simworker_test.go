package control

import (
	"fmt"
	"time"

	agentlease "github.com/cairnlift/cairnlift/agent/lease"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// simRun is the judge's record of a task over all workers.
type simRun struct {
	running int
	// started holds the attempts that ever ran.
	started    map[uint64]bool
	checkpoint int // the one that a worker reported with the stop of the last attempt
}

// simTask is an attempt at a worker. Work done counts up to need.
type simTask struct {
	order      *apiv1.StartTask
	phase      apiv1.TaskPhase
	deadline   time.Duration // on the host's clock
	endsAt     time.Duration // when its work is done, real time
	checkpoint int
}

// simWorker is a host: the worker that runs tasks until their deadlines, and the
// agent's lease manager.
type simWorker struct {
	sim           *sim
	name          string
	clock         simClock
	capacity      int64
	tasks         map[string]*simTask
	newestAttempt map[string]uint64
	// boots counts the starts of the worker; told says that it names them.
	boots              uint64
	reportsIncarnation bool
	// The agent loses its part when it restarts.
	agentIncarnation int
	frozenUntil      time.Duration
	partitionedUntil time.Duration
	agent            *agentlease.Manager
	// deposedLeader is the deposed leader that the worker's heartbeats still reach.
	deposedLeader *simNode
	deposedUntil  time.Duration
}

func newSimWorker(s *sim, name string) *simWorker {
	w := &simWorker{sim: s, name: name, clock: s.newClock(), capacity: simCapacity, newestAttempt: map[string]uint64{}, reportsIncarnation: s.rng.Intn(2) == 0}
	w.reboot()
	return w
}

// reboot loses every task; the worker comes back with another incarnation.
func (w *simWorker) reboot() {
	for _, t := range w.tasks {
		w.stop(t, apiv1.TaskPhase_TASK_PHASE_STOPPED)
	}
	w.tasks = map[string]*simTask{}
	w.boots++
	w.restartAgent()
}

func (w *simWorker) restartAgent() {
	w.agentIncarnation++
	w.agent = agentlease.New(w.now())
}

func (w *simWorker) now() time.Duration { return w.clock.read(w.sim.now) }

// advance ends what is due: by its work or by its deadline.
func (w *simWorker) advance() {
	for _, id := range sortedKeys(w.tasks) {
		t := w.tasks[id]
		switch {
		case t.phase != apiv1.TaskPhase_TASK_PHASE_RUNNING:
		case w.sim.now >= t.endsAt:
			w.stop(t, apiv1.TaskPhase_TASK_PHASE_SUCCEEDED)
		case w.now() >= t.deadline:
			w.stop(t, apiv1.TaskPhase_TASK_PHASE_STOPPED)
		default:
			t.checkpoint = w.periodicCheckpoint(t)
		}
	}
}

// periodicCheckpoint is the last periodic checkpoint: one per second of work.
func (w *simWorker) periodicCheckpoint(t *simTask) int {
	return max(t.checkpoint, int((simWork-(t.endsAt-w.sim.now))/time.Second))
}

const simWork = 6 * time.Second

func (w *simWorker) stop(t *simTask, phase apiv1.TaskPhase) {
	if t.phase == apiv1.TaskPhase_TASK_PHASE_RUNNING {
		w.sim.runs[t.order.Task.Task].running--
	}
	t.phase = phase
}

func (w *simWorker) start(o *apiv1.StartTask, deadline time.Duration) agentlease.StartResult {
	id := o.Task.Task
	switch {
	case deadline <= w.now():
		return agentlease.StartExpired
	case o.Task.Attempt <= w.newestAttempt[id]:
		return agentlease.StartRefused
	}
	w.newestAttempt[id] = o.Task.Attempt
	from := 0
	fmt.Sscanf(o.Checkpoint, "c%d", &from)
	t := &simTask{order: o, phase: apiv1.TaskPhase_TASK_PHASE_RUNNING, deadline: deadline, checkpoint: from}
	t.endsAt = w.sim.now + simWork - time.Duration(from)*time.Second
	w.tasks[id] = t
	w.sim.checkStart(w, o, from)
	return agentlease.StartDone
}

// checkStart judges a start: nothing of the task runs anywhere, the attempt never ran
// before, the checkpoint is not behind, the worker can hold it.
func (s *sim) checkStart(w *simWorker, o *apiv1.StartTask, from int) {
	id := o.Task.Task
	r := s.runs[id]
	if r == nil {
		r = &simRun{started: map[uint64]bool{}}
		s.runs[id] = r
	}
	r.running++
	switch {
	case r.running > 1:
		s.fail("%s runs twice", id)
	case s.succeeded(id):
		// A success that was never recorded, since its host was lost, is not known.
		s.fail("%s runs again after its success was recorded", id)
	case r.started[o.Task.Attempt]:
		s.fail("%s attempt %d started twice", id, o.Task.Attempt)
	case from < r.checkpoint:
		s.fail("%s resumes from c%d behind c%d", id, from, r.checkpoint)
	}
	r.started[o.Task.Attempt] = true
	var sum int64
	for _, t := range w.tasks {
		if t.phase == apiv1.TaskPhase_TASK_PHASE_RUNNING {
			sum += t.order.Grant.MilliProcessors
		}
	}
	if sum > simCapacity {
		s.fail("%s holds %d", w.name, sum)
	}
}

func (s *sim) succeeded(id string) bool {
	t, _ := s.machine.Task(id)
	return t.State == apiv1.TaskState_TASK_STATE_SUCCEEDED
}

// observe lets the agent look at its worker.
func (w *simWorker) observe() {
	o := agentlease.Observation{
		Info:      info(w.name, w.capacity),
		Instance:  fmt.Sprint(w.boots),
		WallClock: uint64(w.now()) + 1,
	}
	if w.reportsIncarnation {
		o.Info.Incarnation = w.boots
	}
	for _, id := range sortedKeys(w.tasks) {
		t := w.tasks[id]
		o.Tasks = append(o.Tasks, &apiv1.TaskStatus{Task: t.order.Task, Phase: t.phase, Checkpoint: fmt.Sprint("c", t.checkpoint), Grant: t.order.Grant})
	}
	w.agent.Observe(w.now(), o)
}

// sendHeartbeat is the agent's heartbeat, to the leader or to a host that was deposed.
func (w *simWorker) sendHeartbeat() {
	s := w.sim
	s.after(simHeartbeatInterval, w.sendHeartbeat)
	if s.now < w.frozenUntil || s.now < w.partitionedUntil {
		return
	}
	w.observe()
	hb := w.agent.Heartbeat(w.now())
	if hb == nil {
		return
	}
	n := s.leader
	if s.faulty() && s.now < w.deposedUntil {
		n = w.deposedLeader
	}
	life := w.agentIncarnation
	s.deliver(func() {
		s.renew(n, hb, func(o *apiv1.WorkerOrders) { s.deliver(func() { w.followOrders(life, o) }) })
	})
}

// followOrders lets the agent follow the leader's answer.
func (w *simWorker) followOrders(life int, o *apiv1.WorkerOrders) {
	s := w.sim
	if life != w.agentIncarnation || s.now < w.partitionedUntil {
		return
	}
	if s.now < w.frozenUntil {
		s.after(w.frozenUntil-s.now, func() { w.followOrders(life, o) })
		return
	}
	a := w.agent.ApplyOrders(w.now(), o)
	w.renew(a.Renew, a.Deadline)
	for _, st := range a.Stop {
		checkpoint := w.stopTask(st)
		if s.chance(30) {
			checkpoint = "" // Its reply was lost.
		}
		w.agent.RecordStop(st.Task, checkpoint, true)
	}
	for _, st := range a.Start {
		w.deliverStart(st, a)
	}
	for _, t := range a.Forget {
		if held := w.tasks[t.Task]; held != nil && held.order.Task.Attempt == t.Attempt && held.phase != apiv1.TaskPhase_TASK_PHASE_RUNNING {
			delete(w.tasks, t.Task)
		}
	}
}

// deliverStart asks the worker to start an attempt; the call may be late, and its
// reply lost, also because the agent dies. A late one may reach a worker that has
// restarted since: it took the connection before the agent knew of the restart.
func (w *simWorker) deliverStart(st *apiv1.StartTask, a agentlease.Actions) {
	if w.sim.chance(10) {
		w.sim.after(w.sim.randomDuration(0, 3*time.Second), func() { w.start(st, a.StartDeadline) })
		w.agent.RecordStart(st, agentlease.StartUnknown, "", a.Deadline)
		return
	}
	if w.agent.RecordStart(st, w.start(st, a.StartDeadline), "", a.Deadline) {
		w.renew([]*apiv1.TaskAttempt{st.Task}, a.Deadline)
	}
}

func (w *simWorker) renew(tasks []*apiv1.TaskAttempt, deadline time.Duration) {
	for _, a := range tasks {
		if t := w.tasks[a.Task]; t != nil && t.order.Task.Attempt == a.Attempt {
			t.deadline = max(t.deadline, deadline)
		}
	}
}

// stopTask takes a checkpoint where one is asked for and stops the attempt.
func (w *simWorker) stopTask(st *apiv1.StopTask) string {
	t := w.tasks[st.Task.Task]
	if t == nil || t.order.Task.Attempt != st.Task.Attempt || t.phase != apiv1.TaskPhase_TASK_PHASE_RUNNING {
		return ""
	}
	if st.Checkpoint {
		t.checkpoint = w.periodicCheckpoint(t)
	}
	w.stop(t, apiv1.TaskPhase_TASK_PHASE_STOPPED)
	return fmt.Sprint("c", t.checkpoint)
}

// noteStopCheckpoints notes the checkpoints of the stops that a command is about to record.
// One that comes before its worker's registration, which was lost, records nothing.
func (s *sim) noteStopCheckpoints(cmd *apiv1.Command) {
	rec := cmd.GetRecordTasks()
	if w, _ := s.machine.Worker(rec.GetWorker()); w.Incarnation != rec.GetWorkerIncarnation() {
		return
	}
	for _, e := range rec.GetEnds() {
		t, _ := s.machine.Task(e.Task.Task)
		if r := s.runs[e.Task.Task]; r != nil && t.Live() && t.Attempt == e.Task.Attempt {
			fmt.Sscanf(e.Checkpoint, "c%d", &r.checkpoint)
		}
	}
}
