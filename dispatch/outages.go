package dispatch

import (
	"fmt"
	"iter"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
)

const (
	// outageCheckInterval is the time between two looks at all long-running tasks.
	outageCheckInterval = time.Second
	// outageLogInterval is how long a long-running task has been away when the first line says
	// so, and the time between two such lines: most are back sooner.
	outageLogInterval = 2 * time.Second
)

// Why a long-running task is away, beside the reasons against the workers.
const (
	outageOrdered            = "ordered, not begun"
	outageWorkerUnresponsive = "no report of its worker"
	outageUnlisted           = "not listed by its worker"
	outageUnplanned          = "no candidate"
)

// outage is the time that a long-running task is not known to run.
type outage struct {
	since time.Time
	// run is the last that the task had, worker where, and how says what ended it; empty
	// while it has not ended.
	run       uint64
	worker    string
	endReason string
	loggedAt  time.Time
}

// outages are those of the long-running tasks.
type outages struct {
	checkedAt time.Time
	byTask    map[jobqueue.TaskID]*outage
	// lastEnds is how the last run of a task ended, until the task runs again.
	lastEnds map[jobqueue.TaskID]outage
}

func newOutages() *outages {
	return &outages{byTask: map[jobqueue.TaskID]*outage{}, lastEnds: map[jobqueue.TaskID]outage{}}
}

// recordEnd notes how a run ended, or that it is given up.
func (o *outages) recordEnd(r *jobqueue.Run, how string, now time.Time) {
	if told, known := o.lastEnds[r.ID.Task]; known && told.run == r.ID.Number {
		return // A report may be taken in again.
	}
	if r.Step.LongRunning && r.Job().Open() {
		o.lastEnds[r.ID.Task] = outage{since: now, run: r.ID.Number, worker: r.Worker, endReason: how}
	}
}

// longRunningTask is one that should be running.
type longRunningTask struct {
	id   jobqueue.TaskID
	task *jobqueue.Task
}

// longRunningTasks goes through the tasks of open jobs that should be running by now.
func longRunningTasks(m *jobqueue.Machine, wallMs int64) iter.Seq[longRunningTask] {
	return func(yield func(longRunningTask) bool) {
		for _, j := range m.Active() {
			if j.Open() && !yieldTasks(j, wallMs, yield) {
				return
			}
		}
	}
}

func yieldTasks(j *jobqueue.Job, wallMs int64, yield func(longRunningTask) bool) bool {
	for k, o := range j.Occurrences {
		for i, s := range o.Steps {
			if !s.Spec.LongRunning || !j.Due(k, wallMs) || !o.StepReady(i) {
				continue
			}
			id := jobqueue.TaskID{Job: j.ID(), Occurrence: uint32(k), Step: uint32(i)}
			for n, t := range s.Tasks {
				id.Index = uint32(n)
				if !yield(longRunningTask{id, t}) {
					return false
				}
			}
		}
	}
	return true
}

// checkLongRunning notes which long-running tasks are not known to run, and tells of those
// that have been away for long and of those that are back.
func (d *Dispatcher) checkLongRunning(l *leaderState, m *jobqueue.Machine, waits []schedule.UnplacedStep, now time.Time) {
	o := l.outages
	if now.Sub(o.checkedAt) < outageCheckInterval {
		return
	}
	o.checkedAt = now
	whyByStep := map[jobqueue.StepID]string{}
	for _, w := range waits {
		whyByStep[w.Step] = w.ReasonSummary()
	}
	present := map[jobqueue.TaskID]bool{}
	away := map[string][]string{}
	back := map[string][]string{}
	for t := range longRunningTasks(m, now.UnixMilli()) {
		if o.tracks(t.id) {
			present[t.id] = true
		}
		why, since := l.outageReason(t, whyByStep, now)
		if why == "" {
			d.endOutage(o, t, back, now)
			continue
		}
		out := o.begin(t, since)
		present[t.id] = true
		if now.Sub(out.since) >= outageLogInterval && now.Sub(out.loggedAt) >= outageLogInterval {
			out.loggedAt = now
			away[why] = append(away[why], out.describe(t.id, now))
		}
	}
	o.prune(present)
	d.metrics.longRunningNotRunning.Update(int64(len(o.byTask)))
	if len(away) > 0 {
		event.LongRunningAway.Write(d.logger, event.Term(l.term), event.TasksAway(away))
	}
	if len(back) > 0 {
		event.LongRunningBack.Write(d.logger, event.Term(l.term), event.TasksBack(back))
	}
}

// outageReason says why a long-running task is not known to run, and since when; empty if it is
// known to run.
func (l *leaderState) outageReason(t longRunningTask, whyByStep map[jobqueue.StepID]string, now time.Time) (string, time.Time) {
	if len(t.task.Runs) == 0 {
		since := now
		if ended, known := l.outages.lastEnds[t.id]; known {
			since = ended.since
		}
		if why := whyByStep[t.id.StepID()]; why != "" {
			return why, since
		}
		return outageUnplanned, since
	}
	run := t.task.Runs[len(t.task.Runs)-1]
	seen, known := l.observed[run.ID]
	silent := now.Sub(l.leases.get(run.Worker).renewedAt)
	switch {
	case silent >= outageLogInterval:
		return outageWorkerUnresponsive, now.Add(-silent)
	case !known:
		return outageOrdered, now
	case seen.At.Before(now.Add(-outageLogInterval)):
		return outageUnlisted, seen.At
	}
	return "", now
}

// begin returns the outage of a task, which began at a given time if it is not known yet.
func (o *outages) begin(t longRunningTask, since time.Time) *outage {
	out := o.byTask[t.id]
	if out == nil {
		out = &outage{since: since, run: t.task.LastRun}
		o.byTask[t.id] = out
	}
	if ended, known := o.lastEnds[t.id]; known {
		out.run, out.worker, out.endReason = ended.run, ended.worker, ended.endReason
		out.since = earlier(out.since, ended.since)
	}
	if len(t.task.Runs) > 0 {
		run := t.task.Runs[len(t.task.Runs)-1]
		out.run, out.worker = run.ID.Number, run.Worker
	}
	return out
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// endOutage ends the outage of a task that runs, if there was one.
func (d *Dispatcher) endOutage(o *outages, t longRunningTask, back map[string][]string, now time.Time) {
	if !o.tracks(t.id) {
		return
	}
	delete(o.lastEnds, t.id)
	out := o.byTask[t.id]
	if out == nil {
		return
	}
	delete(o.byTask, t.id)
	d.metrics.longRunningOutage.Observe(now.Sub(out.since))
	if !out.loggedAt.IsZero() {
		run := t.task.Runs[len(t.task.Runs)-1]
		back[run.Worker] = append(back[run.Worker], fmt.Sprintf("%s %d %d", t.id, run.ID.Number, now.Sub(out.since).Milliseconds()))
	}
}

// tracks reports whether anything is kept of a task.
func (o *outages) tracks(id jobqueue.TaskID) bool {
	if len(o.byTask)+len(o.lastEnds) == 0 {
		return false
	}
	_, ended := o.lastEnds[id]
	return ended || o.byTask[id] != nil
}

// prune drops the tasks that no longer have to run.
func (o *outages) prune(present map[jobqueue.TaskID]bool) {
	for id := range o.byTask {
		if !present[id] {
			delete(o.byTask, id)
		}
	}
	for id := range o.lastEnds {
		if !present[id] {
			delete(o.lastEnds, id)
		}
	}
}

// describe writes "TASK RUN WORKER AWAY HOW", the time away in milliseconds.
func (out *outage) describe(id jobqueue.TaskID, now time.Time) string {
	text := fmt.Sprintf("%s %d %s %d", id, out.run, out.worker, now.Sub(out.since).Milliseconds())
	if out.endReason != "" {
		text += " " + out.endReason
	}
	return text
}

// recordEnds notes how the runs of a report ended that the log still holds.
func (o *outages) recordEnds(w *jobqueue.Worker, ends []*apiv1.RunEnd, refusals []*apiv1.RunRefusal, now time.Time) {
	for _, e := range ends {
		if run := w.Runs[jobqueue.RunID{Task: jobqueue.TaskIDOf(e.Task), Number: e.Run}]; run != nil {
			o.recordEnd(run, endKindName(e.Kind), now)
		}
	}
	for _, refusal := range refusals {
		if run := w.Runs[jobqueue.RunID{Task: jobqueue.TaskIDOf(refusal.Task), Number: refusal.Run}]; run != nil {
			o.recordEnd(run, "refused: "+refusal.Reason, now)
		}
	}
}
