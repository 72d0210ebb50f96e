package dispatch

import (
	"strings"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/state"
)

// logStart gathers the start of a run for the log.
func (l *leadership) logStart(m *jobqueue.Machine, s *apiv1.StartRun, now time.Time) {
	id := jobqueue.RunID{Task: jobqueue.TaskIDOf(s.Task), Number: s.Run}
	if step := m.StepSpec(id.Task); step != nil && step.LongRunning {
		l.runLog.startLongRunning(l.term, s.Worker, id, now)
		return
	}
	l.runLog.start(l.term, s.Worker, id, now)
}

const (
	// atWork is the progress, in percent, of a long-running run that has started up.
	atWork = 100
	// percentOfObjective is a tail that is just as long as it may be.
	percentOfObjective = 100
)

// noteTails gathers for the log the serving runs of a report that are at work with tails over
// their objectives.
func (l *leadership) noteTails(w *jobqueue.Worker, running []*apiv1.RunObservation, now time.Time) {
	if w == nil {
		return
	}
	for _, o := range running {
		run := w.Runs[jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}]
		if run == nil || run.Step.TailObjectiveMs <= 0 || o.Percent < atWork || o.Figure <= run.Step.TailObjectiveMs {
			continue
		}
		l.runLog.tailOver(l.term, w.Spec.Id, run.ID, percentOfObjective*o.Figure/run.Step.TailObjectiveMs, now)
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
func (l *leadership) openJobs(m *jobqueue.Machine, r *apiv1.ReportWorker) map[string]openJob {
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

// noteOver gathers for the log which of the given jobs have come to an end, each once: two
// reports may have been on their way together.
func (l *leadership) noteOver(m *jobqueue.Machine, open map[string]openJob, now time.Time) {
	for id, o := range open {
		j := m.Job(id)
		if j == nil || j.Open() || j.State == apiv1.JobState_JOB_STATE_CANCELED || l.overTold[id] {
			continue
		}
		l.overTold[id] = true
		l.runLog.jobOver(l.term, j.Queue.PathPrefix, gatheredJob{
			id: id, how: strings.ToLower(strings.TrimPrefix(j.State.String(), "JOB_STATE_")),
			took: time.Duration(j.FinishedMs-o.dueMs) * time.Millisecond, allowed: o.allowed, at: now,
		})
	}
}

// noteOutcome tells of what a report that is committed now has changed: jobs that ended, and tasks
// under which a worker crashed.
func (d *Dispatcher) noteOutcome(t taken) {
	if len(t.open) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leading == nil || d.leading.term != t.term {
		return
	}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		d.tellSuspects(m.CallerJobs(), t)
		d.leading.noteOver(m.CallerJobs(), t.open, d.opts.Now())
	})
}
