package jobqueue

import (
	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/account"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// ValidateJob returns an error that describes the first problem of a job, or nil if it is valid.
func ValidateJob(spec *apiv1.JobSpec) error {
	if spec.GetId() == "" {
		return errors.New("job has no ID")
	}
	if len(spec.Steps) == 0 {
		return errors.New("job has no steps")
	}
	tasks := 0
	for i, s := range spec.Steps {
		if err := validateStep(i, s); err != nil {
			return err
		}
		tasks += int(s.Count) * max(1, int(spec.Occurrences))
		if tasks > MaxTasksPerJob {
			return errors.Newf("job has more than %d tasks", MaxTasksPerJob)
		}
	}
	if spec.Occurrences > 0 && spec.IntervalMs < 0 {
		return errors.New("interval between occurrences must not be negative")
	}
	if spec.Account != "" {
		return errors.Wrap(account.ValidateName(spec.Account), "account")
	}
	return nil
}

func validateStep(number int, s *apiv1.JobStep) error {
	switch {
	case s.Count == 0 || s.Count > MaxTasksPerJob:
		return errors.Newf("step %d must have 1 to %d tasks", number, MaxTasksPerJob)
	case s.CpuMilli < 0 || s.MemoryMb < 0 || s.Accelerators < 0 || s.EstimatedMs < 0:
		return errors.Newf("step %d has a negative resource or duration", number)
	case s.LongRunning && s.Gang:
		return errors.Newf("step %d cannot be both long-running and a gang", number)
	}
	for _, dependency := range s.After {
		if int(dependency) >= number {
			return errors.Newf("step %d depends on step %d, which is not an earlier step", number, dependency)
		}
	}
	return nil
}

// submit accepts a job. Submissions are idempotent by ID, because callers retry when a response is
// lost; an accepted job stays accepted when its queue is removed.
func (m *Machine) submit(spec *apiv1.JobSpec) apiv1.JobOutcome {
	j, outcome := m.Lookup(spec.GetHost(), spec.GetPath(), spec.GetId())
	if j != nil {
		return apiv1.JobOutcome_JOB_OUTCOME_OK
	}
	if outcome != apiv1.JobOutcome_JOB_OUTCOME_NO_JOB {
		return outcome
	}
	q := m.QueueFor(spec.Host, spec.Path)
	idTaken := m.Job(spec.Id) != nil // by a job at another path; runs are named by the ID alone
	if idTaken || ValidateJob(spec) != nil || q.PathPrefix+spec.Id != spec.Path {
		return apiv1.JobOutcome_JOB_OUTCOME_INVALID
	}
	if m.submitCanceled(spec, q) {
		return apiv1.JobOutcome_JOB_OUTCOME_OK
	}
	if len(m.jobs) >= MaxJobs {
		return apiv1.JobOutcome_JOB_OUTCOME_FULL
	}
	if outcome := m.admit(spec, q); outcome != apiv1.JobOutcome_JOB_OUTCOME_OK {
		return outcome
	}
	j = newJob(spec, q, m.nowMs)
	m.jobs[spec.Id] = j
	m.setEstimate(j, EstimateBytes(spec))
	m.countPending(j, 1)
	m.active.put(spec.Id, j)
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

func newJob(spec *apiv1.JobSpec, q *apiv1.JobQueue, nowMs int64) *Job {
	j := &Job{Spec: spec, Queue: q, State: apiv1.JobState_JOB_STATE_QUEUED, AcceptedMs: nowMs}
	for range max(1, spec.Occurrences) {
		o := &Occurrence{}
		for _, s := range spec.Steps {
			o.Steps = append(o.Steps, newStep(s))
			j.openSteps++
		}
		j.Occurrences = append(j.Occurrences, o)
	}
	return j
}

func newStep(spec *apiv1.JobStep) *Step {
	s := &Step{Spec: spec, Tasks: make([]*Task, spec.Count)}
	for i := range s.Tasks {
		s.Tasks[i] = &Task{}
	}
	return s
}

// cancel cancels an open job; canceling a canceled job has no effect. Active runs are ordered to
// stop, and their resources stay reserved until their ends are recorded.
func (m *Machine) cancel(c *apiv1.CancelJob) apiv1.JobOutcome {
	j, outcome := m.Lookup(c.GetHost(), c.GetPath(), c.GetId())
	if j == nil {
		if outcome != apiv1.JobOutcome_JOB_OUTCOME_NO_CONFIGURATION {
			m.cancelUnsubmitted(c)
		}
		return outcome
	}
	if j.State == apiv1.JobState_JOB_STATE_CANCELED {
		return apiv1.JobOutcome_JOB_OUTCOME_OK
	}
	if !j.Open() {
		return apiv1.JobOutcome_JOB_OUTCOME_NO_JOB
	}
	m.finish(j, apiv1.JobState_JOB_STATE_CANCELED)
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

// finish sets the final state of a job and stops its runs.
func (m *Machine) finish(j *Job, state apiv1.JobState) {
	m.setState(j, state)
	j.FinishedMs = m.nowMs
	m.finished = append(m.finished, j.ID())
	for _, o := range j.Occurrences {
		for _, s := range o.Steps {
			for _, t := range s.Tasks {
				stopRuns(t)
			}
		}
	}
	m.discardTasksIfFinished(j)
}

// failJob fails a job because one of its tasks cannot be completed.
func (m *Machine) failJob(j *Job, task TaskID, why apiv1.JobFailure) {
	j.Failure, j.FailedTask = why, task
	if t, _ := m.task(task); t != nil {
		j.FailedRun = t.LastRun
	}
	m.finish(j, apiv1.JobState_JOB_STATE_FAILED)
}

// discardTasksIfFinished discards the tasks and the payload of a job that is finished and has no runs.
func (m *Machine) discardTasksIfFinished(j *Job) {
	if j.Open() || j.liveRuns > 0 {
		return
	}
	m.active.remove(j.ID())
	j.Occurrences = nil
	m.setFinishedSpec(j, j.Spec)
}

// setFinishedSpec sets the specification of a job without tasks. Its payload is not passed to any run.
func (m *Machine) setFinishedSpec(j *Job, spec *apiv1.JobSpec) {
	if spec.Payload != "" {
		// The specification may be in use by readers of the state.
		spec = &apiv1.JobSpec{
			Id: spec.Id, Host: spec.Host, Path: spec.Path, Steps: spec.Steps, Occurrences: spec.Occurrences,
			StartAtMs: spec.StartAtMs, IntervalMs: spec.IntervalMs, Account: spec.Account,
		}
	}
	j.Spec = spec
	m.setEstimate(j, specBytes(spec))
}

func stopRuns(t *Task) {
	for _, r := range t.Runs {
		r.requestStop()
	}
}
