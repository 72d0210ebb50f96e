package state

import (
	"cmp"
	"slices"

	"github.com/cockroachdb/errors"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// load fills an empty machine from a snapshot and rebuilds the indexes.
func (m *Machine) load(s *apiv1.StateSnapshot) error {
	m.index = s.Index
	m.timeMs = s.TimeMs
	m.leaderTerm = s.LeaderTerm
	if s.Configuration != nil {
		m.configuration = s.Configuration
	}
	for _, svc := range m.configuration.Services {
		m.services[svc.GetName()] = svc
	}
	m.applyTeams(m.configuration.Teams)
	callerJobs, err := jobqueue.Restore(s.SubmittedJobs, s.TimeMs)
	if err != nil {
		return err
	}
	m.callerJobs = callerJobs
	if err := m.loadDirectories(s.Directories); err != nil {
		return err
	}
	if err := m.loadJobs(s.Jobs); err != nil {
		return err
	}
	if err := m.loadWorkers(s.Workers); err != nil {
		return err
	}
	if err := m.loadTasks(s.Tasks); err != nil {
		return err
	}
	for _, j := range m.jobs {
		j.countRemaining()
	}
	for _, j := range m.removedJobs {
		j.countRemaining()
	}
	for _, j := range m.jobs {
		m.requeue(j)
	}
	if err := m.loadClaims(s.Claims); err != nil {
		return err
	}
	return m.loadSubmissions(s.Submissions)
}

func (m *Machine) loadJobs(records []*apiv1.JobRecord) error {
	declared := map[string]*apiv1.Job{}
	for _, d := range m.configuration.Jobs {
		declared[d.GetName()] = d
	}
	for _, r := range records {
		j := &job{
			id:             jobID(r.Name, r.CreatedVersion),
			definition:     declared[r.Name],
			createdVersion: r.CreatedVersion,
			createdMs:      r.CreatedMs,
			canceled:       r.Canceled,
			removed:        r.Removed,
			parkedReason:   r.ParkedReason,
		}
		if j.removed {
			j.definition = r.Definition
		}
		if err := m.loadJob(j, r.Name); err != nil {
			return err
		}
	}
	if len(m.jobs) != len(declared) {
		return errors.New("a declared job has no record")
	}
	return nil
}

func (m *Machine) loadJob(j *job, name string) error {
	switch {
	case j.definition == nil || j.definition.Name != name:
		return errors.Newf("job %q has no definition", name)
	case j.removed && m.removedJobs[j.id] != nil, !j.removed && m.jobs[name] != nil:
		return errors.Newf("job %q has two records", j.id)
	case j.removed && !j.canceled:
		return errors.Newf("job %q is removed but not canceled", j.id)
	}
	if j.removed {
		m.removedJobs[j.id] = j
		m.removedCount[name]++
		return nil
	}
	m.jobs[name] = j
	m.linkDependencies(j)
	return nil
}

func (m *Machine) loadWorkers(records []*apiv1.WorkerRecord) error {
	for _, r := range records {
		if m.workers[r.Name] != nil {
			return errors.Newf("worker %q has two records", r.Name)
		}
		w := &worker{
			name:             r.Name,
			incarnation:      r.Incarnation,
			region:           r.Region,
			availabilityZone: r.AvailabilityZone,
			rack:             r.Rack,
			capacity:         ResourcesOf(r.Capacity),
			reserved:         ResourcesOf(r.Reserved),
			draining:         r.Draining,
			changedIndex:     m.index,
		}
		if w.capacity.negative() || w.reserved.negative() {
			return errors.Newf("worker %q has a negative amount", r.Name)
		}
		m.workers[r.Name] = w
	}
	return nil
}

func (m *Machine) loadTasks(records []*apiv1.TaskRecord) error {
	byID := make(map[string]*job, len(m.jobs)+len(m.removedJobs))
	for _, j := range m.jobs {
		byID[j.id] = j
	}
	for _, j := range m.removedJobs {
		byID[j.id] = j
	}
	ordered := slices.Clone(records)
	slices.SortFunc(ordered, func(a, b *apiv1.TaskRecord) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Number, b.Number))
	})
	for _, r := range ordered {
		j := byID[r.Job]
		if j == nil || int(r.Number) != len(j.tasks) || r.Task != taskID(j.id, len(j.tasks)) {
			return errors.Newf("task %q is not the next task of any job", r.Task)
		}
		if err := m.loadTask(j, r); err != nil {
			return err
		}
	}
	for _, j := range m.jobs {
		if len(j.tasks) < int(j.definition.Tasks) {
			return errors.Newf("job %q has fewer tasks than its definition", j.id)
		}
	}
	return nil
}

func (m *Machine) loadTask(j *job, r *apiv1.TaskRecord) error {
	if r.State <= apiv1.TaskState_TASK_STATE_UNSPECIFIED || int(r.State) >= taskStateCount {
		return errors.Newf("task %q is in an unknown state", r.Task)
	}
	t := &task{
		id:            r.Task,
		job:           j,
		number:        len(j.tasks),
		state:         r.State,
		attempt:       r.Attempt,
		checkpoint:    r.Checkpoint,
		failures:      r.Failures,
		evictions:     r.Evictions,
		queuedMs:      r.QueuedMs,
		grantedMs:     r.GrantedMs,
		notBeforeMs:   r.NotBeforeMs,
		lastWorker:    r.LastWorker,
		reason:        r.Reason,
		failedWorkers: r.FailedWorkers,
		queueIndex:    noIndex,
		workerIndex:   noIndex,
	}
	j.tasks = append(j.tasks, t)
	j.taskCounts[t.state]++
	m.tasks[t.id] = t
	if r.Worker == "" {
		return nil
	}
	return m.loadGrant(t, r)
}

func (m *Machine) loadGrant(t *task, r *apiv1.TaskRecord) error {
	w := m.workers[r.Worker]
	t.grant = ResourcesOf(r.Grant)
	if w == nil || t.grant.negative() {
		return errors.Newf("task %q has an invalid grant", t.id)
	}
	tm := m.teamOf(t.job)
	sum, ok := tm.granted.plus(t.grant)
	if !ok {
		return errors.Newf("task %q: grants overflow", t.id)
	}
	tm.granted = sum
	if _, ok := w.granted.plus(t.grant); !ok {
		return errors.Newf("task %q: grants overflow", t.id)
	}
	w.addGrant(t)
	return nil
}

func (m *Machine) loadClaims(records []*apiv1.ClaimRecord) error {
	var withResponse []*claim
	for _, r := range records {
		if m.claims.byKey[claimKey{r.Service, r.Key}] != nil {
			return errors.Newf("claim %q has two records", r.Key)
		}
		if r.WindowMs <= 0 || r.WindowMs > MaxClaimWindow.Milliseconds() || r.ExpiresMs > m.timeMs+r.WindowMs {
			return errors.Newf("claim %q has an invalid window", r.Key)
		}
		c := m.claims.add(r)
		if r.Response != nil {
			withResponse = append(withResponse, c)
		}
	}
	slices.SortFunc(withResponse, func(a, b *claim) int {
		return cmp.Compare(a.record.SettledIndex, b.record.SettledIndex)
	})
	m.claims.withResponse = withResponse
	m.claims.responseCount = len(withResponse)
	for _, c := range withResponse {
		m.claims.responseBytes += responseSize(c.record.Response)
	}
	return nil
}

func (m *Machine) loadSubmissions(records []*apiv1.SubmissionRecord) error {
	if len(records) > MaxSubmissions {
		return errors.Newf("%d submissions are more than are retained", len(records))
	}
	for _, r := range records {
		if r.Result == nil || m.submissions.byID[r.SubmissionId] != nil {
			return errors.Newf("submission %q has no result or has two records", r.SubmissionId)
		}
		m.submissions.add(r)
	}
	return nil
}
