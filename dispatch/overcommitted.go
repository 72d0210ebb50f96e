package dispatch

import (
	"fmt"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// Kinds of runs in the line about a worker over its capacity.
const (
	countedLogged   = "logged"
	countedUnlogged = "unlogged"
	// countedUnknown runs are not in the log, and their job is unknown, so their size is too.
	countedUnknown = "unknown"
)

// logOvercommitted logs a worker whose listed runs reserve more than its capacity, and again when
// further runs begin on it.
func (d *Dispatcher) logOvercommitted(l *leaderState, m *jobqueue.Machine, r *apiv1.JobsReportRequest, now time.Time) {
	worker := r.Worker.GetId()
	if r.Departed {
		delete(l.overcommitted, worker)
		return
	}
	capacity := jobqueue.CapacityOf(r.Worker)
	reserved := listedReservation(m, r.Running)
	if reserved.Fits(capacity) {
		delete(l.overcommitted, worker)
		return
	}
	loggedBefore, known := l.overcommitted[worker]
	listed := make(map[jobqueue.RunID]bool, len(r.Running))
	var began []string
	for _, o := range r.Running {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		listed[id] = true
		if l.observed[id].FirstAt.Equal(now) && !loggedBefore[id] {
			began = append(began, fmt.Sprintf("%s %d", id.Task, id.Number))
		}
	}
	l.overcommitted[worker] = listed
	if known && len(began) == 0 {
		return
	}
	d.metrics.overcommitted.Inc(1)
	event.WorkerOvercommitted.Write(d.logger, event.Term(l.term), event.Worker(worker), event.Capacity(capacity),
		event.CapacityAge(reportedCapacityAge(r)), event.Reserved(reserved), event.Counted(countedRuns(m, r)), event.Began(began))
}

// listedReservation returns what the listed runs reserve, without those whose size is unknown.
func listedReservation(m *jobqueue.Machine, running []*apiv1.RunObservation) jobqueue.Resources {
	var sum jobqueue.Resources
	for _, o := range running {
		if step := m.StepSpec(jobqueue.TaskIDOf(o.Task)); step != nil {
			sum = sum.Add(jobqueue.Reserved(step))
		}
	}
	return sum
}

// countedRuns formats the listed runs as "TASK RUN RESERVED", by kind.
func countedRuns(m *jobqueue.Machine, r *apiv1.JobsReportRequest) map[string][]string {
	w := m.Worker(r.Worker.GetId())
	lists := map[string][]string{}
	for _, o := range r.Running {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		step := m.StepSpec(id.Task)
		kind, size := countedUnlogged, "?"
		switch {
		case step == nil:
			kind = countedUnknown
		case w != nil && w.Runs[id] != nil:
			kind = countedLogged
		}
		if step != nil {
			size = jobqueue.Reserved(step).String()
		}
		lists[kind] = append(lists[kind], fmt.Sprintf("%s %d %s", id.Task, id.Number, size))
	}
	return lists
}
