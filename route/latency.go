package route

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyUnit   = 10 * time.Microsecond
	latencyMax    = 2 * time.Minute
	latencyDigits = 2
	// refreshDivisor is how much a histogram grows, as a divisor of its count,
	// before its quantiles are computed anew.
	refreshDivisor     = 16
	inFlightTimeWeight = 0.05
	responseTimeWeight = 0.01
)

// latency observes response times over one to two windows.
type latency struct {
	window   time.Duration
	start    time.Time
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	merged   *hdrhistogram.Histogram

	count           int64
	unrefreshed     int64
	cachedQuantiles [quantileCount]time.Duration

	// meanInFlightTime is the moving average of the time from admission to release.
	meanInFlightTime time.Duration
	// meanResponseTime is the moving average of the response time.
	meanResponseTime time.Duration
}

// The quantiles that are kept at hand.
const (
	q50 = iota
	q90
	q95
	q99
	quantileCount
)

var quantiles = [quantileCount]float64{50, 90, 95, 99}

func newLatency(window time.Duration) latency {
	return latency{
		window:   window,
		current:  newHistogram(),
		previous: newHistogram(),
		merged:   newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(latencyMax/latencyUnit), latencyDigits)
}

func (l *latency) record(now time.Time, d time.Duration) {
	l.rotate(now)
	l.meanResponseTime = average(l.meanResponseTime, d, responseTimeWeight)
	_ = l.current.RecordValue(min(max(1, int64(d/latencyUnit)), int64(latencyMax/latencyUnit)))
	l.count++
	l.unrefreshed++
	if l.unrefreshed > l.count/refreshDivisor {
		l.refresh()
	}
}

func (l *latency) rotate(now time.Time) {
	age := now.Sub(l.start)
	if age < l.window {
		return
	}
	l.previous, l.current = l.current, l.previous
	l.current.Reset()
	if age >= 2*l.window {
		l.previous.Reset()
	}
	l.start = now
	l.refresh()
}

func (l *latency) refresh() {
	l.merged.Reset()
	l.merged.Merge(l.previous)
	l.merged.Merge(l.current)
	l.count = l.merged.TotalCount()
	l.unrefreshed = 0
	for i, q := range quantiles {
		l.cachedQuantiles[i] = time.Duration(l.merged.ValueAtQuantile(q)) * latencyUnit
	}
}

// quantile returns one of the kept quantiles, 0 when nothing was observed.
func (l *latency) quantile(now time.Time, i int) time.Duration {
	l.rotate(now)
	if l.count == 0 {
		return 0
	}
	return l.cachedQuantiles[i]
}

func (l *latency) recordInFlightTime(d time.Duration) {
	l.meanInFlightTime = average(l.meanInFlightTime, d, inFlightTimeWeight)
}

// average moves an average towards a new value; the first one sets it.
func average(old, d time.Duration, weight float64) time.Duration {
	if old == 0 {
		return d
	}
	return old + time.Duration(weight*float64(d-old))
}
