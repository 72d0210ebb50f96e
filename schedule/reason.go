package schedule

import (
	"fmt"
	"strings"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// Reason is why a worker is currently ruled out for a task.
type Reason int

// The reasons that rule out a worker.
const (
	ReasonNone Reason = iota
	// ReasonUnreachable means that the lease has expired or no report has arrived recently.
	ReasonUnreachable
	// ReasonDraining means that the worker is draining.
	ReasonDraining
	// ReasonMaintenance means that the worker is evacuated for the maintenance or the move of its
	// host.
	ReasonMaintenance
	// ReasonAvoided means that the last tasks on the worker failed or stalled, or that it refused a
	// start.
	ReasonAvoided
	// ReasonPool means that the worker belongs to another pool.
	ReasonPool
	// ReasonLabel means that the worker lacks the required label.
	ReasonLabel
	ReasonProcessors
	ReasonMemory
	ReasonAccelerators
	// ReasonSpread means that the worker has as many tasks of the step as one worker may have.
	ReasonSpread
	// ReasonNotAdvised means that there is no valid ticket from the placement advisor for the step
	// on the worker.
	ReasonNotAdvised
	// ReasonRefused means that the placement advisor does not allow the step on the worker.
	ReasonRefused
	// ReasonSlow means that too few processors remain for a backfill task.
	ReasonSlow
	// ReasonInterference means that a backfill task would lengthen the tail latencies on the worker
	// too much.
	ReasonInterference
	// ReasonProbation means that the worker has a task on probation, which may crash it, or that
	// the task to place needs probation and the worker is on probation already, has starts in the
	// same round or has runs that were not yet observed, any of which could be the cause of a
	// crash.
	ReasonProbation
	// ReasonCapacityOutdated means that the worker announced its capacity too long ago.
	ReasonCapacityOutdated
	// ReasonUnknownRun means that the worker has a run whose reservation nobody knows.
	ReasonUnknownRun
	// ReasonCordoned means that the worker's availability zone is cordoned.
	ReasonCordoned
	// ReasonLimit means that the account or the queue has as many tasks or processors in use as it may.
	// It rules out all workers, like ReasonHeld.
	ReasonLimit
	// ReasonHeld means that an operator holds the queue.
	ReasonHeld
	// ReasonTurn means that the worker is kept for a task of an account below its share, which does not
	// fit there yet.
	ReasonTurn
	// ReasonDoubtful means that the runs of the worker make little progress, and that it has as
	// many tasks as its rate permits or may not get the task at all.
	ReasonDoubtful
	// ReasonRuns means that the worker has as many runs as it may have, and that the task is tiny.
	ReasonRuns
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "unreachable", "draining", "maintenance", "avoided", "other pool", "label", "processors", "memory",
	"accelerators", "spread", "not advised", "refused by the advisor", "too slow", "disturbs", "trial", "capacity outdated", "unknown run",
	"zone cordoned", "limit", "queue held", "kept for another account", "slow worker",
	"too many runs",
}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// UnplacedStep is a step with tasks that were ready to start and found no worker.
type UnplacedStep struct {
	Step  jobqueue.StepID
	Tasks int
	// WorkersByReason counts the workers by the reason that rules them out.
	WorkersByReason [reasonCount]int
}

// ReasonSummary returns the reasons and the number of workers that each one rules out.
func (w UnplacedStep) ReasonSummary() string {
	var parts []string
	for r, n := range w.WorkersByReason {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%v %d", Reason(r), n))
		}
	}
	return strings.Join(parts, ", ")
}

// shortageReasons are the reasons for the shortages of a worker.
var shortageReasons = [...]Reason{
	jobqueue.ShortageNone:         ReasonNone,
	jobqueue.ShortageOutdated:     ReasonCapacityOutdated,
	jobqueue.ShortageUnknownRun:   ReasonUnknownRun,
	jobqueue.ShortageProcessors:   ReasonProcessors,
	jobqueue.ShortageMemory:       ReasonMemory,
	jobqueue.ShortageAccelerators: ReasonAccelerators,
}
