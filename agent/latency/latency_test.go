package latency

import (
	"testing"
	"time"
)

// Symptom: batch work is throttled for a service that is fast, or not for one that is
// slow. Sequence: 3 requests of 99 ms and 197 of 1 ms in one window, half of which has
// two in flight; the report waits a second and is sent. Cause: a wrong quantile or
// mean, a report that is dropped before it was sent or kept after, or one without its
// age.
func TestReports(t *testing.T) {
	now := time.Unix(1e9, 0)
	r := New(now)
	for range 2 {
		r.RequestStarted(now, "t", "s")
	}
	now = now.Add(Window / 2)
	for range 2 {
		r.RequestEnded(now, "t", time.Millisecond, true)
	}
	for i := range 198 {
		r.RequestStarted(now, "t", "s")
		took := time.Millisecond
		if i < 3 {
			took = 99 * time.Millisecond
		}
		r.RequestEnded(now, "t", took, true)
	}
	if n := len(r.Reports(now)); n != 0 {
		t.Fatalf("%d reports before the window is over", n)
	}
	now = now.Add(Window / 2)
	r.Reports(now)
	now = now.Add(time.Second)
	reports := r.Reports(now)
	if len(reports) != 1 {
		t.Fatalf("reports: %v", reports)
	}
	got := reports[0]
	if got.P50Us < 990 || got.P50Us > 1010 || got.P99Us < 98000 || got.P99Us > 100000 {
		t.Errorf("quantiles: %v", got)
	}
	if got.Requests != 200 || got.MeanInFlightMilli != 1000 || got.AgeMs != 1000 || got.WindowMs != Window.Milliseconds() {
		t.Errorf("report: %v", got)
	}
	r.DropSent(1)
	if reports := r.Reports(now.Add(10 * Window)); len(reports) != 0 {
		t.Errorf("idle windows are reported: %v", reports)
	}
}
