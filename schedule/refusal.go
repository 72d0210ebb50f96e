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
	// WorkerUnavailable is set if the worker can take no task for now, whichever it is.
	WorkerUnavailable bool
}

// RecordRefusal takes in that a worker refused a start: a ticket for the step is not used
// again, and a worker that is unable gets nothing for a moment. What goes wrong without the
// pause: the worker stays the best one for the task, which is ordered there again and again.
func (p *Planner) RecordRefusal(f RefusedStart) {
	delete(p.approvals.byStep[f.Step], f.Worker)
	if f.WorkerUnavailable {
		p.health.recordRefusal(f.Worker, f.At)
	}
}
