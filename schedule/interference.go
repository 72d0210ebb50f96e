package schedule

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// The headroom of a serving task is the ratio of its tail latency objective to its tail latency: at
// 1, the tail latency equals the objective. The tail latency of a queue is its service time divided
// by the fraction of the server that remains, so the part of that fraction that neighbors take
// reduces the headroom proportionally at any load, whereas the tail latency itself grows without
// bound. Estimates are therefore made of headrooms.
const (
	// maxHeadroom limits a sample. A tail latency of a few milliseconds, in whole milliseconds,
	// shows only that there is much headroom.
	maxHeadroom = 6
	// saturatedHeadroom is the headroom below which a sample shows only that the queue grows
	// without bound, and not by how much the neighbors exceed what the task tolerates. The load of
	// a task alone does not reduce its headroom that far.
	saturatedHeadroom = 0.35

	// priorPressure is the assumed reduction of a headroom by a backfill image without samples, per
	// part of the worker in use. priorPressureDeviation is the standard deviation of that
	// assumption.
	priorPressure          = 0.08
	priorPressureDeviation = 0.25
	// pairDeviation is the standard deviation of the pressure of a pair when the average pressure
	// of the backfill image is known.
	pairDeviation = 0.15
	// cautionDeviations is how many standard deviations are added to an uncertain pressure: with a
	// dozen tasks of an image, the errors add up.
	cautionDeviations = 0.25
	// pressureDrift is the standard deviation of the change of a pressure within one second.
	pressureDrift = 0.05
	// partsPerWorker is the number of parts into which the processors of a worker are divided. The
	// interference of a task depends on the fraction of its worker that it uses, whatever the size
	// of the worker.
	partsPerWorker = 32
	// sampleNoise and relativeSampleNoise are the standard deviations of a report of half a second,
	// as a headroom and as a fraction of it.
	sampleNoise         = 0.3
	relativeSampleNoise = 0.12
	// maxBackfillImages bounds the backfill images that are distinguished beside one serving image.
	maxBackfillImages = 48
	// imageRetention is the time from the last sample of an image to its removal. Each release of
	// the callers' programs has new image names.
	imageRetention = time.Hour
)

// interference learns the headroom that each serving step has under its own load, and how much of
// it each image of backfill tasks takes. The load is that of the step's users. It is the same for
// all tasks of the step and fluctuates within about ten seconds. How much an image interferes with
// another depends on the pair.
type interference struct {
	headrooms map[jobqueue.StepID]*headroomEstimate
	images    map[string]*servingImage
	// cachedPriors are the priors that were computed since the last sample.
	cachedPriors map[string]pressurePrior
}

// servingImage is what is known of an image of serving tasks.
type servingImage struct {
	// reportedAt is the time at which a task of the image last reported.
	reportedAt time.Time
	// usualHeadroom is the mean headroom of its tasks without backfill tasks.
	usualHeadroom float64
	// pressures are the estimates of the reduction of the headroom, by backfill image.
	pressures map[string]*pressure
}

// pressure is an estimate of the reduction of the headroom of a serving image by a backfill image,
// per part of the worker in use.
type pressure struct {
	updatedAt time.Time
	mean      float64
	variance  float64
}

func newInterference() *interference {
	return &interference{headrooms: map[jobqueue.StepID]*headroomEstimate{}, images: map[string]*servingImage{}, cachedPriors: map[string]pressurePrior{}}
}

// tailSample is one report of a serving task's tail latency.
type tailSample struct {
	step  jobqueue.StepID
	image string
	// headroom is the ratio of the objective to the tail latency.
	headroom float64
	// parts are the parts of the worker in use by each backfill image beside the task.
	parts map[string]float64
}

// learn updates the estimates by a sample. The deviation of the sample from the forecast is
// attributed to the load and to the pressures in proportion to their uncertainty.
func (f *interference) learn(s tailSample, now time.Time) {
	serving := f.servingImage(s.image, now)
	own := f.headrooms[s.step]
	if own == nil {
		own = newHeadroomEstimate(serving.usualHeadroom, now)
		f.headrooms[s.step] = own
	}
	own.advance(now)
	beside := f.advancePressures(serving, s.parts, now)
	observed := min(maxHeadroom, s.headroom)
	expected := own.level
	variance := sampleNoise*sampleNoise + relativeSampleNoise*relativeSampleNoise*observed*observed + own.variance()
	for image, p := range beside {
		expected -= p.mean * s.parts[image]
		variance += p.variance * s.parts[image] * s.parts[image]
	}
	if observed < saturatedHeadroom && expected < observed {
		return
	}
	deviation := observed - expected
	if observed >= saturatedHeadroom {
		own.correct(deviation, variance)
	}
	for image, p := range beside {
		p.correct(deviation, variance, s.parts[image])
	}
	serving.usualHeadroom += usualHeadroomWeight * (own.level - serving.usualHeadroom)
	clear(f.cachedPriors)
}

// servingImage returns the estimates of a serving image, and creates them if necessary.
func (f *interference) servingImage(name string, now time.Time) *servingImage {
	i := f.images[name]
	if i == nil {
		i = &servingImage{usualHeadroom: priorHeadroom, pressures: map[string]*pressure{}}
		f.images[name] = i
	}
	i.reportedAt = now
	return i
}

// advancePressures returns the estimates, extrapolated to now, for the backfill images that used
// parts of a worker.
func (f *interference) advancePressures(i *servingImage, parts map[string]float64, now time.Time) map[string]*pressure {
	beside := map[string]*pressure{}
	for image, used := range parts {
		if used <= 0 {
			continue
		}
		p := i.pressures[image]
		if p == nil && len(i.pressures) < maxBackfillImages {
			b := f.prior(image, now)
			p = &pressure{updatedAt: now, mean: b.mean, variance: b.variance}
			i.pressures[image] = p
		}
		if p != nil {
			p.advance(now)
			beside[image] = p
		}
	}
	return beside
}

// pressurePrior is the assumed pressure of a backfill image on a serving image without common
// samples.
type pressurePrior struct{ mean, variance float64 }

// prior returns the assumed pressure of a backfill image on a serving image beside which it was not
// observed, derived from its pressures on other images. Otherwise a heavy image would have to be
// learned once for each serving image, and each time the tail latencies there would exceed their
// objectives until then.
func (f *interference) prior(backfill string, now time.Time) pressurePrior {
	if known, found := f.cachedPriors[backfill]; found {
		return known
	}
	const pairVariance = pairDeviation * pairDeviation
	weight := 1 / (priorPressureDeviation*priorPressureDeviation - pairVariance)
	sum := priorPressure * weight
	for _, name := range slices.Sorted(maps.Keys(f.images)) {
		if p := f.images[name].pressures[backfill]; p != nil {
			w := 1 / (pairVariance + p.varianceAt(now))
			sum += w * p.mean
			weight += w
		}
	}
	b := pressurePrior{mean: sum / weight, variance: 1/weight + pairVariance}
	f.cachedPriors[backfill] = b
	return b
}

// advance extrapolates the estimate to now.
func (p *pressure) advance(now time.Time) {
	p.variance = p.varianceAt(now)
	p.updatedAt = now
}

// varianceAt returns the variance at a later time. It is limited to that of an image without
// samples.
func (p *pressure) varianceAt(now time.Time) float64 {
	passed := now.Sub(p.updatedAt).Seconds()
	return min(priorPressureDeviation*priorPressureDeviation, p.variance+pressureDrift*pressureDrift*passed)
}

// correct updates the estimate by a sample that deviates from the forecast, given the variance of
// that deviation and the parts in use.
func (p *pressure) correct(deviation, variance, parts float64) {
	gain := p.variance * parts / variance
	p.mean = max(0, p.mean-gain*deviation)
	p.variance -= gain * parts * p.variance
}

// pressureOf returns the reduction of the headroom of a serving image by a backfill image, per part
// of the worker in use, with a margin for uncertainty.
func (f *interference) pressureOf(serving, backfill string, now time.Time) float64 {
	if i := f.images[serving]; i != nil && i.pressures[backfill] != nil {
		p := i.pressures[backfill]
		return p.mean + cautionDeviations*math.Sqrt(p.varianceAt(now))
	}
	b := f.prior(backfill, now)
	return b.mean + cautionDeviations*math.Sqrt(b.variance)
}

// forecast returns the expected headroom of a serving step without backfill tasks at a future time.
func (f *interference) forecast(step jobqueue.StepID, image string, at time.Time) float64 {
	if l := f.headrooms[step]; l != nil {
		return l.forecast(at)
	}
	return f.usualHeadroom(image)
}

// usualHeadroom returns the mean headroom of the steps of a serving image without backfill tasks.
func (f *interference) usualHeadroom(image string) float64 {
	if i := f.images[image]; i != nil {
		return i.usualHeadroom
	}
	return priorHeadroom
}

// prune drops the estimates of finished steps, and those of serving images without samples for
// imageRetention.
func (f *interference) prune(finished func(jobqueue.StepID) bool, now time.Time) {
	maps.DeleteFunc(f.headrooms, func(step jobqueue.StepID, _ *headroomEstimate) bool { return finished(step) })
	maps.DeleteFunc(f.images, func(_ string, i *servingImage) bool { return now.Sub(i.reportedAt) > imageRetention })
	clear(f.cachedPriors)
}
