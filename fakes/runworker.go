package fakes

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cairnlift/cairnlift/agent/runs"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// OrderFault is a fault injected into one call of a RunWorker or Hosts.
type OrderFault struct {
	// Lost calls are neither executed nor answered.
	Lost bool
	// Late, if not zero, leaves the call unanswered and executes it after this delay.
	Late time.Duration
	// Refused calls are not executed; a RunWorker answers AnswerUnhealthy and Hosts HostRefused.
	Refused bool
	// Repeated executes a late call at once too. Only a RunWorker does so.
	Repeated bool
}

// Work describes what a run does.
type Work struct {
	// Duration is how long the run works; 0 means until it is stopped.
	Duration time.Duration
	// Fails makes the run end as failed.
	Fails bool
	// CrashAfter is the time from the start of the run until it crashes the worker; 0
	// means never.
	CrashAfter time.Duration
	// Startup is how long a long-running task takes from its start until all of it is
	// running. Other tasks report their progress instead.
	Startup     time.Duration
	LongRunning bool
}

// RunObserver is notified of the starts and ends of runs and of expired leases.
type RunObserver interface {
	RunBegan(run jobqueue.RunID, at time.Time)
	RunEnded(run jobqueue.RunID, kind apiv1.RunEndKind, at time.Time)
	// LeaseExpired is called when the worker's lease has expired, whether or not anything
	// ran under it.
	LeaseExpired(at time.Time)
}

// RunWorker is a stand-in for a worker that runs the tasks of submitted jobs under one
// lease. It numbers runs and refuses old ones, lists ended runs with a cursor, has a clock
// of its own that may be slow, and can lose orders or execute them late.
type RunWorker struct {
	// Spec describes the worker; its id is the incarnation.
	Spec *apiv1.JobWorker
	// ClockRatePPM is how much slower than true time its clock runs, in parts per million.
	ClockRatePPM int64
	// ClockStartMs is the reading of its clock at its start; 0 means defaultClockStartMs.
	ClockStartMs int64
	// LeaseDecidesDeadline makes the worker execute a start whose own deadline has passed as long as
	// its lease has not expired. Otherwise such a start is refused whatever the lease.
	LeaseDecidesDeadline bool
	// Fault returns the fault to apply to a call; nil means no faults.
	Fault func(call string) OrderFault
	// Duration returns how long a task works; 0 means until it is stopped.
	Duration func(jobqueue.TaskID) time.Duration
	// Fails reports whether a run ends as failed.
	Fails func(jobqueue.RunID) bool
	// CrashAfter returns when a run crashes the worker; see Work.
	CrashAfter func(jobqueue.RunID) time.Duration
	// OnCrash is called when a run crashes the worker; it must end the worker.
	OnCrash func()
	// Work, if set, determines what a run does from its payload. It replaces Duration,
	// Fails and CrashAfter.
	Work func(run jobqueue.RunID, payload string) Work
	// StopTime returns how long a run that is stopped takes to end; nil means no time.
	StopTime func() time.Duration
	// GuardsCapacity makes it refuse starts that exceed its capacity.
	GuardsCapacity bool
	// Observer, if set, is notified of the start and end of every run and of expired
	// leases. The worker's lock is held during the call.
	Observer RunObserver
	// Advisor, if set, validates the ticket of each start.
	Advisor *Advisor
	// Checker checks every run; it may be nil.
	Checker *RunChecker

	mu        sync.Mutex
	startedAt time.Time
	crashed   bool
	draining  bool
	// registered is set once the worker has been added to the checker.
	registered bool
	term       uint64
	deadlineMs int64
	cursor     uint64
	sequence   uint64
	running    map[jobqueue.TaskID]*workerRun
	newestRun  map[jobqueue.TaskID]uint64
	ended      []*apiv1.RunEnd
	endedAt    map[uint64]time.Time
	// previousCapacities are the capacities before each change.
	previousCapacities []previousCapacity
	// calledAt is when the call that is being executed arrived.
	calledAt time.Time
	// drainAcknowledgedAt is when the worker's present agent first acknowledged that the worker drains.
	drainAcknowledgedAt time.Time
	// expiredAt is when the lease last expired.
	expiredAt time.Time
	endSignal chan struct{}
}

type workerRun struct {
	id         jobqueue.RunID
	startedAt  time.Time
	work       Work
	checkpoint string
	// pace is the share at which the run may work, in percent.
	pace uint32
	// stopsAt is when a run that was stopped ends; zero if it was not stopped.
	stopsAt time.Time
}

const (
	// defaultClockStartMs is the default reading of a new worker's clock.
	defaultClockStartMs = 1_000_000
	// maxLeaseMs is the longest lease that a worker accepts.
	maxLeaseMs = 6000
	// maxListedEnds is the greatest number of ends that a status lists.
	maxListedEnds         = 500
	checkpointIntervalSec = 1
	partsPerMillion       = 1_000_000
)

// NewRunWorker returns a worker without runs.
func NewRunWorker(spec *apiv1.JobWorker, checker *RunChecker) *RunWorker {
	return &RunWorker{
		Spec: spec, Checker: checker, startedAt: time.Now(),
		running: map[jobqueue.TaskID]*workerRun{}, newestRun: map[jobqueue.TaskID]uint64{},
		endSignal: make(chan struct{}), endedAt: map[uint64]time.Time{},
	}
}

// Crash ends the worker and all its runs without reporting the ends.
func (w *RunWorker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if !w.crashed {
		w.Checker.recordCrash(w)
	}
	w.crashed = true
	clear(w.running)
}

// Drain makes the worker report from now on that it is draining.
func (w *RunWorker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

// DrainAcknowledged records that the worker's agent has just acknowledged that the worker drains.
func (w *RunWorker) DrainAcknowledged() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.drainAcknowledgedAt.IsZero() {
		w.drainAcknowledgedAt = time.Now()
	}
}

// AgentReplaced records that the worker has another agent, which has not heard that the worker drains.
func (w *RunWorker) AgentReplaced() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drainAcknowledgedAt = time.Time{}
}

// Resize changes the processors and the memory of the running worker.
func (w *RunWorker) Resize(cpuMilli, memoryMB int64) {
	capacity := capacityOf(w.Description())
	capacity.CPUMilli, capacity.MemoryMB = cpuMilli, memoryMB
	w.SetCapacity(capacity)
}

// SetIncarnation makes the worker answer as another incarnation.
func (w *RunWorker) SetIncarnation(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	spec := proto.CloneOf(w.Spec)
	spec.Id = id
	w.Spec = spec
}

// SetCapacity changes the capacity of the running worker.
func (w *RunWorker) SetCapacity(r jobqueue.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	spec := proto.CloneOf(w.Spec)
	w.previousCapacities = append(w.previousCapacities, previousCapacity{capacityOf(spec), time.Now()})
	spec.CpuMilli, spec.MemoryMb, spec.Accelerators = r.CPUMilli, r.MemoryMB, r.Accelerators
	w.Spec = spec
}

// previousCapacity is the capacity of a worker until a change.
type previousCapacity struct {
	capacity jobqueue.Resources
	until    time.Time
}

func capacityOf(spec *apiv1.JobWorker) jobqueue.Resources {
	return jobqueue.Resources{CPUMilli: spec.CpuMilli, MemoryMB: spec.MemoryMb, Accelerators: spec.Accelerators}
}

// shrinkGrace is how long after a reduction of the capacity a call may still rely on the
// previous one.
const shrinkGrace = 3700 * time.Millisecond

// allows reports whether the reserved resources fit the current or a recent capacity. The
// caller must hold w.mu.
func (w *RunWorker) allows(used jobqueue.Resources) bool {
	return used.Fits(capacityOf(w.Spec)) || slices.ContainsFunc(w.previousCapacities, func(f previousCapacity) bool {
		return w.calledAt.Sub(f.until) < shrinkGrace && used.Fits(f.capacity)
	})
}

// Description returns the description that the worker reports, including whether it drains.
func (w *RunWorker) Description() *apiv1.JobWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	spec := proto.CloneOf(w.Spec)
	spec.Draining = w.draining
	return spec
}

// ClockMs returns the reading of the worker's clock.
func (w *RunWorker) ClockMs() int64 { return w.clockMs(time.Now()) }

// Running returns the running tasks.
func (w *RunWorker) Running() []jobqueue.TaskID {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return slices.Collect(maps.Keys(w.running))
}

// UnacknowledgedEnds returns how many ends were not acknowledged.
func (w *RunWorker) UnacknowledgedEnds() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return len(w.ended)
}

// PaceOf returns the share at which a task may work, in percent; 0 if it does not run.
func (w *RunWorker) PaceOf(task jobqueue.TaskID) uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if r := w.running[task]; r != nil {
		return r.pace
	}
	return 0
}

// limitDeadline limits a deadline to the longest lease that the worker accepts.
func (w *RunWorker) limitDeadline(deadlineMs int64) int64 {
	return min(deadlineMs, w.clockMs(time.Now())+maxLeaseMs)
}

func (w *RunWorker) clockMs(at time.Time) int64 {
	elapsed := at.Sub(w.startedAt).Milliseconds()
	return w.clockStart() + elapsed*(partsPerMillion-w.ClockRatePPM)/partsPerMillion
}

func (w *RunWorker) clockStart() int64 { return cmp.Or(w.ClockStartMs, defaultClockStartMs) }

// expiryTime returns the true time at which the lease expires by the worker's clock.
func (w *RunWorker) expiryTime() time.Time {
	elapsed := (w.deadlineMs - w.clockStart()) * partsPerMillion / (partsPerMillion - w.ClockRatePPM)
	return w.startedAt.Add(time.Duration(elapsed) * time.Millisecond)
}

// advance ends the runs that have finished or whose lease has expired since the last call.
// The caller must hold w.mu.
func (w *RunWorker) advance() {
	now := time.Now()
	expiry := w.expiryTime()
	if w.deadlineMs > 0 && !expiry.After(now) && !expiry.Equal(w.expiredAt) {
		w.expiredAt = expiry
		if w.Observer != nil {
			w.Observer.LeaseExpired(expiry)
		}
	}
	for task, r := range w.running {
		end := r.startedAt.Add(r.work.Duration)
		finished := r.work.Duration > 0 && !end.After(now)
		expired := !expiry.After(now)
		stopped := !r.stopsAt.IsZero() && !r.stopsAt.After(now)
		switch {
		case stopped && !(finished && end.Before(r.stopsAt)) && !(expired && expiry.Before(r.stopsAt)):
			w.end(task, r, apiv1.RunEndKind_RUN_END_KIND_STOPPED, r.stopsAt)
		case finished && (!expired || end.Before(expiry)):
			kind := apiv1.RunEndKind_RUN_END_KIND_DONE
			if r.work.Fails {
				kind = apiv1.RunEndKind_RUN_END_KIND_FAILED
			}
			w.end(task, r, kind, end)
		case expired:
			w.end(task, r, apiv1.RunEndKind_RUN_END_KIND_LAPSED, expiry)
		}
	}
}

func (w *RunWorker) end(task jobqueue.TaskID, r *workerRun, kind apiv1.RunEndKind, at time.Time) {
	delete(w.running, task)
	w.newestRun[task] = max(w.newestRun[task], r.id.Number)
	w.sequence++
	w.ended = append(w.ended, &apiv1.RunEnd{
		Sequence: w.sequence, Task: task.Ref(), Run: r.id.Number, Kind: kind, Checkpoint: r.lastCheckpoint(),
	})
	w.endedAt[w.sequence] = at
	close(w.endSignal)
	w.endSignal = make(chan struct{})
	w.Checker.recordEnd(w, r.id, kind, at)
	if w.Observer != nil {
		w.Observer.RunEnded(r.id, kind, at)
	}
}

// lastCheckpoint returns the checkpoint of the last whole second of work, or the one from
// which the run started if there is none.
func (r *workerRun) lastCheckpoint() string {
	worked := int(time.Since(r.startedAt).Seconds()) / checkpointIntervalSec
	if worked == 0 {
		return r.checkpoint
	}
	return fmt.Sprintf("%v@%d", r.id.Task, worked)
}

// crashFrom calls OnCrash if the run is still in progress.
func (w *RunWorker) crashFrom(r *workerRun) {
	w.mu.Lock()
	w.advance()
	inProgress := !w.crashed && w.running[r.id.Task] == r
	w.mu.Unlock()
	if inProgress && w.OnCrash != nil {
		w.OnCrash()
	}
}

func (w *RunWorker) workOf(s runs.Start) Work {
	if w.Work != nil {
		return w.Work(s.Run, s.Payload)
	}
	var work Work
	if w.Duration != nil {
		work.Duration = w.Duration(s.Run.Task)
	}
	work.Fails = w.Fails != nil && w.Fails(s.Run)
	if w.CrashAfter != nil {
		work.CrashAfter = w.CrashAfter(s.Run)
	}
	return work
}

const fullPercent = 100

// percent returns the progress of a task or, for a long-running task, the part of it that
// is running.
func (r *workerRun) percent() uint32 {
	total := r.work.Duration
	if r.work.LongRunning {
		total = r.work.Startup
	}
	if total == 0 {
		return fullPercent
	}
	return uint32(min(fullPercent, fullPercent*time.Since(r.startedAt)/total))
}
