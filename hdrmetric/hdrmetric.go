// Package hdrmetric puts latency histograms of bounded error into a registry of
// go-metrics. That library's own samples keep a thousand values: of ten thousand
// requests in a minute they hold each tenth, and a p99.9 rests on one value.
package hdrmetric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	unit = time.Microsecond
	// maxLatency is the longest latency that is told apart from longer ones.
	maxLatency = 10 * time.Minute
	// significantDigits of precision: a value is at most 1 % off.
	significantDigits = 2
	// window is the time that a histogram covers at least, and half of what it covers at
	// most: what was slow an hour ago must not hide what is now.
	window = time.Minute
)

// Histogram observes latencies in microseconds. Its count and sum are those since the
// start; the rest is that of the last one to two windows. It implements
// metrics.Histogram.
type Histogram struct {
	now func() time.Time

	mu          sync.Mutex
	windowStart time.Time
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
	count       int64
	sum         int64
}

var _ metrics.Histogram = (*Histogram)(nil)

// GetOrRegister returns the histogram of a name, which ends with _us.
func GetOrRegister(name string, r metrics.Registry) *Histogram {
	return r.GetOrRegister(name, func() *Histogram { return New(time.Now) }).(*Histogram)
}

// New returns a histogram that reads a clock.
func New(now func() time.Time) *Histogram {
	return &Histogram{now: now, windowStart: now(), current: newWindow(), previous: newWindow()}
}

func newWindow() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/unit), significantDigits)
}

// Observe takes in a latency.
func (h *Histogram) Observe(d time.Duration) { h.Update(int64(d / unit)) }

// ObserveSince takes in the time since a moment.
func (h *Histogram) ObserveSince(began time.Time) { h.Observe(h.now().Sub(began)) }

// Update implements metrics.Histogram.
func (h *Histogram) Update(us int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	us = min(max(us, 0), int64(maxLatency/unit))
	h.count++
	h.sum += us
	_ = h.current.RecordValue(us) // it is within the bounds
}

// rotate begins another window when the current one is over; h.mu is held.
func (h *Histogram) rotate() {
	age := h.now().Sub(h.windowStart)
	if age < window {
		return
	}
	h.previous, h.current = h.current, h.previous
	h.current.Reset()
	if age >= 2*window {
		h.previous.Reset()
	}
	h.windowStart = h.now()
}

// mergedView is a histogram as it was at a moment.
type mergedView struct {
	count, sum int64
	values     *hdrhistogram.Histogram
}

func (h *Histogram) view() mergedView {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	v := mergedView{h.count, h.sum, newWindow()}
	v.values.Merge(h.previous)
	v.values.Merge(h.current)
	return v
}

// Snapshot implements metrics.Histogram: a copy that nothing changes any more.
func (h *Histogram) Snapshot() metrics.Histogram {
	v := h.view()
	at := h.now()
	return &Histogram{now: func() time.Time { return at }, windowStart: at, current: v.values, previous: newWindow(), count: v.count, sum: v.sum}
}

// Clear implements metrics.Histogram.
func (h *Histogram) Clear() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current.Reset()
	h.previous.Reset()
	h.count, h.sum = 0, 0
}

// Count implements metrics.Histogram.
func (h *Histogram) Count() int64 { return h.view().count }

// Sum implements metrics.Histogram.
func (h *Histogram) Sum() int64 { return h.view().sum }

// Min implements metrics.Histogram.
func (h *Histogram) Min() int64 { return h.view().values.Min() }

// Max implements metrics.Histogram.
func (h *Histogram) Max() int64 { return h.view().values.Max() }

// Mean implements metrics.Histogram.
func (h *Histogram) Mean() float64 { return h.view().values.Mean() }

// StdDev implements metrics.Histogram.
func (h *Histogram) StdDev() float64 { return h.view().values.StdDev() }

// Variance implements metrics.Histogram.
func (h *Histogram) Variance() float64 {
	deviation := h.StdDev()
	return deviation * deviation
}

// Percentile implements metrics.Histogram; p is a share, 0.99 for p99.
func (h *Histogram) Percentile(p float64) float64 { return h.Percentiles([]float64{p})[0] }

// Percentiles implements metrics.Histogram.
func (h *Histogram) Percentiles(shares []float64) []float64 {
	const percent = 100
	values := h.view().values
	list := make([]float64, len(shares))
	for i, p := range shares {
		list[i] = float64(values.ValueAtQuantile(p * percent))
	}
	return list
}

// Sample implements metrics.Histogram; there are no single values to show.
func (h *Histogram) Sample() metrics.Sample { return metrics.NilSample{} }
