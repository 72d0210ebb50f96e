package jobqueue

import "time"

// Availability is what may start on a worker now: its capacity, unless that is outdated, less all that
// is known to be there. The planner, the leader's orders and the agent decide by it.
type Availability struct {
	// Capacity is the worker's total, as it announced CapacityAge ago.
	Capacity    Resources
	CapacityAge time.Duration
	// MaxCapacityAge is the greatest age of a capacity that still counts; 0 means any.
	MaxCapacityAge time.Duration
	// Reserved is the total of the runs on the worker, including those that are being stopped and
	// those that may begin at any time.
	Reserved Resources
	// UnknownRuns is the number of runs on the worker whose reservations nobody knows.
	UnknownRuns int
}

// Shortage is why a task may not start on a worker.
type Shortage int

// The reasons why a task may not start on a worker.
const (
	ShortageNone Shortage = iota
	// ShortageOutdated: the worker announced its capacity too long ago.
	ShortageOutdated
	// ShortageUnknownRun: the worker has a run whose reservation nobody knows.
	ShortageUnknownRun
	ShortageProcessors
	ShortageMemory
	ShortageAccelerators
	shortageCount
)

var shortageNames = [shortageCount]string{"none", "capacity outdated", "unknown run", "processors", "memory", "accelerators"}

// String returns the shortage's name in logs.
func (s Shortage) String() string { return shortageNames[s] }

// Free returns the resources that no run reserves; negative if the runs exceed the capacity.
func (a Availability) Free() Resources { return a.Capacity.Sub(a.Reserved) }

// ShortageFor returns why a task that needs these resources may not start, ShortageNone if it may.
func (a Availability) ShortageFor(need Resources) Shortage {
	free := a.Free()
	switch {
	case a.isOutdated():
		return ShortageOutdated
	case a.UnknownRuns > 0:
		return ShortageUnknownRun
	case need.CPUMilli > free.CPUMilli:
		return ShortageProcessors
	case need.MemoryMB > free.MemoryMB:
		return ShortageMemory
	case need.Accelerators > free.Accelerators:
		return ShortageAccelerators
	}
	return ShortageNone
}

// Overcommitted reports whether the runs exceed the capacity, or may exceed it.
func (a Availability) Overcommitted() bool {
	return a.UnknownRuns > 0 || !(Resources{}).Fits(a.Free())
}

func (a Availability) isOutdated() bool {
	return a.MaxCapacityAge > 0 && a.CapacityAge > a.MaxCapacityAge
}
