package place

import (
	"fmt"
	"slices"
	"time"
)

// Bounds of quarantine and backoff.
const (
	// failureWindow is how far back failures count.
	failureWindow = 10 * time.Minute
	// quarantineJobs is how many distinct jobs fail on a worker, with no success
	// between, before it is quarantined.
	quarantineJobs     = 3
	minQuarantine      = 2 * time.Minute
	maxQuarantine      = 10 * time.Minute
	probationSuccesses = 2
	// probationRunTime is how long a task on probation runs before that counts as a
	// success: long-running watchers would keep a worker on probation for ever.
	probationRunTime = 2 * time.Minute
	// poisonWorkers is how many distinct workers fail a job, with no success
	// between, before the job is backed off.
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

// String names the condition for operators.
func (c condition) String() string {
	switch c {
	case quarantined:
		return "quarantined"
	case probation:
		return "probation"
	}
	return "healthy"
}

// failure is one failed attempt, seen from the worker or from the job.
type failure struct {
	counterpart string
	at          time.Time
}

// workerHealth is what failures say about one worker.
type workerHealth struct {
	condition        condition
	failures         []failure // by job
	until            time.Time
	quarantineLength time.Duration
	successes        int
}

// isHealthy reports whether nothing is held against a worker, nil being one of which
// nothing is known.
func (w *workerHealth) isHealthy() bool { return w == nil || w.condition == healthy }

// jobHealth is what failures say about one job.
type jobHealth struct {
	failures      []failure // by worker
	notBefore     time.Time
	backoffLength time.Duration
	succeeded     bool
}

// health tells a worker that fails everything from a job that fails everywhere.
// Failures of distinct jobs on one worker speak against the worker; failures of
// one job on distinct workers speak against the job. A failure that is already
// explained by the one does not count against the other.
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

// loadFailures takes in the failures that the replicated state remembers. Without it
// each new leader would pay for a worker that fails everything afresh.
func (h *health) loadFailures(now time.Time, s *Snapshot) {
	for _, t := range s.Queued {
		for _, w := range t.FailedWorkers {
			h.recordFailure(now, w, t.Job)
		}
	}
}

// recordFailure takes in a failed attempt.
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

// clearJobFailures takes the failures of a poisonous job off its workers' records.
func (h *health) clearJobFailures(job string) {
	for _, w := range h.workers {
		w.failures = slices.DeleteFunc(w.failures, func(f failure) bool { return f.counterpart == job })
	}
}

// recordSuccess takes in an attempt that ended well, or ran long on probation.
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

// recordLongRun takes in that an attempt has run since a time. A long run on probation
// counts as a success; one from before the probation proves nothing.
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

// advance moves a worker whose quarantine is over to probation.
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

// prune forgets jobs whose last failure is long past.
func (h *health) prune(now time.Time) {
	for name, j := range h.jobs {
		recent := slices.ContainsFunc(j.failures, func(f failure) bool { return now.Sub(f.at) <= failureWindow })
		if !recent && now.Sub(j.notBefore) > failureWindow {
			delete(h.jobs, name)
		}
	}
}

// describe says why a worker takes nothing or little.
func (w *workerHealth) describe(now time.Time) string {
	if w.condition == quarantined {
		return fmt.Sprintf("quarantined for %v more after failures of %d jobs",
			w.until.Sub(now).Round(time.Second), distinctCounterparts(w.failures))
	}
	return fmt.Sprintf("on probation: one task at a time, %d of %d ended well", w.successes, probationSuccesses)
}
