package schedule

import (
	"maps"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// imageWeight is the weight of the newest run in an image's mean duration.
const imageWeight = 0.25

// imageTable learns how long tasks of an image take against the callers'
// estimates, which are off by up to a factor of two.
type imageTable struct {
	ratio map[string]imageRatio
}

// imageRatio is the mean of an image's durations as multiples of the estimates.
type imageRatio struct {
	mean float64
	// at is when a task of the image last ended.
	at time.Time
}

func newImageTable() imageTable { return imageTable{ratio: map[string]imageRatio{}} }

func (t imageTable) ended(e Ended) {
	learns := e.Kind == apiv1.RunEndKind_RUN_END_KIND_DONE && !e.Resumed && e.Took > 0
	if !learns || e.Step.Image == "" || e.Step.EstimatedMs <= 0 {
		return
	}
	ratio := float64(e.Took.Milliseconds()) / float64(e.Step.EstimatedMs)
	before, known := t.ratio[e.Step.Image]
	if known {
		ratio = before.mean + imageWeight*(ratio-before.mean)
	}
	t.ratio[e.Step.Image] = imageRatio{mean: ratio, at: e.At}
}

// forget drops the images that nothing was seen of for long.
func (t imageTable) forget(now time.Time) {
	maps.DeleteFunc(t.ratio, func(_ string, r imageRatio) bool { return now.Sub(r.at) > forgetAfter })
}

// duration is how long a task of a step is expected to take.
func (t imageTable) duration(s *apiv1.JobStep) time.Duration {
	estimate := time.Duration(s.EstimatedMs) * time.Millisecond
	if ratio, known := t.ratio[s.Image]; known {
		return time.Duration(ratio.mean * float64(estimate))
	}
	return estimate
}
