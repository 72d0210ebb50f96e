package jobqueue

import (
	"cmp"
	"iter"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Snapshot returns the whole state as a message.
func (m *Machine) Snapshot() *apiv1.JobsSnapshot {
	out := m.SnapshotWithoutJobs()
	for r := range m.JobRecords() {
		out.Jobs = append(out.Jobs, r)
	}
	return out
}

// JobRecords returns the records of all jobs, ordered by ID. Each is built when it is asked for, because the
// records of all jobs together take more memory than the jobs.
func (m *Machine) JobRecords() iter.Seq[*apiv1.SubmittedJobRecord] {
	return func(yield func(*apiv1.SubmittedJobRecord) bool) {
		for _, id := range slices.Sorted(maps.Keys(m.jobs)) {
			if !yield(m.jobs[id].Record()) {
				return
			}
		}
	}
}

// SnapshotWithoutJobs returns the rest of the state.
func (m *Machine) SnapshotWithoutJobs() *apiv1.JobsSnapshot {
	out := &apiv1.JobsSnapshot{Configuration: m.configuration, Learnt: m.learned}
	for _, w := range m.workers.values {
		out.Workers = append(out.Workers, &apiv1.JobWorkerRecord{
			Worker: w.Spec, Acknowledged: w.Acknowledged, Departed: w.Departed, DepartedMs: w.DepartedMs,
			Epoch: w.Epoch, GivenUp: w.lostRunRefs(),
		})
	}
	for _, w := range m.Waves() {
		out.Waves = append(out.Waves, w.Record())
	}
	out.Moves, out.HostOrders = m.snapshotMoves(), m.hostOrders
	for _, e := range m.crashEvents {
		out.Crashes = append(out.Crashes, e.record())
	}
	out.Cordons, out.Holds = m.Cordons(), m.holdRecords()
	out.LastCrash, out.PendingVerdicts = m.lastCrashEvent, m.pendingVerdictRecords()
	return out
}

// Record returns the job with its tasks and runs as a message.
func (j *Job) Record() *apiv1.SubmittedJobRecord {
	r := &apiv1.SubmittedJobRecord{
		Spec: j.Spec, Queue: j.Queue, State: j.State, Started: j.Started,
		AcceptedMs: j.AcceptedMs, FinishedMs: j.FinishedMs, Failure: j.Failure, FailedRun: j.FailedRun,
		Prioritized: j.Prioritized,
	}
	if j.Failure != apiv1.JobFailure_JOB_FAILURE_UNSPECIFIED {
		r.FailedTask = j.FailedTask.Ref()
	}
	for _, o := range j.Occurrences {
		or := &apiv1.JobOccurrenceRecord{}
		for _, s := range o.Steps {
			or.Steps = append(or.Steps, s.record())
		}
		r.Occurrences = append(r.Occurrences, or)
	}
	return r
}

func (s *Step) record() *apiv1.JobStepRecord {
	r := &apiv1.JobStepRecord{FailedRun: s.failedRun}
	for _, t := range s.Tasks {
		tr := &apiv1.JobTaskRecord{Done: t.Done, Failures: t.Failures, LastRun: t.LastRun, Checkpoint: t.Checkpoint, Crashes: t.CrashRecord()}
		for _, run := range t.Runs {
			tr.Runs = append(tr.Runs, &apiv1.JobRunRecord{
				Run: run.ID.Number, Worker: run.Worker, Stopping: run.Stopping, Checkpoint: run.Checkpoint,
				Ticket: run.Ticket, OnTrial: run.OnProbation,
			})
		}
		r.Tasks = append(r.Tasks, tr)
	}
	return r
}

// Restore returns a machine with the state of a snapshot.
func Restore(s *apiv1.JobsSnapshot, nowMs int64) (*Machine, error) {
	m := New()
	m.nowMs = nowMs
	if s.GetConfiguration() != nil {
		m.setConfiguration(s.Configuration)
	}
	m.learned = s.GetLearnt()
	for _, r := range s.GetWorkers() {
		m.restoreWorker(r)
	}
	for _, r := range s.GetWaves() {
		m.restoreWave(r)
	}
	for _, v := range s.GetMoves() {
		m.moves[v.Host] = proto.CloneOf(v)
	}
	m.hostOrders = s.GetHostOrders()
	m.restoreCordons(s.GetCordons())
	m.restoreHolds(s.GetHolds())
	m.rebuildLeaving()
	slices.SortStableFunc(m.departed, func(a, b string) int {
		return cmp.Compare(m.workers.get(a).DepartedMs, m.workers.get(b).DepartedMs)
	})
	for _, r := range s.GetJobs() {
		if err := m.restoreJob(r); err != nil {
			return nil, err
		}
	}
	m.updateQueuesOfJobs() // a snapshot of an earlier release has those of when the jobs were accepted
	slices.SortFunc(m.finished, func(a, b string) int {
		return compareFinished(m.jobs[a], m.jobs[b])
	})
	m.restoreCrashes(s)
	return m, nil
}

func (m *Machine) restoreWorker(r *apiv1.JobWorkerRecord) {
	w := &Worker{
		Spec: r.Worker, Acknowledged: r.Acknowledged, Departed: r.Departed, DepartedMs: r.DepartedMs,
		Epoch: r.Epoch,
		Runs:  map[RunID]*Run{},
	}
	for _, ref := range r.GivenUp {
		w.recordLostRun(RunID{TaskIDOf(ref.Task), ref.Run})
	}
	m.workers.put(w.Spec.GetId(), w)
	if w.Departed {
		m.departed = append(m.departed, w.Spec.GetId())
		return
	}
	m.current[w.Spec.GetHost()] = w.Spec.GetId()
}

func (m *Machine) restoreJob(r *apiv1.SubmittedJobRecord) error {
	j := &Job{
		Spec: r.Spec, Queue: r.Queue, State: r.State, Started: r.Started,
		AcceptedMs: r.AcceptedMs, FinishedMs: r.FinishedMs, Failure: r.Failure, FailedRun: r.FailedRun,
		Prioritized: r.Prioritized,
	}
	if r.FailedTask != nil {
		j.FailedTask = TaskIDOf(r.FailedTask)
	}
	m.jobs[j.ID()] = j
	m.countPending(j, 1)
	for k, or := range r.Occurrences {
		if len(or.Steps) != len(j.Spec.Steps) {
			return errors.Newf("job %s has %d steps, but its record has %d", j.ID(), len(j.Spec.Steps), len(or.Steps))
		}
		o := &Occurrence{}
		j.Occurrences = append(j.Occurrences, o)
		for i, sr := range or.Steps {
			if err := m.restoreStep(j, o, k, i, sr); err != nil {
				return err
			}
		}
	}
	if !j.Open() {
		m.finished = append(m.finished, j.ID())
	}
	if j.unsubmitted() {
		m.unsubmitted++
	}
	if j.Open() || j.liveRuns > 0 {
		m.active.put(j.ID(), j)
		m.setEstimate(j, EstimateBytes(j.Spec))
	} else {
		m.setFinishedSpec(j, j.Spec)
	}
	return nil
}

func (m *Machine) restoreStep(j *Job, o *Occurrence, occurrence, number int, r *apiv1.JobStepRecord) error {
	s := &Step{Spec: j.Spec.Steps[number], failedRun: r.FailedRun}
	o.Steps = append(o.Steps, s)
	for i, tr := range r.Tasks {
		t := &Task{Done: tr.Done, Failures: tr.Failures, LastRun: tr.LastRun, Checkpoint: tr.Checkpoint, Crashes: crashHistoryOf(tr.Crashes)}
		s.Tasks = append(s.Tasks, t)
		if t.Done {
			s.done++
		}
		for _, rr := range tr.Runs {
			w := m.workers.get(rr.Worker)
			if w == nil {
				return errors.Newf("job %s has a run on unknown worker %s", j.ID(), rr.Worker)
			}
			id := TaskID{j.ID(), uint32(occurrence), uint32(number), uint32(i)}
			run := &Run{
				ID: RunID{id, rr.Run}, Worker: rr.Worker, Stopping: rr.Stopping, Checkpoint: rr.Checkpoint,
				Ticket: rr.Ticket, OnProbation: rr.OnTrial, Step: s.Spec, job: j,
			}
			m.bind(run, s, t, w)
		}
	}
	if !s.Succeeded() {
		j.openSteps++
	}
	return nil
}

func compareFinished(a, b *Job) int {
	if a.FinishedMs != b.FinishedMs {
		return int(a.FinishedMs - b.FinishedMs)
	}
	if a.ID() < b.ID() {
		return -1
	}
	return 1
}
