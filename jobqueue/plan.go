package jobqueue

import (
	"cmp"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// plan applies what a leader decided. A leader that another one has followed may
// have decided on leases that the other renewed since: its plan is void.
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
			m.expireLease(w)
		}
	}
	for _, stop := range p.Stops {
		m.stopRun(stop)
	}
	for _, ref := range p.TrialsOver {
		m.endProbation(RunID{TaskIDOf(ref.Task), ref.Run})
	}
	for i := 0; i < len(p.Starts); {
		n := m.groupLength(p.Starts[i:])
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

// groupLength returns how many starts belong together: one, or a whole gang.
func (m *Machine) groupLength(starts []*apiv1.StartRun) int {
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

// startGroup starts all of a group or nothing.
func (m *Machine) startGroup(starts []*apiv1.StartRun) {
	var begun []*Run
	for _, start := range starts {
		r := m.startRun(start)
		if r == nil {
			break
		}
		begun = append(begun, r)
	}
	_, s := m.task(TaskIDOf(starts[0].Task))
	whole := len(begun) == len(starts) && (s == nil || !s.Spec.Gang || len(begun) == len(s.Tasks))
	if !whole {
		for _, r := range begun {
			m.release(r)
		}
		return
	}
	for _, r := range begun {
		t, _ := m.task(r.ID.Task)
		t.LastRun = r.ID.Number
		t.Crashes.recordStart()
		r.job.Started = true
		r.job.State = apiv1.JobState_JOB_STATE_RUNNING
	}
}

// startRun binds a run to a worker if every rule allows it, else it returns nil. The
// caller notes the run's number once the whole group has started.
func (m *Machine) startRun(start *apiv1.StartRun) *Run {
	id := TaskIDOf(start.Task)
	t, s := m.task(id)
	w := m.Worker(start.Worker)
	if t == nil || w == nil {
		return nil
	}
	j := m.jobs[id.Job]
	trial := s.NextRunOnProbation(int(id.Index))
	if !m.mayRun(j, id, s, t, start.Run) || !m.MayRunOn(j, id, s.Spec, w) || !w.probationAllows(id) {
		return nil
	}
	r := &Run{
		ID: RunID{id, start.Run}, Worker: start.Worker, Checkpoint: start.Checkpoint, Ticket: start.Ticket, OnProbation: trial,
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

// maxDuplicateRuns bounds the runs of one task where duplicates are allowed.
const maxDuplicateRuns = 2

// mayRun judges the task: its turn has come, it has attempts left, and no run of
// it is alive that must be the only one.
func (m *Machine) mayRun(j *Job, id TaskID, s *Step, t *Task, run uint64) bool {
	if !j.Open() || t.Done || run <= t.LastRun {
		return false
	}
	if !j.Occurrences[id.Occurrence].StepReady(int(id.Step)) {
		return false
	}
	if !m.AttemptsLeft(j, s.Spec, t) || t.Crashes.limitReached() {
		return false
	}
	copies := 1
	if s.Spec.AllowDuplicates && t.Crashes.Consecutive == 0 {
		copies = maxDuplicateRuns
	}
	return len(t.Runs) < copies
}

// AttemptsLeft reports whether a task may run once more after its failures.
func (m *Machine) AttemptsLeft(j *Job, s *apiv1.JobStep, t *Task) bool {
	return s.LongRunning || t.Failures == 0 || t.Failures < m.maxAttempts(j)
}

// MayRunOn judges the worker: its pool, label, spread and room, and that it is not
// about to leave. Memory and accelerators of what is being stopped still count.
func (m *Machine) MayRunOn(j *Job, id TaskID, s *apiv1.JobStep, w *Worker) bool {
	switch {
	case w.Departed || w.Spec.Draining || m.leaving[w.Spec.Id]:
		return false
	case w.Spec.Pool != m.QueueOf(j).Pool:
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

func compareRunIDs(a, b RunID) int {
	return cmp.Or(
		cmp.Compare(a.Task.Job, b.Task.Job),
		cmp.Compare(a.Task.Occurrence, b.Task.Occurrence),
		cmp.Compare(a.Task.Step, b.Task.Step),
		cmp.Compare(a.Task.Index, b.Task.Index),
		cmp.Compare(a.Number, b.Number),
	)
}
