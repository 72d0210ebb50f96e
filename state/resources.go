package state

import (
	"math"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Resources is an amount of resources: thousandths of a processor, bytes of memory and
// whole accelerators. Unlike apiv1.Resources it is a comparable value.
type Resources struct {
	MilliProcessors int64
	MemoryBytes     int64
	Accelerators    int64
}

// ResourcesOf returns the amount in a message; nil is the zero amount.
func ResourcesOf(r *apiv1.Resources) Resources {
	return Resources{r.GetMilliProcessors(), r.GetMemoryBytes(), r.GetAccelerators()}
}

// Message returns the amount as a message.
func (a Resources) Message() *apiv1.Resources {
	return &apiv1.Resources{
		MilliProcessors: a.MilliProcessors,
		MemoryBytes:     a.MemoryBytes,
		Accelerators:    a.Accelerators,
	}
}

func (a Resources) negative() bool {
	return a.MilliProcessors < 0 || a.MemoryBytes < 0 || a.Accelerators < 0
}

// plus adds two non-negative amounts and reports false on overflow. A sum that wrapped
// around would look like free capacity, so it must never be compared with a limit.
func (a Resources) plus(b Resources) (Resources, bool) {
	if a.MilliProcessors > math.MaxInt64-b.MilliProcessors ||
		a.MemoryBytes > math.MaxInt64-b.MemoryBytes ||
		a.Accelerators > math.MaxInt64-b.Accelerators {
		return Resources{}, false
	}
	return Resources{
		a.MilliProcessors + b.MilliProcessors,
		a.MemoryBytes + b.MemoryBytes,
		a.Accelerators + b.Accelerators,
	}, true
}

// Minus subtracts b from a.
func (a Resources) Minus(b Resources) Resources {
	return Resources{
		a.MilliProcessors - b.MilliProcessors,
		a.MemoryBytes - b.MemoryBytes,
		a.Accelerators - b.Accelerators,
	}
}

// Within reports whether a is at most limit in each resource.
func (a Resources) Within(limit Resources) bool {
	return a.MilliProcessors <= limit.MilliProcessors &&
		a.MemoryBytes <= limit.MemoryBytes &&
		a.Accelerators <= limit.Accelerators
}

// withinQuota is like Within, but a zero field of the quota means no limit.
func (a Resources) withinQuota(quota Resources) bool {
	return (quota.MilliProcessors == 0 || a.MilliProcessors <= quota.MilliProcessors) &&
		(quota.MemoryBytes == 0 || a.MemoryBytes <= quota.MemoryBytes) &&
		(quota.Accelerators == 0 || a.Accelerators <= quota.Accelerators)
}
