package jobqueue

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Crashes records the worker crashes that a task may have caused. It is not possible to see which
// of its runs crashed a worker, so the next run of each task that may have caused the crash is on
// probation: no task of another step starts on its worker until the run has worked for Probation.
type Crashes struct {
	// Consecutive counts consecutive similar crashes: there is a runtime between MinRuntime and
	// MaxRuntime after which each of the runs may have crashed its worker.
	Consecutive            uint32
	MinRuntime, MaxRuntime time.Duration
	// UnknownRuntime is set if there was another crash for which it is not known how long the run
	// had worked.
	UnknownRuntime bool
	// SoleCause counts the crashes, since the last passed probation, that coincided with the start
	// of the task's run and with no start of another step.
	SoleCause uint32
	// Starts counts the starts since the total number of crashes reached repeatedCrashes.
	Starts uint32
	// Suspect is set if the next run is on probation.
	Suspect bool
}

const (
	// ImmediateCrashMax is the longest time that a run has worked if its start certainly crashed
	// the worker, provided that nothing else had just started.
	ImmediateCrashMax = 100 * time.Millisecond
	// RecentStartMax is the longest time that a run has worked if its start may have crashed the
	// worker.
	RecentStartMax = 500 * time.Millisecond
	// maxBlameRuntime is the time that a run has worked from which on a crash of its worker is not
	// attributed to it.
	maxBlameRuntime = 10 * time.Second
	// similarityPercent, a percentage of the runtime, and similarityMargin are the tolerance within
	// which the runtimes of two runs that crash their workers count as similar.
	similarityPercent = 10
	similarityMargin  = 20 * time.Millisecond
	percent           = 100
	// maxSoleCauseCrashes is the number of crashes after which a task fails its job if each crash
	// occurred immediately after the start of the task and of no task of another step.
	maxSoleCauseCrashes = 2
	// repeatedCrashes is the number of consecutive crashes after which the starts of a task are
	// counted, and maxStartsAfterRepeatedCrashes the number of starts that may follow.
	// repeatedCrashes is one crash less than callers allow, since one crash may go unobserved.
	repeatedCrashes               = 2
	maxStartsAfterRepeatedCrashes = 2
)

// UnknownMs represents an unknown bound in a RunWork message.
const UnknownMs = -1

// Probation returns how long a run must work to pass its probation. After repeated crashes, this
// covers every runtime after which those crashes may have occurred, up to maxBlameRuntime.
func (c *Crashes) Probation() time.Duration {
	if c.total() < repeatedCrashes {
		return RecentStartMax
	}
	return min(maxBlameRuntime, max(RecentStartMax, c.MaxRuntime))
}

// passProbation records that a run on probation has worked for Probation.
func (c *Crashes) passProbation() {
	if c.total() >= repeatedCrashes {
		*c = Crashes{}
		return
	}
	c.SoleCause, c.Suspect = 0, false
}

// recordStart counts a start of the task.
func (c *Crashes) recordStart() {
	if c.total() >= repeatedCrashes {
		c.Starts++
	}
}

// limitReached reports whether the task has reached its crash limit and must not be started again.
func (c *Crashes) limitReached() bool {
	return c.SoleCause >= maxSoleCauseCrashes || c.total() >= repeatedCrashes && c.Starts >= maxStartsAfterRepeatedCrashes
}

// add records a crash of a worker that had a run of the task. sole reports whether no other step
// had just started on the worker. startsSince is the number of starts of the task since that run: a
// crash may become known only after the run was lost.
func (c *Crashes) add(i crashedRun, sole bool, startsSince uint32) {
	if i.minRuntime >= maxBlameRuntime || c.Consecutive > 0 && i.minRuntime > c.MaxRuntime {
		*c = Crashes{}
	}
	if i.minRuntime >= maxBlameRuntime {
		return
	}
	before := c.total()
	c.extendSequence(i)
	if before < repeatedCrashes && c.total() >= repeatedCrashes {
		c.Starts = startsSince
	}
	if sole && i.crashedImmediately() {
		c.SoleCause++
	}
	switch {
	case c.Consecutive > 1:
		c.Suspect = true
	case i.runtimeKnown():
		c.Suspect = i.recentlyStarted()
	}
}

// extendSequence adds a crash to the sequence of similar crashes, or starts a new sequence with it.
func (c *Crashes) extendSequence(i crashedRun) {
	switch {
	case !i.runtimeKnown() && i.onProbation && c.Consecutive > 0:
		c.Consecutive++
		return
	case !i.runtimeKnown():
		c.UnknownRuntime = true
		return
	}
	least, most := i.crashWindow()
	switch {
	case c.Consecutive == 0:
		c.MinRuntime, c.MaxRuntime = least, most
	case most < c.MinRuntime:
		*c = Crashes{MinRuntime: least, MaxRuntime: most}
	}
	c.Consecutive++
	c.MinRuntime, c.MaxRuntime = max(c.MinRuntime, least), min(c.MaxRuntime, most)
}

// total returns the number of crashes that count against the task. A crash with an unknown runtime
// counts only in addition to others.
func (c *Crashes) total() uint32 {
	if c.UnknownRuntime && c.Consecutive > 0 {
		return c.Consecutive + 1
	}
	return c.Consecutive
}

func (c *Crashes) record() *apiv1.TaskCrashes {
	if *c == (Crashes{}) {
		return nil
	}
	return &apiv1.TaskCrashes{
		InRow: c.Consecutive, LeastMs: c.MinRuntime.Milliseconds(), MostMs: c.MaxRuntime.Milliseconds(), Alone: c.SoleCause,
		Starts: c.Starts, Suspect: c.Suspect, Unseen: c.UnknownRuntime,
	}
}

func crashesOf(r *apiv1.TaskCrashes) Crashes {
	return Crashes{
		Consecutive: r.GetInRow(), MinRuntime: milliseconds(r.GetLeastMs()), MaxRuntime: milliseconds(r.GetMostMs()),
		SoleCause: r.GetAlone(), Starts: r.GetStarts(), Suspect: r.GetSuspect(),
		UnknownRuntime: r.GetUnseen(),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// NextRunOnProbation reports whether the next run of a task is on probation. The run of a gang is
// on probation if any of its members is suspect.
func (s *Step) NextRunOnProbation(index int) bool {
	if !s.Spec.Gang {
		return s.Tasks[index].Crashes.Suspect
	}
	return slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.Crashes.Suspect })
}

// crashedRun is a run that a worker may have had when it crashed.
type crashedRun struct {
	id   RunID
	task *Task
	// minRuntime and maxRuntime bound how long the run had worked; see RunWork.
	minRuntime, maxRuntime time.Duration
	began                  bool
	onProbation            bool
}

// runtimeKnown reports whether the agent knew an upper bound of how long the run had worked.
func (i crashedRun) runtimeKnown() bool { return i.maxRuntime >= 0 }

// crashedImmediately reports whether the crash certainly coincided with the run's start.
func (i crashedRun) crashedImmediately() bool {
	return i.began && i.runtimeKnown() && max(i.minRuntime, i.maxRuntime) <= ImmediateCrashMax
}

// recentlyStarted reports whether the crash may be attributed to the run's start, or occurred
// during the run's probation.
func (i crashedRun) recentlyStarted() bool {
	if i.onProbation {
		return i.minRuntime < i.task.Crashes.Probation()
	}
	return i.minRuntime < RecentStartMax
}

// crashWindow returns the range of runtimes after which a run that crashes its worker similarly may
// do so.
func (i crashedRun) crashWindow() (least, most time.Duration) {
	if i.minRuntime > ImmediateCrashMax {
		least = i.minRuntime - i.minRuntime*similarityPercent/percent - similarityMargin
	}
	most = max(i.minRuntime, i.maxRuntime)
	return least, max(ImmediateCrashMax, most+most*similarityPercent/percent+similarityMargin)
}

// recordCrash counts the crash of a worker against the tasks that may have caused it.
func (m *Machine) recordCrash(w *Worker, crash *apiv1.WorkerCrash) {
	if crash == nil || w.Spec.Draining {
		return
	}
	runs := m.crashedRuns(w, crash)
	started := map[StepID]bool{}
	for _, i := range runs {
		if i.recentlyStarted() {
			started[i.id.Task.StepID()] = true
		}
	}
	for _, i := range runs {
		sole := i.recentlyStarted() && len(started) == 1
		i.task.Crashes.add(i, sole, uint32(i.task.LastRun-i.id.Number))
		m.failIfCrashLimitReached(i.id.Task)
	}
}

// crashedRuns returns the runs of open jobs that the crash report lists and that the worker had, or
// lost only because its lease expired.
func (m *Machine) crashedRuns(w *Worker, crash *apiv1.WorkerCrash) []crashedRun {
	var runs []crashedRun
	for _, work := range crash.Worked {
		id := RunID{TaskIDOf(work.Task), work.Run}
		run := w.Runs[id]
		t, _ := m.task(id.Task)
		if run == nil && !w.lostRuns[id] || t == nil || t.Done || !m.jobs[id.Task.Job].Open() {
			continue
		}
		runs = append(runs, crashedRun{
			id: id, task: t, minRuntime: milliseconds(work.WorkedMs), maxRuntime: milliseconds(work.AtMostMs),
			began: work.Began, onProbation: run != nil && run.OnProbation,
		})
	}
	return runs
}

// failIfCrashLimitReached fails the job of a task that has no run and has reached its crash limit.
func (m *Machine) failIfCrashLimitReached(id TaskID) {
	t, _ := m.task(id)
	if t != nil && !t.Done && len(t.Runs) == 0 && t.Crashes.limitReached() && m.jobs[id.Job].Open() {
		m.failJob(m.jobs[id.Job], id, apiv1.JobFailure_JOB_FAILURE_CRASHES)
	}
}

// undoRefusedStart reverts a start that the worker refused, so that it never began.
func (m *Machine) undoRefusedStart(r *Run) {
	if r == nil {
		return
	}
	if t, _ := m.task(r.ID.Task); t != nil && t.Crashes.Starts > 0 {
		t.Crashes.Starts--
	}
	m.release(r)
}

// endProbation ends the probation of a run that has worked for long enough.
func (m *Machine) endProbation(id RunID) {
	r := m.Run(id)
	if r == nil || !r.OnProbation {
		return
	}
	r.endProbation()
	t, _ := m.task(id.Task)
	t.Crashes.passProbation()
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

// LostRuns returns, in order, the runs that were lost when the worker's lease expired. They are
// kept until the worker reports again or departs.
func (w *Worker) LostRuns() []RunID {
	ids := make([]RunID, 0, len(w.lostRuns))
	for id := range w.lostRuns {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareRunIDs)
	return ids
}

func (w *Worker) lostRunRefs() []*apiv1.RunRef {
	var refs []*apiv1.RunRef
	for _, id := range w.LostRuns() {
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
