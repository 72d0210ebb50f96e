package schedule

import (
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// Refusal is a start that a worker refused.
type Refusal struct {
	Step   jobqueue.StepID
	Worker string
	At     time.Time
	// Unable is set if the worker can take no task for now, whichever it is.
	Unable bool
}

// StartRefused takes in that a worker refused a start: a ticket for the step is not used
// again, and a worker that is unable gets nothing for a moment. What goes wrong without the
// pause: the worker stays the best one for the task, which is ordered there again and again.
func (p *Planner) StartRefused(f Refusal) {
	delete(p.approvals.bySteps[f.Step], f.Worker)
	if f.Unable {
		p.health.refused(f.Worker, f.At)
	}
}
