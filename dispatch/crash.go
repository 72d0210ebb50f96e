package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// reportedCrash returns the worker that a report shows to have crashed and its crash, nil if there is
// none. A crash is a departure without notice, or the first report of an incarnation whose
// predecessor did not give notice.
func (l *leaderState) reportedCrash(m *jobqueue.Machine, r *apiv1.JobsReportRequest, now time.Time) (*jobqueue.Worker, *apiv1.WorkerCrash) {
	worker, previous := m.Worker(r.Worker.GetId()), m.WorkerOnHost(r.Worker.GetHost())
	switch {
	case worker != nil && r.Departed && !worker.Spec.Draining:
		return l.crashAtEnd(m, worker, r, now)
	case worker == nil && !r.Departed && previous != nil && !previous.Spec.Draining:
		if end := replacedEnd(m, r); end != nil {
			return l.crashAtEnd(m, previous, end, now)
		}
		return previous, l.crashOf(m, previous, nil, now)
	}
	return nil, nil
}

// replacedEnd returns the report of the end of the incarnation that the sender of a report replaces, nil if
// it replaces none or carries no such report.
func replacedEnd(m *jobqueue.Machine, r *apiv1.JobsReportRequest) *apiv1.JobsReportRequest {
	previous := m.WorkerOnHost(r.Worker.GetHost())
	if previous == nil || m.Worker(r.Worker.GetId()) != nil {
		return nil
	}
	for _, end := range r.PreviousEnds {
		if end.Worker.GetId() == previous.Spec.Id {
			return end
		}
	}
	return nil
}

// crashAtEnd returns the worker and its crash, as the report of its end describes it, nil if it ended
// with notice.
func (l *leaderState) crashAtEnd(m *jobqueue.Machine, w *jobqueue.Worker, end *apiv1.JobsReportRequest, now time.Time) (*jobqueue.Worker, *apiv1.WorkerCrash) {
	if !end.Crashed {
		return nil, nil
	}
	crash := l.crashOf(m, w, end.Worked, now)
	if end.CrashedAgoMs != nil {
		crash.AtMs, crash.UncertaintyMs = now.UnixMilli()-end.GetCrashedAgoMs(), end.CrashUncertaintyMs
	}
	return w, crash
}

// crashTimeUncertainty is the largest error of the time of a crash that is estimated from the last
// report: a worker is reported every half second.
const crashTimeUncertainty = 250 * time.Millisecond

// crashOf describes the crash of a worker whose agent reported the given work.
func (l *leaderState) crashOf(m *jobqueue.Machine, w *jobqueue.Worker, worked []*apiv1.RunWork, now time.Time) *apiv1.WorkerCrash {
	crash := &apiv1.WorkerCrash{Worked: l.workBeforeCrash(w, worked), OthersSilent: l.othersSilent(m, w, now)}
	if lease := l.leases.get(w.Spec.Id); lease.reported {
		crash.AtMs, crash.UncertaintyMs = lease.renewedAt.Add(crashTimeUncertainty).UnixMilli(), crashTimeUncertainty.Milliseconds()
	}
	return crash
}

// minOthersSilent is the number of other silent workers from which a crash may be part of one that
// affects several workers.
const minOthersSilent = 2

// othersSilent reports whether several other workers have stopped reporting a short time ago.
func (l *leaderState) othersSilent(m *jobqueue.Machine, crashed *jobqueue.Worker, now time.Time) bool {
	silent := 0
	for _, w := range m.Workers() {
		lease := l.leases.get(w.Spec.Id)
		if w != crashed && lease.reported && !lease.expired && !l.leases.reachable(w.Spec.Id, now) {
			silent++
		}
	}
	return silent >= minOthersSilent
}

// workBeforeCrash lists the minimum working time of each run that a worker may have begun, shortest
// first. reported is what the agent lists: if it lists any run, then a run that neither it nor an
// earlier report lists never began, unless the log had counted that run as lost. A run whose end the
// agent has seen was not running, although the log may not contain the end.
func (l *leaderState) workBeforeCrash(w *jobqueue.Worker, reported []*apiv1.RunWork) []*apiv1.RunWork {
	byRun := map[jobqueue.RunID]*apiv1.RunWork{}
	for _, t := range reported {
		byRun[jobqueue.RunID{Task: jobqueue.TaskIDOf(t.Task), Number: t.Run}] = t
	}
	var list []*apiv1.RunWork
	for _, id := range w.SortedRunIDs() {
		work := byRun[id]
		if o, seen := l.observed[id]; seen {
			work = cmp.Or(work, unknownWork(id))
			work.NeverSent = false
			work.WorkedMs, work.Began = max(work.WorkedMs, o.Worked().Milliseconds()), true
		}
		if work == nil && len(reported) == 0 {
			work = unknownWork(id)
		}
		if work != nil && !notRunning(work) {
			list = append(list, work)
		}
	}
	for _, id := range w.LostRuns() {
		if work := cmp.Or(byRun[id], unknownWork(id)); !notRunning(work) {
			list = append(list, work)
		}
	}
	slices.SortStableFunc(list, func(a, b *apiv1.RunWork) int { return cmp.Compare(a.WorkedMs, b.WorkedMs) })
	return list
}

// notRunning reports whether the run was certainly not there when its worker crashed.
func notRunning(w *apiv1.RunWork) bool { return w.NeverSent || w.Ended }

func unknownWork(id jobqueue.RunID) *apiv1.RunWork {
	return &apiv1.RunWork{Task: id.Task.Ref(), Run: id.Number, WorkedMs: jobqueue.UnknownMs, AtMostMs: jobqueue.UnknownMs}
}

// maxCrashRunsLogged bounds the runs that the line about a crash lists.
const maxCrashRunsLogged = 20

// logCrash logs a worker's crash and the runs that began last.
func (d *Dispatcher) logCrash(l *leaderState, w *jobqueue.Worker, worked []*apiv1.RunWork) {
	names := make([]string, 0, maxCrashRunsLogged)
	for _, r := range worked[:min(len(worked), maxCrashRunsLogged)] {
		names = append(names, fmt.Sprintf("%s %d %d", jobqueue.TaskIDOf(r.Task), r.Run, r.WorkedMs))
	}
	d.metrics.workerCrashes.Inc(1)
	event.WorkerCrashed.Write(d.logger, event.Term(l.term), event.Worker(w.Spec.Id), event.RunningCount(len(w.Runs)),
		event.Worked(map[string][]string{w.Spec.Id: names}))
}

// logSuspects logs the tasks that are suspect after a crash.
func (d *Dispatcher) logSuspects(m *jobqueue.Machine, applied appliedReport) {
	var suspects []string
	for _, w := range applied.command.GetCrash().GetWorked() {
		id := jobqueue.TaskIDOf(w.Task)
		if _, wasOpen := applied.openJobs[id.Job]; !wasOpen {
			continue
		}
		if task := m.Task(id); task != nil && task.Crashes.Suspect() {
			suspects = append(suspects, fmt.Sprintf("%s %d %d", id, task.Crashes.Similar(), task.Crashes.SoleCauses()))
		}
	}
	if len(suspects) > 0 {
		event.TasksSuspected.Write(d.logger, event.Term(applied.term), event.Suspects(suspects))
	}
}

// takeoverLogOverlap is how long before a leader took over jobs may have failed that its predecessor did
// not log, because it had lost the leadership.
const takeoverLogOverlap = 5 * time.Second

// logJobsAtCrashLimit logs, once each, the jobs that have failed by the crash limit, whichever command
// failed them: the report of a crash, the loss of a run, or a verdict that was due.
func (d *Dispatcher) logJobsAtCrashLimit(l *leaderState, m *jobqueue.Machine) {
	for _, j := range m.FinishedSince(l.crashLimitLoggedMs) {
		l.crashLimitLoggedMs = j.FinishedMs
		if j.Failure != apiv1.JobFailure_JOB_FAILURE_CRASHES || l.crashLimitLogged[j.ID()] {
			continue
		}
		l.crashLimitLogged[j.ID()] = true
		d.metrics.jobsAtCrashLimit.Inc(1)
		event.JobFailed.Write(d.logger, event.Term(l.term), event.Task(j.FailedTask), event.Run(j.FailedRun))
	}
}

// logProbationsPassed logs the tasks whose probation succeeded.
func (l *leaderState) logProbationsPassed(logger *zap.Logger, passed []*apiv1.RunRef) {
	if len(passed) == 0 {
		return
	}
	names := make([]string, 0, len(passed))
	for _, ref := range passed {
		names = append(names, fmt.Sprintf("%s %d", jobqueue.TaskIDOf(ref.Task), ref.Run))
	}
	event.ProbationPassed.Write(logger, event.Term(l.term), event.PassedProbation(names))
}
