package dispatch

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// recordUnlogged notes which runs a worker lists that the log does not hold there, and tells of
// those that it listed for the first time. They were given up, refused or never ordered; the task
// may run elsewhere, and nothing counts the room that they take, so their worker is ordered to stop them.
func (d *Dispatcher) recordUnlogged(l *leaderState, m *jobqueue.Machine, r *apiv1.JobsReportRequest, now time.Time) {
	worker := r.Worker.GetId()
	w := m.Worker(worker)
	if w == nil {
		return // Its next report is compared with what this one brings into the log.
	}
	var unlogged []jobqueue.RunID
	var news []runEntry
	for _, o := range r.Running {
		id := jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run}
		if w.Runs[id] != nil {
			continue
		}
		unlogged = append(unlogged, id)
		if !slices.Contains(l.unlogged[worker], id) {
			news = append(news, runEntry{id, now})
		}
	}
	if len(unlogged) != len(l.unlogged[worker]) || len(news) > 0 {
		l.orderRevisions[worker]++
	}
	if len(unlogged) == 0 {
		delete(l.unlogged, worker)
		return
	}
	l.unlogged[worker] = unlogged
	if len(news) == 0 {
		return
	}
	d.metrics.unloggedRuns.Inc(int64(len(news)))
	event.UnloggedRuns.Write(d.logger, event.Term(l.term), event.Worker(worker),
		event.Unlogged(formatRuns(map[string][]runEntry{worker: news}, now)))
}
