package dispatch

import (
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/hdrmetric"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// meters are the dispatcher's metrics.
type meters struct {
	waiting  metrics.Gauge
	planning *hdrmetric.Histogram
	starts   metrics.Counter
	stops    metrics.Counter
	lapses   metrics.Counter
	refused  metrics.Counter
	ends     metrics.Counter
	advice   *hdrmetric.Histogram
	// readyToStart is how long tasks were ready before they started, workLost the
	// allotted processor time of lost runs in core-milliseconds.
	readyToStart *hdrmetric.Histogram
	workLost     metrics.Counter
	// crashes counts the workers that ended without notice.
	crashes metrics.Counter
	// jobsGivenUp counts the jobs that failed since their tasks crash their workers.
	jobsGivenUp metrics.Counter
	paceOrders  metrics.Counter
	// reportsOutdated counts the reports that came after newer ones of their worker.
	reportsOutdated metrics.Counter
	// unlogged counts the runs that workers listed and the log did not hold.
	unlogged metrics.Counter
	// longRunningAway counts the long-running tasks that are not known to run, and
	// longRunningOutage is how long each was away.
	longRunningAway   metrics.Gauge
	longRunningOutage *hdrmetric.Histogram
}

func newMeters(r metrics.Registry) meters {
	return meters{
		waiting:  metrics.GetOrRegisterGauge("dispatch.tasks_waiting", r),
		planning: hdrmetric.GetOrRegister("dispatch.planning_us", r),
		starts:   metrics.GetOrRegisterCounter("dispatch.starts", r),
		stops:    metrics.GetOrRegisterCounter("dispatch.stops", r),
		lapses:   metrics.GetOrRegisterCounter("dispatch.leases_lapsed", r),
		refused:  metrics.GetOrRegisterCounter("dispatch.starts_refused", r),
		ends:     metrics.GetOrRegisterCounter("dispatch.ends", r),
		advice:   hdrmetric.GetOrRegister("dispatch.advice_us", r),

		readyToStart: hdrmetric.GetOrRegister("dispatch.ready_to_start_us", r),
		workLost:     metrics.GetOrRegisterCounter("dispatch.work_lost_core_ms", r),
		jobsGivenUp:  metrics.GetOrRegisterCounter("dispatch.jobs_given_up", r),
		crashes:      metrics.GetOrRegisterCounter("dispatch.workers_crashed", r),
		paceOrders:   metrics.GetOrRegisterCounter("dispatch.pace_orders", r),

		reportsOutdated: metrics.GetOrRegisterCounter("dispatch.reports_outdated", r),

		unlogged: metrics.GetOrRegisterCounter("dispatch.runs_unlogged", r),

		longRunningAway:   metrics.GetOrRegisterGauge("dispatch.long_running_away", r),
		longRunningOutage: hdrmetric.GetOrRegister("dispatch.long_running_outage_us", r),
	}
}

// logDecision tells of each start, stop and lost worker.
func (d *Dispatcher) logDecision(m *jobqueue.Machine, l *leadership, p *apiv1.PlanRuns, now time.Time) {
	for _, s := range p.Starts {
		d.countStart(l, s, now)
		l.logStart(m, s, now)
	}
	for _, s := range p.Stops {
		d.meters.stops.Inc(1)
		event.RunStop.Write(d.logger, event.Term(l.term), event.Task(jobqueue.TaskIDOf(s.Task)), event.Run(s.Run),
			event.Reason(s.Reason))
	}
	l.tellTrialsOver(d.logger, p.TrialsOver)
	for _, id := range p.Lapsed {
		d.meters.lapses.Inc(1)
		lease := l.leases.of(id)
		event.LeaseRanOut.Write(d.logger, event.Term(l.term), event.Worker(id), event.RunCount(len(m.Worker(id).Runs)),
			event.Silent(now.Sub(lease.renewed)), event.Lease(lease.duration))
		d.noteLost(l, m.Worker(id), lostByLease, nil, now)
	}
}
