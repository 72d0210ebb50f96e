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

// OrderFault is what goes wrong with one call of a RunWorker.
type OrderFault struct {
	// Lost: the call is not carried out and gets no answer.
	Lost bool
	// Late: the call gets no answer and is carried out so much later.
	Late time.Duration
}

// Work is what a run does.
type Work struct {
	// Duration is how long it works; 0 means until it is stopped.
	Duration time.Duration
	// Fails: it ends failed.
	Fails bool
	// CrashAfter is how long after its start it crashes the worker; 0 for never.
	CrashAfter time.Duration
	// Startup is how long a task that lasts takes to be at work. Others tell their progress.
	Startup     time.Duration
	LongRunning bool
}

// RunObserver is told what becomes of runs.
type RunObserver interface {
	RunBegan(run jobqueue.RunID, at time.Time)
	RunEnded(run jobqueue.RunID, kind apiv1.RunEndKind, at time.Time)
	// LeaseExpired: the worker's lease ran out, whether anything ran under it or not.
	LeaseExpired(at time.Time)
}

// RunWorker is a stand-in for a worker that runs submitted jobs' tasks under one
// lease: numbered runs, refusals of old ones, a list of ends with a cursor, a clock
// of its own that may be slow, and orders that are lost or carried out late.
type RunWorker struct {
	// Spec describes the worker; its id is the incarnation.
	Spec *apiv1.JobWorker
	// ClockRatePPM is how much slower than true time its clock runs.
	ClockRatePPM int64
	// ClockStartMs is what its clock shows at its start; a million when 0.
	ClockStartMs int64
	// Fault is asked for each call; nil means that nothing goes wrong.
	Fault func(call string) OrderFault
	// Duration is how long a task works; 0 means until it is stopped.
	Duration func(jobqueue.TaskID) time.Duration
	// Fails tells which runs end failed.
	Fails func(jobqueue.RunID) bool
	// CrashAfter tells which runs crash the worker; see Work.
	CrashAfter func(jobqueue.RunID) time.Duration
	// OnCrash is called when a run crashes the worker; it has to end the worker.
	OnCrash func()
	// Work, if set, tells what a run does from its payload, instead of Duration, Fails and CrashAfter.
	Work func(run jobqueue.RunID, payload string) Work
	// Observer, if set, is told of the begin and end of every run. The worker's lock is held.
	Observer RunObserver
	// Advisor, if set, gives the tickets that starts need.
	Advisor *Advisor
	// Checker is told of every run; nil for none.
	Checker *RunChecker

	mu        sync.Mutex
	startedAt time.Time
	crashed   bool
	draining  bool
	// registered is set once the judge knows the worker.
	registered bool
	term       uint64
	deadlineMs int64
	cursor     uint64
	sequence   uint64
	running    map[jobqueue.TaskID]*workerRun
	newestRun  map[jobqueue.TaskID]uint64
	ended      []*apiv1.RunEnd
	endedAt    map[uint64]time.Time
	// previousCapacities are the capacities before changes.
	previousCapacities []previousCapacity
	// calledAt is when the call came that is being carried out.
	calledAt time.Time
	// expiredAt is when the lease ran out last.
	expiredAt time.Time
	endSignal chan struct{}
}

type workerRun struct {
	id         jobqueue.RunID
	startedAt  time.Time
	work       Work
	checkpoint string
}

const (
	// defaultClockStartMs is what the clock of a new worker shows by default.
	defaultClockStartMs = 1_000_000
	// maxLeaseMs is the longest lease that it grants.
	maxLeaseMs            = 6000
	checkpointIntervalSec = 1
	partsPerMillion       = 1_000_000
)

// NewRunWorker returns a worker that runs nothing yet.
func NewRunWorker(spec *apiv1.JobWorker, judge *RunChecker) *RunWorker {
	return &RunWorker{
		Spec: spec, Checker: judge, startedAt: time.Now(),
		running: map[jobqueue.TaskID]*workerRun{}, newestRun: map[jobqueue.TaskID]uint64{},
		endSignal: make(chan struct{}), endedAt: map[uint64]time.Time{},
	}
}

// Crash ends the worker and all that runs on it, without a word.
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

// Drain has the worker say from now on that it is about to leave.
func (w *RunWorker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
}

// Resize changes the worker's capacity while it runs.
func (w *RunWorker) Resize(cpuMilli, memoryMB int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	spec := proto.CloneOf(w.Spec)
	w.previousCapacities = append(w.previousCapacities, previousCapacity{capacityOf(spec), time.Now()})
	spec.CpuMilli, spec.MemoryMb = cpuMilli, memoryMB
	w.Spec = spec
}

// previousCapacity is what a worker had until a change.
type previousCapacity struct {
	capacity jobqueue.Resources
	until    time.Time
}

func capacityOf(spec *apiv1.JobWorker) jobqueue.Resources {
	return jobqueue.Resources{CPUMilli: spec.CpuMilli, MemoryMB: spec.MemoryMb, Accelerators: spec.Accelerators}
}

// shrinkGrace is how long after a shrinking of the capacity a call may still go by the one before.
const shrinkGrace = 3700 * time.Millisecond

// allows reports whether the worker may hold so much; its lock is held.
func (w *RunWorker) allows(used jobqueue.Resources) bool {
	return used.Fits(capacityOf(w.Spec)) || slices.ContainsFunc(w.previousCapacities, func(f previousCapacity) bool {
		return w.calledAt.Sub(f.until) < shrinkGrace && used.Fits(f.capacity)
	})
}

// Description is what the worker says of itself.
func (w *RunWorker) Description() *apiv1.JobWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	spec := proto.CloneOf(w.Spec)
	spec.Draining = w.draining
	return spec
}

// ClockMs is what the worker's clock shows.
func (w *RunWorker) ClockMs() int64 { return w.clockMs(time.Now()) }

// Running returns the tasks that are at work.
func (w *RunWorker) Running() []jobqueue.TaskID {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return slices.Collect(maps.Keys(w.running))
}

// limitDeadline brings a deadline down to the longest lease that the worker grants.
func (w *RunWorker) limitDeadline(deadlineMs int64) int64 {
	return min(deadlineMs, w.clockMs(time.Now())+maxLeaseMs)
}

func (w *RunWorker) clockMs(at time.Time) int64 {
	elapsed := at.Sub(w.startedAt).Milliseconds()
	return w.clockStart() + elapsed*(partsPerMillion-w.ClockRatePPM)/partsPerMillion
}

func (w *RunWorker) clockStart() int64 { return cmp.Or(w.ClockStartMs, defaultClockStartMs) }

// expiryTime is when the lease runs out.
func (w *RunWorker) expiryTime() time.Time {
	left := (w.deadlineMs - w.clockStart()) * partsPerMillion / (partsPerMillion - w.ClockRatePPM)
	return w.startedAt.Add(time.Duration(left) * time.Millisecond)
}

// advance ends what has ended by now; w.mu is held.
func (w *RunWorker) advance() {
	now := time.Now()
	lapse := w.expiryTime()
	if w.deadlineMs > 0 && !lapse.After(now) && !lapse.Equal(w.expiredAt) {
		w.expiredAt = lapse
		if w.Observer != nil {
			w.Observer.LeaseExpired(lapse)
		}
	}
	for task, r := range w.running {
		end := r.startedAt.Add(r.work.Duration)
		works := r.work.Duration > 0 && !end.After(now)
		lapsed := !lapse.After(now)
		switch {
		case works && (!lapsed || end.Before(lapse)):
			kind := apiv1.RunEndKind_RUN_END_KIND_DONE
			if r.work.Fails {
				kind = apiv1.RunEndKind_RUN_END_KIND_FAILED
			}
			w.end(task, r, kind, end)
		case lapsed:
			w.end(task, r, apiv1.RunEndKind_RUN_END_KIND_LAPSED, lapse)
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

// lastCheckpoint is the checkpoint of the last whole second of work.
func (r *workerRun) lastCheckpoint() string {
	worked := int(time.Since(r.startedAt).Seconds()) / checkpointIntervalSec
	if worked == 0 {
		return r.checkpoint
	}
	return fmt.Sprintf("%v@%d", r.id.Task, worked)
}

// crashFrom crashes the worker if a run is still there.
func (w *RunWorker) crashFrom(r *workerRun) {
	w.mu.Lock()
	w.advance()
	there := !w.crashed && w.running[r.id.Task] == r
	w.mu.Unlock()
	if there && w.OnCrash != nil {
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

// percent is how far a task has come, or how much of a task that lasts is at work.
func (r *workerRun) percent() uint32 {
	whole := r.work.Duration
	if r.work.LongRunning {
		whole = r.work.Startup
	}
	if whole == 0 {
		return fullPercent
	}
	return uint32(min(fullPercent, fullPercent*time.Since(r.startedAt)/whole))
}
