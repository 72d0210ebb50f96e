package schedule

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// unlistedTimeout is how long the reports of a worker may lack a long-running run that the log
	// assigns to the worker. A start takes some tenths of a second, and reports arrive twice a
	// second.
	unlistedTimeout = 2500 * time.Millisecond
	// unlistedCheckInterval is the time from one check of all long-running runs to the next. A
	// check takes about 10 ms with 21,000 such runs.
	unlistedCheckInterval = time.Second
)

// stopUnlisted stops long-running runs that are in the log but not on their worker, so that they
// start again. Otherwise an order that was never carried out, or a run whose end was lost, would
// count as running indefinitely. The stop can't harm a run that is about to begin: the worker
// refuses that run from then on, and the run is released only after that.
func (r *round) stopUnlisted() {
	p := r.planner
	if r.now.Sub(p.unlistedCheckedAt) < unlistedCheckInterval {
		return
	}
	p.unlistedCheckedAt = r.now
	unobserved := map[jobqueue.RunID]time.Time{}
	missing := func(run *jobqueue.Run) bool {
		return run.Step.LongRunning && !run.Stopping && r.now.Sub(r.missingSince(run, unobserved)) >= unlistedTimeout
	}
	for _, s := range r.slots {
		reportingSince, reporting := r.fleet.ReportingSince(s.worker.Spec.Id)
		if !reporting {
			continue
		}
		for _, run := range s.worker.RunsMatching(missing) {
			if r.now.Sub(reportingSince) < unlistedTimeout {
				continue
			}
			p.health.markStalled(s.worker.Spec.Id, r.now)
			s.avoided, s.mayRetry = true, false
			r.stop(run.ID, "not listed by its worker")
		}
	}
	p.unobservedSince = unobserved
}

// missingSince returns the time since which a run may be missing on its worker. This is the time at
// which it was last listed. For a run that was never listed, it is the time at which a check first
// found it in the log while the worker was reporting.
func (r *round) missingSince(run *jobqueue.Run, unobserved map[jobqueue.RunID]time.Time) time.Time {
	if o, seen := r.fleet.Observed(run.ID); seen {
		return o.At
	}
	since, known := r.planner.unobservedSince[run.ID]
	if !known {
		since = r.now
	}
	unobserved[run.ID] = since
	return since
}
