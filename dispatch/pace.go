package dispatch

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// adjustPaces has the planner learn from a worker's report and set the paces of its backfill runs.
// It reports whether a pace changed, and then marks the worker's orders as changed.
func (l *leaderState) adjustPaces(m *jobqueue.Machine, w *jobqueue.Worker, now time.Time) bool {
	l.reportedSinceSave = true
	if w == nil || !l.planner.Observe(w, l.fleet(m, now), now) {
		return false
	}
	l.orderRevisions[w.Spec.Id]++
	return true
}
