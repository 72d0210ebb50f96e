package dispatch

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// countByKind increments the counter of a kind that is known only at run time, such as a reason or
// a queue's name.
func (d *Dispatcher) countByKind(name, kind string) {
	metrics.GetOrRegisterCounter(name+"."+strings.ReplaceAll(kind, " ", "_"), d.opts.Metrics).Inc(1)
}

// countCall counts a call to the platform by whether it was answered.
func (d *Dispatcher) countCall(name string, err error) {
	if err != nil {
		d.countByKind(name, "unanswered")
		return
	}
	d.countByKind(name, "answered")
}

// countObjectiveMisses counts the reports of serving runs whose tail latency exceeds their
// objective, by queue.
func (d *Dispatcher) countObjectiveMisses(m *jobqueue.Machine, running []*apiv1.RunObservation) {
	for _, o := range running {
		run := m.Run(jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run})
		if run == nil || run.Step.TailObjectiveMs == 0 || o.Figure <= run.Step.TailObjectiveMs {
			continue
		}
		d.countByKind("dispatch.objective_misses", run.Job().Queue.GetName())
	}
}

// countStart counts a start and records how long the task was ready before it, as far as this
// leader knows: since the first round that found no worker for its step.
func (d *Dispatcher) countStart(l *leaderState, s *apiv1.StartRun, now time.Time) {
	d.metrics.starts.Inc(1)
	waited := time.Duration(0)
	if wait, ok := l.loggedWaits[jobqueue.TaskIDOf(s.Task).StepID()]; ok {
		waited = now.Sub(wait.since)
	}
	d.metrics.readyToStart.Observe(waited)
}
