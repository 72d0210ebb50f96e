package schedule

import (
	"maps"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// Learned returns what the planner has learnt of images, for the leader that comes
// next: workers and jobs change, what images do to each other hardly.
func (p *Planner) Learned(now time.Time) *apiv1.Learnt {
	out := &apiv1.Learnt{}
	for _, name := range slices.Sorted(maps.Keys(p.interference.images)) {
		serving := p.interference.images[name]
		out.Headrooms = append(out.Headrooms, &apiv1.LearntHeadroom{ServingImage: name, Headroom: serving.usualHeadroom})
		for _, backfill := range slices.Sorted(maps.Keys(serving.pressures)) {
			learnt := serving.pressures[backfill]
			out.Pressures = append(out.Pressures, &apiv1.LearntPressure{
				ServingImage: name, BackfillImage: backfill, Mean: learnt.mean, Variance: learnt.varianceAt(now),
			})
		}
	}
	for _, image := range slices.Sorted(maps.Keys(p.durations.byImage)) {
		out.Durations = append(out.Durations, &apiv1.LearntDuration{Image: image, Ratio: p.durations.byImage[image].mean})
	}
	return out
}

// RestoreLearned has a new planner go on from what an earlier leader learnt. What goes wrong
// without it: after an election every image is taken for harmless, batch work that
// waited through the election starts beside the serving tasks that it disturbs, and
// their tails are over their objectives until it is learnt again.
func (p *Planner) RestoreLearned(l *apiv1.Learnt, now time.Time) {
	for _, h := range l.GetHeadrooms() {
		p.interference.servingImage(h.ServingImage, now).usualHeadroom = clampHeadroom(h.Headroom)
	}
	for _, learnt := range l.GetPressures() {
		serving := p.interference.servingImage(learnt.ServingImage, now)
		serving.pressures[learnt.BackfillImage] = &pressure{updatedAt: now, mean: learnt.Mean, variance: learnt.Variance}
	}
	for _, d := range l.GetDurations() {
		p.durations.byImage[d.Image] = durationRatio{mean: d.Ratio, updatedAt: now}
	}
}
