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

// load is a step's headroom by itself: a level and its change a second, with their
// covariances.
type load struct {
	at                             time.Time
	level, slope                   float64
	levelVar, covariance, slopeVar float64
}

func newLoad(level float64, now time.Time) *load {
	return &load{at: now, level: level, levelVar: priorLevel * priorLevel, slopeVar: priorSlope * priorSlope}
}

// advance carries the estimate on to now.
func (l *load) advance(now time.Time) {
	passed := now.Sub(l.at).Seconds()
	kept := math.Pow(slopeKept, passed)
	l.level = l.forecast(now)
	l.at = now
	l.slope *= kept
	l.levelVar += 2*passed*l.covariance + passed*passed*l.slopeVar
	l.covariance = (l.covariance + passed*l.slopeVar) * kept
	l.slopeVar = l.slopeVar*kept*kept + slopeDrift*slopeDrift*passed
}

func (l *load) variance() float64 { return l.levelVar }

func (l *load) correct(off, variance float64) {
	gain, slopeGain := l.levelVar/variance, l.covariance/variance
	l.level = bounded(l.level + gain*off)
	l.slope += slopeGain * off
	l.slopeVar -= slopeGain * l.covariance
	l.covariance -= gain * l.covariance
	l.levelVar -= gain * l.levelVar
}

// forecast carries the level on along its slope, which fades.
func (l *load) forecast(at time.Time) float64 {
	passed := at.Sub(l.at).Seconds()
	return bounded(l.level + l.slope*(1-math.Pow(slopeKept, passed))/-math.Log(slopeKept))
}

// bounded keeps a level where headrooms lie: a step that alone is over its objective
// is none that backfilling tasks could help.
func bounded(level float64) float64 { return min(maxHeadroom, max(1, level)) }
