package schedule

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// RefusedStart is a start that a worker refused.
type RefusedStart struct {
	Step   jobqueue.StepID
	Worker string
	At     time.Time
	// WorkerUnavailable is set if the worker can currently take no task at all.
	WorkerUnavailable bool
}

// RecordRefusal records that a worker refused a start. The ticket for the step is not used again,
// and an unavailable worker gets no task for refusalPause. Without that pause, the worker would
// remain the best one for the task, which would be ordered there again and again.
func (p *Planner) RecordRefusal(f RefusedStart) {
	delete(p.approvals.byStep[f.Step], f.Worker)
	if f.WorkerUnavailable {
		p.health.recordRefusal(f.Worker, f.At)
	}
}
