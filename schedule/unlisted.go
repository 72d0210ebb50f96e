package schedule

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// unlistedTimeout is how long the reports of a worker may lack a long-running run that the
	// log holds there: a start takes some tenths of a second, and reports come twice a second.
	unlistedTimeout = 2500 * time.Millisecond
	// unlistedCheckInterval is the time between two looks at all long-running runs: one takes some 10 ms
	// where there are 21,000.
	unlistedCheckInterval = time.Second
)

// stopUnlisted stops long-running runs that stand in the log and not on their worker, so that
// they start again. What goes wrong without it: an order that was never carried out, or a run
// whose end got lost, counts as running for good. The stop harms no run that is about to begin:
// the worker refuses that run from then on, and it is given back only then.
func (r *round) stopUnlisted() {
	p := r.planner
	if r.now.Sub(p.unlistedCheckedAt) < unlistedCheckInterval {
		return
	}
	p.unlistedCheckedAt = r.now
	unseen := map[jobqueue.RunID]time.Time{}
	missing := func(run *jobqueue.Run) bool {
		return run.Step.LongRunning && !run.Stopping && r.now.Sub(r.missingSince(run, unseen)) >= unlistedTimeout
	}
	for _, s := range r.slots {
		heardSince, heard := r.fleet.ReportingSince(s.worker.Spec.Id)
		if !heard {
			continue
		}
		for _, run := range s.worker.RunsMatching(missing) {
			if r.now.Sub(heardSince) < unlistedTimeout {
				continue
			}
			p.health.markStalled(s.worker.Spec.Id, r.now)
			s.avoided, s.mayRetry = true, false
			r.stop(run.ID, "not listed by its worker")
		}
	}
	p.unobservedSince = unseen
}

// missingSince returns since when a run may be missing on its worker: when it was last listed
// or, for one that never was, first found in the log by a look while the worker was heard.
func (r *round) missingSince(run *jobqueue.Run, unseen map[jobqueue.RunID]time.Time) time.Time {
	if o, seen := r.fleet.Observed(run.ID); seen {
		return o.At
	}
	since, known := r.planner.unobservedSince[run.ID]
	if !known {
		since = r.now
	}
	unseen[run.ID] = since
	return since
}
