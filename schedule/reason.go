package schedule

import (
	"fmt"
	"strings"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// Reason is why a worker does not get a task for now.
type Reason int

// The reasons against a worker.
const (
	ReasonNone Reason = iota
	// ReasonUnreachable: the lease ran out or no report came lately.
	ReasonUnreachable
	ReasonDraining
	// ReasonMaintenance: the worker is emptied for its host's maintenance.
	ReasonMaintenance
	// ReasonAvoided: the worker failed its last tasks, or they stood still.
	ReasonAvoided
	// ReasonPool and ReasonLabel: it is of another pool or lacks the label.
	ReasonPool
	ReasonLabel
	ReasonProcessors
	ReasonMemory
	ReasonAccelerators
	// ReasonSpread: it holds as many tasks of the step as one worker may.
	ReasonSpread
	// ReasonNotAdvised: the placement advisor has not said yet whether the worker may
	// run the step. ReasonRefused: it said that the worker may not.
	ReasonNotAdvised
	ReasonRefused
	// ReasonSlow: the processors left are too few for a backfilling task.
	ReasonSlow
	// ReasonInterference: a backfilling task would lengthen the tails there too much.
	ReasonInterference
	// ReasonProbation: a task is on trial there that may crash its worker, or the task to place is
	// and work that may do so has just started there.
	ReasonProbation
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "unreachable", "draining", "maintenance", "avoided", "other pool", "label", "processors", "memory",
	"accelerators", "spread", "not advised", "refused by the advisor", "too slow", "disturbs", "trial",
}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

// UnplacedStep is a step with tasks that could start and found no worker.
type UnplacedStep struct {
	Step  jobqueue.StepID
	Tasks int
	// WorkersByReason counts the workers by the reason against them.
	WorkersByReason [reasonCount]int
}

// ReasonSummary returns the reasons and how many workers each rules out.
func (w UnplacedStep) ReasonSummary() string {
	var parts []string
	for r, n := range w.WorkersByReason {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%v %d", Reason(r), n))
		}
	}
	return strings.Join(parts, ", ")
}

// capacityReason says which resource is short.
func capacityReason(need, free jobqueue.Resources) Reason {
	switch {
	case need.CPUMilli > free.CPUMilli:
		return ReasonProcessors
	case need.MemoryMB > free.MemoryMB:
		return ReasonMemory
	case need.Accelerators > free.Accelerators:
		return ReasonAccelerators
	}
	return ReasonNone
}
