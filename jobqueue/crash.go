package jobqueue

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Crashes is what is known of workers that crashed under a task. Which of its runs a worker crashed
// of can't be seen, so the next run of each that may have caused it is on trial: nothing else
// starts on its worker until it has worked for Probation.
type Crashes struct {
	// Consecutive counts the crashes in a row that are alike: there is a time, from Least to Most, after
	// which each of the runs may have crashed its worker.
	Consecutive            uint32
	MinRuntime, MaxRuntime time.Duration
	// UnknownRuntime: beside them there was a crash of which nobody knows how long the run had worked.
	UnknownRuntime bool
	// SoleCause counts the crashes that came with the start of the task's run, and of none of another
	// step, since the last trial that went well.
	SoleCause uint32
	// Starts counts the starts since Consecutive reached repeatedCrashes.
	Starts uint32
	// Suspect: the next run is on trial.
	Suspect bool
}

const (
	// ImmediateCrashMax is how long a run has worked at most when its start surely made the worker crash, if
	// nothing else had just started.
	ImmediateCrashMax = 100 * time.Millisecond
	// RecentStartMax is how long a run has worked at most when its start may have.
	RecentStartMax = 500 * time.Millisecond
	// maxBlameRuntime is how long a run has worked when a crash of its worker is not put down to it.
	maxBlameRuntime = 10 * time.Second
	// similarityPercent, in percent of the time, and similarityMargin are by how much two runs may differ that
	// crash their workers alike.
	similarityPercent = 10
	similarityMargin  = 20 * time.Millisecond
	percent           = 100
	// maxSoleCauseCrashes is the number of crashes, each at once after the start of the task and
	// of no other step's, after which it is given up.
	maxSoleCauseCrashes = 2
	// repeatedCrashes is the number of crashes in a row after which the starts of a task are
	// counted, and maxStartsAfterRepeatedCrashes how many may follow. One crash less than callers allow, since one
	// may go unseen.
	repeatedCrashes               = 2
	maxStartsAfterRepeatedCrashes = 2
)

// UnknownMs stands for a bound of a RunWork that nobody can tell.
const UnknownMs = -1

// Probation is how long the trial of a run lasts: after some crashes in a row, until it has worked
// for longer than any of them allows.
func (c *Crashes) Probation() time.Duration {
	if c.total() < repeatedCrashes {
		return RecentStartMax
	}
	return min(maxBlameRuntime, max(RecentStartMax, c.MaxRuntime))
}

// passProbation takes in that a run on trial has worked for Probation.
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

// limitReached reports whether the task may not be started any more.
func (c *Crashes) limitReached() bool {
	return c.SoleCause >= maxSoleCauseCrashes || c.total() >= repeatedCrashes && c.Starts >= maxStartsAfterRepeatedCrashes
}

// add takes in a crash under a run of the task. sole says that nothing else had just started on
// the worker. The task was started startsSince times since then: a crash may be known only after
// the run was given up.
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

// extendSequence adds a crash to the row, or begins another row with it.
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

// total is the number of crashes that count against the task. One that nobody saw counts beside
// others only.
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

// NextRunOnProbation reports whether the next run of a task is on trial; that of a gang is if one of its
// members is suspected.
func (s *Step) NextRunOnProbation(index int) bool {
	if !s.Spec.Gang {
		return s.Tasks[index].Crashes.Suspect
	}
	return slices.ContainsFunc(s.Tasks, func(t *Task) bool { return t.Crashes.Suspect })
}

// crashedRun is a run that a crashed worker may have had.
type crashedRun struct {
	id   RunID
	task *Task
	// minRuntime and most bound how long the run had worked; see RunWork.
	minRuntime, maxRuntime time.Duration
	began                  bool
	onProbation            bool
}

// runtimeKnown reports whether the agent could tell how long the run had worked at most.
func (i crashedRun) runtimeKnown() bool { return i.maxRuntime >= 0 }

// crashedImmediately reports whether the crash surely came with the run's start.
func (i crashedRun) crashedImmediately() bool {
	return i.began && i.runtimeKnown() && max(i.minRuntime, i.maxRuntime) <= ImmediateCrashMax
}

// recentlyStarted reports whether the crash may be put down to the run's start, or its trial was not over.
func (i crashedRun) recentlyStarted() bool {
	if i.onProbation {
		return i.minRuntime < i.task.Crashes.Probation()
	}
	return i.minRuntime < RecentStartMax
}

// crashWindow is the time after which a run that crashes its worker alike may do so.
func (i crashedRun) crashWindow() (least, most time.Duration) {
	if i.minRuntime > ImmediateCrashMax {
		least = i.minRuntime - i.minRuntime*similarityPercent/percent - similarityMargin
	}
	most = max(i.minRuntime, i.maxRuntime)
	return least, max(ImmediateCrashMax, most+most*similarityPercent/percent+similarityMargin)
}

// recordCrash counts the crash of a worker under the tasks that may have caused it.
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

// crashedRuns returns the runs of open jobs that a crash names and that the worker held, or holds no
// more only since its lease ran out.
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

// failIfCrashLimitReached fails the job of a task that has no run and may not be started any more.
func (m *Machine) failIfCrashLimitReached(id TaskID) {
	t, _ := m.task(id)
	if t != nil && !t.Done && len(t.Runs) == 0 && t.Crashes.limitReached() && m.jobs[id.Job].Open() {
		m.failJob(m.jobs[id.Job], id, apiv1.JobFailure_JOB_FAILURE_CRASHES)
	}
}

// undoRefusedStart takes back a start that never began.
func (m *Machine) undoRefusedStart(r *Run) {
	if r == nil {
		return
	}
	if t, _ := m.task(r.ID.Task); t != nil && t.Crashes.Starts > 0 {
		t.Crashes.Starts--
	}
	m.release(r)
}

// endProbation ends the trial of a run that has worked for long enough.
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

// recordLostRun notes a run that is given up when the worker's lease runs out.
func (w *Worker) recordLostRun(id RunID) {
	if w.lostRuns == nil {
		w.lostRuns = map[RunID]bool{}
	}
	w.lostRuns[id] = true
}

// LostRuns returns the runs that were given up when the worker's lease ran out, in order, until it is
// heard of or gone.
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

// HasRunOnProbation reports whether a run on the worker is on trial.
func (w *Worker) HasRunOnProbation() bool { return w.runsOnProbation > 0 }

// probationAllows reports whether no trial on the worker forbids a start. The tasks of a step may have
// theirs together: whichever of them crashes the worker, their job is given up.
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
