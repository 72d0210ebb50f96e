package schedule

import (
	"maps"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

// Durations is a copy of the expected durations of tasks. Unlike the planner it may be used
// concurrently.
type Durations struct{ planner Planner }

// Durations returns a copy of what the planner expects now.
func (p *Planner) Durations() Durations {
	return Durations{Planner{durations: durationTable{byImage: maps.Clone(p.durations.byImage)}}}
}

// Expected returns the expected duration of a task of a step.
func (d *Durations) Expected(s *apiv1.JobStep) time.Duration { return d.planner.durations.expected(s) }

// Chain returns the expected duration of the longest chain of steps, and the time that a queue allows
// for it from when it is due.
func (d *Durations) Chain(q *apiv1.JobQueue, steps []*apiv1.JobStep) (chain, allowed time.Duration) {
	o := &jobqueue.Occurrence{}
	for _, s := range steps {
		o.Steps = append(o.Steps, &jobqueue.Step{Spec: s})
	}
	return d.planner.criticalPath(o, false), d.planner.AllowedTime(q, o)
}

// LacksCapacity reports whether workers were ruled out for the step because they have too little free
// capacity.
func (w UnplacedStep) LacksCapacity() bool {
	for _, r := range []Reason{ReasonProcessors, ReasonMemory, ReasonAccelerators, ReasonSlow, ReasonInterference} {
		if w.WorkersByReason[r] > 0 {
			return true
		}
	}
	return false
}
