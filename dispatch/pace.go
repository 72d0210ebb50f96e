package dispatch

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// adjustPaces has the planner learn from a worker's report and set the paces of
// its backfilling runs; the worker's agent is told of a change, and true returned.
func (l *leaderState) adjustPaces(w *jobqueue.Worker, now time.Time) bool {
	l.reportedSinceSave = true
	if w == nil || !l.planner.Observe(w, l.fleet(now), now) {
		return false
	}
	l.orderRevisions[w.Spec.Id]++
	return true
}
