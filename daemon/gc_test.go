package daemon

import "testing"

// A daemon must neither use gigabytes of memory nor spend half its time on collections when its
// tables fill up. Either happens with a growth target that does not depend on the live heap.
func TestHeapStaysNearTarget(t *testing.T) {
	for live := uint64(1 << 20); live <= 1<<30; live *= 2 {
		percent := gcPercent(live)
		peak := live + live*uint64(percent)/100
		if percent < minGCPercent || percent > maxGCPercent {
			t.Errorf("live %d: %d percent", live, percent)
		}
		if peak > max(heapTarget, live+live*minGCPercent/100) {
			t.Errorf("live %d grows to %d", live, peak)
		}
	}
}
