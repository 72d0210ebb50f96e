package jobqueue

import (
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
)

// report records an agent's report about its worker.
func (m *Machine) report(r *apiv1.ReportWorker) apiv1.JobOutcome {
	spec := r.GetWorker()
	if spec.GetId() == "" || spec.GetHost() == "" {
		return apiv1.JobOutcome_JOB_OUTCOME_INVALID
	}
	m.forgetUnknownDeparture(r)
	if known := m.workers.get(spec.Id); known != nil && known.Departed {
		// This is a delayed message from a previous incarnation.
		return apiv1.JobOutcome_JOB_OUTCOME_STALE
	} else if (r.Departed || r.Lapsed) && !m.MayEnd(spec) {
		return apiv1.JobOutcome_JOB_OUTCOME_STALE
	} else if known == nil && r.Departed {
		m.recordUnknownDeparture(spec)
		return apiv1.JobOutcome_JOB_OUTCOME_OK
	} else if known == nil && r.Replaces != nil && m.current[spec.Host] != r.GetReplaces() {
		// Another incarnation was recorded while this report was being committed. Which of the two
		// is newer has to be decided again.
		return apiv1.JobOutcome_JOB_OUTCOME_STALE
	}
	m.recordCheckpoints(r.Checkpoints)
	w := m.upsertWorker(r)
	for _, refusal := range r.Refusals {
		m.undoLostStart(w, RunID{TaskIDOf(refusal.Task), refusal.Run})
	}
	if !r.Departed {
		m.forgetLostRuns(w)
	}
	m.recordEnds(w, r.Ends)
	for _, refusal := range r.Refusals {
		m.undoRefusedStart(w.Runs[RunID{TaskIDOf(refusal.Task), refusal.Run}])
	}
	if r.Lapsed {
		m.expireLease(w)
	}
	if r.Departed {
		m.endIncarnation(w, r.Crash)
	}
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

// MayEnd reports whether the agent that describes a worker may report that it, or its lease, has ended. A
// worker that is known ends by the agent of its own host only: an agent elsewhere knows of it by a message
// of another program, and that the worker of its host is another one proves nothing.
func (m *Machine) MayEnd(reported *apiv1.JobWorker) bool {
	w := m.Worker(reported.GetId())
	return w == nil || w.Spec.Host == reported.GetHost()
}

// upsertWorker adds the worker of a report or updates its description. A new incarnation on a host ends
// the previous one, because the two cannot be there together.
func (m *Machine) upsertWorker(r *apiv1.ReportWorker) *Worker {
	spec := r.Worker
	if w := m.workers.get(spec.Id); w != nil {
		// A drain is never revoked within an incarnation, which stays in its pool: where the report names
		// another pool, the former description was another program's.
		draining := spec.Draining || w.Spec.Draining && w.Spec.Pool == spec.Pool
		spec.Host = m.setHost(w, spec.Host)
		w.Spec = spec
		w.Spec.Draining = draining
		return w
	}
	if previous := m.workers.get(m.current[spec.Host]); previous != nil {
		m.recordEnds(previous, r.ReplacedEnds)
		m.undoStarts(previous, r.NeverSent)
		m.endIncarnation(previous, r.Crash)
	}
	w := &Worker{Spec: spec, Epoch: firstEpoch, Runs: map[RunID]*Run{}}
	m.workers.put(spec.Id, w)
	m.current[spec.Host] = spec.Id
	m.updateMoveWorker(w)
	return w
}

// setHost records that the agent of a host serves a worker, and returns the host on which the worker
// counts from now on. While another worker counts on the reported host, the worker keeps its former
// one, since there is one worker on a host.
func (m *Machine) setHost(w *Worker, host string) string {
	if host == w.Spec.Host || m.WorkerOnHost(host) != nil {
		return w.Spec.Host
	}
	delete(m.current, w.Spec.Host)
	m.current[host] = w.Spec.Id
	return host
}

// recordUnknownDeparture records that an unknown worker has left, so that a delayed report of the same host
// does not add it. The worker on its host is kept. Otherwise, if a newly started agent receives an
// incarnation that another program made up, finds that it does not exist and reports this, the
// report would end the worker that does exist: its tasks would keep running and also start
// elsewhere.
func (m *Machine) recordUnknownDeparture(spec *apiv1.JobWorker) {
	w := &Worker{Spec: spec, Epoch: unknownEpoch, Runs: map[RunID]*Run{}}
	m.workers.put(spec.Id, w)
	m.endIncarnation(w, nil)
}

// forgetUnknownDeparture forgets that a worker which was not known has left, if the agent of another host
// reports that it works: the agent that reported the departure knew the worker by a message of another program
// only.
func (m *Machine) forgetUnknownDeparture(r *apiv1.ReportWorker) {
	w := m.workers.get(r.Worker.Id)
	if w == nil || !w.Departed || w.Epoch != unknownEpoch || w.Spec.Host == r.Worker.Host || r.Departed || r.Lapsed {
		return
	}
	m.workers.remove(w.Spec.Id)
	m.departed = slices.DeleteFunc(m.departed, func(id string) bool { return id == w.Spec.Id })
}

// unknownEpoch is the epoch of a worker that left before it was known.
const unknownEpoch = 0

// firstEpoch is the epoch of a worker whose lease never expired; 0 means no epoch.
const firstEpoch = 1

// endIncarnation ends a worker's incarnation and all its runs. crash is nil if the worker left with
// notice.
func (m *Machine) endIncarnation(w *Worker, crash *apiv1.WorkerCrash) {
	if w.Departed {
		return
	}
	m.recordCrash(w, crash)
	m.releaseLostRuns(w)
	m.forgetLostRuns(w)
	w.Departed = true
	w.DepartedMs = m.nowMs
	m.departed = append(m.departed, w.Spec.Id)
	if m.current[w.Spec.Host] == w.Spec.Id {
		delete(m.current, w.Spec.Host)
	}
}

// expireLease releases the runs of a worker whose lease has certainly expired.
func (m *Machine) expireLease(w *Worker) {
	for _, id := range w.SortedRunIDs() {
		w.recordLostRun(id)
		m.recordPossibleCrash(id)
	}
	m.releaseLostRuns(w)
	w.Epoch++
}

// releaseLostRuns releases all runs of a worker although their ends were not reported.
func (m *Machine) releaseLostRuns(w *Worker) {
	for _, id := range w.SortedRunIDs() {
		r := w.Runs[id]
		m.release(r)
		m.stopGang(r)
		m.failIfCrashLimitReached(r.ID.Task)
	}
}

// recordCheckpoints stores the progress of runs, so that their tasks can resume if the runs are
// lost.
func (m *Machine) recordCheckpoints(list []*apiv1.RunCheckpoint) {
	for _, c := range list {
		id := TaskIDOf(c.Task)
		if t, s := m.task(id); t != nil && t.LastRun == c.Run {
			m.jobs[id.Job].Started = true
			s.setCheckpoint(t, c.Checkpoint)
		}
	}
}

// setCheckpoint sets the checkpoint from which the next run resumes. A checkpoint of one member of
// a gang applies to all members.
func (s *Step) setCheckpoint(t *Task, checkpoint string) {
	if checkpoint == "" || t.Done {
		return
	}
	if !s.Spec.Gang {
		t.Checkpoint = checkpoint
		return
	}
	for _, member := range s.Tasks {
		member.Checkpoint = checkpoint
	}
}

// task returns a task and its step, or nil if there is no such task or its job no longer stores its
// tasks.
func (m *Machine) task(id TaskID) (*Task, *Step) {
	j := m.jobs[id.Job]
	if j == nil || int(id.Occurrence) >= len(j.Occurrences) {
		return nil, nil
	}
	o := j.Occurrences[id.Occurrence]
	if int(id.Step) >= len(o.Steps) {
		return nil, nil
	}
	s := o.Steps[id.Step]
	if int(id.Index) >= len(s.Tasks) {
		return nil, nil
	}
	return s.Tasks[id.Index], s
}

// recordEnds records the ends of a worker's runs that the log does not contain yet.
func (m *Machine) recordEnds(w *Worker, ends []*apiv1.RunEnd) {
	for _, end := range ends {
		if end.Sequence > w.Acknowledged {
			w.Acknowledged = end.Sequence
			m.recordEnd(w, end)
		}
	}
}

// recordEnd records the end of a run that a worker reported. The end of a lost run still counts: a
// success completes the task unless the task is already running again, and a failure uses up an
// attempt.
func (m *Machine) recordEnd(w *Worker, e *apiv1.RunEnd) {
	id := RunID{TaskIDOf(e.Task), e.Run}
	run := w.Runs[id]
	t, s := m.task(id.Task)
	if t == nil {
		m.release(run)
		return
	}
	j := m.jobs[id.Task.Job]
	j.Started = true
	if run != nil || e.Run == t.LastRun {
		s.setCheckpoint(t, e.Checkpoint)
	}
	m.release(run)
	if !j.Open() {
		return
	}
	switch e.Kind {
	case apiv1.RunEndKind_RUN_END_KIND_DONE:
		m.completeTask(j, s, t, run != nil)
	case apiv1.RunEndKind_RUN_END_KIND_FAILED:
		if run != nil { // a run that ends by itself did not crash its worker
			t.Crashes = crashloop.History{}
		}
		m.recordTaskFailure(j, s, t, id)
	}
	if run != nil && e.Kind != apiv1.RunEndKind_RUN_END_KIND_DONE {
		m.stopGang(run)
		m.failIfCrashLimitReached(run.ID.Task)
	}
}

// completeTask marks a task, or its whole gang, as succeeded. live reports whether the run that
// ended was counted as running.
func (m *Machine) completeTask(j *Job, s *Step, t *Task, live bool) {
	if s.Spec.LongRunning || t.Done {
		return
	}
	if !live && len(t.Runs) > 0 && !s.Spec.AllowDuplicates {
		return
	}
	if !s.Spec.Gang {
		s.markDone(t)
	} else {
		for _, member := range s.Tasks {
			s.markDone(member)
		}
	}
	if !s.Succeeded() {
		return
	}
	j.openSteps--
	if j.openSteps == 0 {
		m.finish(j, apiv1.JobState_JOB_STATE_SUCCEEDED)
	}
}

func (s *Step) markDone(t *Task) {
	if t.Done {
		return
	}
	t.Done = true
	if len(t.Runs) > 0 {
		s.scheduled--
	}
	t.Checkpoint = ""
	s.done++
	stopRuns(t)
}

// recordTaskFailure uses up an attempt of a task, or of its whole gang.
func (m *Machine) recordTaskFailure(j *Job, s *Step, t *Task, id RunID) {
	if s.Spec.LongRunning || t.Done {
		return
	}
	failures := m.countFailure(s, t, id.Number)
	if failures >= j.maxAttempts() {
		m.failJob(j, id.Task, apiv1.JobFailure_JOB_FAILURE_ATTEMPTS)
	}
}

func (m *Machine) countFailure(s *Step, t *Task, run uint64) uint32 {
	if !s.Spec.Gang {
		t.Failures++
		return t.Failures
	}
	// Each failing member of a gang reports its own end; the gang's run is counted once.
	if run > s.failedRun {
		s.failedRun = run
		for _, member := range s.Tasks {
			member.Failures++
		}
	}
	return t.Failures
}

func (j *Job) maxAttempts() uint32 { return max(1, j.Queue.MaxAttempts) }

// stopGang stops the other members of a gang after the run of one member ended.
func (m *Machine) stopGang(r *Run) {
	if !r.Step.Gang || len(r.job.Occurrences) == 0 {
		return
	}
	s := r.job.Occurrences[r.ID.Task.Occurrence].Steps[r.ID.Task.Step]
	for _, member := range s.Tasks {
		for _, other := range member.Runs {
			if other.ID.Number == r.ID.Number {
				other.requestStop()
			}
		}
	}
}

// release frees the resources that a run reserves. It ignores a nil run.
func (m *Machine) release(r *Run) {
	if r == nil {
		return
	}
	w := r.worker
	delete(w.Runs, r.ID)
	r.endProbation()
	w.Revision++
	w.Used = w.Used.Sub(Reserved(r.Step))
	if t, s := m.task(r.ID.Task); t != nil {
		t.Runs = slices.DeleteFunc(t.Runs, func(other *Run) bool { return other == r })
		if !t.Done && len(t.Runs) == 0 {
			s.scheduled--
		}
	}
	r.job.liveRuns--
	m.discardTasksIfFinished(r.job)
}
