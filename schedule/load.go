package schedule

import (
	"math"
	"time"
)

const (
	// priorHeadroom is what a serving step is believed to have by itself.
	priorHeadroom       = 2.5
	priorLevelDeviation = 1.0
	priorSlopeDeviation = 0.5
	// slopeDrift is how much a level's change a second changes in a second, as a
	// deviation; slopeRetention is the share of it that is left after a second, since loads
	// swing.
	slopeDrift     = 0.9
	slopeRetention = 0.6
	// usualHeadroomWeight is the weight of the newest sample in an image's usual headroom: the
	// samples of a few swings.
	usualHeadroomWeight = 0.01
)

// headroomEstimate is a step's headroom by itself: a level and its change a second, with their
// covariances.
type headroomEstimate struct {
	updatedAt                      time.Time
	level, slope                   float64
	levelVar, covariance, slopeVar float64
}

func newHeadroomEstimate(level float64, now time.Time) *headroomEstimate {
	return &headroomEstimate{updatedAt: now, level: level, levelVar: priorLevelDeviation * priorLevelDeviation, slopeVar: priorSlopeDeviation * priorSlopeDeviation}
}

// advance carries the estimate on to now.
func (l *headroomEstimate) advance(now time.Time) {
	passed := now.Sub(l.updatedAt).Seconds()
	kept := math.Pow(slopeRetention, passed)
	l.level = l.forecast(now)
	l.updatedAt = now
	l.slope *= kept
	l.levelVar += 2*passed*l.covariance + passed*passed*l.slopeVar
	l.covariance = (l.covariance + passed*l.slopeVar) * kept
	l.slopeVar = l.slopeVar*kept*kept + slopeDrift*slopeDrift*passed
}

func (l *headroomEstimate) variance() float64 { return l.levelVar }

func (l *headroomEstimate) correct(off, variance float64) {
	gain, slopeGain := l.levelVar/variance, l.covariance/variance
	l.level = clampHeadroom(l.level + gain*off)
	l.slope += slopeGain * off
	l.slopeVar -= slopeGain * l.covariance
	l.covariance -= gain * l.covariance
	l.levelVar -= gain * l.levelVar
}

// forecast carries the level on along its slope, which fades.
func (l *headroomEstimate) forecast(at time.Time) float64 {
	passed := at.Sub(l.updatedAt).Seconds()
	return clampHeadroom(l.level + l.slope*(1-math.Pow(slopeRetention, passed))/-math.Log(slopeRetention))
}

// clampHeadroom keeps a level where headrooms lie: a step that alone is over its objective
// is none that backfilling tasks could help.
func clampHeadroom(level float64) float64 { return min(maxHeadroom, max(1, level)) }
