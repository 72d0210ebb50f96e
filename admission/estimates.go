package admission

import (
	"container/list"
	"math"
	"time"
)

const (
	// initialSpread is the spread of the errors of estimates, on a logarithmic scale, before any job
	// has ended: a factor of about 1.2.
	initialSpread = 0.2
	// minSpread is the least spread that counts: at low load all estimates are right, which says little
	// about those of long waits.
	minSpread = 0.15
	// maxLogError bounds a learned error at a factor of 4. Declared durations are off by a factor of
	// 2 or 3, and a wider error would refuse jobs that wait for almost nothing.
	maxLogError = 1.4
	// meanWeight and narrowWeight are the weights of the newest error in the mean and, if it is
	// smaller than the spread, in the spread. widenWeight applies to an error that exceeds the
	// spread: a wrong estimate widens the error within a few jobs, and many good ones narrow it.
	meanWeight   = 0.08
	widenWeight  = 0.25
	narrowWeight = 0.03
	// errorHalfLife is the time in which an error that no outcome confirms is halved. Without it, an
	// error that refuses all jobs would never be corrected.
	errorHalfLife = 20 * time.Second
	// overheadWeight is the weight of the newest overhead.
	overheadWeight = 0.1
	// minComparedTime replaces shorter times in the comparison of estimate and outcome, which would
	// be dominated by the granularity of rounds and reports.
	minComparedTime = 200 * time.Millisecond
)

// estimateErrors learns from outcomes by which factor estimates are exceeded.
type estimateErrors struct {
	// mean and spread are those of the logarithm of the ratio of outcome and estimate.
	mean, spread float64
	at           time.Time
	// overhead is the time by which jobs with a short wait exceed their own work: orders, reports, and tasks
	// that a small fleet can't run side by side.
	overhead time.Duration
}

func newEstimateErrors() *estimateErrors { return &estimateErrors{spread: initialSpread} }

// factor returns the factor by which estimates may be exceeded.
func (e *estimateErrors) factor(now time.Time) float64 {
	e.decay(now)
	return math.Exp(min(maxLogError, max(-maxLogError, e.mean+max(minSpread, e.spread))))
}

// meanFactor returns the factor by which estimates are exceeded on the mean.
func (e *estimateErrors) meanFactor(now time.Time) float64 {
	e.decay(now)
	return math.Exp(min(maxLogError, max(-maxLogError, e.mean)))
}

// decay returns mean and spread towards their initial values while no job ends.
func (e *estimateErrors) decay(now time.Time) {
	idle := now.Sub(e.at) - time.Second
	if e.at.IsZero() || idle <= 0 {
		return
	}
	kept := math.Exp2(-idle.Seconds() / errorHalfLife.Seconds())
	e.mean *= kept
	e.spread = initialSpread + (e.spread-initialSpread)*kept
	e.at = now.Add(-time.Second)
}

func (e *estimateErrors) record(x expectedEnd, outcome time.Duration, now time.Time) {
	e.decay(now)
	e.at = now
	if x.wait <= minQueue {
		e.overhead += time.Duration(overheadWeight * float64(max(0, outcome-x.work)-e.overhead))
		e.overhead = min(e.overhead, 2*x.work+time.Second)
	}
	ratio := float64(max(minComparedTime, outcome)) / float64(max(minComparedTime, x.estimate))
	deviation := min(maxLogError, max(-maxLogError, math.Log(ratio))) - e.mean
	e.mean += meanWeight * deviation
	weight := narrowWeight
	if math.Abs(deviation) > e.spread {
		weight = widenWeight
	}
	e.spread += weight * (math.Abs(deviation) - e.spread)
}

// expectedEnd is what was expected of an accepted job.
type expectedEnd struct {
	job                  string
	priority             uint32
	estimate, wait, work time.Duration
	at                   time.Time
}

// expectedEnds are the accepted jobs that have not ended, oldest first.
type expectedEnds struct {
	byJob map[string]expectedEnd
	order *list.List
	items map[string]*list.Element
}

func newExpectedEnds() expectedEnds {
	return expectedEnds{byJob: map[string]expectedEnd{}, order: list.New(), items: map[string]*list.Element{}}
}

func (x *expectedEnds) add(r Request, v verdict, now time.Time) {
	if v.estimate <= 0 {
		return
	}
	x.remove(r.Job)
	if x.order.Len() >= maxExpected {
		x.remove(x.order.Front().Value.(string))
	}
	x.byJob[r.Job] = expectedEnd{job: r.Job, priority: r.Priority, estimate: v.estimate, wait: v.delay(), work: v.work, at: now}
	x.items[r.Job] = x.order.PushBack(r.Job)
}

func (x *expectedEnds) remove(job string) (expectedEnd, bool) {
	e, found := x.byJob[job]
	if found {
		x.order.Remove(x.items[job])
		delete(x.items, job)
		delete(x.byJob, job)
	}
	return e, found
}
