package dispatch

import (
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// meters are the dispatcher's metrics.
type meters struct {
	waiting  metrics.Gauge
	planning metrics.Timer
	starts   metrics.Counter
	stops    metrics.Counter
	lapses   metrics.Counter
	refused  metrics.Counter
	ends     metrics.Counter
	advice   metrics.Timer
}

func newMeters(r metrics.Registry) meters {
	return meters{
		waiting:  metrics.GetOrRegisterGauge("dispatch.tasks_waiting", r),
		planning: metrics.GetOrRegisterTimer("dispatch.planning", r),
		starts:   metrics.GetOrRegisterCounter("dispatch.starts", r),
		stops:    metrics.GetOrRegisterCounter("dispatch.stops", r),
		lapses:   metrics.GetOrRegisterCounter("dispatch.leases_lapsed", r),
		refused:  metrics.GetOrRegisterCounter("dispatch.starts_refused", r),
		ends:     metrics.GetOrRegisterCounter("dispatch.ends", r),
		advice:   metrics.GetOrRegisterTimer("dispatch.advice", r),
	}
}

// logDecision writes one line for each start, stop and lost worker.
func (d *Dispatcher) logDecision(m *jobqueue.Machine, l *leadership, p *apiv1.PlanRuns) {
	for _, s := range p.Starts {
		d.meters.starts.Inc(1)
		d.logger.Info("start", zap.Uint64("term", l.term), zap.Stringer("task", jobqueue.TaskIDOf(s.Task)),
			zap.Uint64("run", s.Run), zap.String("worker", s.Worker))
	}
	for _, s := range p.Stops {
		d.meters.stops.Inc(1)
		d.logger.Info("stop", zap.Uint64("term", l.term), zap.Stringer("task", jobqueue.TaskIDOf(s.Task)),
			zap.Uint64("run", s.Run), zap.String("reason", s.Reason))
	}
	for _, id := range p.Lapsed {
		d.meters.lapses.Inc(1)
		d.logger.Warn("lease ran out", zap.Uint64("term", l.term), zap.String("worker", id),
			zap.Int("runs", len(m.Worker(id).Runs)))
	}
}
