package lease

import (
	"math"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Amount is a sum of resources in the units of apiv1.Resources.
type Amount struct {
	MilliProcessors, MemoryBytes, Accelerators int64
}

func amountOf(r *apiv1.Resources) Amount {
	return Amount{r.GetMilliProcessors(), r.GetMemoryBytes(), r.GetAccelerators()}
}

// Add returns the sum. It sticks at the largest value instead of overflowing, so
// that a huge request never wraps around into a small one that fits.
func (a Amount) Add(r *apiv1.Resources) Amount {
	return Amount{
		addSaturating(a.MilliProcessors, r.GetMilliProcessors()),
		addSaturating(a.MemoryBytes, r.GetMemoryBytes()),
		addSaturating(a.Accelerators, r.GetAccelerators()),
	}
}

func addSaturating(a, b int64) int64 {
	if b > math.MaxInt64-a {
		return math.MaxInt64
	}
	return a + b
}

func (a Amount) fitsIn(capacity Amount) bool {
	return a.MilliProcessors <= capacity.MilliProcessors &&
		a.MemoryBytes <= capacity.MemoryBytes &&
		a.Accelerators <= capacity.Accelerators
}

func validResources(r *apiv1.Resources) bool {
	return r != nil && r.MilliProcessors >= 0 && r.MemoryBytes >= 0 && r.Accelerators >= 0
}
