package schedule

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// The headroom of a serving task is its objective over its tail: 1 when the tail is
// just as long as it may be. A queue's tail is its service time over the share of
// the server that is left, so what neighbours take of that share lowers the
// headroom in proportion, whatever the load; the tail itself grows without bound.
// Estimates are therefore made of headrooms.
const (
	// maxHeadroom is where a sample is cut: a tail of a few milliseconds in whole
	// milliseconds says no more than that there is much.
	maxHeadroom = 6
	// saturatedHeadroom is where a headroom says only that the queue grows without
	// bound, not how far the neighbours are over what the task bears. No load of its
	// own brings a task there.
	saturatedHeadroom = 0.35

	// priorPressure is what a backfilling image that nothing was seen of is believed to
	// take of a headroom per part of the worker in use, priorPressureDeviation how far off that
	// may be.
	priorPressure          = 0.08
	priorPressureDeviation = 0.25
	// pairDeviation is how far off the pressure of a pair may be when it is known how heavy
	// the backfilling image is on the average.
	pairDeviation = 0.15
	// cautionDeviations is added to a pressure that is not well known: a dozen tasks of an
	// image add its error up.
	cautionDeviations = 0.25
	// pressureDrift is how much a pressure changes in a second, as a deviation.
	pressureDrift = 0.05
	// partsPerWorker is how many parts the processors of a worker are counted in: a
	// task disturbs by the share of its worker that it uses, whatever its size.
	partsPerWorker = 32
	// sampleNoise and relativeSampleNoise are how far a report of half a second is off, as a
	// headroom and as a share of it.
	sampleNoise         = 0.3
	relativeSampleNoise = 0.12
	// maxBackfillImages bounds the backfilling images that are told apart beside one serving
	// image.
	maxBackfillImages = 48
	// imageRetention is how long an image is remembered that nothing is seen of: names of
	// images come with each release of the callers' programs.
	imageRetention = time.Hour
)

// interference learns how much of its headroom each serving step has left by its
// own load, and how much each image of backfilling tasks takes of it. The load is
// that of the step's users: the same for all its tasks, and it swings within some
// ten seconds. How badly an image disturbs another depends on the pair.
type interference struct {
	headrooms map[jobqueue.StepID]*headroomEstimate
	images    map[string]*servingImage
	// cachedPriors are the beliefs that were asked for since something was learnt last.
	cachedPriors map[string]pressurePrior
}

// servingImage is what is known of an image of serving tasks.
type servingImage struct {
	// reportedAt is when one of its tasks last reported.
	reportedAt time.Time
	// usualHeadroom is the mean headroom of its tasks by themselves.
	usualHeadroom float64
	// pressures are what backfilling images take of it, by image.
	pressures map[string]*pressure
}

// pressure is an estimate of what a backfilling image takes of a serving one.
type pressure struct {
	updatedAt time.Time
	mean      float64
	variance  float64
}

func newInterference() *interference {
	return &interference{headrooms: map[jobqueue.StepID]*headroomEstimate{}, images: map[string]*servingImage{}, cachedPriors: map[string]pressurePrior{}}
}

// tailSample is one report of a serving task's tail.
type tailSample struct {
	step  jobqueue.StepID
	image string
	// headroom is the objective over the tail.
	headroom float64
	// parts are the parts of the worker that each backfilling image beside it used.
	parts map[string]float64
}

// learn takes in a sample. Load and pressures share what the sample differs by from
// the forecast, each by how uncertain it is.
func (f *interference) learn(s tailSample, now time.Time) {
	serving := f.servingImage(s.image, now)
	l := f.headrooms[s.step]
	if l == nil {
		l = newHeadroomEstimate(serving.usualHeadroom, now)
		f.headrooms[s.step] = l
	}
	l.advance(now)
	beside := f.advancePressures(serving, s.parts, now)
	observed := min(maxHeadroom, s.headroom)
	expected := l.level
	variance := sampleNoise*sampleNoise + relativeSampleNoise*relativeSampleNoise*observed*observed + l.variance()
	for image, p := range beside {
		expected -= p.mean * s.parts[image]
		variance += p.variance * s.parts[image] * s.parts[image]
	}
	if observed < saturatedHeadroom && expected < observed {
		return
	}
	off := observed - expected
	if observed >= saturatedHeadroom {
		l.correct(off, variance)
	}
	for image, p := range beside {
		p.correct(off, variance, s.parts[image])
	}
	serving.usualHeadroom += usualHeadroomWeight * (l.level - serving.usualHeadroom)
	clear(f.cachedPriors)
}

func (f *interference) servingImage(name string, now time.Time) *servingImage {
	i := f.images[name]
	if i == nil {
		i = &servingImage{usualHeadroom: priorHeadroom, pressures: map[string]*pressure{}}
		f.images[name] = i
	}
	i.reportedAt = now
	return i
}

// advancePressures returns the estimates, as of now, for the backfilling images that
// used parts of a worker.
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

// pressurePrior is a pressure that is only believed.
type pressurePrior struct{ mean, variance float64 }

// prior is what a backfilling image is believed to take of a serving one that it was not
// seen beside, from what it takes of others. What goes wrong without it: a heavy image has
// to be found out once for each serving image, and each time the tails there are over their
// objectives until it is.
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

func (p *pressure) advance(now time.Time) {
	p.variance = p.varianceAt(now)
	p.updatedAt = now
}

func (p *pressure) varianceAt(now time.Time) float64 {
	passed := now.Sub(p.updatedAt).Seconds()
	return min(priorPressureDeviation*priorPressureDeviation, p.variance+pressureDrift*pressureDrift*passed)
}

func (p *pressure) correct(off, variance, parts float64) {
	gain := p.variance * parts / variance
	p.mean = max(0, p.mean-gain*off)
	p.variance -= gain * parts * p.variance
}

// pressureOf is what a backfilling image takes of the headroom of a serving one, per
// part of the worker in use, with some caution for what is not well known.
func (f *interference) pressureOf(serving, backfill string, now time.Time) float64 {
	if i := f.images[serving]; i != nil && i.pressures[backfill] != nil {
		p := i.pressures[backfill]
		return p.mean + cautionDeviations*math.Sqrt(p.varianceAt(now))
	}
	b := f.prior(backfill, now)
	return b.mean + cautionDeviations*math.Sqrt(b.variance)
}

// forecast is the headroom that a serving step will have by itself at a time.
func (f *interference) forecast(step jobqueue.StepID, image string, at time.Time) float64 {
	if l := f.headrooms[step]; l != nil {
		return l.forecast(at)
	}
	return f.usualHeadroom(image)
}

// usualHeadroom is what the steps of a serving image have by themselves on the
// average.
func (f *interference) usualHeadroom(image string) float64 {
	if i := f.images[image]; i != nil {
		return i.usualHeadroom
	}
	return priorHeadroom
}

// prune drops what was learnt of steps that are over, and of serving images that
// nothing was seen of for long.
func (f *interference) prune(over func(jobqueue.StepID) bool, now time.Time) {
	maps.DeleteFunc(f.headrooms, func(step jobqueue.StepID, _ *headroomEstimate) bool { return over(step) })
	maps.DeleteFunc(f.images, func(_ string, i *servingImage) bool { return now.Sub(i.reportedAt) > imageRetention })
	clear(f.cachedPriors)
}
