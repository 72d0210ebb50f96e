package dispatch

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// Why a worker's runs are lost.
const (
	lostByLease       = "lease ran out"
	lostBySilence     = "worker gives no answer"
	lostByDeparture   = "worker left"
	lostByReplacement = "worker was replaced"
)

// saved is how far a run's work is safe: its last checkpoint and when that was seen.
type saved struct {
	checkpoint string
	at         time.Time
}

// noteSaved takes in a checkpoint that a run reports.
func (l *leadership) noteSaved(id jobqueue.RunID, checkpoint string, now time.Time) {
	if checkpoint != "" && l.saved[id].checkpoint != checkpoint {
		l.saved[id] = saved{checkpoint, now}
	}
}

// noteReportedLosses tells of the runs that a report ends without an end of their own.
func (d *Dispatcher) noteReportedLosses(l *leadership, m *jobqueue.Machine, r *apiv1.JobsReportRequest, now time.Time) {
	worker := m.Worker(r.Worker.GetId())
	if worker == nil && r.Departed {
		return // A life that the log does not know ends no other one.
	}
	if crashed, worked := l.crashOf(m, r); crashed != nil && l.lostTold[crashed.Spec.Id] != crashed.Epoch {
		d.tellCrash(l, crashed, worked)
	}
	if before := m.WorkerOnHost(r.Worker.GetHost()); before != nil && (worker == nil || before != worker && !worker.Departed) {
		d.noteLost(l, before, lostByReplacement, nil, now)
	}
	switch {
	case worker == nil || worker.Departed:
	case r.Departed:
		d.noteLost(l, worker, lostByDeparture, r.Ends, now)
	}
}

// noteLost counts and tells of a worker's runs that are lost, but for those whose end
// is known; once in an epoch of the worker, since reports are repeated.
func (d *Dispatcher) noteLost(l *leadership, w *jobqueue.Worker, why string, ends []*apiv1.RunEnd, now time.Time) {
	if l.lostTold[w.Spec.Id] == w.Epoch {
		return
	}
	ended := map[jobqueue.RunID]bool{}
	for _, e := range ends {
		ended[jobqueue.RunID{Task: jobqueue.TaskIDOf(e.Task), Number: e.Run}] = true
	}
	var lost []gatheredRun
	var work time.Duration
	for _, id := range w.SortedRunIDs() {
		if !ended[id] {
			lost = append(lost, gatheredRun{id, now})
			l.outages.noteEnd(w.Runs[id], why, now)
			work += l.unsavedWork(w.Runs[id], now)
		}
	}
	if len(lost) == 0 {
		return
	}
	l.lostTold[w.Spec.Id] = w.Epoch
	d.meters.workLost.Inc(work.Milliseconds())
	event.RunsLost.Write(d.logger, event.Term(l.term), event.Reason(why), event.CoreSeconds(work),
		event.Silent(now.Sub(l.leases.of(w.Spec.Id).renewed)),
		event.Lost(named(map[string][]gatheredRun{w.Spec.Id: lost}, now)))
}

// unsavedWork is the processor time that a run's allotment came to since its start or
// its last checkpoint: an upper bound, as a run may have used less.
func (l *leadership) unsavedWork(r *jobqueue.Run, now time.Time) time.Duration {
	seen, known := l.observed[r.ID]
	if !known {
		return 0
	}
	since := seen.FirstAt
	if s, ok := l.saved[r.ID]; ok {
		since = s.at
	}
	const milli = 1000
	return now.Sub(since) * time.Duration(r.Step.CpuMilli) / milli
}
