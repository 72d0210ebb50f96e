package dispatch

import (
	"cmp"
	"fmt"
	"go.uber.org/zap"
	"slices"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// reportedCrash returns what a report says of a crash, nil if it tells of none. That is a departure
// without notice, or the first report of the life that follows one that did not tell.
func (l *leaderState) reportedCrash(m *jobqueue.Machine, r *apiv1.JobsReportRequest) (*jobqueue.Worker, []*apiv1.RunWork) {
	worker, before := m.Worker(r.Worker.GetId()), m.WorkerOnHost(r.Worker.GetHost())
	switch {
	case worker != nil && r.Departed:
		if !r.Crashed || worker.Spec.Draining {
			return nil, nil
		}
		return worker, l.workBeforeCrash(worker, r.Worked)
	case worker == nil && !r.Departed && before != nil && !before.Spec.Draining:
		return before, l.workBeforeCrash(before, nil)
	}
	return nil, nil
}

// workBeforeCrash lists how long the runs that a worker may have begun had worked at least, those
// that had worked for the shortest time first. told is what the agent says: if it names any, a run
// that neither it nor an earlier report names never began, unless it was given up.
func (l *leaderState) workBeforeCrash(w *jobqueue.Worker, told []*apiv1.RunWork) []*apiv1.RunWork {
	byRun := map[jobqueue.RunID]*apiv1.RunWork{}
	for _, t := range told {
		byRun[jobqueue.RunID{Task: jobqueue.TaskIDOf(t.Task), Number: t.Run}] = t
	}
	var list []*apiv1.RunWork
	for _, id := range w.SortedRunIDs() {
		work := byRun[id]
		if o, seen := l.observed[id]; seen {
			work = cmp.Or(work, unknownWork(id))
			work.NeverSent = false
			work.WorkedMs, work.Began = max(work.WorkedMs, o.At.Sub(o.FirstAt).Milliseconds()), true
		}
		if work == nil && len(told) == 0 {
			work = unknownWork(id)
		}
		if work != nil && !work.NeverSent {
			list = append(list, work)
		}
	}
	for _, id := range w.LostRuns() {
		if work := cmp.Or(byRun[id], unknownWork(id)); !work.NeverSent {
			list = append(list, work)
		}
	}
	slices.SortStableFunc(list, func(a, b *apiv1.RunWork) int { return cmp.Compare(a.WorkedMs, b.WorkedMs) })
	return list
}

func unknownWork(id jobqueue.RunID) *apiv1.RunWork {
	return &apiv1.RunWork{Task: id.Task.Ref(), Run: id.Number, WorkedMs: jobqueue.UnknownMs, AtMostMs: jobqueue.UnknownMs}
}

// maxCrashRunsLogged bounds the runs that a line on a crash names.
const maxCrashRunsLogged = 20

// logCrash tells of a worker's crash and of the runs that began last.
func (d *Dispatcher) logCrash(l *leaderState, w *jobqueue.Worker, worked []*apiv1.RunWork) {
	names := make([]string, 0, maxCrashRunsLogged)
	for _, r := range worked[:min(len(worked), maxCrashRunsLogged)] {
		names = append(names, fmt.Sprintf("%s %d %d", jobqueue.TaskIDOf(r.Task), r.Run, r.WorkedMs))
	}
	d.metrics.workerCrashes.Inc(1)
	event.WorkerCrashed.Write(d.logger, event.Term(l.term), event.Worker(w.Spec.Id), event.RunningCount(len(w.Runs)),
		event.Worked(map[string][]string{w.Spec.Id: names}))
}

// logSuspects tells of the tasks that are suspected after a crash, and of jobs that are given up.
func (d *Dispatcher) logSuspects(m *jobqueue.Machine, t appliedReport) {
	var suspects []string
	for _, w := range t.command.GetCrash().GetWorked() {
		id := jobqueue.TaskIDOf(w.Task)
		j := m.Job(id.Job)
		if _, wasOpen := t.openJobs[id.Job]; !wasOpen || j == nil {
			continue
		}
		if j.Failure == apiv1.JobFailure_JOB_FAILURE_CRASHES && j.FailedTask == id && !d.leader.finishLogged[id.Job] {
			d.metrics.jobsAtCrashLimit.Inc(1)
			event.JobGivenUp.Write(d.logger, event.Term(t.term), event.Task(id), event.Run(w.Run))
		}
		if task := m.Task(id); task != nil && task.Crashes.Suspect {
			suspects = append(suspects, fmt.Sprintf("%s %d %d", id, task.Crashes.Consecutive, task.Crashes.SoleCause))
		}
	}
	if len(suspects) > 0 {
		event.TasksSuspected.Write(d.logger, event.Term(t.term), event.Suspects(suspects))
	}
}

// logProbationsPassed tells of the tasks whose trial went well.
func (l *leaderState) logProbationsPassed(logger *zap.Logger, over []*apiv1.RunRef) {
	if len(over) == 0 {
		return
	}
	names := make([]string, 0, len(over))
	for _, ref := range over {
		names = append(names, fmt.Sprintf("%s %d", jobqueue.TaskIDOf(ref.Task), ref.Run))
	}
	event.TrialsOver.Write(logger, event.Term(l.term), event.TrialsPassed(names))
}
