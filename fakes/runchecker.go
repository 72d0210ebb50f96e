package fakes

import (
	"fmt"
	"slices"
	"sync"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// RunChecker checks the invariants of submitted jobs against the runs of the stand-in
// workers: no task runs on two workers at the same time, none starts before the steps on
// which it depends have finished or after an end that was acknowledged, no worker's
// capacity is exceeded, and a task that crashes its workers is not started repeatedly.
type RunChecker struct {
	mu              sync.Mutex
	workers         []*RunWorker
	jobs            map[string]*apiv1.JobSpec
	finishedAt      map[jobqueue.TaskID]time.Time
	acknowledgedEnd map[jobqueue.TaskID]time.Time
	starts          map[jobqueue.TaskID][]time.Time
	// crashes counts, for each task, the crashes of workers that were running it.
	crashes map[jobqueue.TaskID]*taskCrashes
	// cordonedAt maps each cordoned availability zone to the time at which its cordon was acknowledged.
	cordonedAt map[string]time.Time
	violations []string
}

// taskCrashes counts the workers that crashed while running a task and, for a task that
// causes the crashes, its starts since toleratedCrashes of them.
type taskCrashes struct {
	crashes, startsAfter int
	// causes reports that the task itself crashes its workers.
	causes bool
}

const (
	// toleratedCrashes is the number of crashes after which the starts of a task that
	// causes them are counted, and toleratedStarts the number of starts that may follow.
	toleratedCrashes = 3
	toleratedStarts  = 2
)

// NewRunChecker returns a checker without jobs and workers.
func NewRunChecker() *RunChecker {
	return &RunChecker{
		jobs: map[string]*apiv1.JobSpec{}, finishedAt: map[jobqueue.TaskID]time.Time{},
		acknowledgedEnd: map[jobqueue.TaskID]time.Time{}, starts: map[jobqueue.TaskID][]time.Time{},
		crashes: map[jobqueue.TaskID]*taskCrashes{}, cordonedAt: map[string]time.Time{},
	}
}

// AddJob registers a submitted job.
func (rc *RunChecker) AddJob(spec *apiv1.JobSpec) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.jobs[spec.Id] = spec
}

// CordonAcknowledged records that the cordon of an availability zone has just been acknowledged, and
// CordonWithdrawn that an order to withdraw it is about to be sent.
func (rc *RunChecker) CordonAcknowledged(zone string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if _, known := rc.cordonedAt[zone]; !known {
		rc.cordonedAt[zone] = time.Now()
	}
}

// CordonWithdrawn is described at CordonAcknowledged.
func (rc *RunChecker) CordonWithdrawn(zone string) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	delete(rc.cordonedAt, zone)
}

// Violations returns the violations found so far.
func (rc *RunChecker) Violations() []string {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return append([]string(nil), rc.violations...)
}

func (rc *RunChecker) addWorker(w *RunWorker) {
	if rc == nil {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.workers = append(rc.workers, w)
}

// recordEnd records the end of a run, whether or not the leader acknowledges it.
func (rc *RunChecker) recordEnd(_ *RunWorker, id jobqueue.RunID, kind apiv1.RunEndKind, at time.Time) {
	if rc == nil {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if kind == apiv1.RunEndKind_RUN_END_KIND_DONE {
		rc.finishedAt[id.Task] = at
	}
}

// recordCrash records the crash of a worker. The caller must hold the worker's lock.
func (rc *RunChecker) recordCrash(w *RunWorker) {
	if rc == nil {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for task, r := range w.running {
		c := rc.crashesOf(task)
		c.crashes++
		c.causes = c.causes || r.work.CrashAfter > 0
	}
}

// CrashesDuring returns the number of workers that crashed while running a task.
func (rc *RunChecker) CrashesDuring(task jobqueue.TaskID) int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return rc.crashesOf(task).crashes
}

func (rc *RunChecker) crashesOf(task jobqueue.TaskID) *taskCrashes {
	c := rc.crashes[task]
	if c == nil {
		c = &taskCrashes{}
		rc.crashes[task] = c
	}
	return c
}

// Crashes returns the number of workers that crashed while running a task that causes
// crashes.
func (rc *RunChecker) Crashes() int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	total := 0
	for _, c := range rc.crashes {
		if c.causes {
			total += c.crashes
		}
	}
	return total
}

// Starts returns the number of runs started.
func (rc *RunChecker) Starts() int {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	total := 0
	for _, starts := range rc.starts {
		total += len(starts)
	}
	return total
}

// checkCrashes counts a start of a task that crashes its workers and reports one start
// too many. The caller must hold the lock.
func (rc *RunChecker) checkCrashes(id jobqueue.RunID) {
	c := rc.crashes[id.Task]
	if c == nil || !c.causes || c.crashes < toleratedCrashes {
		return
	}
	c.startsAfter++
	if c.startsAfter > toleratedStarts {
		rc.addViolation("%v is start %d after %d workers crashed while running the task", id, c.startsAfter, toleratedCrashes)
	}
}

// recordAcknowledgedEnd records that the leader acknowledged the successful end of a task
// at the given time. No start may follow that end, neither before nor after the
// acknowledgement.
func (rc *RunChecker) recordAcknowledgedEnd(task jobqueue.TaskID, at time.Time) {
	if rc == nil {
		return
	}
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.acknowledgedEnd[task] = at
	for _, start := range rc.starts[task] {
		if start.After(at) {
			rc.addViolation("%v started at %s, after its acknowledged end at %s", task, start.Format("05.000"), at.Format("05.000"))
		}
	}
}

// checkStart checks a start. The caller must hold the lock of its worker. The other
// workers are checked in a separate goroutine, since two workers that check each other
// would deadlock.
func (rc *RunChecker) checkStart(w *RunWorker, id jobqueue.RunID) {
	if rc == nil {
		return
	}
	now := time.Now()
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.starts[id.Task] = append(rc.starts[id.Task], now)
	spec := rc.jobs[id.Task.Job]
	if spec == nil {
		rc.addViolation("%v starts, but its job was not submitted", id)
		return
	}
	if at, acknowledged := rc.acknowledgedEnd[id.Task]; acknowledged && now.After(at) {
		rc.addViolation("%v starts after its end was acknowledged", id)
	}
	rc.checkCrashes(id)
	rc.checkCordon(w, id)
	rc.checkDrain(w, id)
	rc.checkStepOrder(spec, id)
	rc.checkPlacement(spec, w, id)
	if used := rc.reservedOn(w); !w.allows(used) {
		rc.addViolation("worker %s: its runs reserve %v of its capacity %v after the start of %v", w.Spec.Id, used, capacityOf(w.Spec), id)
	}
	go rc.checkOtherWorkers(w, id)
}

// cordonGrace is how long after the acknowledgement of a cordon a call may still start a run.
const cordonGrace = 5 * time.Second

// checkCordon checks that a call which arrives long after a cordon starts nothing. The caller must hold
// the worker's lock.
func (rc *RunChecker) checkCordon(w *RunWorker, id jobqueue.RunID) {
	zone := w.Spec.AvailabilityZone
	if at, cordoned := rc.cordonedAt[zone]; cordoned && w.calledAt.Sub(at) > cordonGrace {
		rc.addViolation("%v starts on %s, called %v after the cordon of %s", id, w.Spec.Id, w.calledAt.Sub(at), zone)
	}
}

// drainGrace is how long after the acknowledgement of a drain a call may still start a run.
const drainGrace = 2 * time.Second

// checkDrain checks that a call which arrives long after a drain starts nothing. The caller must hold the
// worker's lock.
func (rc *RunChecker) checkDrain(w *RunWorker, id jobqueue.RunID) {
	if at := w.drainAcknowledgedAt; !at.IsZero() && w.calledAt.Sub(at) > drainGrace {
		rc.addViolation("%v starts on %s, called %v after its agent acknowledged that it drains", id, w.Spec.Id, w.calledAt.Sub(at))
	}
}

func (rc *RunChecker) checkStepOrder(spec *apiv1.JobSpec, id jobqueue.RunID) {
	for _, before := range spec.Steps[id.Task.Step].After {
		step := spec.Steps[before]
		ended := uint32(0)
		for i := range step.Count {
			task := jobqueue.TaskID{Job: id.Task.Job, Occurrence: id.Task.Occurrence, Step: before, Index: i}
			if _, done := rc.finishedAt[task]; done {
				ended++
			}
		}
		// A gang has finished if one of its members has.
		if ended < step.Count && !(step.Gang && ended > 0) {
			rc.addViolation("%v starts when only %d of %d tasks of step %d have finished", id, ended, step.Count, before)
		}
	}
}

// checkPlacement checks the required label, the run of a gang, the limit per worker and
// the start time. The caller must hold the worker's lock.
func (rc *RunChecker) checkPlacement(spec *apiv1.JobSpec, w *RunWorker, id jobqueue.RunID) {
	step := spec.Steps[id.Task.Step]
	if step.RequiredLabel != "" && !slices.Contains(w.Spec.Labels, step.RequiredLabel) {
		rc.addViolation("%v starts on %s, which lacks the label %q", id, w.Spec.Id, step.RequiredLabel)
	}
	beside := 0
	for task, run := range w.running {
		if task.StepID() != id.Task.StepID() {
			continue
		}
		beside++
		if step.Gang && run.id.Number != id.Number {
			rc.addViolation("%v starts on the worker of run %d of its gang", id, run.id.Number)
		}
	}
	if step.MaxPerWorker > 0 && beside > int(step.MaxPerWorker) {
		rc.addViolation("%d tasks of the step of %v run on %s, more than its limit per worker", beside, id, w.Spec.Id)
	}
	due := time.UnixMilli(spec.StartAtMs + int64(id.Task.Occurrence)*spec.IntervalMs)
	if spec.Occurrences > 0 && time.Now().Before(due) {
		rc.addViolation("%v starts %v before its start time", id, time.Until(due))
	}
}

// checkOtherWorkers checks that no other worker runs the same task.
func (rc *RunChecker) checkOtherWorkers(w *RunWorker, id jobqueue.RunID) {
	rc.mu.Lock()
	others := append([]*RunWorker(nil), rc.workers...)
	rc.mu.Unlock()
	for _, other := range others {
		if other == w || !other.isRunning(id.Task) {
			continue
		}
		rc.mu.Lock()
		rc.addViolation("%v starts on %s while the task runs on %s", id, w.Spec.Id, other.Spec.Id)
		rc.mu.Unlock()
	}
}

// addViolation records a violation. The caller must hold rc.mu.
func (rc *RunChecker) addViolation(format string, args ...any) {
	rc.violations = append(rc.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// reservedOn returns the sum of the resources reserved for the runs on a worker. The
// caller must hold the worker's lock and rc.mu.
func (rc *RunChecker) reservedOn(w *RunWorker) jobqueue.Resources {
	var sum jobqueue.Resources
	for task := range w.running {
		if spec := rc.jobs[task.Job]; spec != nil {
			sum = sum.Add(jobqueue.Reserved(spec.Steps[task.Step]))
		}
	}
	return sum
}

// hasCapacityFor reports whether the worker has the capacity for one more task; only its checker
// knows that. The caller must hold the worker's lock.
func (w *RunWorker) hasCapacityFor(task jobqueue.TaskID) bool {
	if w.Checker == nil {
		return true
	}
	w.Checker.mu.Lock()
	defer w.Checker.mu.Unlock()
	used := w.Checker.reservedOn(w)
	if spec := w.Checker.jobs[task.Job]; spec != nil {
		used = used.Add(jobqueue.Reserved(spec.Steps[task.Step]))
	}
	return used.Fits(capacityOf(w.Spec))
}

// isRunning reports whether the worker currently runs a task.
func (w *RunWorker) isRunning(task jobqueue.TaskID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.running[task] != nil
}
