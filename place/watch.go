package place

import (
	"math"
	"time"
)

// Bounds of a watch.
const (
	// clearExcessFactor is the factor over the guard level at which one report is
	// enough; a smaller excess has to be seen twice.
	clearExcessFactor = 1.25
	// smoothing is the weight of a new report in a watch's running means.
	smoothing    = 0.4
	reportMaxAge = 2 * time.Minute
)

// targetLatency is what is known about one target's tail.
type targetLatency struct {
	target, service string
	p99             float64 // milliseconds
	bucket          int
	from, to        time.Time // the measured window
	// smoothed is the running mean of the log p99 since the last action.
	smoothed float64
	reports  int
	// residual is the running mean of what neither the service's own latency nor
	// its neighbours explain (log), such as a slower worker.
	residual float64
	// consecutiveExceeded counts reports in a row above the guard level.
	consecutiveExceeded int
	threshold           float64 // guard level it was judged by, milliseconds
}

// exceeded reports whether the service is over its objective.
func (w *targetLatency) exceeded() bool {
	if w.consecutiveExceeded == 0 {
		return false
	}
	return w.p99 > w.threshold*clearExcessFactor || w.consecutiveExceeded >= 2 && w.smoothed > math.Log(w.threshold)
}

// recent reports whether the watch still describes the worker.
func (w *targetLatency) recent(now time.Time) bool { return now.Sub(w.to) <= reportMaxAge }

// compare takes a new measurement against a level in milliseconds.
func (w *targetLatency) compare(level float64) {
	w.threshold = level
	if level <= 0 {
		w.consecutiveExceeded = 0
		return
	}
	if w.p99 > level {
		w.consecutiveExceeded++
		return
	}
	w.consecutiveExceeded = 0
}

// updateMean takes a new measurement into the running mean, afresh when the window
// is the first that lies after an action.
func (w *targetLatency) updateMean(fresh bool) {
	logP99 := math.Log(w.p99)
	if fresh || w.reports == 0 {
		w.smoothed, w.reports = logP99, 1
		return
	}
	w.reports++
	w.smoothed += smoothing * (logP99 - w.smoothed)
}
