package schedule

import (
	"maps"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// durationRatioWeight is the weight of the newest run in an image's mean duration.
const durationRatioWeight = 0.25

// durationTable learns how long tasks of an image take against the callers'
// estimates, which are off by up to a factor of two.
type durationTable struct {
	byImage map[string]durationRatio
}

// durationRatio is the mean of an image's durations as multiples of the estimates.
type durationRatio struct {
	mean float64
	// updatedAt is when a task of the image last ended.
	updatedAt time.Time
}

func newDurationTable() durationTable { return durationTable{byImage: map[string]durationRatio{}} }

func (t durationTable) recordEnd(e EndedRun) {
	learns := e.Kind == apiv1.RunEndKind_RUN_END_KIND_DONE && !e.Resumed && e.Duration > 0
	if !learns || e.Step.Image == "" || e.Step.EstimatedMs <= 0 {
		return
	}
	ratio := float64(e.Duration.Milliseconds()) / float64(e.Step.EstimatedMs)
	before, known := t.byImage[e.Step.Image]
	if known {
		ratio = before.mean + durationRatioWeight*(ratio-before.mean)
	}
	t.byImage[e.Step.Image] = durationRatio{mean: ratio, updatedAt: e.At}
}

// prune drops the images that nothing was seen of for long.
func (t durationTable) prune(now time.Time) {
	maps.DeleteFunc(t.byImage, func(_ string, r durationRatio) bool { return now.Sub(r.updatedAt) > imageRetention })
}

// expected is how long a task of a step is expected to take.
func (t durationTable) expected(s *apiv1.JobStep) time.Duration {
	estimate := time.Duration(s.EstimatedMs) * time.Millisecond
	if ratio, known := t.byImage[s.Image]; known {
		return time.Duration(ratio.mean * float64(estimate))
	}
	return estimate
}
