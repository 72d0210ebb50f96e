// Package hdrmetric registers latency histograms of bounded error with go-metrics. The samples of
// that library keep a thousand values: of ten thousand requests per minute they keep one in ten,
// and p99.9 depends on a single value.
package hdrmetric

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

const (
	unit = time.Microsecond
	// maxLatency is the longest recorded latency; longer ones are recorded as this value.
	maxLatency = 10 * time.Minute
	// significantDigits is the number of significant digits; the error of a value is at most 1 %.
	significantDigits = 2
	// window is the minimum time that a histogram covers, and half of the maximum. Slow requests of
	// an hour ago must not hide the current latencies.
	window = time.Minute
)

// Histogram records latencies in microseconds. Its count and sum cover the time since it was
// created; all other values cover the last one to two windows. It implements metrics.Histogram.
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

// GetOrRegister returns the histogram of the given name, which ends with _us, and registers it
// first if r has none.
func GetOrRegister(name string, r metrics.Registry) *Histogram {
	return r.GetOrRegister(name, func() *Histogram { return New(time.Now) }).(*Histogram)
}

// New returns an empty histogram that reads the time from now.
func New(now func() time.Time) *Histogram {
	return &Histogram{now: now, windowStart: now(), current: newWindow(), previous: newWindow()}
}

func newWindow() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/unit), significantDigits)
}

// Observe records a latency.
func (h *Histogram) Observe(d time.Duration) { h.Update(int64(d / unit)) }

// ObserveSince records the time since start.
func (h *Histogram) ObserveSince(start time.Time) { h.Observe(h.now().Sub(start)) }

// Update implements metrics.Histogram.
func (h *Histogram) Update(us int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate()
	us = min(max(us, 0), int64(maxLatency/unit))
	h.count++
	h.sum += us
	_ = h.current.RecordValue(us) // can't fail, since us is within the bounds
}

// rotate begins the next window if the current one has ended. The caller must hold h.mu.
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

// mergedView is the state of a histogram at one time, with its windows merged.
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

// Snapshot implements metrics.Histogram. The copy that it returns does not change.
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

// Percentile implements metrics.Histogram; p is a fraction, 0.99 for p99.
func (h *Histogram) Percentile(p float64) float64 { return h.Percentiles([]float64{p})[0] }

// Percentiles implements metrics.Histogram.
func (h *Histogram) Percentiles(quantiles []float64) []float64 {
	const percent = 100
	values := h.view().values
	list := make([]float64, len(quantiles))
	for i, p := range quantiles {
		list[i] = float64(values.ValueAtQuantile(p * percent))
	}
	return list
}

// Sample implements metrics.Histogram. It is empty, since single values are not kept.
func (h *Histogram) Sample() metrics.Sample { return metrics.NilSample{} }
