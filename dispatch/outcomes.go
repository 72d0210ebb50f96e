package dispatch

import (
	"slices"
	"strings"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

// logStart adds the start of a run to the batched log.
func (l *leaderState) logStart(m *jobqueue.Machine, s *apiv1.StartRun, now time.Time) {
	id := jobqueue.RunID{Task: jobqueue.TaskIDOf(s.Task), Number: s.Run}
	if step := m.StepSpec(id.Task); step != nil && step.LongRunning {
		l.batchedLog.addLongRunningStart(l.term, s.Worker, id, now)
		l.awaitedBegins[id] = now
		return
	}
	l.batchedLog.addStart(l.term, s.Worker, id, now)
}

// logBegins adds the runs of long-running steps that a worker lists for the first time since this
// leader ordered their starts to the batched log. Runs that an earlier leader ordered are not added, so
// that a change of leader does not list the whole fleet.
func (l *leaderState) logBegins(worker string, running []*apiv1.RunObservation, now time.Time) {
	if len(l.awaitedBegins) == 0 {
		return
	}
	for _, o := range running {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		if _, awaited := l.awaitedBegins[id]; awaited {
			delete(l.awaitedBegins, id)
			l.batchedLog.addBegin(l.term, worker, id, now)
		}
	}
}

const (
	// startedUpPercent is the progress, in percent, of a long-running run that has started up.
	startedUpPercent = 100
	// fullObjectivePercent is the percentage of a tail latency that just meets its objective.
	fullObjectivePercent = 100
)

// logObjectiveMisses adds to the batched log the serving runs of a report that have started up and
// whose tail latencies exceed their objectives.
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

// openJob is a job that may finish with a report: when it was due, and the time that it is allowed
// to take.
type openJob struct {
	dueMs   int64
	allowed time.Duration
}

// openJobs returns the open jobs that a report may finish. It must be called before the report is
// committed, since a finished job no longer contains its steps.
func (l *leaderState) openJobs(m *jobqueue.Machine, r *apiv1.ReportWorker) map[string]openJob {
	ids := map[string]bool{}
	for _, e := range slices.Concat(r.GetEnds(), r.GetReplacedEnds()) {
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
		open[j.ID()] = openJob{j.DueMs(last), l.planner.AllowedTime(j.Queue, j.Occurrences[last])}
	}
	return open
}

// logFinishedJobs adds those of the given jobs that have finished to the batched log. Each is
// logged once: two reports that finish a job may be committed concurrently.
func (l *leaderState) logFinishedJobs(m *jobqueue.Machine, s *submissions, open map[string]openJob, now time.Time) {
	for id, o := range open {
		j := m.Job(id)
		if j == nil || j.Open() || j.State == apiv1.JobState_JOB_STATE_CANCELED || l.finishLogged[id] {
			continue
		}
		l.finishLogged[id] = true
		s.recordJobEnd(id, j.State == apiv1.JobState_JOB_STATE_SUCCEEDED, now)
		l.batchedLog.addFinishedJob(l.term, j.Queue.PathPrefix, finishedJobEntry{
			id: id, outcome: strings.ToLower(strings.TrimPrefix(j.State.String(), "JOB_STATE_")),
			took: time.Duration(j.FinishedMs-o.dueMs) * time.Millisecond, allowed: o.allowed, at: now,
		})
	}
}

// logReportOutcome logs what a committed report has changed: finished jobs, and tasks that ran when
// a worker crashed.
func (d *Dispatcher) logReportOutcome(applied appliedReport) {
	if len(applied.openJobs) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leader == nil || d.leader.term != applied.term {
		return
	}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		d.logSuspects(m.CallerJobs(), applied)
		d.leader.logFinishedJobs(m.CallerJobs(), d.submissions, applied.openJobs, d.opts.Now())
	})
}
