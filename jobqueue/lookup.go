package jobqueue

import (
	"slices"
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// QueueFor returns the queue of a host with the longest matching path prefix, or nil if there is
// none.
func (m *Machine) QueueFor(host, path string) *apiv1.JobQueue {
	var best *apiv1.JobQueue
	for _, q := range m.configuration.Queues {
		if !strings.EqualFold(q.Host, host) || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best
}

// Lookup returns a caller's job. The outcome is OK, NO_CONFIGURATION, NO_QUEUE or NO_JOB. A job is found
// by the host and path that it was submitted to, whatever queue a later configuration has there; only of a
// job that is not known does the configuration decide what the caller is told.
func (m *Machine) Lookup(host, path, id string) (*Job, apiv1.JobOutcome) {
	if j := m.JobAt(host, path, id); j != nil {
		return j, apiv1.JobOutcome_JOB_OUTCOME_OK
	}
	if q, outcome := m.queueAt(host, path); q == nil {
		return nil, outcome
	}
	return nil, apiv1.JobOutcome_JOB_OUTCOME_NO_JOB
}

// JobAt returns the job that was submitted to a host and path, or nil if it is not known.
func (m *Machine) JobAt(host, path, id string) *Job {
	if j := m.Job(id); j != nil && j.submittedTo(host, path) {
		return j
	}
	return nil
}

// submittedTo reports whether the job was submitted to a host and path.
func (j *Job) submittedTo(host, path string) bool {
	return strings.EqualFold(j.Spec.Host, host) && j.Spec.Path == path
}

func (m *Machine) queueAt(host, path string) (*apiv1.JobQueue, apiv1.JobOutcome) {
	if m.configuration.Version == 0 {
		return nil, apiv1.JobOutcome_JOB_OUTCOME_NO_CONFIGURATION
	}
	q := m.QueueFor(host, path)
	if q == nil {
		return nil, apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE
	}
	return q, apiv1.JobOutcome_JOB_OUTCOME_OK
}

// Pending returns the number of accepted jobs in the queue at a path that have not started yet. An
// ordered start does not show that the run has begun, since the worker may refuse it: hasBegun
// reports what is known of a run that has not ended.
func (m *Machine) Pending(host, path string, hasBegun func(*Run) bool) (int, apiv1.JobOutcome) {
	q, outcome := m.queueAt(host, path)
	if q == nil {
		return 0, outcome
	}
	count := 0
	for _, j := range m.active.values {
		if keyOf(j.Queue) == keyOf(q) && j.Open() && !j.Started && !j.anyRun(hasBegun) {
			count++
		}
	}
	return count, apiv1.JobOutcome_JOB_OUTCOME_OK
}

// anyRun reports whether any present run of the job satisfies a condition.
func (j *Job) anyRun(condition func(*Run) bool) bool {
	if !j.Running() {
		return false
	}
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			if slices.ContainsFunc(s.Tasks, func(t *Task) bool { return slices.ContainsFunc(t.Runs, condition) }) {
				return true
			}
		}
	}
	return false
}
