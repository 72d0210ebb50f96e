package dispatch

import (
	"strings"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

// logStart gathers the start of a run for the log.
func (l *leaderState) logStart(m *jobqueue.Machine, s *apiv1.StartRun, now time.Time) {
	id := jobqueue.RunID{Task: jobqueue.TaskIDOf(s.Task), Number: s.Run}
	if step := m.StepSpec(id.Task); step != nil && step.LongRunning {
		l.batchedLog.addLongRunningStart(l.term, s.Worker, id, now)
		return
	}
	l.batchedLog.addStart(l.term, s.Worker, id, now)
}

const (
	// startedUpPercent is the progress, in percent, of a long-running run that has started up.
	startedUpPercent = 100
	// fullObjectivePercent is a tail that is just as long as it may be.
	fullObjectivePercent = 100
)

// logObjectiveMisses gathers for the log the serving runs of a report that are at work with tails over
// their objectives.
func (l *leaderState) logObjectiveMisses(w *jobqueue.Worker, running []*apiv1.RunObservation, now time.Time) {
	if w == nil {
		return
	}
	for _, o := range running {
		run := w.Runs[jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}]
		if run == nil || run.Step.TailObjectiveMs <= 0 || o.Percent < startedUpPercent || o.Figure <= run.Step.TailObjectiveMs {
			continue
		}
		l.batchedLog.addObjectiveMiss(l.term, w.Spec.Id, run.ID, fullObjectivePercent*o.Figure/run.Step.TailObjectiveMs, now)
	}
}

// openJob is a job that may end with a report: when it was due, and within which time it
// should end.
type openJob struct {
	dueMs   int64
	allowed time.Duration
}

// openJobs returns the open jobs that a report may end. It is asked before the report is
// committed, since a job that has ended no longer holds its steps.
func (l *leaderState) openJobs(m *jobqueue.Machine, r *apiv1.ReportWorker) map[string]openJob {
	ids := map[string]bool{}
	for _, e := range r.GetEnds() {
		ids[e.Task.GetJob()] = true
	}
	for _, w := range r.GetCrash().GetWorked() {
		ids[w.Task.GetJob()] = true
	}
	open := map[string]openJob{}
	for id := range ids {
		j := m.Job(id)
		if j == nil || !j.Open() {
			continue
		}
		last := len(j.Occurrences) - 1
		open[j.ID()] = openJob{j.DueMs(last), l.planner.AllowedTime(m.QueueOf(j), j.Occurrences[last])}
	}
	return open
}

// logFinishedJobs gathers for the log which of the given jobs have come to an end, each once: two
// reports may have been on their way together.
func (l *leaderState) logFinishedJobs(m *jobqueue.Machine, open map[string]openJob, now time.Time) {
	for id, o := range open {
		j := m.Job(id)
		if j == nil || j.Open() || j.State == apiv1.JobState_JOB_STATE_CANCELED || l.finishLogged[id] {
			continue
		}
		l.finishLogged[id] = true
		l.batchedLog.addFinishedJob(l.term, j.Queue.PathPrefix, finishedJobEntry{
			id: id, outcome: strings.ToLower(strings.TrimPrefix(j.State.String(), "JOB_STATE_")),
			took: time.Duration(j.FinishedMs-o.dueMs) * time.Millisecond, allowed: o.allowed, at: now,
		})
	}
}

// logReportOutcome tells of what a report that is committed now has changed: jobs that ended, and tasks
// under which a worker crashed.
func (d *Dispatcher) logReportOutcome(t appliedReport) {
	if len(t.openJobs) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == nil || d.leader.term != t.term {
		return
	}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		d.logSuspects(m.CallerJobs(), t)
		d.leader.logFinishedJobs(m.CallerJobs(), t.openJobs, d.opts.Now())
	})
}
