package jobqueue

import (
	"cmp"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// plan applies a leader's plan. The plan of a leader that has been replaced is rejected, because it
// may be based on leases that the new leader has renewed since.
func (m *Machine) plan(p *apiv1.PlanRuns, leaderTerm uint64) apiv1.JobOutcome {
	if p.Term != leaderTerm {
		return apiv1.JobOutcome_JOB_OUTCOME_STALE
	}
	if p.Learnt != nil {
		m.learned = p.Learnt
	}
	m.recordCheckpoints(p.Checkpoints)
	for _, id := range p.Lapsed {
		if w := m.Worker(id); w != nil {
			m.undoStarts(w, p.NeverSent)
			m.expireLease(w)
		}
	}
	for _, stop := range p.Stops {
		m.stopRun(stop)
	}
	for _, ref := range p.TrialsOver {
		m.endProbation(RunID{TaskIDOf(ref.Task), ref.Run}, milliseconds(ref.WorkedMs))
	}
	for i := 0; i < len(p.Starts); {
		n := m.GroupLength(p.Starts[i:])
		m.startGroup(p.Starts[i : i+n])
		i += n
	}
	return apiv1.JobOutcome_JOB_OUTCOME_OK
}

func (m *Machine) stopRun(s *apiv1.StopRun) {
	t, _ := m.task(TaskIDOf(s.Task))
	if t == nil {
		return
	}
	for _, r := range t.Runs {
		if r.ID.Number == s.Run {
			r.requestStop()
			m.stopGang(r)
		}
	}
}

// GroupLength returns the number of starts at the head of the list that must succeed together: one,
// or a whole gang.
func (m *Machine) GroupLength(starts []*apiv1.StartRun) int {
	first := TaskIDOf(starts[0].Task)
	_, s := m.task(first)
	if s == nil || !s.Spec.Gang {
		return 1
	}
	n := 1
	for n < len(starts) && first.StepID() == TaskIDOf(starts[n].Task).StepID() {
		n++
	}
	return n
}

// startGroup starts all members of a group, or none.
func (m *Machine) startGroup(starts []*apiv1.StartRun) {
	var started []*Run
	for _, start := range starts {
		r := m.startRun(start)
		if r == nil {
			break
		}
		started = append(started, r)
	}
	_, s := m.task(TaskIDOf(starts[0].Task))
	complete := len(started) == len(starts) && (s == nil || !s.Spec.Gang || len(started) == len(s.Tasks))
	if !complete {
		for _, r := range started {
			m.release(r)
		}
		return
	}
	for _, r := range started {
		t, _ := m.task(r.ID.Task)
		t.LastRun = r.ID.Number
		t.Crashes.RecordStart()
		m.setState(r.job, apiv1.JobState_JOB_STATE_RUNNING)
	}
}

// startRun assigns a run to a worker if every rule allows it; otherwise it returns nil. The caller
// records the run's number once the whole group has started.
func (m *Machine) startRun(start *apiv1.StartRun) *Run {
	id := TaskIDOf(start.Task)
	t, s := m.task(id)
	w := m.Worker(start.Worker)
	if t == nil || w == nil {
		return nil
	}
	j := m.jobs[id.Job]
	if len(m.holds) > 0 && m.QueueHeld(j.Queue.GetName()) {
		return nil // the queue was held after the plan was made
	}
	// Limits of running work are the planner's only: a start beyond a limit that was lowered after the plan
	// was made does no harm, while counting all runs of an account here would cost each replica.
	onProbation := s.NextRunOnProbation(int(id.Index))
	if !m.mayRun(j, id, s, t, start.Run) || !m.MayRunOn(j, id, s.Spec, w) || !w.probationAllows(id) {
		return nil
	}
	r := &Run{
		ID: RunID{id, start.Run}, Worker: start.Worker, Checkpoint: start.Checkpoint, Ticket: start.Ticket, OnProbation: onProbation,
		Step: s.Spec, job: j,
	}
	m.bind(r, s, t, w)
	return r
}

func (m *Machine) bind(r *Run, s *Step, t *Task, w *Worker) {
	r.worker = w
	w.Revision++
	if r.OnProbation {
		w.runsOnProbation++
	}
	if !t.Done && len(t.Runs) == 0 {
		s.scheduled++
	}
	t.Runs = append(t.Runs, r)
	w.Runs[r.ID] = r
	w.Used = w.Used.Add(Reserved(r.Step))
	r.job.liveRuns++
}

// maxDuplicateRuns bounds the concurrent runs of one task if duplicates are allowed.
const maxDuplicateRuns = 2

// mayRun validates a start against the state of the task: its step is ready, it has attempts left,
// and it does not exceed the allowed number of concurrent runs.
func (m *Machine) mayRun(j *Job, id TaskID, s *Step, t *Task, run uint64) bool {
	if !j.Open() || t.Done || run <= t.LastRun {
		return false
	}
	if !j.Occurrences[id.Occurrence].StepReady(int(id.Step)) {
		return false
	}
	if !m.AttemptsLeft(j, s.Spec, t) || m.HeldByCrashLimit(id, t) {
		return false
	}
	copies := 1
	if s.Spec.AllowDuplicates && t.Crashes.Similar() == 0 {
		copies = maxDuplicateRuns
	}
	return len(t.Runs) < copies
}

// AttemptsLeft reports whether a task may run again after its failures.
func (m *Machine) AttemptsLeft(j *Job, s *apiv1.JobStep, t *Task) bool {
	return s.LongRunning || t.Failures == 0 || t.Failures < j.maxAttempts()
}

// MayRunOn validates a start against the state of the worker: its pool, label, spread and free
// capacity, that its availability zone is not cordoned and that it is not about to leave. Memory and accelerators of runs that are being
// stopped still count as used.
func (m *Machine) MayRunOn(j *Job, id TaskID, s *apiv1.JobStep, w *Worker) bool {
	switch {
	case w.Departed || w.Spec.Draining || m.leaving[w.Spec.Id] || m.Cordoned(w.Spec.AvailabilityZone):
		return false
	case w.Spec.Pool != j.Queue.Pool:
		return false
	case !w.HasLabel(s.RequiredLabel):
		return false
	case !Reserved(s).Fits(w.Free()):
		return false
	case s.MaxPerWorker > 0 && w.StepRunCount(id.StepID()) >= int(s.MaxPerWorker):
		return false
	}
	return true
}

// CompareRunIDs orders runs by their tasks, then by their numbers.
func CompareRunIDs(a, b RunID) int {
	return cmp.Or(compareTaskIDs(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
}

func compareTaskIDs(a, b TaskID) int {
	return cmp.Or(
		cmp.Compare(a.Job, b.Job),
		cmp.Compare(a.Occurrence, b.Occurrence),
		cmp.Compare(a.Step, b.Step),
		cmp.Compare(a.Index, b.Index),
	)
}
