package schedule

import (
	"maps"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// keptHeadroom is what backfilling tasks have to leave of a serving task's
	// headroom: forecasts are off by 0.46.
	keptHeadroom = 1.4
	// minSlack stands for a slack that is used up: an image that adds next to nothing
	// may still come.
	minSlack = 0.15
	// paceAhead is the time from the middle of what a report tells of to the middle of
	// the time for which the paces that follow from it hold.
	paceAhead = 600 * time.Millisecond
)

// slack is how much headroom backfilling tasks may still take of the serving images
// of one worker.
type slack struct {
	learnt *interference
	now    time.Time
	// left is the slack by serving image.
	left map[string]float64
}

// usualSlack is the slack of a worker with the given serving images as it is on the
// average: what a task that is placed there will find.
func (f *interference) usualSlack(serving []string, trust float64, now time.Time) slack {
	s := slack{learnt: f, now: now, left: map[string]float64{}}
	for _, image := range serving {
		s.left[image] = max(0, f.usualHeadroom(image)-keptHeadroom) * trust
	}
	return s
}

// slackAhead is the slack beside the given serving runs for the next moments, by
// the step of each image that has least.
func (f *interference) slackAhead(serving []seenRun, trust float64, now time.Time) slack {
	s := slack{learnt: f, now: now, left: map[string]float64{}}
	then := now.Add(paceAhead)
	for _, run := range serving {
		image := run.run.Step.Image
		left := max(0, f.forecast(run.run.ID.Task.StepID(), image, then)-keptHeadroom) * trust
		if least, known := s.left[image]; !known || left < least {
			s.left[image] = left
		}
	}
	return s
}

// cost is the largest share of any image's slack that a backfilling task takes at
// full speed.
func (s slack) cost(spec *apiv1.JobStep, capacity int64) float64 {
	worst := 0.0
	for image, left := range s.left {
		worst = max(worst, s.added(image, spec, capacity)/max(minSlack, left))
	}
	return worst
}

// take takes from the slack what a task takes at a share of its speed.
func (s slack) take(spec *apiv1.JobStep, capacity int64, share float64) {
	for image := range maps.Keys(s.left) {
		s.left[image] = max(0, s.left[image]-share*s.added(image, spec, capacity))
	}
}

// added is what a backfilling task takes of an image's headroom at full speed.
func (s slack) added(image string, spec *apiv1.JobStep, capacity int64) float64 {
	return s.learnt.pressure(image, spec.Image, s.now) * partsOf(spec.CpuMilli, capacity)
}

// partsOf returns processor time as parts of a worker.
func partsOf(cpuMilli, capacity int64) float64 {
	return partsOfWorker * float64(cpuMilli) / float64(max(1, capacity))
}
