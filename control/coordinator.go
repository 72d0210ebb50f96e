package control

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/place"
	"github.com/cairnlift/cairnlift/state"
)

// Planner decides what runs where and what has to give way, among that what
// workers hold above their capacity. place.Placer is the real one. It is called
// by one goroutine at a time and keeps what it learnt from one term to the next.
type Planner interface {
	Plan(now time.Time, s *place.Snapshot) place.Plan
	// Observe learns from a worker's heartbeat that was handled at now.
	Observe(now time.Time, hb *apiv1.WorkerHeartbeat)
	// Forget drops what was learnt about a worker that is gone.
	Forget(worker string)
}

// coordinator is the leader's part of one term, without I/O: it turns
// heartbeats and the passing of time into commands for the log, and the applied
// state into orders for workers. Its driver commits the commands and may hand
// orders out only after a read barrier.
type coordinator struct {
	term    uint64
	leases  *leases
	planner Planner
	reports map[string]*workerReport
	// throttles holds the shares in force, by task.
	throttles map[string]throttle
	cache     map[string]cachedWorker
	// served holds the services with a target on a live worker as of the last round.
	served map[string]bool
}

// workerReport is what a worker said last in this term.
type workerReport struct {
	incarnation uint64
	sequence    uint64
	info        *apiv1.WorkerInfo
	handledAt   time.Time
	tasks       map[string]*taskReport
	services    []string
	reserved    state.Resources
	// previousCheckpoints holds checkpoints that an earlier incarnation reported, until the
	// present one is registered.
	previousCheckpoints []*apiv1.TaskCheckpoint
	// ordersSent: orders went out, so that throttles of an earlier leader are lifted.
	ordersSent bool
}

type taskReport struct {
	status         *apiv1.TaskStatus
	checkpointedAt time.Time
}

type throttle struct {
	attempt uint64
	share   int32
}

// newCoordinator returns the coordinator of a term. The throttles go on from the
// last term that this host led in: the planner, too, still counts on them.
func newCoordinator(term uint64, l *leases, p Planner, throttles map[string]throttle) *coordinator {
	return &coordinator{
		term:      term,
		leases:    l,
		planner:   p,
		reports:   map[string]*workerReport{},
		throttles: throttles,
		cache:     map[string]cachedWorker{},
	}
}

// observe takes in a heartbeat that is handled now, and returns what has to be
// committed before it is answered: the worker's registration, ends of attempts.
func (c *coordinator) observe(now time.Time, hb *apiv1.WorkerHeartbeat, m *state.Machine) (registration, end *apiv1.Command) {
	last := c.reports[hb.Worker]
	if last != nil && outdated(last, hb) {
		return nil, nil
	}
	r := newWorkerReport(now, last, hb, m)
	c.reports[hb.Worker] = r
	w, known := m.Worker(hb.Worker)
	if known && hb.Incarnation < w.Incarnation {
		return nil, nil
	}
	c.planner.Observe(now, hb)
	return c.registration(hb, r, w, known), recordEndsCommand(hb, m)
}

// outdated reports whether a later heartbeat of the worker was handled before:
// the network delivered this one late or twice, and nobody waits for its answer.
func outdated(last *workerReport, hb *apiv1.WorkerHeartbeat) bool {
	if last.incarnation != hb.Incarnation {
		return hb.Incarnation < last.incarnation
	}
	return hb.Sequence < last.sequence
}

func newWorkerReport(now time.Time, last *workerReport, hb *apiv1.WorkerHeartbeat, m *state.Machine) *workerReport {
	r := &workerReport{
		incarnation: hb.Incarnation,
		sequence:    hb.Sequence,
		info:        hb.Info,
		handledAt:   now,
		tasks:       make(map[string]*taskReport, len(hb.Tasks)),
	}
	same := last != nil && last.incarnation == hb.Incarnation
	switch {
	case same:
		r.ordersSent = last.ordersSent
		r.previousCheckpoints = last.previousCheckpoints
		if r.info == nil {
			r.info = last.info
		}
	case last != nil:
		r.previousCheckpoints = last.checkpoints()
	}
	for _, st := range hb.Tasks {
		t := &taskReport{status: st}
		if st.Checkpoint != "" {
			t.checkpointedAt = now
		}
		if same {
			t.keepCheckpointTime(last.tasks[st.Task.GetTask()])
		}
		r.tasks[st.Task.GetTask()] = t
	}
	r.addTargets(hb.Targets, m)
	return r
}

func (t *taskReport) keepCheckpointTime(last *taskReport) {
	if last != nil && last.status.Checkpoint == t.status.Checkpoint {
		t.checkpointedAt = last.checkpointedAt
	}
}

// addTargets sums up what the worker's targets take, by the declared sizes.
func (r *workerReport) addTargets(targets []*apiv1.TargetInfo, m *state.Machine) {
	for _, t := range targets {
		if !slices.Contains(r.services, t.Service) {
			r.services = append(r.services, t.Service)
		}
		size := m.Service(t.Service).GetSize()
		r.reserved.MilliProcessors += size.GetMilliProcessors()
		r.reserved.MemoryBytes += size.GetMemoryBytes()
		r.reserved.Accelerators += size.GetAccelerators()
	}
}

// registration is needed at the first contact with an incarnation and when what
// the worker has, or what its targets take, has changed.
func (c *coordinator) registration(hb *apiv1.WorkerHeartbeat, r *workerReport, w state.Worker, known bool) *apiv1.Command {
	if r.info == nil && (!known || hb.Incarnation != w.Incarnation) {
		return nil
	}
	reg := &apiv1.RegisterWorker{
		Worker:           hb.Worker,
		Incarnation:      hb.Incarnation,
		Region:           w.Region,
		AvailabilityZone: w.AvailabilityZone,
		Rack:             w.Rack,
		Capacity:         w.Capacity.Message(),
		Reserved:         r.reserved.Message(),
	}
	if r.info != nil {
		reg.Region = r.info.Location.GetRegion()
		reg.AvailabilityZone = r.info.Location.GetAvailabilityZone()
		reg.Rack = r.info.Location.GetRack()
		reg.Capacity = r.info.Capacity
	}
	if known && hb.Incarnation == w.Incarnation {
		r.previousCheckpoints = nil
		if matchesWorker(reg, w) {
			return nil
		}
	}
	for _, st := range hb.Tasks {
		// Ended ones too: their ends are recorded next, by their own reports.
		reg.Running = append(reg.Running, st.Task)
	}
	reg.Checkpoints = r.previousCheckpoints
	return &apiv1.Command{Body: &apiv1.Command_RegisterWorker{RegisterWorker: reg}}
}

// matchesWorker reports whether a registration would change nothing.
func matchesWorker(r *apiv1.RegisterWorker, w state.Worker) bool {
	return r.Region == w.Region && r.AvailabilityZone == w.AvailabilityZone && r.Rack == w.Rack &&
		state.ResourcesOf(r.Capacity) == w.Capacity && state.ResourcesOf(r.Reserved) == w.Reserved
}

// checkpoints lists the last durable checkpoints that the worker reported.
func (r *workerReport) checkpoints() []*apiv1.TaskCheckpoint {
	list := slices.Clone(r.previousCheckpoints)
	for _, t := range r.tasks {
		if t.status.Checkpoint != "" {
			list = append(list, &apiv1.TaskCheckpoint{Task: t.status.Task, Checkpoint: t.status.Checkpoint})
		}
	}
	slices.SortFunc(list, func(a, b *apiv1.TaskCheckpoint) int { return cmp.Compare(a.Task.Task, b.Task.Task) })
	return list
}

// recordEndsCommand records the reported ends of attempts that the state counts as live, or
// as over without a successor yet.
func recordEndsCommand(hb *apiv1.WorkerHeartbeat, m *state.Machine) *apiv1.Command {
	rec := &apiv1.RecordTasks{Worker: hb.Worker, WorkerIncarnation: hb.Incarnation}
	for _, st := range hb.Tasks {
		kind := endKind(st.Phase)
		if kind == apiv1.EndKind_END_KIND_UNSPECIFIED || !endExpected(m, hb.Worker, st) {
			continue
		}
		rec.Ends = append(rec.Ends, &apiv1.TaskEnd{
			Task:       st.Task,
			Kind:       kind,
			Checkpoint: st.Checkpoint,
			Message:    st.Message,
		})
	}
	if len(rec.Ends) == 0 {
		return nil
	}
	return &apiv1.Command{Body: &apiv1.Command_RecordTasks{RecordTasks: rec}}
}

// endExpected reports whether the state has a use for a reported end.
func endExpected(m *state.Machine, worker string, st *apiv1.TaskStatus) bool {
	t, ok := m.Task(st.Task.GetTask())
	if !ok || t.LastWorker != worker || t.Attempt != st.Task.GetAttempt() {
		return false
	}
	return t.Live() || t.State == apiv1.TaskState_TASK_STATE_QUEUED
}

func endKind(p apiv1.TaskPhase) apiv1.EndKind {
	switch p {
	case apiv1.TaskPhase_TASK_PHASE_SUCCEEDED:
		return apiv1.EndKind_END_KIND_SUCCEEDED
	case apiv1.TaskPhase_TASK_PHASE_FAILED:
		return apiv1.EndKind_END_KIND_FAILED
	case apiv1.TaskPhase_TASK_PHASE_STOPPED:
		return apiv1.EndKind_END_KIND_STOPPED
	}
	return apiv1.EndKind_END_KIND_UNSPECIFIED
}

func isLiveOn(m *state.Machine, worker string, a *apiv1.TaskAttempt) bool {
	t, ok := m.Task(a.GetTask())
	return ok && t.Worker == worker && t.Attempt == a.GetAttempt()
}

// renew counts the worker's leases from now, where the state knows its
// incarnation. It comes after observe's commands are applied.
func (c *coordinator) renew(now time.Time, hb *apiv1.WorkerHeartbeat, m *state.Machine) bool {
	r := c.reports[hb.Worker]
	if r == nil || r.incarnation != hb.Incarnation || r.sequence != hb.Sequence {
		return false
	}
	w, known := m.Worker(hb.Worker)
	if !known || w.Incarnation != hb.Incarnation {
		return false
	}
	return c.leases.renew(hb.Worker, hb.Incarnation, now)
}

// taskStatus returns what the worker said about a task, nil when it did not mention it.
func (r *workerReport) taskStatus(id string) *apiv1.TaskStatus {
	if t := r.tasks[id]; t != nil {
		return t.status
	}
	return nil
}
