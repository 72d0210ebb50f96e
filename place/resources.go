package place

import (
	"fmt"
	"math"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// FromProto converts the wire form; nil is nothing.
func FromProto(r *apiv1.Resources) Resources {
	return Resources{
		MilliProcessors: r.GetMilliProcessors(),
		MemoryBytes:     r.GetMemoryBytes(),
		Accelerators:    r.GetAccelerators(),
	}
}

// Add returns the sum, and false when a field overflows.
func (r Resources) Add(o Resources) (Resources, bool) {
	sum := Resources{
		MilliProcessors: r.MilliProcessors + o.MilliProcessors,
		MemoryBytes:     r.MemoryBytes + o.MemoryBytes,
		Accelerators:    r.Accelerators + o.Accelerators,
	}
	ok := noOverflow(r.MilliProcessors, o.MilliProcessors, sum.MilliProcessors) &&
		noOverflow(r.MemoryBytes, o.MemoryBytes, sum.MemoryBytes) &&
		noOverflow(r.Accelerators, o.Accelerators, sum.Accelerators)
	return sum, ok
}

// noOverflow reports whether a+b=sum did not wrap around.
func noOverflow(a, b, sum int64) bool {
	return (b >= 0) == (sum >= a)
}

// Sub returns the difference with negative fields set to zero.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliProcessors: saturatingSub(r.MilliProcessors, o.MilliProcessors),
		MemoryBytes:     saturatingSub(r.MemoryBytes, o.MemoryBytes),
		Accelerators:    saturatingSub(r.Accelerators, o.Accelerators),
	}
}

func saturatingSub(a, b int64) int64 {
	if b >= a {
		return 0
	}
	if b < 0 {
		return a
	}
	return a - b
}

// Fits reports whether every field is at most that of room.
func (r Resources) Fits(room Resources) bool {
	return r.MilliProcessors <= room.MilliProcessors &&
		r.MemoryBytes <= room.MemoryBytes &&
		r.Accelerators <= room.Accelerators
}

// Valid reports whether no field is negative.
func (r Resources) Valid() bool {
	return r.MilliProcessors >= 0 && r.MemoryBytes >= 0 && r.Accelerators >= 0
}

// IsZero reports whether every field is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// String prints the fields with units for reasons and logs.
func (r Resources) String() string {
	const mebibyte = 1 << 20
	return fmt.Sprintf("%dm processors, %d MiB, %d accelerators",
		r.MilliProcessors, r.MemoryBytes/mebibyte, r.Accelerators)
}

// withinLimit reports whether r respects a limit whose zero fields are unlimited.
func (r Resources) withinLimit(limit Resources) bool {
	return underLimit(r.MilliProcessors, limit.MilliProcessors) &&
		underLimit(r.MemoryBytes, limit.MemoryBytes) &&
		underLimit(r.Accelerators, limit.Accelerators)
}

func underLimit(v, limit int64) bool { return limit == 0 || v <= limit }

// dominantShare is the largest of the three shares of total, the measure of
// Dominant Resource Fairness (Ghodsi et al., NSDI 2011).
func (r Resources) dominantShare(total Resources) float64 {
	return max(
		ratio(r.MilliProcessors, total.MilliProcessors),
		ratio(r.MemoryBytes, total.MemoryBytes),
		ratio(r.Accelerators, total.Accelerators),
	)
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// scale multiplies processors and memory by factors; accelerators are exact.
// A product that does not fit stays at the largest integer, which fits nowhere.
func (r Resources) scale(processors, memory float64) Resources {
	return Resources{
		MilliProcessors: scaled(r.MilliProcessors, processors),
		MemoryBytes:     scaled(r.MemoryBytes, memory),
		Accelerators:    r.Accelerators,
	}
}

func scaled(v int64, factor float64) int64 {
	f := math.Ceil(float64(v) * factor)
	if f >= math.MaxInt64 {
		return math.MaxInt64
	}
	return int64(f)
}

// midpoint is the middle between a size and a larger one.
func (r Resources) midpoint(larger Resources) Resources {
	r.MilliProcessors += (larger.MilliProcessors - r.MilliProcessors) / 2
	r.MemoryBytes += (larger.MemoryBytes - r.MemoryBytes) / 2
	return r
}
