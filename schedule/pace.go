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
	// paceInterval is the time between two changes of a worker's paces: the figures
	// are of the last half second.
	paceInterval = 500 * time.Millisecond
	// tailWeight is the weight of the newest report in a task's smoothed tail: single
	// reports are noisy.
	tailWeight = 0.7
	// trustCutThreshold of the objective, smoothed, is where the budget is cut, trustRestoreThreshold
	// where it is given back: between them it stays, so that paces don't swing.
	trustCutThreshold     = 0.85
	trustRestoreThreshold = 0.7
	// trustCutFactor and trustRestoreStep change a worker's budget, minTrust is the least share
	// of it: the estimates follow a disturbance within a report, and a budget that is
	// cut deeper idles the worker for seconds. What lasts longer than pauseAfter ends in
	// a standstill.
	trustCutFactor   = 0.5
	trustRestoreStep = 0.25
	minTrust         = 0.5
	// pauseAfter is how long a tail may be over its objective before all
	// backfilling runs beside it stand still. A tail falls back within a second and a
	// half of that, and a disturbance has to end within four.
	pauseAfter = 1400 * time.Millisecond
	fullPace   = 100
	// averagingTime is the time constant of the moving average that workers report; a
	// report after more than maxReportGap holds nothing of the one before.
	averagingTime = 300 * time.Millisecond
	maxReportGap  = 1200 * time.Millisecond
	// paceStep is the granularity of a pace, so that small changes of the figures
	// order nothing.
	paceStep = 10
)

// pacer holds the paces of a worker's backfilling runs.
type pacer struct {
	updatedAt time.Time
	// trust is the share of the budget that is given out, cut when the tails are too
	// long all the same.
	trust float64
	// tails are the smoothed tails of the serving runs, as shares of their objectives.
	tails map[jobqueue.RunID]float64
	paces map[jobqueue.RunID]uint32
	// revision grows with each change of the paces; low is set while one is so low that
	// its run may be moved.
	revision   uint64
	hasLowPace bool
	// reports are the last reports of the serving runs.
	reports map[jobqueue.RunID]tailReport
	// exceededSince says since when the tail of a serving run has been over its objective.
	exceededSince map[jobqueue.RunID]time.Time
}

// Observe learns from a report of a worker and sets the paces of its backfilling
// runs. It returns whether a pace changed.
func (p *Planner) Observe(w *jobqueue.Worker, fleet Fleet, now time.Time) bool {
	c := p.pacerOf(w.Spec.Id)
	if now.Sub(c.updatedAt) < paceInterval {
		return false
	}
	c.updatedAt = now
	v := viewWorker(w, fleet)
	p.learn(c, v, now)
	c.smoothTails(v)
	c.adjustTrust(v)
	c.trackExceeded(v, now)
	return p.setPaces(c, v, now)
}

// pacerOf returns a worker's pacer, a new one where there is none.
func (p *Planner) pacerOf(worker string) *pacer {
	c := p.pacers[worker]
	if c == nil {
		c = &pacer{trust: 1, paces: map[jobqueue.RunID]uint32{}}
		p.pacers[worker] = c
	}
	return c
}

// setPaces sets the paces of a worker's backfilling runs and returns whether one
// changed.
func (p *Planner) setPaces(c *pacer, v workerView, now time.Time) bool {
	if c.mustPause(now) {
		return c.replacePaces(zeroPaces(v))
	}
	return c.replacePaces(p.allocatePaces(v, c.trust, now))
}

// setStartPaces sets the paces of the backfilling runs that this round starts, and of
// those beside them. What goes wrong without it: a run works at full speed until
// the next report of its worker, half a second and more, and the tails beside it
// are over their objectives for a second.
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

// Pace returns the pace that a run should have, in percent; false when none was
// ever set.
func (p *Planner) Pace(worker string, id jobqueue.RunID) (uint32, bool) {
	if c := p.pacers[worker]; c != nil {
		percent, set := c.paces[id]
		return percent, set
	}
	return 0, false
}

// trust is the share of a worker's slack that is given out.
func (p *Planner) trust(worker string) float64 {
	if c := p.pacers[worker]; c != nil {
		return c.trust
	}
	return 1
}

// workerView is what was last seen of a worker's runs.
type workerView struct {
	capacity int64
	// serving are the serving runs at work; steps are those of all serving runs, with their
	// images.
	serving  []observedRun
	steps    map[jobqueue.StepID]string
	backfill []observedRun
}

type observedRun struct {
	run *jobqueue.Run
	Observation
}

// tailShare is the tail latency as a share of its objective.
func (s observedRun) tailShare() float64 {
	return float64(s.Figure) / float64(s.run.Step.TailObjectiveMs)
}

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

// backfillParts sums the processor time in use by image, in parts of the worker.
func (v workerView) backfillParts() map[string]float64 {
	parts := map[string]float64{}
	for _, b := range v.backfill {
		parts[b.run.Step.Image] += workerParts(b.Figure, v.capacity)
	}
	return parts
}

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

// currentTailShare is a tail as a share of its objective without what the report before
// still adds to it: workers report a moving average, in which a queue that has gone
// is still seen for a second.
func (c *pacer) currentTailShare(s observedRun, now time.Time) float64 {
	before, known := c.reports[s.run.ID]
	passed := now.Sub(before.at)
	if !known || passed > maxReportGap {
		return s.tailShare()
	}
	kept := math.Exp(-passed.Seconds() / averagingTime.Seconds())
	return max(1.0/maxHeadroom, (s.tailShare()-kept*before.share)/(1-kept))
}

func (c *pacer) recordReports(v workerView, now time.Time) {
	c.reports = map[jobqueue.RunID]tailReport{}
	for _, s := range v.serving {
		c.reports[s.run.ID] = tailReport{at: now, share: s.tailShare()}
	}
}

// tailReport is a tail as it was reported.
type tailReport struct {
	at    time.Time
	share float64
}

// smoothTails takes the newest tails in.
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

// trackExceeded notes since when each serving run's tail has been over its objective.
func (c *pacer) trackExceeded(v workerView, now time.Time) {
	over := map[jobqueue.RunID]time.Time{}
	for _, s := range v.serving {
		if s.tailShare() <= 1 {
			continue
		}
		since, known := c.exceededSince[s.run.ID]
		if !known {
			since = now
		}
		over[s.run.ID] = since
	}
	c.exceededSince = over
}

// mustPause reports whether a tail has been over its objective for so long that the
// backfilling runs must stand still, whichever of them is to blame. What goes wrong
// without it: a pair of images that was not learnt yet, or an estimate that is
// wrong, disturbs a serving task for seconds.
func (c *pacer) mustPause(now time.Time) bool {
	for _, since := range c.exceededSince {
		if now.Sub(since) >= pauseAfter {
			return true
		}
	}
	return false
}

func zeroPaces(v workerView) map[jobqueue.RunID]uint32 {
	paces := map[jobqueue.RunID]uint32{}
	for _, b := range v.backfill {
		paces[b.run.ID] = 0
	}
	return paces
}

// allocatePaces shares the slack out: the images that disturb least first, since it buys
// the most work there.
func (p *Planner) allocatePaces(v workerView, trust float64, now time.Time) map[jobqueue.RunID]uint32 {
	paces := map[jobqueue.RunID]uint32{}
	left := p.interference.slackAt(now.Add(paceLookahead), v.steps, trust, now)
	costs := map[string]float64{}
	for _, b := range v.backfill {
		costs[b.run.Step.Image] = left.cost(b.run.Step, v.capacity) / float64(max(1, b.run.Step.CpuMilli))
	}
	order := slices.Clone(v.backfill)
	slices.SortStableFunc(order, func(a, b observedRun) int {
		return cmp.Compare(costs[a.run.Step.Image], costs[b.run.Step.Image])
	})
	for _, b := range order {
		share := 1.0
		if cost := left.cost(b.run.Step, v.capacity); cost > 1 {
			share = 1 / cost
		}
		percent := uint32(share*fullPace) / paceStep * paceStep
		left.consume(b.run.Step, v.capacity, float64(percent)/fullPace)
		paces[b.run.ID] = percent
	}
	return paces
}

// replacePaces replaces the paces and reports whether one changed. A run that was never
// slowed down needs no order.
func (c *pacer) replacePaces(paces map[jobqueue.RunID]uint32) bool {
	changed, low := false, false
	next := map[jobqueue.RunID]uint32{}
	for id, percent := range paces {
		before, set := c.paces[id]
		if !set && percent == fullPace {
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
