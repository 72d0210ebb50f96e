package schedule

import (
	"math"
	"time"
)

const (
	// priorHeadroom is what a serving step is believed to have by itself.
	priorHeadroom = 2.5
	priorLevel    = 1.0
	priorSlope    = 0.5
	// slopeDrift is how much a level's change a second changes in a second, as a
	// deviation; slopeKept is the share of it that is left after a second, since loads
	// swing.
	slopeDrift = 0.9
	slopeKept  = 0.6
	// usualWeight is the weight of the newest sample in an image's usual headroom: the
	// samples of a few swings.
	usualWeight = 0.01
)

// trend is a model of a step's headroom by itself that knows no period: a level and its
// change a second, with their covariances.
type trend struct {
	at                             time.Time
	level, slope                   float64
	levelVar, covariance, slopeVar float64
}

func newTrend(level float64, now time.Time) *trend {
	return &trend{at: now, level: level, levelVar: priorLevel * priorLevel, slopeVar: priorSlope * priorSlope}
}

// advance carries the estimate on to now.
func (t *trend) advance(now time.Time) {
	passed := now.Sub(t.at).Seconds()
	kept := math.Pow(slopeKept, passed)
	t.level = t.forecast(now)
	t.at = now
	t.slope *= kept
	t.levelVar += 2*passed*t.covariance + passed*passed*t.slopeVar
	t.covariance = (t.covariance + passed*t.slopeVar) * kept
	t.slopeVar = t.slopeVar*kept*kept + slopeDrift*slopeDrift*passed
}

func (t *trend) now() (level, variance float64) { return t.level, t.levelVar }

func (t *trend) correct(off, variance float64) {
	gain, slopeGain := t.levelVar/variance, t.covariance/variance
	t.level = bounded(t.level + gain*off)
	t.slope += slopeGain * off
	t.slopeVar -= slopeGain * t.covariance
	t.covariance -= gain * t.covariance
	t.levelVar -= gain * t.levelVar
}

// forecast carries the level on along its slope, which fades.
func (t *trend) forecast(at time.Time) float64 {
	passed := at.Sub(t.at).Seconds()
	return bounded(t.level + t.slope*(1-math.Pow(slopeKept, passed))/-math.Log(slopeKept))
}

// bounded keeps a level where headrooms lie: a step that alone is over its objective
// is none that backfilling tasks could help.
func bounded(level float64) float64 { return min(maxHeadroom, max(1, level)) }
