package schedule

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// paceInterval is the time from one change of a worker's paces to the next. Reports cover the
	// last half second.
	paceInterval = 500 * time.Millisecond
	// tailWeight is the weight of the newest report in a task's smoothed tail latency, because
	// single reports are noisy.
	tailWeight = 0.7
	// trustCutThreshold is the fraction of the objective above which a smoothed tail latency
	// reduces the trust, trustRestoreThreshold the fraction below which it is restored. Between
	// them it remains unchanged, so that paces don't oscillate.
	trustCutThreshold     = 0.85
	trustRestoreThreshold = 0.7
	// trustCutFactor and trustRestoreStep change a worker's trust, and minTrust is its lower limit:
	// the estimates follow a disturbance within one report, and a larger reduction would leave the
	// worker idle for seconds. A disturbance longer than Planner.pauseAfter pauses the backfill runs.
	trustCutFactor   = 0.5
	trustRestoreStep = 0.25
	minTrust         = 0.5
	// defaultMaxInterference is the default of Options.MaxInterference.
	defaultMaxInterference = 4 * time.Second
	// recoveryTime is how long before Options.MaxInterference the backfill runs pause: the tail latency is
	// back within 1.5 s after the pause, which is set with a report, half a second apart, and reaches the
	// worker with the next renewal.
	recoveryTime = 2600 * time.Millisecond
	// fullPace is the pace, in percent, of a run at full speed.
	fullPace = 100
	// averagingTime is the time constant of the moving average that workers report. A report that
	// follows the previous one after more than maxReportGap contains nothing of it.
	averagingTime = 300 * time.Millisecond
	maxReportGap  = 1200 * time.Millisecond
	// paceStep is the granularity of a pace in percent, so that small changes of the reported
	// values cause no orders.
	paceStep = 10
)

// pacer keeps the paces of a worker's backfill runs.
type pacer struct {
	updatedAt time.Time
	// trust is the fraction of the slack that is allocated. It is reduced when tail latencies are
	// too long in spite of the estimates.
	trust float64
	// tails are the smoothed tail latencies of the serving runs as fractions of their objectives.
	tails map[jobqueue.RunID]float64
	paces map[jobqueue.RunID]uint32
	// revision increases with each change of the paces. hasLowPace is set while a pace is so low
	// that its run may be moved.
	revision   uint64
	hasLowPace bool
	// reports are the last reports of the serving runs.
	reports map[jobqueue.RunID]tailReport
	// exceededSince is the time since which the tail latency of a serving run has exceeded its
	// objective.
	exceededSince map[jobqueue.RunID]time.Time
}

// Observe learns from a report of a worker and sets the paces of its backfill runs. It returns
// whether a pace changed.
func (p *Planner) Observe(w *jobqueue.Worker, fleet Fleet, now time.Time) bool {
	c := p.pacerOf(w.Spec.Id)
	if now.Sub(c.updatedAt) < paceInterval {
		return false
	}
	c.updatedAt = now
	p.rates.observe(p, w, fleet, now)
	v := viewWorker(w, fleet)
	p.learn(c, v, now)
	c.smoothTails(v)
	c.adjustTrust(v)
	c.trackExceeded(v, now)
	return p.setPaces(c, v, now)
}

// pacerOf returns a worker's pacer, and creates it if necessary.
func (p *Planner) pacerOf(worker string) *pacer {
	c := p.pacers[worker]
	if c == nil {
		c = &pacer{trust: 1, paces: map[jobqueue.RunID]uint32{}}
		p.pacers[worker] = c
	}
	return c
}

// setPaces sets the paces of a worker's backfill runs and returns whether one changed.
func (p *Planner) setPaces(c *pacer, v workerView, now time.Time) bool {
	if c.mustPause(now, p.pauseAfter) {
		return c.replacePaces(zeroPaces(v))
	}
	return c.replacePaces(p.allocatePaces(v, c.trust, now))
}

// setStartPaces sets the paces of the backfill runs that this round starts, and of the backfill
// runs beside them and beside serving tasks that it starts. Otherwise a run would work at full
// speed until the next report of its worker, for half a second or more, and the tail latencies
// beside it would exceed their objectives for a second.
func (r *round) setStartPaces() {
	for _, s := range r.slots {
		id := s.worker.Spec.Id
		if len(s.backfillStarts) == 0 && s.servingStarts == nil {
			continue
		}
		v := viewWorker(s.worker, r.fleet)
		maps.Copy(v.steps, s.servingStarts)
		v.backfill = append(v.backfill, s.backfillStarts...)
		if r.planner.setPaces(r.planner.pacerOf(id), v, r.now) {
			r.decision.RepacedWorkers = append(r.decision.RepacedWorkers, id)
		}
	}
}

// Pace returns the pace that a run should have, in percent. It returns false if the run has no
// pace, which means full speed.
func (p *Planner) Pace(worker string, id jobqueue.RunID) (uint32, bool) {
	if c := p.pacers[worker]; c != nil {
		percent, set := c.paces[id]
		return percent, set
	}
	return 0, false
}

// trust returns the fraction of a worker's slack that is allocated.
func (p *Planner) trust(worker string) float64 {
	if c := p.pacers[worker]; c != nil {
		return c.trust
	}
	return 1
}

// workerView is what was last observed of a worker's runs.
type workerView struct {
	capacity int64
	// serving are the serving runs that are running. steps are the steps of all serving runs, with
	// their images.
	serving  []observedRun
	steps    map[jobqueue.StepID]string
	backfill []observedRun
}

// observedRun is a run with its last observation.
type observedRun struct {
	run *jobqueue.Run
	Observation
}

// tailShare returns the tail latency as a fraction of its objective.
func (s observedRun) tailShare() float64 {
	return float64(s.Figure) / float64(s.run.Step.TailObjectiveMs)
}

// viewWorker returns the view of a worker with the last observations of its runs.
func viewWorker(w *jobqueue.Worker, fleet Fleet) workerView {
	v := workerView{capacity: w.Spec.CpuMilli, steps: servingSteps(w)}
	for _, id := range w.SortedRunIDs() {
		r := w.Runs[id]
		o, seen := fleet.Observed(id)
		switch {
		case r.Step.Backfill:
			v.backfill = append(v.backfill, observedRun{r, o})
		case seen && r.Step.TailObjectiveMs > 0 && o.Percent == fullPace:
			v.serving = append(v.serving, observedRun{r, o})
		}
	}
	return v
}

// backfillParts sums the processor time in use by backfill image, in parts of the worker.
func (v workerView) backfillParts() map[string]float64 {
	parts := map[string]float64{}
	for _, b := range v.backfill {
		parts[b.run.Step.Image] += workerParts(b.Figure, v.capacity)
	}
	return parts
}

// learn updates the interference estimates by the tail latencies of the serving runs.
func (p *Planner) learn(c *pacer, v workerView, now time.Time) {
	parts := v.backfillParts()
	for _, s := range v.serving {
		if s.Figure <= 0 {
			continue
		}
		share := c.currentTailShare(s, now)
		p.interference.learn(tailSample{
			step: s.run.ID.Task.StepID(), image: s.run.Step.Image, headroom: 1 / share, parts: parts,
		}, now)
	}
	c.recordReports(v, now)
}

// currentTailShare returns a tail latency as a fraction of its objective, without the contribution
// of the previous report. Workers report a moving average, in which a queue that has emptied
// remains visible for a second.
func (c *pacer) currentTailShare(s observedRun, now time.Time) float64 {
	before, known := c.reports[s.run.ID]
	passed := now.Sub(before.at)
	if !known || passed > maxReportGap {
		return s.tailShare()
	}
	retained := math.Exp(-passed.Seconds() / averagingTime.Seconds())
	return max(1.0/maxHeadroom, (s.tailShare()-retained*before.share)/(1-retained))
}

// recordReports keeps the reported tail latencies for comparison with the next report.
func (c *pacer) recordReports(v workerView, now time.Time) {
	c.reports = map[jobqueue.RunID]tailReport{}
	for _, s := range v.serving {
		c.reports[s.run.ID] = tailReport{at: now, share: s.tailShare()}
	}
}

// tailReport is a tail latency as reported, as a fraction of its objective.
type tailReport struct {
	at    time.Time
	share float64
}

// smoothTails updates the smoothed tail latencies.
func (c *pacer) smoothTails(v workerView) {
	tails := map[jobqueue.RunID]float64{}
	for _, s := range v.serving {
		before, known := c.tails[s.run.ID]
		if !known {
			before = 1 / priorHeadroom
		}
		tails[s.run.ID] = before + tailWeight*(s.tailShare()-before)
	}
	c.tails = tails
}

// adjustTrust reduces or restores the trust according to the worst smoothed tail latency.
func (c *pacer) adjustTrust(v workerView) {
	worst := 0.0
	for _, s := range v.serving {
		worst = max(worst, c.tails[s.run.ID])
	}
	switch {
	case worst > trustCutThreshold:
		c.trust = max(minTrust, c.trust*trustCutFactor)
	case worst < trustRestoreThreshold:
		c.trust = min(1, c.trust+trustRestoreStep)
	}
}

// trackExceeded updates the time since which each serving run's tail latency has exceeded its
// objective.
func (c *pacer) trackExceeded(v workerView, now time.Time) {
	exceeded := map[jobqueue.RunID]time.Time{}
	for _, s := range v.serving {
		if s.tailShare() <= 1 {
			continue
		}
		since, known := c.exceededSince[s.run.ID]
		if !known {
			since = now
		}
		exceeded[s.run.ID] = since
	}
	c.exceededSince = exceeded
}

// pauseAfter returns how long a tail latency may exceed its objective before all backfill runs beside it
// are paused: at least for two reports, since single reports are noisy.
func (o Options) pauseAfter() time.Duration {
	return max(paceInterval, cmp.Or(o.MaxInterference, defaultMaxInterference)-recoveryTime)
}

// mustPause reports whether a tail latency has exceeded its objective for so long that all backfill
// runs must pause, whichever of them is the cause. Otherwise a pair of images that was not learned
// yet, or a wrong estimate, would interfere with a serving task for seconds.
func (c *pacer) mustPause(now time.Time, after time.Duration) bool {
	for _, since := range c.exceededSince {
		if now.Sub(since) >= after {
			return true
		}
	}
	return false
}

// zeroPaces returns a pace of 0 for each backfill run.
func zeroPaces(v workerView) map[jobqueue.RunID]uint32 {
	paces := map[jobqueue.RunID]uint32{}
	for _, b := range v.backfill {
		paces[b.run.ID] = 0
	}
	return paces
}

// allocatePaces allocates the slack to backfill runs. Images that interfere least come first,
// because the slack permits the most work there.
func (p *Planner) allocatePaces(v workerView, trust float64, now time.Time) map[jobqueue.RunID]uint32 {
	paces := map[jobqueue.RunID]uint32{}
	slack := p.interference.slackAt(now.Add(paceLookahead), v.steps, trust, now)
	costs := map[string]float64{}
	for _, b := range v.backfill {
		costs[b.run.Step.Image] = slack.cost(b.run.Step, v.capacity) / float64(max(1, b.run.Step.CpuMilli))
	}
	order := slices.Clone(v.backfill)
	slices.SortStableFunc(order, func(a, b observedRun) int {
		return cmp.Compare(costs[a.run.Step.Image], costs[b.run.Step.Image])
	})
	for _, b := range order {
		share := 1.0
		if cost := slack.cost(b.run.Step, v.capacity); cost > 1 {
			share = 1 / cost
		}
		percent := uint32(share*fullPace) / paceStep * paceStep
		slack.consume(b.run.Step, v.capacity, float64(percent)/fullPace)
		paces[b.run.ID] = percent
	}
	return paces
}

// replacePaces replaces the paces and reports whether one changed. A run that was never slowed down
// needs no order; the first paces of a worker are all ordered, since a previous leader may have
// slowed down its runs.
func (c *pacer) replacePaces(paces map[jobqueue.RunID]uint32) bool {
	changed, low := false, false
	next := map[jobqueue.RunID]uint32{}
	for id, percent := range paces {
		before, set := c.paces[id]
		if !set && percent == fullPace && c.revision > 0 {
			continue
		}
		next[id] = percent
		low = low || percent <= lowPace
		if !set || before != percent {
			changed = true
		}
	}
	c.paces, c.hasLowPace = next, low
	c.revision++
	return changed
}
