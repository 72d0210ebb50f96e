package jobqueue

import (
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// setConfiguration replaces the configuration.
func (m *Machine) setConfiguration(c *apiv1.QueueConfiguration) {
	m.configuration = c
	m.accounts = make(map[string]*apiv1.AccountConfiguration, len(c.Accounts))
	for _, a := range c.Accounts {
		m.accounts[a.Name] = a
	}
}

// AccountConfiguration returns the configuration of a client account, nil if it has none: weight 1 and no
// limits. The caller must not modify it.
func (m *Machine) AccountConfiguration(name string) *apiv1.AccountConfiguration {
	return m.accounts[name]
}

// AccountWeight returns the weight of a client account under contention, greater than 0.
func (m *Machine) AccountWeight(name string) float64 {
	if a := m.AccountConfiguration(name); a.GetWeight() > 0 {
		return a.Weight
	}
	return 1
}

// Account returns the client account that submitted the job, empty if none is known.
func (j *Job) Account() string { return j.Spec.Account }

// queueKey identifies a queue by its location, which is the identity of a queue across versions of the
// configuration.
type queueKey struct{ host, prefix string }

func keyOf(q *apiv1.JobQueue) queueKey {
	return queueKey{strings.ToLower(q.GetHost()), q.GetPathPrefix()}
}

// pending reports whether the job was accepted and none of its tasks has started.
func (j *Job) pending() bool { return j.State == apiv1.JobState_JOB_STATE_QUEUED }

// setState changes the state of a job and keeps the counters of pending jobs up to date.
func (m *Machine) setState(j *Job, state apiv1.JobState) {
	m.countPending(j, -1)
	j.State = state
	m.countPending(j, 1)
}

// countPending adds a number to the counters of a job if it is pending.
func (m *Machine) countPending(j *Job, n int) {
	if !j.pending() {
		return
	}
	addCount(m.pendingByAccount, j.Account(), n)
	addCount(m.pendingByQueue, keyOf(j.Queue), n)
}

// addCount adds to a counter and removes it once it is 0.
func addCount[K comparable](counts map[K]int, key K, n int) {
	counts[key] += n
	if counts[key] == 0 {
		delete(counts, key)
	}
}

// PendingJobsOf returns the number of accepted jobs of a client account that have not started. A start
// that was ordered counts, unless its worker refused it.
func (m *Machine) PendingJobsOf(account string) int { return m.pendingByAccount[account] }

// PendingJobsOfQueue returns the same number for a queue.
func (m *Machine) PendingJobsOfQueue(q *apiv1.JobQueue) int { return m.pendingByQueue[keyOf(q)] }

// admit decides whether a job that is not known yet is accepted: its queue is not held with the option to
// refuse jobs, and neither its account nor its queue has reached its limit of pending jobs. Jobs without
// an account have no limit of an account.
func (m *Machine) admit(spec *apiv1.JobSpec, q *apiv1.JobQueue) apiv1.JobOutcome {
	limit := func(l *apiv1.WorkLimits, pending int) bool {
		return l.GetPendingJobs() > 0 && pending >= int(l.PendingJobs)
	}
	switch {
	case q.RefuseWhileHeld && m.QueueHeld(q.Name):
		return apiv1.JobOutcome_JOB_OUTCOME_HELD
	case limit(m.AccountConfiguration(spec.Account).GetLimits(), m.PendingJobsOf(spec.Account)),
		limit(q.Limits, m.PendingJobsOfQueue(q)):
		return apiv1.JobOutcome_JOB_OUTCOME_OVER_LIMIT
	}
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

// prioritize puts an open job before the others of its priority, or withdraws that. A repeated order has
// no further effect.
func (m *Machine) prioritize(p *apiv1.PrioritizeJob) apiv1.JobOutcome {
	j := m.Job(p.GetId())
	if j == nil || !j.Open() {
		return apiv1.JobOutcome_JOB_OUTCOME_NO_JOB
	}
	j.Prioritized = p.Prioritized
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

// Prioritized returns the open jobs that an operator put before the others of their priority, ordered by
// ID.
func (m *Machine) Prioritized() []*Job { return m.FirstPrioritized(len(m.active.values)) }

// FirstPrioritized returns the first of these jobs, at most the given number.
func (m *Machine) FirstPrioritized(most int) []*Job {
	var jobs []*Job
	for _, j := range m.active.values {
		if len(jobs) >= most {
			break
		}
		if j.Prioritized && j.Open() {
			jobs = append(jobs, j)
		}
	}
	return jobs
}
