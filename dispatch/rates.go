package dispatch

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/schedule"
	"github.com/cairnlift/cairnlift/state"
)

// readWorkers returns the observed rates of all workers.
func (d *Dispatcher) readWorkers() *apiv1.JobsReadResponse {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.readyLeader()
	if l == nil {
		return &apiv1.JobsReadResponse{Unconfirmed: true}
	}
	resp := &apiv1.JobsReadResponse{Outcome: apiv1.JobOutcome_JOB_OUTCOME_OK, WorkersRated: d.opts.WorkerRates}
	d.opts.Replica.ReadState(func(m *state.Machine) {
		for _, r := range l.planner.Rates(m.CallerJobs()) {
			resp.Workers = append(resp.Workers, &apiv1.WorkerRateRecord{
				Worker: r.Worker, AvailabilityZone: r.Zone, Rate: r.Rate, Uncertainty: r.Uncertainty, Samples: r.Samples, Reason: r.Reason,
			})
		}
	})
	return resp
}

// reportRates logs the changes of what the planner believes of workers and counts what it did about
// stragglers.
func (d *Dispatcher) reportRates(l *leaderState) {
	for _, c := range l.planner.RateChanges() {
		event.RateBeliefChanged.Write(d.logger, event.Term(l.term), event.RateSubject(c.Subject), event.Slow(c.Slow), event.Rate(c.Rate),
			event.Uncertainty(c.Uncertainty), event.Samples(c.Samples), event.WorkerCount(c.Workers))
	}
	counts := l.planner.Stragglers()
	d.metrics.copiesStarted.Inc(counts.CopiesStarted - l.stragglers.CopiesStarted)
	d.metrics.copiesWon.Inc(counts.CopiesWon - l.stragglers.CopiesWon)
	d.metrics.copiesWasted.Inc(counts.CopiesWasted - l.stragglers.CopiesWasted)
	d.metrics.stragglersMoved.Inc(counts.Moves - l.stragglers.Moves)
	l.stragglers = counts
}

// newPlanner returns a planner with the dispatcher's options.
func (d *Dispatcher) newPlanner() *schedule.Planner {
	return schedule.NewWithOptions(schedule.Options{WorkerRates: d.opts.WorkerRates, MaxInterference: d.opts.MaxInterference})
}
