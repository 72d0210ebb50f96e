package dispatch

import (
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
	"github.com/cairnlift/cairnlift/state"
)

// logCordons logs each order that cordoned or uncordoned an availability zone and that this leader has
// not logged yet. A new leader logs the zones that are cordoned.
func (d *Dispatcher) logCordons(l *leaderState, m *jobqueue.Machine) {
	cordoned := 0
	for _, c := range m.Cordons() {
		if c.Cordoned {
			cordoned++
		}
		if l.loggedCordons[c.Zone] != c.Cordoned {
			l.loggedCordons[c.Zone] = c.Cordoned
			d.logCordon(l.term, m, c)
		}
	}
	d.metrics.zonesCordoned.Update(int64(cordoned))
}

func (d *Dispatcher) logCordon(term uint64, m *jobqueue.Machine, c *apiv1.ZoneCordon) {
	workers, runs := 0, 0
	for _, w := range m.Workers() {
		if w.Spec.AvailabilityZone == c.Zone {
			workers++
			runs += len(w.Runs)
		}
	}
	event.CordonInEffect.Write(d.logger, event.Term(term), event.AvailabilityZone(c.Zone), event.Cordoned(c.Cordoned),
		event.Revision(c.Revision), event.OrderedBy(c.Operator), event.WorkerCount(workers), event.RunCount(runs))
}

// readZones reads all availability zones: those of the workers of submitted jobs, of the workers of
// declared jobs, and those about which there was an order.
func readZones(m *state.Machine, resp *apiv1.JobsReadResponse) {
	zones := m.CallerJobs().Zones()
	m.EachWorker(func(w state.Worker) { zones.AddWorker(w.AvailabilityZone, w.Tasks) })
	resp.Outcome, resp.Zones = apiv1.JobOutcome_JOB_OUTCOME_OK, zones.Sorted()
}
