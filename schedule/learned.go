package schedule

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Learned returns what the planner has learned of images, for the next leader. Workers and jobs
// change, but how images affect each other hardly does.
func (p *Planner) Learned(now time.Time) *apiv1.Learnt {
	out := &apiv1.Learnt{}
	for _, name := range slices.Sorted(maps.Keys(p.interference.images)) {
		serving := p.interference.images[name]
		out.Headrooms = append(out.Headrooms, &apiv1.LearntHeadroom{ServingImage: name, Headroom: serving.usualHeadroom})
		for _, backfill := range slices.Sorted(maps.Keys(serving.pressures)) {
			estimate := serving.pressures[backfill]
			out.Pressures = append(out.Pressures, &apiv1.LearntPressure{
				ServingImage: name, BackfillImage: backfill, Mean: estimate.mean, Variance: estimate.varianceAt(now),
			})
		}
	}
	for _, image := range slices.Sorted(maps.Keys(p.durations.byImage)) {
		out.Durations = append(out.Durations, &apiv1.LearntDuration{Image: image, Ratio: p.durations.byImage[image].mean})
	}
	return out
}

// RestoreLearned initializes a new planner with what the previous leader learned. Otherwise, after
// an election, every image would be considered harmless, batch work that waited during the election
// would start beside serving tasks with which it interferes, and their tail latencies would exceed
// the objectives until this is learned again.
func (p *Planner) RestoreLearned(l *apiv1.Learnt, now time.Time) {
	for _, h := range l.GetHeadrooms() {
		p.interference.servingImage(h.ServingImage, now).usualHeadroom = clampHeadroom(h.Headroom)
	}
	for _, estimate := range l.GetPressures() {
		serving := p.interference.servingImage(estimate.ServingImage, now)
		serving.pressures[estimate.BackfillImage] = &pressure{updatedAt: now, mean: estimate.Mean, variance: estimate.Variance}
	}
	for _, d := range l.GetDurations() {
		p.durations.byImage[d.Image] = durationRatio{mean: d.Ratio, updatedAt: now}
	}
}
