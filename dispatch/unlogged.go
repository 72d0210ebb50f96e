package dispatch

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// recordUnlogged records which runs a worker lists that the log does not contain there, and logs
// those that are listed for the first time. They were lost, refused or never ordered. Their tasks
// may run elsewhere, and the capacity that they use is not accounted for, so the worker is ordered
// to stop them. That also holds for all runs of a worker that the log takes for departed.
// A run that is missing in a partial list may be in the part that could not be read.
func (d *Dispatcher) recordUnlogged(l *leaderState, m *jobqueue.Machine, r *apiv1.JobsReportRequest, now time.Time) {
	worker := r.Worker.GetId()
	if m.Worker(worker) == nil && !m.HasDeparted(worker) {
		return // This report adds the worker to the log; the next one is compared with the log.
	}
	var unlogged []jobqueue.RunID
	var added []runEntry
	for _, o := range r.Running {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		if w := m.Worker(worker); w != nil && w.Runs[id] != nil {
			continue
		}
		unlogged = append(unlogged, id)
		if !slices.Contains(l.unlogged[worker], id) {
			added = append(added, runEntry{id, now})
		}
	}
	if r.Partial {
		unlogged = appendMissing(unlogged, l.unlogged[worker])
	}
	if len(unlogged) != len(l.unlogged[worker]) || len(added) > 0 {
		l.orderRevisions[worker]++
	}
	if len(unlogged) == 0 {
		delete(l.unlogged, worker)
		return
	}
	l.unlogged[worker] = unlogged
	if len(added) == 0 {
		return
	}
	d.metrics.unloggedRuns.Inc(int64(len(added)))
	event.UnloggedRuns.Write(d.logger, event.Term(l.term), event.Worker(worker),
		event.Unlogged(formatRuns(map[string][]runEntry{worker: added}, now)))
}

// appendMissing appends the runs that a list does not contain.
func appendMissing(list, others []jobqueue.RunID) []jobqueue.RunID {
	for _, id := range others {
		if !slices.Contains(list, id) {
			list = append(list, id)
		}
	}
	return list
}
