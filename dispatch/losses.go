package dispatch

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// Why a worker's runs are lost.
const (
	lostLeaseExpired       = "lease ran out"
	lostWorkerUnresponsive = "worker gives no answer"
	lostWorkerLeft         = "worker left"
	lostWorkerReplaced     = "worker was replaced"
)

// savedCheckpoint is how far a run's work is safe: its last checkpoint and when that was seen.
type savedCheckpoint struct {
	checkpoint string
	at         time.Time
}

// recordCheckpoint takes in a checkpoint that a run reports.
func (l *leaderState) recordCheckpoint(id jobqueue.RunID, checkpoint string, now time.Time) {
	if checkpoint != "" && l.savedCheckpoints[id].checkpoint != checkpoint {
		l.savedCheckpoints[id] = savedCheckpoint{checkpoint, now}
	}
}

// recordReportedLosses tells of the runs that a report ends without an end of their own.
func (d *Dispatcher) recordReportedLosses(l *leaderState, m *jobqueue.Machine, r *apiv1.JobsReportRequest, now time.Time) {
	worker := m.Worker(r.Worker.GetId())
	if worker == nil && r.Departed {
		return // A life that the log does not know ends no other one.
	}
	if crashed, worked := l.reportedCrash(m, r); crashed != nil && l.lossLoggedEpoch[crashed.Spec.Id] != crashed.Epoch {
		d.logCrash(l, crashed, worked)
	}
	if before := m.WorkerOnHost(r.Worker.GetHost()); before != nil && (worker == nil || before != worker && !worker.Departed) {
		d.recordLostRuns(l, before, lostWorkerReplaced, nil, now)
	}
	switch {
	case worker == nil || worker.Departed:
	case r.Departed:
		d.recordLostRuns(l, worker, lostWorkerLeft, r.Ends, now)
	}
}

// recordLostRuns counts and tells of a worker's runs that are lost, but for those whose end
// is known; once in an epoch of the worker, since reports are repeated.
func (d *Dispatcher) recordLostRuns(l *leaderState, w *jobqueue.Worker, why string, ends []*apiv1.RunEnd, now time.Time) {
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
			l.outages.recordEnd(w.Runs[id], why, now)
			work += l.unsavedWork(w.Runs[id], now)
		}
	}
	if len(lost) == 0 {
		return
	}
	l.lossLoggedEpoch[w.Spec.Id] = w.Epoch
	d.metrics.workLost.Inc(work.Milliseconds())
	event.RunsLost.Write(d.logger, event.Term(l.term), event.Reason(why), event.CoreSeconds(work),
		event.Silent(now.Sub(l.leases.get(w.Spec.Id).renewedAt)),
		event.Lost(formatRuns(map[string][]runEntry{w.Spec.Id: lost}, now)))
}

// unsavedWork is the processor time that a run's allotment came to since its start or
// its last checkpoint: an upper bound, as a run may have used less.
func (l *leaderState) unsavedWork(r *jobqueue.Run, now time.Time) time.Duration {
	seen, known := l.observed[r.ID]
	if !known {
		return 0
	}
	since := seen.FirstAt
	if s, ok := l.savedCheckpoints[r.ID]; ok {
		since = s.at
	}
	const milli = 1000
	return now.Sub(since) * time.Duration(r.Step.CpuMilli) / milli
}
