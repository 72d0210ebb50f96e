package dispatch

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// Reasons for the loss of a worker's runs.
const (
	lostLeaseExpired       = "lease ran out"
	lostWorkerUnresponsive = "worker gives no answer"
	lostWorkerLeft         = "worker left"
	lostWorkerReplaced     = "worker was replaced"
)

// savedCheckpoint is a run's last checkpoint and when it was first reported.
type savedCheckpoint struct {
	checkpoint string
	at         time.Time
}

// recordCheckpoint records a checkpoint that a run reports.
func (l *leaderState) recordCheckpoint(id jobqueue.RunID, checkpoint string, now time.Time) {
	if checkpoint != "" && l.savedCheckpoints[id].checkpoint != checkpoint {
		l.savedCheckpoints[id] = savedCheckpoint{checkpoint, now}
	}
}

// recordReportedLosses logs the runs that a report ends without listing their ends.
func (d *Dispatcher) recordReportedLosses(l *leaderState, m *jobqueue.Machine, r *apiv1.JobsReportRequest, now time.Time) {
	worker := m.Worker(r.Worker.GetId())
	if worker == nil && r.Departed {
		return // An incarnation that the log does not contain ends no other one.
	}
	if crashed, crash := l.reportedCrash(m, r, now); crashed != nil && l.lossLoggedEpoch[crashed.Spec.Id] != crashed.Epoch {
		d.logCrash(l, crashed, crash.Worked)
	}
	if previous := m.WorkerOnHost(r.Worker.GetHost()); previous != nil && (worker == nil || previous != worker && !worker.Departed) {
		d.recordLostRuns(l, previous, lostWorkerReplaced, replacedEnd(m, r).GetEnds(), now)
	}
	switch {
	case worker == nil || worker.Departed:
	case r.Departed:
		d.recordLostRuns(l, worker, lostWorkerLeft, r.Ends, now)
	}
}

// recordLostRuns counts and logs a worker's lost runs, without those whose end is known. It does so
// once per epoch of the worker, since reports are repeated.
func (d *Dispatcher) recordLostRuns(l *leaderState, w *jobqueue.Worker, reason string, ends []*apiv1.RunEnd, now time.Time) {
	if l.lossLoggedEpoch[w.Spec.Id] == w.Epoch {
		return
	}
	ended := map[jobqueue.RunID]bool{}
	for _, e := range ends {
		ended[jobqueue.RunID{Task: jobqueue.TaskIDOf(e.Task), Number: e.Run}] = true
	}
	var lost []runEntry
	var work time.Duration
	for _, id := range w.SortedRunIDs() {
		if !ended[id] {
			lost = append(lost, runEntry{id, now})
			l.outages.recordEnd(w.Runs[id], reason, now)
			work += l.unsavedWork(w.Runs[id], now)
		}
	}
	if len(lost) == 0 {
		return
	}
	l.lossLoggedEpoch[w.Spec.Id] = w.Epoch
	d.metrics.workLost.Inc(work.Milliseconds())
	event.RunsLost.Write(d.logger, event.Term(l.term), event.Reason(reason), event.CoreSeconds(work),
		event.UnresponsiveFor(now.Sub(l.leases.get(w.Spec.Id).renewedAt)),
		event.Lost(formatRuns(map[string][]runEntry{w.Spec.Id: lost}, now)))
}

// unsavedWork returns the processor time reserved by a run since its start or its last checkpoint.
// This is an upper bound, since a run may have used less.
func (l *leaderState) unsavedWork(r *jobqueue.Run, now time.Time) time.Duration {
	observed, found := l.observed[r.ID]
	if !found {
		return 0
	}
	since := observed.FirstAt
	if s, ok := l.savedCheckpoints[r.ID]; ok {
		since = s.at
	}
	const milli = 1000
	return now.Sub(since) * time.Duration(r.Step.CpuMilli) / milli
}
