package jobqueue

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/crashloop"
)

// ImmediateCrashMax is the longest time that a run has worked if its start certainly crashed the
// worker.
const ImmediateCrashMax = crashloop.ImmediateCrashMax

// UnknownMs represents an unknown bound in a RunWork message.
const UnknownMs = -1

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// NextRunOnProbation reports whether the next run of a task is on probation: until it has worked for
// some time, no task of another step starts on its worker. The run of a gang is on probation if any
// of its members is suspect.
func (s *Step) NextRunOnProbation(index int) bool {
	if !s.Spec.Gang {
		return s.Tasks[index].Crashes.Suspect()
	}
	return slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.Crashes.Suspect() })
}

// crashedRun is a run that a worker may have had when it crashed.
type crashedRun struct {
	id    RunID
	task  *Task
	crash crashloop.Crash
}

// crashedRuns returns the runs of open jobs that the crash report lists and that the worker had, or
// lost only because its lease expired.
func (m *Machine) crashedRuns(w *Worker, crash *apiv1.WorkerCrash) []crashedRun {
	var runs []crashedRun
	for _, work := range crash.Worked {
		id := RunID{TaskIDOf(work.Task), work.Run}
		run := w.Runs[id]
		t, _ := m.task(id.Task)
		if !w.HasOrLost(id) || t == nil || t.Done || !m.jobs[id.Task.Job].Open() {
			continue
		}
		c := crashloop.Crash{
			Run: id.Number, MinRuntime: milliseconds(work.WorkedMs), MaxRuntime: crashloop.UnknownRuntime, Began: work.Began,
			OnProbation: run != nil && run.OnProbation, Starts: uint32(t.LastRun - id.Number),
		}
		if work.AtMostMs >= 0 {
			c.MaxRuntime = milliseconds(work.AtMostMs)
		}
		c.RecentStart = recentlyStarted(c, t)
		runs = append(runs, crashedRun{id: id, task: t, crash: c})
	}
	return runs
}

// recentlyStarted reports whether a crash may be attributed to the run's start, or occurred during
// the run's probation.
func recentlyStarted(c crashloop.Crash, t *Task) bool {
	if c.OnProbation {
		return c.MinRuntime < t.Crashes.Probation()
	}
	return c.MinRuntime < crashloop.RecentStartMax
}

// recordCrash counts the crash of a worker against the tasks that may have caused it.
func (m *Machine) recordCrash(w *Worker, crash *apiv1.WorkerCrash) {
	if crash == nil || w.Spec.Draining {
		return
	}
	runs := m.crashedRuns(w, crash)
	event := m.addCrashEvent(w, crash, runs)
	started := map[StepID]bool{}
	for _, r := range runs {
		if r.crash.RecentStart {
			started[r.id.Task.StepID()] = true
		}
	}
	for _, r := range runs {
		r.crash.Event = event.number
		r.crash.SoleCause = r.crash.RecentStart && len(started) == 1
		r.task.Crashes.Add(r.crash)
	}
	m.excuseWeakerSuspects(event)
	m.excuseCommonCause(event)
	for _, r := range runs {
		m.failIfCrashLimitReached(r.id.Task)
	}
}

// failIfCrashLimitReached fails the job of a task that has no run and has reached its crash limit.
// While workers that may have crashed at the same moment are silent, the job is not failed yet.
func (m *Machine) failIfCrashLimitReached(id TaskID) {
	t, _ := m.task(id)
	if t == nil || t.Done || len(t.Runs) > 0 || !m.jobs[id.Job].Open() || !t.Crashes.LimitReached() && !m.startsExhausted(id) {
		return
	}
	if m.excuseExplained(id) {
		return
	}
	if due := m.verdictDueMs(t); due > m.nowMs {
		m.pendingVerdicts[id] = due
		return
	}
	m.excuseOthers(id.StepID())
	m.failJob(m.jobs[id.Job], id, apiv1.JobFailure_JOB_FAILURE_CRASHES)
}

// HeldByCrashLimit reports whether a task must not be started because its job fails, or may fail, by the
// crash limit. A task that is out of starts has not reached the limit by its history alone.
func (m *Machine) HeldByCrashLimit(id TaskID, t *Task) bool {
	_, pending := m.pendingVerdicts[id]
	return pending || t.Crashes.LimitReached()
}

// undoRefusedStart reverts a start that the worker refused, so that it never began.
func (m *Machine) undoRefusedStart(r *Run) {
	if r == nil {
		return
	}
	if t, _ := m.task(r.ID.Task); t != nil {
		t.Crashes.UndoStart(r.ID.Number)
	}
	m.release(r)
	if j := r.job; j.Open() && !j.Started && !j.Running() {
		m.setState(j, apiv1.JobState_JOB_STATE_QUEUED)
	}
}

// undoStarts reverts the starts of the given runs, which never reached the worker.
func (m *Machine) undoStarts(w *Worker, neverSent []*apiv1.RunRef) {
	for _, ref := range neverSent {
		id := RunID{TaskIDOf(ref.Task), ref.Run}
		m.undoRefusedStart(w.Runs[id])
		m.undoLostStart(w, id)
	}
}

// undoLostStart reverts a start that never began although its run was counted as lost when the worker's
// lease expired.
func (m *Machine) undoLostStart(w *Worker, id RunID) {
	if !w.lostRuns[id] {
		return
	}
	delete(w.lostRuns, id)
	if t, _ := m.task(id.Task); t != nil {
		t.Crashes.DropLost(id.Number)
		t.Crashes.UndoStart(id.Number)
	}
}

// endProbation ends the probation of a run that has worked for long enough.
func (m *Machine) endProbation(id RunID, worked time.Duration) {
	r := m.Run(id)
	if r == nil || !r.OnProbation {
		return
	}
	r.endProbation()
	t, _ := m.task(id.Task)
	t.Crashes.PassProbation(cmp.Or(worked, t.Crashes.Probation()))
}

func (r *Run) endProbation() {
	if r.OnProbation {
		r.OnProbation = false
		r.worker.runsOnProbation--
	}
}

// recordLostRun records a run that is lost because the worker's lease expired.
func (w *Worker) recordLostRun(id RunID) {
	if w.lostRuns == nil {
		w.lostRuns = map[RunID]bool{}
	}
	w.lostRuns[id] = true
}

// recordPossibleCrash counts a run that is lost with an unreachable worker until it is known whether
// that worker crashed.
func (m *Machine) recordPossibleCrash(id RunID) {
	if t, _ := m.task(id.Task); t != nil && !t.Done {
		t.Crashes.AddLost(id.Number, uint32(t.LastRun-id.Number))
	}
}

// forgetLostRuns records that a worker is reachable again, or that its end is known: its lost runs
// were not ended by a crash, unless a crash has been recorded for them.
func (m *Machine) forgetLostRuns(w *Worker) {
	for _, id := range w.LostRuns() {
		if t, _ := m.task(id.Task); t != nil {
			t.Crashes.DropLost(id.Number)
		}
	}
	w.lostRuns = nil
}

// LostRuns returns, in order, the runs that were lost when the worker's lease expired. They are
// kept until the worker reports again or departs.
func (w *Worker) LostRuns() []RunID {
	ids := make([]RunID, 0, len(w.lostRuns))
	for id := range w.lostRuns {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, CompareRunIDs)
	return ids
}

// HasOrLost reports whether the log contains a run on the worker, or lost it when the worker's lease
// expired and does not know yet what ended it.
func (w *Worker) HasOrLost(id RunID) bool { return w.Runs[id] != nil || w.lostRuns[id] }

func (w *Worker) lostRunRefs() []*apiv1.RunRef { return runRefs(w.LostRuns()) }

func runRefs(ids []RunID) []*apiv1.RunRef {
	var refs []*apiv1.RunRef
	for _, id := range ids {
		refs = append(refs, &apiv1.RunRef{Task: id.Task.Ref(), Run: id.Number})
	}
	return refs
}

// HasRunOnProbation reports whether a run on the worker is on probation.
func (w *Worker) HasRunOnProbation() bool { return w.runsOnProbation > 0 }

// probationAllows reports whether no probation on the worker prevents a start. Tasks of one step
// may be on probation together: whichever of them crashes the worker, the same job fails.
func (w *Worker) probationAllows(id TaskID) bool {
	if !w.HasRunOnProbation() {
		return true
	}
	for other, r := range w.Runs {
		if r.OnProbation && other.Task.StepID() != id.StepID() {
			return false
		}
	}
	return true
}
