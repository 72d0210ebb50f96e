package jobqueue

import (
	"slices"
	"strings"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// maxUnsubmitted bounds the number of jobs of which only a cancel has arrived.
const maxUnsubmitted = 10_000

// unsubmitted reports whether only a cancel of the job has arrived. The job is recorded without steps,
// which no submitted job is.
func (j *Job) unsubmitted() bool { return len(j.Spec.Steps) == 0 }

// cancelUnsubmitted records the cancel of a job that is not known, so that a submission that is still in
// the network does not start the job: its caller was told that there is none. The queue of the path does not
// matter, because a later configuration may accept the submission.
func (m *Machine) cancelUnsubmitted(c *apiv1.CancelJob) {
	isJobPath := c.Id != "" && strings.HasSuffix(c.Path, c.Id)
	if m.jobs[c.Id] != nil || !isJobPath || m.unsubmitted >= maxUnsubmitted || len(m.jobs) >= MaxJobs {
		return
	}
	j := &Job{Spec: &apiv1.JobSpec{Id: c.Id, Host: c.Host, Path: c.Path}}
	m.jobs[c.Id] = j
	m.unsubmitted++
	m.finish(j, apiv1.JobState_JOB_STATE_CANCELED)
}

// submitCanceled records the submission of a job whose cancel has arrived before, and reports whether
// that was so. A cancel under another host or path is about another job, which is forgotten.
func (m *Machine) submitCanceled(spec *apiv1.JobSpec, q *apiv1.JobQueue) bool {
	j := m.jobs[spec.Id]
	if j == nil {
		return false
	}
	m.unsubmitted--
	if !j.submittedTo(spec.Host, spec.Path) {
		m.setEstimate(j, 0)
		delete(m.jobs, spec.Id)
		m.finished = slices.DeleteFunc(m.finished, func(id string) bool { return id == spec.Id })
		return false
	}
	j.Queue, j.AcceptedMs = q, m.nowMs
	m.setFinishedSpec(j, spec)
	return true
}
