package daemon

import (
	"context"
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// heapTarget is the heap size up to which a daemon may grow between collections. Together with
	// stacks and code it keeps the process below the 256 MB that the users allow a daemon for
	// control.
	heapTarget = 200 << 20
	// maxGCPercent and minGCPercent limit the heap growth between collections.
	maxGCPercent = 400
	minGCPercent = 50
	gcInterval   = 10 * time.Second
	liveMetric   = "/gc/heap/live:bytes"
)

// gcPercent returns the growth over the live heap that reaches heapTarget.
//
// A daemon's live heap is mostly a few megabytes and each request allocates about 20 KB. At Go's
// default percentage the collector would run hundreds of times a second, and its assists would
// delay requests. A fixed higher percentage would use several times the size of a heap that has
// grown large, and a memory limit would make the collector run continuously once the live heap
// approaches the limit.
func gcPercent(live uint64) int {
	if live == 0 {
		return maxGCPercent
	}
	percent := (int64(heapTarget) - int64(live)) * 100 / int64(live)
	return int(min(max(percent, minGCPercent), maxGCPercent))
}

// tuneGC sets the collector's target from the live heap at regular intervals until the context
// ends. Setting GOGC in the environment disables it.
func tuneGC(ctx context.Context) {
	if os.Getenv("GOGC") != "" {
		return
	}
	ticker := time.NewTicker(gcInterval)
	defer ticker.Stop()
	sample := []metrics.Sample{{Name: liveMetric}}
	for {
		metrics.Read(sample)
		debug.SetGCPercent(gcPercent(sample[0].Value.Uint64()))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
