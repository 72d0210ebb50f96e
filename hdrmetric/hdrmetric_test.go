package hdrmetric_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/cairnlift/cairnlift/hdrmetric"
	"github.com/cairnlift/cairnlift/metricstext"
)

// Symptom: p99 is fine while one request in a hundred takes seconds.
// Sequence: ten thousand fast requests and a hundred and twenty slow ones.
// Cause: percentiles of a sample of the values.
func TestPercentilesOfAllValues(t *testing.T) {
	now := time.Unix(0, 0)
	h := hdrmetric.New(func() time.Time { return now })
	for i := range 10_000 {
		h.Observe(time.Duration(i%10+1) * time.Millisecond)
		if i%84 == 0 {
			h.Observe(3 * time.Second)
		}
	}
	got := h.Percentiles([]float64{0.5, 0.99, 0.999})
	for i, want := range []float64{6000, 3_000_000, 3_000_000} {
		if math.Abs(got[i]-want) > want/50 {
			t.Errorf("percentiles %v", got)
		}
	}
	snapshot := h.Snapshot()
	now = now.Add(3 * time.Minute)
	h.Observe(time.Millisecond)
	if p := h.Percentile(0.999); p > 1100 {
		t.Errorf("p99.9 is %v after all slow requests are three minutes old", p)
	}
	if h.Count() != 10_121 || snapshot.Count() != 10_120 || snapshot.Max() < 2_900_000 {
		t.Errorf("counts %d and %d, max %d", h.Count(), snapshot.Count(), snapshot.Max())
	}
}

func TestFormattedAsText(t *testing.T) {
	r := metrics.NewRegistry()
	hdrmetric.GetOrRegister("frontend.time_us", r).Observe(7 * time.Millisecond)
	if text := metricstext.Format(r); !strings.Contains(text, "frontend.time_us.count 1\n") || !strings.Contains(text, "frontend.time_us.p99 70") {
		t.Error(text)
	}
}
