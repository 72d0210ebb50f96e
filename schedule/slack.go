package schedule

import (
	"maps"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// reservedHeadroom is what backfill tasks have to leave of a serving task's headroom. At 1 the
	// tail latency equals its objective, and the part above 1 is about the error of a forecast.
	reservedHeadroom = 1.4
	// minSlack replaces a slack that is used up, so that an image that adds almost nothing may
	// still start.
	minSlack = 0.15
	// paceLookahead is the time from the middle of the period that a report covers to the middle of
	// the period in which the resulting paces apply.
	paceLookahead = 600 * time.Millisecond
	// placementLookahead is the corresponding time for the placement of a task. Most tasks run for
	// some seconds.
	placementLookahead = time.Second
)

// slack is how much headroom backfill tasks may still take of the serving images of one worker.
type slack struct {
	model *interference
	now   time.Time
	// byImage is the slack by serving image.
	byImage map[string]float64
}

// slackAt returns the slack beside the given serving steps at a future time. For each image it is
// the least slack of any of its steps.
func (f *interference) slackAt(at time.Time, serving map[jobqueue.StepID]string, trust float64, now time.Time) slack {
	s := slack{model: f, now: now, byImage: map[string]float64{}}
	for step, image := range serving {
		left := max(0, f.forecast(step, image, at)-reservedHeadroom) * trust
		if least, known := s.byImage[image]; !known || left < least {
			s.byImage[image] = left
		}
	}
	return s
}

// cost returns the largest fraction of any image's slack that a backfill task takes at full speed.
func (s slack) cost(spec *apiv1.JobStep, capacity int64) float64 {
	worst := 0.0
	for image, left := range s.byImage {
		worst = max(worst, s.headroomUse(image, spec, capacity)/max(minSlack, left))
	}
	return worst
}

// allowsStart reports whether the tail latencies stay within their objectives while a task runs at
// full speed, as it does until its first pace has reached it.
func (s slack) allowsStart(spec *apiv1.JobStep, capacity int64) bool {
	for image, left := range s.byImage {
		if s.headroomUse(image, spec, capacity) > left+reservedHeadroom-1 {
			return false
		}
	}
	return true
}

// consume subtracts the slack that a task takes at a fraction of its speed. A slack may become
// negative: without that, any number of tasks could follow that each take little.
func (s slack) consume(spec *apiv1.JobStep, capacity int64, share float64) {
	for image := range maps.Keys(s.byImage) {
		s.byImage[image] -= share * s.headroomUse(image, spec, capacity)
	}
}

// headroomUse returns how much of an image's headroom a backfill task takes at full speed.
func (s slack) headroomUse(image string, spec *apiv1.JobStep, capacity int64) float64 {
	return s.model.pressureOf(image, spec.Image, s.now) * workerParts(spec.CpuMilli, capacity)
}

// workerParts converts processor time to parts of a worker, of which there are partsPerWorker.
func workerParts(cpuMilli, capacity int64) float64 {
	return partsPerWorker * float64(cpuMilli) / float64(max(1, capacity))
}
