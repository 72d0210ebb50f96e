package jobqueue

import (
	"strings"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Validate returns what is wrong with a configuration, nil when nothing is.
func Validate(c *apiv1.QueueConfiguration) error {
	if c.GetVersion() == 0 {
		return errors.New("a version above 0 is needed")
	}
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return errors.Newf("pool %q has no name of its own", p.Name)
		}
		pools[p.Name] = true
	}
	type place struct{ host, prefix string }
	places := map[place]bool{}
	for _, q := range c.Queues {
		at := place{strings.ToLower(q.Host), q.PathPrefix}
		switch {
		case q.Host == "" || q.PathPrefix == "":
			return errors.Newf("queue %q needs a host and a path prefix", q.Name)
		case !pools[q.Pool]:
			return errors.Newf("queue %q names the unknown pool %q", q.Name, q.Pool)
		case places[at]:
			return errors.Newf("queue %q shares its host and path prefix with another", q.Name)
		case q.TimeoutMs <= 0:
			return errors.Newf("queue %q needs a timeout above 0", q.Name)
		}
		places[at] = true
	}
	return nil
}

// putQueues takes a configuration over when its version is the highest. A lower
// or equal one is acknowledged and changes nothing: it was overtaken, or is sent
// again because its acknowledgement was lost.
func (m *Machine) putQueues(c *apiv1.QueueConfiguration) apiv1.JobOutcome {
	if Validate(c) != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_INVALID
	}
	if c.Version > m.configuration.Version {
		m.configuration = c
		m.failJobsWithoutAttempts()
	}
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

// failJobsWithoutAttempts fails the open jobs with a task that has failed as often as the configuration now
// lets it: it gets no run any more, and its job would stay open for good.
func (m *Machine) failJobsWithoutAttempts() {
	for _, j := range m.Active() {
		if !j.Open() {
			continue
		}
		if task, used := m.taskWithoutAttempts(j); used {
			m.failJob(j, task, apiv1.JobFailure_JOB_FAILURE_ATTEMPTS)
		}
	}
}

// taskWithoutAttempts returns a task of a job that has no attempts left.
func (m *Machine) taskWithoutAttempts(j *Job) (TaskID, bool) {
	for k, o := range j.Occurrences {
		for i, s := range o.Steps {
			for n, t := range s.Tasks {
				if !t.Done && !m.AttemptsLeft(j, s.Spec, t) {
					return TaskID{Job: j.ID(), Occurrence: uint32(k), Step: uint32(i), Index: uint32(n)}, true
				}
			}
		}
	}
	return TaskID{}, false
}

// QueueFor returns the queue of a host with the longest prefix of a path, nil
// when there is none.
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

// QueueOf returns a job's queue as it is configured now, or as it was when the
// job was accepted if the queue was removed since.
func (m *Machine) QueueOf(j *Job) *apiv1.JobQueue {
	for _, q := range m.configuration.Queues {
		if q.PathPrefix == j.Queue.PathPrefix && strings.EqualFold(q.Host, j.Queue.Host) {
			return q
		}
	}
	return j.Queue
}

// Pool returns a pool of the configuration, nil when there is none.
func (m *Machine) Pool(name string) *apiv1.WorkerPool {
	for _, p := range m.configuration.Pools {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// Lookup finds a caller's job. The outcome is OK, NO_CONFIGURATION, NO_QUEUE or
// NO_JOB.
func (m *Machine) Lookup(host, path, id string) (*Job, apiv1.JobOutcome) {
	q, outcome := m.queueAt(host, path)
	if q == nil {
		return nil, outcome
	}
	j := m.jobs[id]
	if j == nil || !strings.EqualFold(j.Queue.Host, q.Host) || j.Queue.PathPrefix != q.PathPrefix {
		return nil, apiv1.JobOutcome_JOB_OUTCOME_NO_JOB
	}
	return j, apiv1.JobOutcome_JOB_OUTCOME_OK
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

// Pending counts the accepted jobs of the queue at a path that wait for their
// first start.
func (m *Machine) Pending(host, path string) (int, apiv1.JobOutcome) {
	q, outcome := m.queueAt(host, path)
	if q == nil {
		return 0, outcome
	}
	count := 0
	for _, j := range m.active.values {
		same := strings.EqualFold(j.Queue.Host, q.Host) && j.Queue.PathPrefix == q.PathPrefix
		if same && j.Open() && !j.Started {
			count++
		}
	}
	return count, apiv1.JobOutcome_JOB_OUTCOME_OK
}
