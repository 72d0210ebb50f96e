package jobqueue

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/account"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Validate returns an error that describes the first problem of a configuration, or nil if it is
// valid.
func Validate(c *apiv1.QueueConfiguration) error {
	if c.GetVersion() == 0 {
		return errors.New("configuration version must be greater than 0")
	}
	pools := map[string]bool{}
	for _, p := range c.Pools {
		if p.Name == "" || pools[p.Name] {
			return errors.Newf("pool name %q is empty or duplicated", p.Name)
		}
		pools[p.Name] = true
	}
	type location struct{ host, prefix string }
	locations := map[location]bool{}
	for _, q := range c.Queues {
		at := location{strings.ToLower(q.Host), q.PathPrefix}
		switch {
		case q.Host == "" || q.PathPrefix == "":
			return errors.Newf("queue %q requires a host and a path prefix", q.Name)
		case !pools[q.Pool]:
			return errors.Newf("queue %q refers to unknown pool %q", q.Name, q.Pool)
		case locations[at]:
			return errors.Newf("queue %q has the same host and path prefix as another queue", q.Name)
		case q.TimeoutMs <= 0:
			return errors.Newf("queue %q requires a timeout greater than 0", q.Name)
		}
		locations[at] = true
		if err := validateLimits(q.Limits); err != nil {
			return errors.Wrapf(err, "queue %q", q.Name)
		}
	}
	return validateAccounts(c.Accounts)
}

// minAccountWeight and maxAccountWeight bound the weight of a client account, so that shares over weights
// stay well within the precision of the calculation.
const (
	minAccountWeight = 0.001
	maxAccountWeight = 1000
)

func validateAccounts(list []*apiv1.AccountConfiguration) error {
	names := map[string]bool{}
	for _, a := range list {
		if err := account.ValidateName(a.Name); err != nil {
			return errors.Wrapf(err, "account %q", a.Name)
		}
		if names[a.Name] {
			return errors.Newf("account %q is configured twice", a.Name)
		}
		names[a.Name] = true
		inRange := a.Weight >= minAccountWeight && a.Weight <= maxAccountWeight
		if a.Weight != 0 && !inRange { // NaN is not in the range
			return errors.Newf("account %q requires a weight from %v to %v, or 0 for 1, not %v", a.Name, minAccountWeight, maxAccountWeight, a.Weight)
		}
		if err := validateLimits(a.Limits); err != nil {
			return errors.Wrapf(err, "account %q", a.Name)
		}
	}
	return nil
}

func validateLimits(l *apiv1.WorkLimits) error {
	if l.GetCpuMilli() < 0 {
		return errors.Newf("limit cpu_milli must not be negative, it is %d", l.CpuMilli)
	}
	return nil
}

// putQueues replaces the configuration if the new version is higher. A lower or equal version is
// acknowledged without effect: it was superseded, or it is a retry after a lost acknowledgement. A
// configuration that removes the name of a held queue is refused, since no order could release the queue.
func (m *Machine) putQueues(c *apiv1.QueueConfiguration) apiv1.JobOutcome {
	if Validate(c) != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_INVALID
	}
	if c.Version > m.configuration.Version {
		renames := m.renamedQueues(c)
		if m.unnamesHeldQueue(renames) {
			return apiv1.JobOutcome_JOB_OUTCOME_HELD
		}
		m.setConfiguration(c)
		m.carryHolds(renames)
		m.updateQueuesOfJobs()
		m.failJobsWithoutAttempts()
	}
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

// failJobsWithoutAttempts fails the open jobs with a task that has already failed as often as the
// new configuration allows. Such a task gets no further run, so its job would otherwise stay open
// permanently.
func (m *Machine) failJobsWithoutAttempts() {
	for _, j := range m.Active() {
		if !j.Open() {
			continue
		}
		if task, found := m.taskWithoutAttempts(j); found {
			m.failJob(j, task, apiv1.JobFailure_JOB_FAILURE_ATTEMPTS)
		}
	}
}

// taskWithoutAttempts returns a task of the job that has no attempts left, if there is one.
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

// Pool returns a pool of the configuration, or nil if there is none.
func (m *Machine) Pool(name string) *apiv1.WorkerPool {
	for _, p := range m.configuration.Pools {
		if p.Name == name {
			return p
		}
	}
	return nil
}
