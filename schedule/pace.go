package schedule

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/jobqueue"
)

const (
	// paceInterval is the time between two changes of a worker's paces: the figures
	// are of the last half second.
	paceInterval = 500 * time.Millisecond
	// budgetShare of the objective is what the tails may be brought to by
	// backfilling tasks.
	budgetShare = 0.7
	// alarmShare of the objective is where the budget is cut at once, calmShare where
	// it is given back: between them it stays, so that paces don't swing.
	alarmShare = 0.85
	calmShare  = 0.6
	// cutFactor and restoreStep change a worker's budget: in four steps, two seconds,
	// it falls to an eighth, half of the time in which a disturbance has to end.
	cutFactor   = 0.6
	restoreStep = 0.1
	minCaution  = 0.05
	fullPace    = 100
	// paceSteps is the granularity of a pace, so that small changes of the figures
	// order nothing.
	paceStep = 10
)

// pacer holds the paces of a worker's backfilling runs.
type pacer struct {
	at time.Time
	// trust is the share of the budget that is used, cut when the tails are too long
	// all the same.
	trust float64
	paces map[jobqueue.RunID]uint32
}

// Observe learns from a report of a worker and sets the paces of its backfilling
// runs. It returns whether a pace changed.
func (p *Planner) Observe(w *jobqueue.Worker, fleet Fleet, now time.Time) bool {
	c := p.pacers[w.Spec.Id]
	if c == nil {
		c = &pacer{trust: 1, paces: map[jobqueue.RunID]uint32{}}
		p.pacers[w.Spec.Id] = c
	}
	if now.Sub(c.at) < paceInterval {
		return false
	}
	c.at = now
	v := viewOf(w, fleet)
	p.learn(v)
	c.adjustTrust(v.worstShare())
	return c.set(p.paces(v, c.trust))
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

// workerView is what was last seen of a worker's runs.
type workerView struct {
	capacity int64
	serving  []seenRun
	backfill []seenRun
}

type seenRun struct {
	run *jobqueue.Run
	Observation
}

// share is the tail latency as a share of its objective.
func (s seenRun) share() float64 { return float64(s.Figure) / float64(s.run.Step.TailObjectiveMs) }

func viewOf(w *jobqueue.Worker, fleet Fleet) workerView {
	v := workerView{capacity: w.Spec.CpuMilli}
	for _, id := range w.SortedRuns() {
		r := w.Runs[id]
		o, seen := fleet.Observed(id)
		switch {
		case r.Step.Backfill:
			v.backfill = append(v.backfill, seenRun{r, o})
		case seen && r.Step.TailObjectiveMs > 0 && o.Percent == fullPace:
			v.serving = append(v.serving, seenRun{r, o})
		}
	}
	return v
}

func (v workerView) worstShare() float64 {
	worst := 0.0
	for _, s := range v.serving {
		worst = max(worst, s.share())
	}
	return worst
}

// parts sums the processor time in use by image, in parts of the worker.
func (v workerView) parts() map[string]float64 {
	parts := map[string]float64{}
	for _, b := range v.backfill {
		parts[b.run.Step.Image] += partsOf(b.Figure, v.capacity)
	}
	return parts
}

func partsOf(cpuMilli, capacity int64) float64 {
	return partsOfWorker * float64(cpuMilli) / float64(max(1, capacity))
}

func (p *Planner) learn(v workerView) {
	parts := v.parts()
	for _, s := range v.serving {
		if s.Figure > 0 {
			p.interference.learn(s.run.Step.Image, s.share(), parts)
		}
	}
}

func (c *pacer) adjustTrust(share float64) {
	switch {
	case share > alarmShare:
		c.trust = max(minCaution, c.trust*cutFactor)
	case share < calmShare:
		c.trust = min(1, c.trust+restoreStep)
	}
}

// slack is how much the backfilling runs together may add to the tail of the
// serving one that can bear least, as a share of its objective.
func (p *Planner) slack(serving []seenRun) float64 {
	slack := float64(noLimit)
	for _, s := range serving {
		slack = min(slack, budgetShare-p.interference.base(s.run.Step.Image))
	}
	return max(0, slack)
}

// cost is what a task of a backfilling step adds to the tails beside it at full
// speed, as a share of their objective.
func (p *Planner) cost(s *apiv1.JobStep, capacity int64) float64 {
	return p.interference.pressure(s.Image) * partsOf(s.CpuMilli, capacity)
}

// slackLeft is what the present backfilling runs of a worker leave of its slack.
func (p *Planner) slackLeft(w *jobqueue.Worker, fleet Fleet) float64 {
	v := viewOf(w, fleet)
	trust := 1.0
	if c := p.pacers[w.Spec.Id]; c != nil {
		trust = c.trust
	}
	slack := p.slack(v.serving) * trust
	for _, b := range v.backfill {
		slack -= p.cost(b.run.Step, v.capacity)
	}
	return max(0, slack)
}

// noLimit stands for a worker without serving tasks.
const noLimit = 1e9

// paces shares the slack out: the images that disturb least first, since it
// buys the most work there.
func (p *Planner) paces(v workerView, trust float64) map[jobqueue.RunID]uint32 {
	paces := map[jobqueue.RunID]uint32{}
	budget := p.slack(v.serving) * trust
	order := slices.Clone(v.backfill)
	slices.SortStableFunc(order, func(a, b seenRun) int {
		return cmp.Compare(p.interference.pressure(a.run.Step.Image), p.interference.pressure(b.run.Step.Image))
	})
	for _, b := range order {
		cost := p.cost(b.run.Step, v.capacity)
		share := 1.0
		if cost > budget {
			share = budget / cost
		}
		percent := uint32(share*fullPace) / paceStep * paceStep
		budget = max(0, budget-cost*share)
		paces[b.run.ID] = percent
	}
	return paces
}

// set replaces the paces and reports whether one changed. A run that was never
// slowed down needs no order.
func (c *pacer) set(paces map[jobqueue.RunID]uint32) bool {
	changed := false
	next := map[jobqueue.RunID]uint32{}
	for id, percent := range paces {
		before, set := c.paces[id]
		if !set && percent == fullPace {
			continue
		}
		next[id] = percent
		if !set || before != percent {
			changed = true
		}
	}
	c.paces = next
	return changed
}
