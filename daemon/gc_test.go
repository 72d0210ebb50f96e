package daemon

import "testing"

// Symptom: a daemon takes gigabytes, or spends half its time collecting. Sequence:
// its tables fill up. Cause: a growth target that does not look at what is live.
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
