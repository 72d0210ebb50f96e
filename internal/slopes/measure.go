package main

import (
	"runtime"
	"slices"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// costSamples per processor time; the median is taken. The machine may be busy:
	// processor time leaves out waiting, but not cold caches.
	costSamples = 5
	// minSampleTime is the least processor time of a sample.
	minSampleTime = 20 * time.Millisecond
)

// recorder collects what is measured.
type recorder struct {
	slopes []*Slope
	// progress is told of each finished slope.
	progress func(*Slope)
}

// measure runs y at each size and fits a line.
func (r *recorder) measure(name, what, unit, per string, sizes []int, y func(n int) float64) {
	s := &Slope{Name: name, What: what, Unit: unit, Per: per}
	for _, n := range sizes {
		s.Points = append(s.Points, Point{X: float64(n), Y: y(n)})
	}
	s.fitLine()
	r.slopes = append(r.slopes, s)
	r.progress(s)
}

// processorTime is what this process has used, in user and system mode.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic("getrusage of the own process cannot fail: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// costPerCall is the processor time of one call of f in nanoseconds, garbage collection
// included.
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

// retainedHeap is the live heap that what build returns keeps.
func retainedHeap(build func() any) float64 {
	before := liveHeap()
	kept := build()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func liveHeap() uint64 {
	// Twice: what finalizers and pools let go of is freed by the second.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func encodedSize(m proto.Message) float64 { return float64(proto.Size(m)) }

// must is for set-up that can't fail unless this program is wrong.
func must(err error) {
	if err != nil {
		panic("the stand-in is wrong: " + err.Error())
	}
}
