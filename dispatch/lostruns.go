package dispatch

import (
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// lateStartBound is longer than a start without an answer takes to be carried out.
const lateStartBound = 15 * time.Second

// lostStarts are the runs that the log has lost with their worker's lease, by worker, from the worker's
// next report on, with which the log forgets them. The agent that ordered their starts may be gone, so its
// successor has to be told of them.
type lostStarts map[string]lostWorkerStarts

type lostWorkerStarts struct {
	runs []jobqueue.RunID
	// reportedAt is when the worker reported again.
	reportedAt time.Time
}

// record records the runs that the log is about to forget with a report of a worker, which may be nil.
func (s lostStarts) record(w *jobqueue.Worker, now time.Time) {
	if w == nil {
		return
	}
	if lost := w.LostRuns(); len(lost) > 0 {
		s[w.Spec.Id] = lostWorkerStarts{runs: sortedUnion(s[w.Spec.Id].runs, lost), reportedAt: now}
	}
}

func (s lostStarts) prune(now time.Time) {
	for worker, lost := range s {
		if now.Sub(lost.reportedAt) > lateStartBound {
			delete(s, worker)
		}
	}
}

// lostRuns returns the runs that were lost on a worker and that a start may still begin.
func (l *leaderState) lostRuns(m *jobqueue.Machine, worker string) []*apiv1.RunReservation {
	runs := l.lostStarts[worker].runs
	if w := m.Worker(worker); w != nil {
		runs = sortedUnion(runs, w.LostRuns())
	}
	var list []*apiv1.RunReservation
	for _, id := range runs {
		list = append(list, runReservation(id, m.StepSpec(id.Task)))
	}
	return list
}

// sortedUnion returns the runs in either list, in order.
func sortedUnion(a, b []jobqueue.RunID) []jobqueue.RunID {
	return slices.Compact(slices.SortedFunc(slices.Values(slices.Concat(a, b)), jobqueue.CompareRunIDs))
}
