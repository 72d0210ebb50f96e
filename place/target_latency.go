package place

import (
	"math"
	"time"
)

// Limits of latency measurements.
const (
	// clearExcessFactor is the factor above the protection threshold at which one report suffices;
	// a smaller excess must be seen in two reports.
	clearExcessFactor = 1.25
	// smoothing is the weight of a new report in the running means.
	smoothing    = 0.4
	reportMaxAge = 2 * time.Minute
)

// targetLatency is the latest latency measurement of one target, with its running means.
type targetLatency struct {
	target, service string
	p99             float64 // milliseconds
	bucket          int
	from, to        time.Time // the measured window
	// smoothed is the running mean of the log p99 since the last action.
	smoothed float64
	reports  int
	// residual is the running mean of the log p99 that neither the service's baseline nor its
	// neighbours explain, for example because of a slower worker.
	residual float64
	// consecutiveExceeded counts consecutive reports above the protection threshold.
	consecutiveExceeded int
	threshold           float64 // protection threshold at the last report, milliseconds
}

// exceeded reports whether the target exceeds its protection threshold by clearExcessFactor, or in
// two consecutive reports and on average.
func (l *targetLatency) exceeded() bool {
	if l.consecutiveExceeded == 0 {
		return false
	}
	return l.p99 > l.threshold*clearExcessFactor || l.consecutiveExceeded >= 2 && l.smoothed > math.Log(l.threshold)
}

// recent reports whether the measurement is recent enough to act on.
func (l *targetLatency) recent(now time.Time) bool { return now.Sub(l.to) <= reportMaxAge }

// compare compares a new measurement with a threshold in milliseconds, 0 for none.
func (l *targetLatency) compare(threshold float64) {
	l.threshold = threshold
	if threshold <= 0 {
		l.consecutiveExceeded = 0
		return
	}
	if l.p99 > threshold {
		l.consecutiveExceeded++
		return
	}
	l.consecutiveExceeded = 0
}

// updateMean adds a new measurement to the running mean, and restarts the mean if the window is
// the first after an action.
func (l *targetLatency) updateMean(restart bool) {
	logP99 := math.Log(l.p99)
	if restart || l.reports == 0 {
		l.smoothed, l.reports = logP99, 1
		return
	}
	l.reports++
	l.smoothed += smoothing * (logP99 - l.smoothed)
}
