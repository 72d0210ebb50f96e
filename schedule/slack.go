package schedule

import (
	"maps"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// reservedHeadroom is what backfilling tasks have to leave of a serving task's
	// headroom: at 1 the tail is at its objective, and forecasts are off by about as much as
	// is kept beyond it.
	reservedHeadroom = 1.4
	// minSlack stands for a slack that is used up: an image that adds next to nothing
	// may still come.
	minSlack = 0.15
	// paceLookahead is the time from the middle of what a report tells of to the middle of
	// the time for which the paces that follow from it hold.
	paceLookahead = 600 * time.Millisecond
	// placementLookahead is the same for a task that is placed, of which most work for some
	// seconds.
	placementLookahead = time.Second
)

// slack is how much headroom backfilling tasks may still take of the serving images
// of one worker.
type slack struct {
	model *interference
	now   time.Time
	// byImage is the slack by serving image.
	byImage map[string]float64
}

// slackAt is the slack beside the given serving steps at a time ahead, by the step of
// each image that has least.
func (f *interference) slackAt(then time.Time, serving map[jobqueue.StepID]string, trust float64, now time.Time) slack {
	s := slack{model: f, now: now, byImage: map[string]float64{}}
	for step, image := range serving {
		left := max(0, f.forecast(step, image, then)-reservedHeadroom) * trust
		if least, known := s.byImage[image]; !known || left < least {
			s.byImage[image] = left
		}
	}
	return s
}

// cost is the largest share of any image's slack that a backfilling task takes at
// full speed.
func (s slack) cost(spec *apiv1.JobStep, capacity int64) float64 {
	worst := 0.0
	for image, left := range s.byImage {
		worst = max(worst, s.headroomUse(image, spec, capacity)/max(minSlack, left))
	}
	return worst
}

// allowsStart reports whether the tails stay within their objectives while a task
// works at full speed, as it does until its first pace has reached it.
func (s slack) allowsStart(spec *apiv1.JobStep, capacity int64) bool {
	for image, left := range s.byImage {
		if s.headroomUse(image, spec, capacity) > left+reservedHeadroom-1 {
			return false
		}
	}
	return true
}

// consume takes from the slack what a task takes at a share of its speed. A slack may be
// overdrawn: were that forgotten, any number of tasks could follow that each take
// little.
func (s slack) consume(spec *apiv1.JobStep, capacity int64, share float64) {
	for image := range maps.Keys(s.byImage) {
		s.byImage[image] -= share * s.headroomUse(image, spec, capacity)
	}
}

// headroomUse is what a backfilling task takes of an image's headroom at full speed.
func (s slack) headroomUse(image string, spec *apiv1.JobStep, capacity int64) float64 {
	return s.model.pressureOf(image, spec.Image, s.now) * workerParts(spec.CpuMilli, capacity)
}

// workerParts returns processor time as parts of a worker.
func workerParts(cpuMilli, capacity int64) float64 {
	return partsPerWorker * float64(cpuMilli) / float64(max(1, capacity))
}
