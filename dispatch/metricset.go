package dispatch

import (
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/hdrmetric"
	"github.com/cairnlift/cairnlift/jobqueue"
	"github.com/cairnlift/cairnlift/logging/event"
)

// metricSet contains the dispatcher's metrics.
type metricSet struct {
	tasksWaiting  metrics.Gauge
	planning      *hdrmetric.Histogram
	starts        metrics.Counter
	stops         metrics.Counter
	leaseExpiries metrics.Counter
	refused       metrics.Counter
	ends          metrics.Counter
	advice        *hdrmetric.Histogram
	// readyToStart is how long tasks were ready before they started. workLost is the reserved
	// processor time of lost runs, in core-milliseconds.
	readyToStart *hdrmetric.Histogram
	workLost     metrics.Counter
	// workerCrashes counts the workers that ended without notice.
	workerCrashes metrics.Counter
	// jobsAtCrashLimit counts the jobs that failed because their tasks crash workers.
	jobsAtCrashLimit metrics.Counter
	paceOrders       metrics.Counter
	// zonesCordoned is the number of cordoned availability zones.
	zonesCordoned metrics.Gauge
	// queuesHeld is the number of held queues.
	queuesHeld metrics.Gauge
	// reportsOutdated counts the reports that arrived after newer ones of the same worker.
	reportsOutdated metrics.Counter
	// hostEntriesSetAside counts the entries of hosts that are listed more than once and do not hold.
	hostEntriesSetAside metrics.Counter
	// endsOfOtherHosts counts the reports that a worker of another host has ended.
	endsOfOtherHosts metrics.Counter
	// unloggedRuns counts the runs that workers listed and the log did not contain.
	unloggedRuns metrics.Counter
	// overcommitted counts the lines about workers over their capacity.
	overcommitted metrics.Counter
	// stopsOverdue is the number of runs that outlast their stops.
	stopsOverdue metrics.Gauge
	// longRunningNotRunning is the number of long-running tasks that are not known to run, and
	// longRunningOutage is the length of each of their outages.
	longRunningNotRunning metrics.Gauge
	longRunningOutage     *hdrmetric.Histogram
	// accountsWaiting is the number of accounts whose tasks find no capacity while others use some.
	accountsWaiting metrics.Gauge
	// copiesStarted counts the copies of stragglers, copiesWon those that were the first run of
	// their task to succeed and copiesWasted the others that ended. stragglersMoved counts the
	// ordered moves.
	copiesStarted, copiesWon, copiesWasted, stragglersMoved metrics.Counter
}

func newMetricSet(r metrics.Registry) metricSet {
	return metricSet{
		tasksWaiting:  metrics.GetOrRegisterGauge("dispatch.tasks_waiting", r),
		planning:      hdrmetric.GetOrRegister("dispatch.planning_us", r),
		starts:        metrics.GetOrRegisterCounter("dispatch.starts", r),
		stops:         metrics.GetOrRegisterCounter("dispatch.stops", r),
		leaseExpiries: metrics.GetOrRegisterCounter("dispatch.leases_lapsed", r),
		refused:       metrics.GetOrRegisterCounter("dispatch.starts_refused", r),
		ends:          metrics.GetOrRegisterCounter("dispatch.ends", r),
		advice:        hdrmetric.GetOrRegister("dispatch.advice_us", r),

		readyToStart:     hdrmetric.GetOrRegister("dispatch.ready_to_start_us", r),
		zonesCordoned:    metrics.GetOrRegisterGauge("dispatch.zones_cordoned", r),
		queuesHeld:       metrics.GetOrRegisterGauge("dispatch.queues_held", r),
		workLost:         metrics.GetOrRegisterCounter("dispatch.work_lost_core_ms", r),
		jobsAtCrashLimit: metrics.GetOrRegisterCounter("dispatch.jobs_given_up", r),
		workerCrashes:    metrics.GetOrRegisterCounter("dispatch.workers_crashed", r),
		paceOrders:       metrics.GetOrRegisterCounter("dispatch.pace_orders", r),

		hostEntriesSetAside: metrics.GetOrRegisterCounter("dispatch.host_entries_set_aside", r),
		endsOfOtherHosts:    metrics.GetOrRegisterCounter("dispatch.ends_of_other_hosts", r),
		reportsOutdated:     metrics.GetOrRegisterCounter("dispatch.reports_outdated", r),

		unloggedRuns: metrics.GetOrRegisterCounter("dispatch.runs_unlogged", r),

		overcommitted: metrics.GetOrRegisterCounter("dispatch.workers_overcommitted", r),

		stopsOverdue: metrics.GetOrRegisterGauge("dispatch.stops_overdue", r),

		longRunningNotRunning: metrics.GetOrRegisterGauge("dispatch.long_running_away", r),
		longRunningOutage:     hdrmetric.GetOrRegister("dispatch.long_running_outage_us", r),

		accountsWaiting: metrics.GetOrRegisterGauge("dispatch.accounts_waiting", r),
		copiesStarted:   metrics.GetOrRegisterCounter("dispatch.copies_started", r),
		copiesWon:       metrics.GetOrRegisterCounter("dispatch.copies_won", r),
		copiesWasted:    metrics.GetOrRegisterCounter("dispatch.copies_wasted", r),
		stragglersMoved: metrics.GetOrRegisterCounter("dispatch.stragglers_moved", r),
	}
}

// logDecision logs each start, each stop and each worker whose lease expired.
func (d *Dispatcher) logDecision(m *jobqueue.Machine, l *leaderState, p *apiv1.PlanRuns, now time.Time) {
	for _, s := range p.Starts {
		d.countStart(l, s, now)
		l.logStart(m, s, now)
	}
	for _, s := range p.Stops {
		d.metrics.stops.Inc(1)
		event.RunStop.Write(d.logger, event.Term(l.term), event.Task(jobqueue.TaskIDOf(s.Task)), event.Run(s.Run),
			event.Reason(s.Reason))
	}
	l.logProbationsPassed(d.logger, p.TrialsOver)
	for _, id := range p.Lapsed {
		d.metrics.leaseExpiries.Inc(1)
		lease := l.leases.get(id)
		event.LeaseExpired.Write(d.logger, event.Term(l.term), event.Worker(id), event.RunCount(len(m.Worker(id).Runs)),
			event.UnresponsiveFor(now.Sub(lease.renewedAt)), event.Lease(lease.duration))
		d.recordLostRuns(l, m.Worker(id), lostLeaseExpired, nil, now)
	}
}
