package schedule

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// maxRateSamples bounds the runs that are kept of a worker, and maxImageSamples the workers
	// that are kept of an image. The median of half as many single values is stable.
	maxRateSamples  = 16
	maxImageSamples = 32
	// minImageWorkers is the number of workers from which on an image's usual rate is known: of
	// two workers, either may be the slow one.
	minImageWorkers = 3
	// rateHalfLife is the time after which a sample counts half. A worker that became slow gets few
	// tasks, so its rate has to return to normal without new ones.
	rateHalfLife = 10 * time.Second
	// minSampleTime is the least time at full speed that gives a rate: reports round to hundredths
	// of the work and to the milliseconds of the worker's clock.
	minSampleTime = 300 * time.Millisecond
	// progressWindow is the time at full speed over which the progress of a run is averaged, so that a
	// long run shows when its worker becomes slow.
	progressWindow = 2 * time.Second
	// paceHistory is the number of reports whose paces may still be in effect: an order takes up to
	// 0.9 s, two reports, to reach a run. Progress is not used while these paces differ by more than
	// maxPaceRatio.
	paceHistory  = 3
	maxPaceRatio = 1.5
	// maxLogRate bounds the logarithm of a rate. A run without any progress has no finite one.
	maxLogRate = 3
	// ratePriorDeviation is the standard deviation of the logarithm of a worker's rate before it is
	// observed, and minSampleDeviation the least one of a single sample.
	ratePriorDeviation = 0.7
	minSampleDeviation = 0.3
	// medianDeviationFactor is the standard deviation of a normal distribution as a multiple of the
	// median of its absolute deviations.
	medianDeviationFactor = 1.48
	// doubtfulRate is the rate below which a worker is doubtful if the rate is known to within its
	// uncertainty. Differences up to that are within the errors of the declared processor use.
	doubtfulRate = 0.7
	// minGroupWorkers and groupMajority are the number and the fraction of rated workers of an
	// availability zone or rack that must deviate to the same side by minGroupShift for a common cause.
	minGroupWorkers = 4
	groupMajority   = 0.75
	minGroupShift   = 0.2
	// minRatedSamples is the weight of samples from which on a worker counts in its groups.
	minRatedSamples = 1.5
	// decaysPerRound bounds the workers whose estimates decay in one round: all workers of a large
	// fleet in one round would take several milliseconds, and there are tens of rounds a second.
	decaysPerRound = 64
	// groupInterval is the time from one search for common causes to the next.
	groupInterval = time.Second
)

// rateTable compares the progress of runs with what their images usually make. A nil table knows
// nothing.
type rateTable struct {
	byWorker map[string]*workerRate
	byImage  map[string]*imageRate
	// shifts are the logarithms of the rates of the groups of workers with a common cause.
	shifts    map[rateGroup]float64
	groupedAt time.Time
	// changes are those that RateChanges has not returned yet. told are the groups with a common
	// cause according to the last changes.
	changes []RateChange
	told    map[rateGroup]bool
	// nextDecay is the index of the next worker whose estimate decays.
	nextDecay int
}

// rateGroup is an availability zone, or the workers with a label, such as those of a rack.
type rateGroup struct{ zone, label string }

// workerRate is what is known of the rate of one incarnation of a worker.
type workerRate struct {
	worker  *jobqueue.Worker
	live    map[jobqueue.RunID]*liveProgress
	samples []rateSample
	// mean and deviation describe the logarithm of the rate at the last report, including causes
	// in common with other workers. weight is the decayed number of samples.
	mean, deviation, weight float64
	// view is the rate as the scheduling decisions use it.
	view WorkerRate
	// toldDoubtful is what the last change told of the worker.
	toldDoubtful bool
}

// liveProgress is the progress of a run over the intervals that give a rate.
type liveProgress struct {
	last    Observation
	paces   []float64
	percent float64
	// fullSpeed is the time at full speed that the ordered paces amount to.
	fullSpeed time.Duration
}

// rateSample is the logarithm of the rate of a run as a multiple of the declared one.
type rateSample struct {
	run     jobqueue.RunID
	image   string
	logRate float64
	at      time.Time
}

// imageRate holds the newest sample of an image from each of some workers.
type imageRate struct {
	samples   []imageSample
	median    float64
	updatedAt time.Time
}

type imageSample struct {
	worker  string
	logRate float64
	at      time.Time
}

func newRateTable() *rateTable {
	return &rateTable{byWorker: map[string]*workerRate{}, byImage: map[string]*imageRate{}, shifts: map[rateGroup]float64{}, told: map[rateGroup]bool{}}
}

// entry returns the entry of an incarnation of a worker. What was known of an earlier incarnation
// under the same ID is dropped.
func (t *rateTable) entry(w *jobqueue.Worker) *workerRate {
	e := t.byWorker[w.Spec.Id]
	if e == nil || e.worker != w {
		e = &workerRate{worker: w, live: map[jobqueue.RunID]*liveProgress{}, deviation: ratePriorDeviation}
		e.updateView(t)
		t.byWorker[w.Spec.Id] = e
	}
	return e
}

// ratable reports whether the progress of a run is comparable with that of others of its image. A
// run whose data is on another rack is slow for that reason, and a gang waits for its slowest member.
func ratable(run *jobqueue.Run) bool {
	spec := run.Step
	if spec.LongRunning || spec.Gang || spec.Image == "" || spec.EstimatedMs <= 0 || run.Stopping {
		return false
	}
	return spec.PreferredRack == "" || run.HasPreferredRack()
}

// observe learns from a report of a worker. The planner's paces must still be those of before the
// report.
func (t *rateTable) observe(p *Planner, w *jobqueue.Worker, fleet Fleet, now time.Time) {
	if t == nil {
		return
	}
	e := t.entry(w)
	maps.DeleteFunc(e.live, func(id jobqueue.RunID, _ *liveProgress) bool { return w.Runs[id] == nil })
	share := processorShare(w, p.useOf(w))
	for _, id := range w.SortedRunIDs() {
		run := w.Runs[id]
		o, seen := fleet.Observed(id)
		if !seen || !ratable(run) {
			continue
		}
		speed := 1.0
		if run.Step.Backfill {
			speed = share
			if percent, set := p.Pace(w.Spec.Id, id); set {
				speed *= float64(percent) / fullPace
			}
		}
		live := e.live[id]
		if live == nil {
			e.live[id] = &liveProgress{last: o, paces: []float64{speed}}
			continue
		}
		if o.At.Equal(live.last.At) {
			continue
		}
		live.advance(o, speed)
		t.record(e, run, live, now)
	}
	e.estimate(t, now)
}

// processorShare returns the fraction of their processor demand that the backfill runs of a worker
// can get.
func processorShare(w *jobqueue.Worker, u use) float64 {
	remaining := float64(w.Spec.CpuMilli) - u.otherMilli
	if demand := float64(u.backfillMilli); demand > remaining {
		return max(0, remaining/demand)
	}
	return 1
}

// advance adds the interval from the last observation if the speed in it is known.
func (l *liveProgress) advance(o Observation, speed float64) {
	passed := o.Worked() - l.last.Worked()
	progressed := float64(o.Percent) - float64(l.last.Percent)
	l.last = o
	if l.paces = append(l.paces, speed); len(l.paces) > paceHistory {
		l.paces = l.paces[1:]
	}
	lowest, highest, sum := slices.Min(l.paces), slices.Max(l.paces), 0.0
	if lowest <= 0 || highest > maxPaceRatio*lowest || passed <= 0 || progressed < 0 || o.Percent >= 100 {
		return
	}
	for _, s := range l.paces {
		sum += s
	}
	if l.fullSpeed > progressWindow {
		l.percent, l.fullSpeed = l.percent/2, l.fullSpeed/2
	}
	l.percent += progressed
	l.fullSpeed += time.Duration(float64(passed) * sum / float64(len(l.paces)))
}

// recordEnd completes the progress of a run by the time from its last observation to its end. Most
// quick runs are observed only once.
func (t *rateTable) recordEnd(e EndedRun) {
	if t == nil {
		return
	}
	entry := t.byWorker[e.Worker]
	if entry == nil {
		return
	}
	run, live := entry.worker.Runs[e.Run], entry.live[e.Run]
	delete(entry.live, e.Run)
	if run == nil || live == nil || e.Kind != apiv1.RunEndKind_RUN_END_KIND_DONE || !ratable(run) {
		return
	}
	if lowest, highest := slices.Min(live.paces), slices.Max(live.paces); lowest > 0 && highest <= maxPaceRatio*lowest {
		live.percent += 100 - float64(live.last.Percent)
		live.fullSpeed += time.Duration(float64(e.At.Sub(live.last.At)) * (lowest + highest) / 2)
	}
	t.record(entry, run, live, e.At)
	entry.estimate(t, e.At)
}

// record updates the sample of a run on its worker and of the worker for the image.
func (t *rateTable) record(e *workerRate, run *jobqueue.Run, live *liveProgress, now time.Time) {
	if live.fullSpeed < minSampleTime {
		return
	}
	declared := 100 * live.fullSpeed.Seconds() * 1000 / float64(run.Step.EstimatedMs)
	logRate := clampLogRate(math.Log(max(live.percent, 0.5) / declared))
	sample := rateSample{run: run.ID, image: run.Step.Image, logRate: logRate, at: now}
	if i := slices.IndexFunc(e.samples, func(s rateSample) bool { return s.run == run.ID }); i >= 0 {
		e.samples = slices.Delete(e.samples, i, i+1)
	}
	if e.samples = append(e.samples, sample); len(e.samples) > maxRateSamples {
		e.samples = slices.Delete(e.samples, 0, 1)
	}
	image := t.byImage[run.Step.Image]
	if image == nil {
		image = &imageRate{}
		t.byImage[run.Step.Image] = image
	}
	image.record(imageSample{worker: e.worker.Spec.Id, logRate: logRate, at: now})
}

func clampLogRate(l float64) float64 { return min(maxLogRate, max(-maxLogRate, l)) }

// record replaces the worker's sample. Each worker counts once, so that a worker with many runs does
// not determine what is usual.
func (i *imageRate) record(s imageSample) {
	i.updatedAt = s.at
	if k := slices.IndexFunc(i.samples, func(o imageSample) bool { return o.worker == s.worker }); k >= 0 {
		i.samples[k] = s
	} else if len(i.samples) < maxImageSamples {
		i.samples = append(i.samples, s)
	} else {
		oldest := 0
		for k := range i.samples {
			if i.samples[k].at.Before(i.samples[oldest].at) {
				oldest = k
			}
		}
		i.samples[oldest] = s
	}
	var buffer [maxImageSamples]float64
	values := buffer[:0]
	for _, o := range i.samples {
		values = append(values, o.logRate)
	}
	i.median = median(values)
}

// usual returns the usual rate of an image, if it is known.
func (t *rateTable) usual(image string) (float64, bool) {
	i := t.byImage[image]
	if i == nil || len(i.samples) < minImageWorkers {
		return 0, false
	}
	return i.median, true
}

// median returns the middle of the values, which it sorts; of two middle ones the one nearer to 0.
func median(values []float64) float64 {
	slices.Sort(values)
	n := len(values)
	if n == 0 {
		return 0
	}
	low, high := values[(n-1)/2], values[n/2]
	if low*high < 0 {
		return 0
	}
	if math.Abs(low) < math.Abs(high) {
		return low
	}
	return high
}

// weighted is a value with its weight.
type weighted struct{ value, weight float64 }

// weightedMedian returns the value with half of the total weight on either side.
func weightedMedian(values []weighted, total float64) float64 {
	slices.SortFunc(values, func(a, b weighted) int { return cmp.Compare(a.value, b.value) })
	below := 0.0
	for i, v := range values {
		below += v.weight
		switch {
		case below > total/2:
			return v.value
		case below == total/2 && i+1 < len(values):
			return median([]float64{v.value, values[i+1].value})
		}
	}
	return 0
}

// estimate computes the rate of a worker from its samples. The median ignores single tasks that
// have more work than others of their image. The fewer samples there are, and the older they are,
// the nearer is the estimate to the usual rate: one sample says nothing, since it can be such a task.
func (e *workerRate) estimate(t *rateTable, now time.Time) {
	var buffer [maxRateSamples]weighted
	values := buffer[:0]
	weight := 0.0
	for _, s := range e.samples {
		usual, known := t.usual(s.image)
		if !known {
			continue
		}
		w := math.Exp2(-now.Sub(s.at).Seconds() / rateHalfLife.Seconds())
		values = append(values, weighted{clampLogRate(s.logRate - usual), w})
		weight += w
	}
	middle := weightedMedian(values, weight)
	for i, v := range values {
		values[i].value = math.Abs(v.value - middle)
	}
	deviation := max(minSampleDeviation, medianDeviationFactor*weightedMedian(values, weight))
	e.weight = weight
	e.mean = middle * max(0, (weight-1)/(weight+1))
	e.deviation = 1 / math.Sqrt(1/(ratePriorDeviation*ratePriorDeviation)+weight/(deviation*deviation))
	e.updateView(t)
}

// WorkerRate is the observed rate of a worker relative to what the images of its runs usually make.
type WorkerRate struct {
	Worker, Zone string
	// Rate is 1 at the usual speed. Uncertainty is the standard deviation of its logarithm.
	Rate, Uncertainty float64
	// Samples is the decayed number of runs that the rate is based on.
	Samples float64
	// OwnRate is the part of the rate that no common cause explains.
	OwnRate float64
	// Doubtful is set if the worker itself is slow.
	Doubtful bool
	// Reason is the cause of a rate that is not the usual one, empty if there is none.
	Reason string
	// score is what the rate adds to the score of the worker: at a rate of 1/e as much as its whole
	// capacity. A worker that is faster than usual is not filled first for that reason.
	score float64
}

// rateOf returns the rate of a worker, that of an unknown one if it was not observed.
func (t *rateTable) rateOf(w *jobqueue.Worker) WorkerRate {
	if e := t.byWorker[w.Spec.Id]; e != nil && e.worker == w {
		return e.view
	}
	return WorkerRate{Worker: w.Spec.Id, Zone: w.Spec.AvailabilityZone, Rate: 1, OwnRate: 1, Uncertainty: ratePriorDeviation}
}

// updateView computes the rate that scheduling decisions use.
func (e *workerRate) updateView(t *rateTable) {
	shift, reason := t.commonCause(e.worker)
	own := e.mean - shift
	e.view = WorkerRate{
		Worker: e.worker.Spec.Id, Zone: e.worker.Spec.AvailabilityZone, Rate: math.Exp(e.mean), OwnRate: math.Exp(own),
		Uncertainty: e.deviation, Samples: e.weight, Doubtful: own+e.deviation < math.Log(doubtfulRate), score: min(0, e.mean),
	}
	switch {
	case e.view.Doubtful:
		e.view.Reason = "worker"
	case shift != 0:
		e.view.Reason = reason
	}
}

// slotRate returns the rate of a worker for a round, nil if it was not observed.
func (t *rateTable) slotRate(w *jobqueue.Worker) *WorkerRate {
	if t == nil {
		return nil
	}
	if e := t.byWorker[w.Spec.Id]; e != nil && e.worker == w {
		return &e.view
	}
	return nil
}
