package fakes

import (
	"fmt"
	"slices"
	"sync"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// RunChecker checks, from what the workers do, what must always hold of submitted
// jobs: no task runs in two places, none starts before its turn or after an end
// that was taken note of, no worker is given more than it has, and a task that crashes its
// workers is not started again and again.
type RunChecker struct {
	mu              sync.Mutex
	workers         []*RunWorker
	jobs            map[string]*apiv1.JobSpec
	finishedAt      map[jobqueue.TaskID]time.Time
	acknowledgedEnd map[jobqueue.TaskID]time.Time
	starts          map[jobqueue.TaskID][]time.Time
	// crashes are the crashes of workers under tasks.
	crashes    map[jobqueue.TaskID]*taskCrashes
	violations []string
}

// taskCrashes counts the workers that crashed under a task, and the starts of one that causes it
// since toleratedCrashes of them.
type taskCrashes struct {
	crashes, startsAfter int
	// causes: the task is what they crash of.
	causes bool
}

const (
	// toleratedCrashes is the number of crashes under a task after which its starts are counted, and
	// toleratedStarts how many of them may follow.
	toleratedCrashes = 3
	toleratedStarts  = 2
)

// NewRunChecker returns a watch that has seen nothing.
func NewRunChecker() *RunChecker {
	return &RunChecker{
		jobs: map[string]*apiv1.JobSpec{}, finishedAt: map[jobqueue.TaskID]time.Time{},
		acknowledgedEnd: map[jobqueue.TaskID]time.Time{}, starts: map[jobqueue.TaskID][]time.Time{},
		crashes: map[jobqueue.TaskID]*taskCrashes{},
	}
}

// AddJob tells the watch of a job.
func (j *RunChecker) AddJob(spec *apiv1.JobSpec) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.jobs[spec.Id] = spec
}

// Violations returns what was seen to go wrong.
func (j *RunChecker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.violations...)
}

func (j *RunChecker) addWorker(w *RunWorker) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.workers = append(j.workers, w)
}

// recordEnd takes in that a run ended, noted or not.
func (j *RunChecker) recordEnd(_ *RunWorker, id jobqueue.RunID, kind apiv1.RunEndKind, at time.Time) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if kind == apiv1.RunEndKind_RUN_END_KIND_DONE {
		j.finishedAt[id.Task] = at
	}
}

// recordCrash takes in that a worker crashed; its lock is held.
func (j *RunChecker) recordCrash(w *RunWorker) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, r := range w.running {
		c := j.crashesOf(task)
		c.crashes++
		c.causes = c.causes || r.work.CrashAfter > 0
	}
}

// CrashesDuring returns how many workers crashed under a task.
func (j *RunChecker) CrashesDuring(task jobqueue.TaskID) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.crashesOf(task).crashes
}

func (j *RunChecker) crashesOf(task jobqueue.TaskID) *taskCrashes {
	c := j.crashes[task]
	if c == nil {
		c = &taskCrashes{}
		j.crashes[task] = c
	}
	return c
}

// Crashes returns how many workers crashed under tasks that cause it.
func (j *RunChecker) Crashes() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	total := 0
	for _, c := range j.crashes {
		if c.causes {
			total += c.crashes
		}
	}
	return total
}

// Starts returns how many runs began.
func (j *RunChecker) Starts() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	total := 0
	for _, starts := range j.starts {
		total += len(starts)
	}
	return total
}

// checkCrashes counts a start of a task that crashes its workers.
func (j *RunChecker) checkCrashes(id jobqueue.RunID) {
	c := j.crashes[id.Task]
	if c == nil || !c.causes || c.crashes < toleratedCrashes {
		return
	}
	c.startsAfter++
	if c.startsAfter > toleratedStarts {
		j.addViolation("%v is start %d after %d workers crashed under the task", id, c.startsAfter, toleratedCrashes)
	}
}

// recordAcknowledgedEnd takes in that a good end of a task at some time was taken note of. No start
// may follow that end, neither before it was noted nor after.
func (j *RunChecker) recordAcknowledgedEnd(task jobqueue.TaskID, at time.Time) {
	if j == nil {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	j.acknowledgedEnd[task] = at
	for _, start := range j.starts[task] {
		if start.After(at) {
			j.addViolation("%v started at %s, after its noted end at %s", task, start.Format("05.000"), at.Format("05.000"))
		}
	}
}

// checkStart judges a start. The calling worker's lock is held; the others are asked
// beside the call, since two of them may ask each other.
func (j *RunChecker) checkStart(w *RunWorker, id jobqueue.RunID) {
	if j == nil {
		return
	}
	now := time.Now()
	j.mu.Lock()
	defer j.mu.Unlock()
	j.starts[id.Task] = append(j.starts[id.Task], now)
	spec := j.jobs[id.Task.Job]
	if spec == nil {
		j.addViolation("%v starts, which nobody submitted", id)
		return
	}
	if at, noted := j.acknowledgedEnd[id.Task]; noted && now.After(at) {
		j.addViolation("%v starts after its end was noted", id)
	}
	j.checkCrashes(id)
	j.checkStepOrder(spec, id)
	j.checkPlacement(spec, w, id)
	if used := j.reservedOn(w); !w.allows(used) {
		j.addViolation("%s runs %v of %v with %v", w.Spec.Id, used, capacityOf(w.Spec), id)
	}
	go j.checkOtherWorkers(w, id)
}

func (j *RunChecker) checkStepOrder(spec *apiv1.JobSpec, id jobqueue.RunID) {
	for _, before := range spec.Steps[id.Task.Step].After {
		step := spec.Steps[before]
		ended := uint32(0)
		for i := range step.Count {
			task := jobqueue.TaskID{Job: id.Task.Job, Occurrence: id.Task.Occurrence, Step: before, Index: i}
			if _, done := j.finishedAt[task]; done {
				ended++
			}
		}
		// The end of one member of a gang stands for all.
		if ended < step.Count && !(step.Gang && ended > 0) {
			j.addViolation("%v starts when %d of %d tasks of step %d are done", id, ended, step.Count, before)
		}
	}
}

// checkPlacement checks label, spread, due time and draining; the worker's lock is held.
func (j *RunChecker) checkPlacement(spec *apiv1.JobSpec, w *RunWorker, id jobqueue.RunID) {
	step := spec.Steps[id.Task.Step]
	if step.RequiredLabel != "" && !slices.Contains(w.Spec.Labels, step.RequiredLabel) {
		j.addViolation("%v starts on %s, which lacks the label %q", id, w.Spec.Id, step.RequiredLabel)
	}
	beside := 0
	for task, run := range w.running {
		if task.StepID() != id.Task.StepID() {
			continue
		}
		beside++
		if step.Gang && run.id.Number != id.Number {
			j.addViolation("%v starts beside run %d of its gang", id, run.id.Number)
		}
	}
	if step.MaxPerWorker > 0 && beside > int(step.MaxPerWorker) {
		j.addViolation("%d tasks of the step of %v run on %s", beside, id, w.Spec.Id)
	}
	due := time.UnixMilli(spec.StartAtMs + int64(id.Task.Occurrence)*spec.IntervalMs)
	if spec.Occurrences > 0 && time.Now().Before(due) {
		j.addViolation("%v starts %v early", id, time.Until(due))
	}
}

// checkOtherWorkers looks for a run of the same task elsewhere.
func (j *RunChecker) checkOtherWorkers(w *RunWorker, id jobqueue.RunID) {
	j.mu.Lock()
	others := append([]*RunWorker(nil), j.workers...)
	j.mu.Unlock()
	for _, other := range others {
		if other == w || !other.isRunning(id.Task) {
			continue
		}
		j.mu.Lock()
		j.addViolation("%v starts on %s while the task runs on %s", id, w.Spec.Id, other.Spec.Id)
		j.mu.Unlock()
	}
}

// addViolation notes a violation; j.mu is held.
func (j *RunChecker) addViolation(format string, args ...any) {
	j.violations = append(j.violations, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// reservedOn sums what a worker's runs take; the worker's lock is held.
func (j *RunChecker) reservedOn(w *RunWorker) jobqueue.Resources {
	var sum jobqueue.Resources
	for task := range w.running {
		if spec := j.jobs[task.Job]; spec != nil {
			sum = sum.Add(jobqueue.Reserved(spec.Steps[task.Step]))
		}
	}
	return sum
}

// isRunning reports whether the worker runs a task right now.
func (w *RunWorker) isRunning(task jobqueue.TaskID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.running[task] != nil
}
