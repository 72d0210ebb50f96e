package place

import (
	"fmt"
	"slices"
	"time"
)

// Limits of quarantine and backoff.
const (
	// failureWindow is how long a failure counts.
	failureWindow = 10 * time.Minute
	// quarantineJobs is the number of distinct jobs that fail on a worker, without a success in
	// between, at which it is quarantined.
	quarantineJobs     = 3
	minQuarantine      = 2 * time.Minute
	maxQuarantine      = 10 * time.Minute
	probationSuccesses = 2
	// probationRunTime is how long a task on probation runs before it counts as a success. Without
	// this limit, long-running watchers would keep a worker on probation indefinitely.
	probationRunTime = 2 * time.Minute
	// poisonWorkers is the number of distinct workers on which a job fails, without a success in
	// between, at which it counts as a poison job and is backed off.
	poisonWorkers = 3
	minBackoff    = 30 * time.Second
	maxBackoff    = 30 * time.Minute
	maxFailures   = 64
)

type condition int

const (
	healthy condition = iota
	quarantined
	probation
)

// String returns the name of the condition as shown to operators.
func (c condition) String() string {
	switch c {
	case quarantined:
		return "quarantined"
	case probation:
		return "probation"
	}
	return "healthy"
}

// failure is one failed attempt in the record of a worker or of a job. The counterpart is the job
// in a worker's record and the worker in a job's record.
type failure struct {
	counterpart string
	at          time.Time
}

// workerHealth is the failure record and condition of one worker.
type workerHealth struct {
	condition        condition
	failures         []failure // by job
	until            time.Time
	quarantineLength time.Duration
	successes        int
}

// isHealthy reports whether the worker may run any number of tasks. A nil worker has no record and
// is healthy.
func (w *workerHealth) isHealthy() bool { return w == nil || w.condition == healthy }

// jobHealth is the failure record and backoff of one job.
type jobHealth struct {
	failures      []failure // by worker
	notBefore     time.Time
	backoffLength time.Duration
	succeeded     bool
}

// health distinguishes workers on which every job fails from jobs that fail on every worker.
// Failures of distinct jobs on one worker count against the worker; failures of one job on
// distinct workers count against the job. A failure already attributed to the one does not count
// against the other.
type health struct {
	workers map[string]*workerHealth
	jobs    map[string]*jobHealth
}

func newHealth() *health {
	return &health{workers: make(map[string]*workerHealth), jobs: make(map[string]*jobHealth)}
}

func (h *health) worker(name string) *workerHealth {
	w := h.workers[name]
	if w == nil {
		w = &workerHealth{}
		h.workers[name] = w
	}
	return w
}

func (h *health) job(name string) *jobHealth {
	j := h.jobs[name]
	if j == nil {
		j = &jobHealth{}
		h.jobs[name] = j
	}
	return j
}

// loadFailures records the failures kept in the replicated state. Without it, each new leader
// would lose several attempts on a failing worker before quarantining it again.
func (h *health) loadFailures(now time.Time, s *Snapshot) {
	for _, t := range s.Queued {
		for _, w := range t.FailedWorkers {
			h.recordFailure(now, w, t.Job)
		}
	}
}

// recordFailure records a failed attempt.
func (h *health) recordFailure(now time.Time, worker, job string) {
	w, j := h.worker(worker), h.job(job)
	if w.condition == healthy {
		j.recordFailure(now, worker)
	}
	if j.isPoison() {
		h.clearJobFailures(job)
		return
	}
	w.recordFailure(now, job)
}

// clearJobFailures removes the failures of a poison job from the workers' records.
func (h *health) clearJobFailures(job string) {
	for _, w := range h.workers {
		w.failures = slices.DeleteFunc(w.failures, func(f failure) bool { return f.counterpart == job })
	}
}

// recordSuccess records an attempt that succeeded, or that ran for probationRunTime on probation.
func (h *health) recordSuccess(worker, job string) {
	w := h.worker(worker)
	w.failures = w.failures[:0]
	if w.condition == probation {
		w.successes++
	}
	if w.successes >= probationSuccesses {
		*w = workerHealth{}
	}
	if j := h.jobs[job]; j != nil {
		*j = jobHealth{succeeded: true}
	}
}

// recordLongRun counts an attempt that has been running since the given time as a success if it
// ran for probationRunTime on probation. An attempt from before the probation does not count.
func (h *health) recordLongRun(now time.Time, worker, job string, since time.Time) {
	w := h.workers[worker]
	if w == nil || w.condition != probation || since.Before(w.until) {
		return
	}
	if now.Sub(since) >= probationRunTime {
		h.recordSuccess(worker, job)
	}
}

func (w *workerHealth) recordFailure(now time.Time, job string) {
	w.failures = appendFailure(w.failures, now, job)
	if w.condition == probation || distinctCounterparts(w.failures) >= quarantineJobs {
		w.quarantine(now)
	}
}

func (w *workerHealth) quarantine(now time.Time) {
	if w.condition == quarantined {
		return
	}
	w.quarantineLength = min(max(2*w.quarantineLength, minQuarantine), maxQuarantine)
	w.condition = quarantined
	w.until = now.Add(w.quarantineLength)
	w.successes = 0
}

// advance moves a worker whose quarantine ended to probation.
func (w *workerHealth) advance(now time.Time) {
	if w.condition != quarantined || now.Before(w.until) {
		return
	}
	w.condition = probation
	w.failures = w.failures[:0]
}

func (j *jobHealth) recordFailure(now time.Time, worker string) {
	j.failures = appendFailure(j.failures, now, worker)
	if !j.isPoison() || now.Before(j.notBefore) {
		return
	}
	j.backoffLength = min(max(2*j.backoffLength, minBackoff), maxBackoff)
	j.notBefore = now.Add(j.backoffLength)
}

func (j *jobHealth) isPoison() bool { return distinctCounterparts(j.failures) >= poisonWorkers }

func appendFailure(list []failure, now time.Time, other string) []failure {
	list = slices.DeleteFunc(list, func(f failure) bool { return now.Sub(f.at) > failureWindow })
	if len(list) >= maxFailures {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, failure{other, now})
}

func distinctCounterparts(list []failure) int {
	n := 0
	for i, f := range list {
		repeated := slices.ContainsFunc(list[:i], func(g failure) bool { return g.counterpart == f.counterpart })
		if !repeated {
			n++
		}
	}
	return n
}

// prune removes jobs whose failures and backoff are older than failureWindow.
func (h *health) prune(now time.Time) {
	for name, j := range h.jobs {
		recent := slices.ContainsFunc(j.failures, func(f failure) bool { return now.Sub(f.at) <= failureWindow })
		if !recent && now.Sub(j.notBefore) > failureWindow {
			delete(h.jobs, name)
		}
	}
}

// describe explains to operators why a worker receives no tasks or one at a time.
func (w *workerHealth) describe(now time.Time) string {
	if w.condition == quarantined {
		return fmt.Sprintf("quarantined for another %v after failures of %d jobs",
			w.until.Sub(now).Round(time.Second), distinctCounterparts(w.failures))
	}
	return fmt.Sprintf("on probation: one task at a time, %d of %d succeeded", w.successes, probationSuccesses)
}
