package main

import (
	"runtime"
	"slices"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// costSamples is the number of samples of a processor time, of which the median is taken.
	// The machine may be busy: processor time excludes waiting, but not the effect of cold
	// caches.
	costSamples = 5
	// minSampleTime is the minimum processor time of a sample.
	minSampleTime = 20 * time.Millisecond
)

// recorder collects the measured slopes.
type recorder struct {
	slopes []*Slope
	// progress is called with each finished slope.
	progress func(*Slope)
}

// measure calls y with each size, fits a line to the results and records it.
func (r *recorder) measure(name, what, unit, per string, sizes []int, y func(n int) float64) {
	s := &Slope{Name: name, What: what, Unit: unit, Per: per}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{X: float64(n), Y: y(n)})
	}
	s.fitLine()
	r.slopes = append(r.slopes, s)
	r.progress(s)
}

// processorTime returns the processor time that this process has used in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("getrusage of this process failed: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// costPerCall returns the processor time of one call of f in nanoseconds, including garbage
// collection.
func costPerCall(f func()) float64 {
	var all []float64
	for range costSamples {
		runtime.GC()
		calls := 0
		began := processorTime()
		for processorTime()-began < minSampleTime {
			f()
			calls++
		}
		all = append(all, float64(processorTime()-began)/float64(calls))
	}
	slices.Sort(all)
	return all[costSamples/2]
}

// retainedHeap returns the size of the live heap that the result of build keeps reachable.
func retainedHeap(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	// Objects released by finalizers and pools in the first collection are freed in the second.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func encodedSize(m proto.Message) float64 { return float64(proto.Size(m)) }

// must panics if err is not nil. It is for operations that fail only if this program has a bug.
func must(err error) {
	if err != nil {
		panic("unexpected error in a measurement: " + err.Error())
	}
}
