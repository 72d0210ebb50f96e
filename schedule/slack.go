package schedule

import (
	"maps"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// budgetShare of the objective is what the tails may be brought to by backfilling
// tasks.
const budgetShare = 0.7

// minSlack stands for a slack that is used up: an image that adds next to nothing
// may still come.
const minSlack = 0.05

// slack is how much backfilling tasks may still add to the tails of the serving
// images of one worker, as shares of their objectives.
type slack map[string]float64

// slackBeside returns the slack of a worker with the given serving images, of which
// the trusted share is given out.
func (f *interference) slackBeside(serving []string, trust float64) slack {
	s := slack{}
	for _, image := range serving {
		s[image] = max(0, budgetShare-f.base(image)) * trust
	}
	return s
}

// cost is the largest share of any image's slack that a backfilling task takes at
// full speed.
func (s slack) cost(f *interference, spec *apiv1.JobStep, capacity int64) float64 {
	worst := 0.0
	for image, left := range s {
		added := f.pressure(image, spec.Image) * partsOf(spec.CpuMilli, capacity)
		worst = max(worst, added/max(minSlack, left))
	}
	return worst
}

// take takes from the slack what a task adds at a share of its speed.
func (s slack) take(f *interference, spec *apiv1.JobStep, capacity int64, share float64) {
	for image := range maps.Keys(s) {
		added := f.pressure(image, spec.Image) * partsOf(spec.CpuMilli, capacity) * share
		s[image] = max(0, s[image]-added)
	}
}

// partsOf returns processor time as parts of a worker.
func partsOf(cpuMilli, capacity int64) float64 {
	return partsOfWorker * float64(cpuMilli) / float64(max(1, capacity))
}
