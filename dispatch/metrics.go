package dispatch

import (
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// countByKind counts one more of a name that is known only when it comes up, as a reason or
// a queue's name.
func (d *Dispatcher) countByKind(name, kind string) {
	metrics.GetOrRegisterCounter(name+"."+strings.ReplaceAll(kind, " ", "_"), d.opts.Metrics).Inc(1)
}

// countCall counts a call of the platform by what became of it.
func (d *Dispatcher) countCall(name string, err error) {
	if err != nil {
		d.countByKind(name, "unanswered")
		return
	}
	d.countByKind(name, "answered")
}

// countObjectiveMisses counts the reports of serving runs whose tail is over their objective, by
// queue.
func (d *Dispatcher) countObjectiveMisses(m *jobqueue.Machine, running []*apiv1.RunObservation) {
	for _, o := range running {
		run := m.Run(jobqueue.RunID{Task: jobqueue.TaskIDOf(o.Task), Number: o.Run})
		if run == nil || run.Step.TailObjectiveMs == 0 || o.Figure <= run.Step.TailObjectiveMs {
			continue
		}
		d.countByKind("dispatch.objective_misses", m.QueueOf(run.Job()).GetName())
	}
}

// countStart notes how long a task was ready before its start, as far as this leader
// saw: since the first round that found no worker for its step.
func (d *Dispatcher) countStart(l *leaderState, s *apiv1.StartRun, now time.Time) {
	d.metrics.starts.Inc(1)
	waited := time.Duration(0)
	if wait, ok := l.loggedWaits[jobqueue.TaskIDOf(s.Task).StepID()]; ok {
		waited = now.Sub(wait.since)
	}
	d.metrics.readyToStart.Observe(waited)
}
