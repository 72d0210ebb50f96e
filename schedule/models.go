package schedule

import (
	"math"
	"time"
)

const (
	// evidenceKept is the share of the evidence for a model that is left after another
	// sample: some thousand samples count, a minute or two of a dozen serving tasks.
	evidenceKept = 0.999
	// swingEvidence is how much more evidence a swing needs than the trend, as a logarithm:
	// odds of twenty thousand to one. Of nine models one fits a few samples by chance.
	swingEvidence = 10
)

// loadModel foretells a step's headroom by itself.
type loadModel interface {
	// advance carries the estimate on to now.
	advance(now time.Time)
	// now is the estimate of the level and its variance.
	now() (level, variance float64)
	// correct takes in by how much an observation of that variance was off.
	correct(off, variance float64)
	forecast(at time.Time) float64
}

// load is a step's headroom by itself, by each of the models; that which foretold all
// steps best so far is believed.
type load struct {
	models []loadModel
	record *modelRecord
}

// modelRecord is how well each model has foretold the samples of all steps.
type modelRecord struct {
	evidence [1 + swingModels]float64
	best     int
}

func newLoad(level float64, record *modelRecord, now time.Time) *load {
	l := &load{record: record, models: []loadModel{newTrend(level, now)}}
	period := shortestPeriod
	for range swingModels {
		l.models = append(l.models, newSwing(period, level, now))
		period *= periodRatio
	}
	return l
}

func (l *load) advance(now time.Time) {
	for _, m := range l.models {
		m.advance(now)
	}
}

// now is the estimate of the model that is believed.
func (l *load) now() (level, variance float64) { return l.models[l.record.best].now() }

func (l *load) forecast(at time.Time) float64 { return l.models[l.record.best].forecast(at) }

// correct takes in an observation of the headroom, off by a noise of that variance. One
// that was cut at the highest headroom tells nothing of which model is right.
func (l *load) correct(observed, noise float64, cut bool) {
	for i, m := range l.models {
		level, variance := m.now()
		off, total := observed-level, noise+variance
		if !cut {
			l.record.note(i, off, total)
		}
		m.correct(off, total)
	}
	l.record.choose()
}

// note adds the logarithm of how likely a model held the sample to be.
func (r *modelRecord) note(model int, off, variance float64) {
	r.evidence[model] = evidenceKept*r.evidence[model] - (off*off/variance+math.Log(variance))/2
}

// choose believes the swing with the most evidence, the trend while there is too little.
func (r *modelRecord) choose() {
	r.best = 0
	most := r.evidence[0] + swingEvidence
	for i, e := range r.evidence {
		if i > 0 && e > most {
			r.best, most = i, e
		}
	}
}
