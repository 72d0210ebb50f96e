package runs

import (
	"strings"

	"github.com/rcrowley/go-metrics"
)

// countCall counts a call of the worker by its answer.
func (d *Driver) countCall(call string, answer Answer, err error) {
	outcome := strings.ReplaceAll(answer.String(), " ", "_")
	if err != nil {
		outcome = "unanswered"
	}
	metrics.GetOrRegisterCounter("runs.calls."+call+"."+outcome, d.opts.Metrics).Inc(1)
}

// metricSet contains the driver's metrics.
type metricSet struct {
	reportsLost     metrics.Counter
	starts          metrics.Counter
	callsUnanswered metrics.Counter
	startsRefused   metrics.Counter
	// capacityOutdated counts the statuses of a worker whose capacity was outdated.
	capacityOutdated metrics.Counter
	// startsCordoned counts the starts that were not sent because the availability zone is cordoned.
	startsCordoned metrics.Counter
}

func newMetricSet(r metrics.Registry) metricSet {
	return metricSet{
		reportsLost:      metrics.GetOrRegisterCounter("runs.reports_lost", r),
		starts:           metrics.GetOrRegisterCounter("runs.starts", r),
		callsUnanswered:  metrics.GetOrRegisterCounter("runs.calls_unanswered", r),
		startsRefused:    metrics.GetOrRegisterCounter("runs.starts_refused", r),
		startsCordoned:   metrics.GetOrRegisterCounter("runs.starts_cordoned", r),
		capacityOutdated: metrics.GetOrRegisterCounter("runs.capacity_outdated", r),
	}
}
