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

// meters are the driver's metrics.
type meters struct {
	reportsLost metrics.Counter
	starts      metrics.Counter
	unanswered  metrics.Counter
	refused     metrics.Counter
}

func newMeters(r metrics.Registry) meters {
	return meters{
		reportsLost: metrics.GetOrRegisterCounter("runs.reports_lost", r),
		starts:      metrics.GetOrRegisterCounter("runs.starts", r),
		unanswered:  metrics.GetOrRegisterCounter("runs.calls_unanswered", r),
		refused:     metrics.GetOrRegisterCounter("runs.starts_refused", r),
	}
}
