package jobqueue

import apiv1 "github.com/cairnlift/cairnlift/api/v1"

// Estimated sizes of the parts of a job on a control host, in bytes.
const (
	jobSize      = 512
	stepSpecSize = 208
	// occurrenceStepSize includes what the leader notes about a step that waits.
	occurrenceStepSize = 512
	// taskSize includes a run and what the leader observes of it.
	taskSize = 400
	// dataCopies is the number of copies of strings and lists: besides the one in the state, those in the
	// log, in the newest snapshot and in the one that is being written.
	dataCopies     = 4
	dependencySize = 4
)

// EstimateBytes returns the estimated memory of a job on each control host, until it is finished.
func EstimateBytes(spec *apiv1.JobSpec) int64 {
	return specBytes(spec) + taskBytes(spec)
}

// specBytes returns the part of the estimate that remains when the tasks of a finished job are discarded.
func specBytes(spec *apiv1.JobSpec) int64 {
	data := len(spec.Id) + len(spec.Host) + len(spec.Path) + len(spec.Payload) + len(spec.Account)
	for _, s := range spec.Steps {
		data += len(s.RequiredLabel) + len(s.PreferredRack) + len(s.Image) + dependencySize*len(s.After)
	}
	return jobSize + stepSpecSize*int64(len(spec.Steps)) + dataCopies*int64(data)
}

func taskBytes(spec *apiv1.JobSpec) int64 {
	var perOccurrence int64
	for _, s := range spec.Steps {
		perOccurrence += occurrenceStepSize + taskSize*int64(s.Count)
	}
	return perOccurrence * max(1, int64(spec.Occurrences))
}

// EstimatedBytes returns the estimated memory of all stored jobs.
func (m *Machine) EstimatedBytes() int64 { return m.estimatedBytes }

// setEstimate sets the estimated memory of a job.
func (m *Machine) setEstimate(j *Job, bytes int64) {
	m.estimatedBytes += bytes - j.estimatedBytes
	j.estimatedBytes = bytes
}
