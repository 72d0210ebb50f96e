package schedule

import (
	"math"
	"time"
)

const (
	// priorHeadroom is the headroom that a serving step is assumed to have without backfill tasks
	// until it is measured. priorLevelDeviation and priorSlopeDeviation are the standard deviations
	// of the initial level and slope.
	priorHeadroom       = 2.5
	priorLevelDeviation = 1.0
	priorSlopeDeviation = 0.5
	// slopeDrift is the standard deviation of the change of a slope within one second.
	// slopeRetention is the fraction of a slope that remains after one second, because loads
	// fluctuate.
	slopeDrift     = 0.9
	slopeRetention = 0.6
	// usualHeadroomWeight is the weight of the newest sample in an image's usual headroom. It
	// averages the samples of a few load cycles.
	usualHeadroomWeight = 0.01
)

// headroomEstimate is an estimate of a step's headroom without backfill tasks: a level and its
// slope per second, with their covariances.
type headroomEstimate struct {
	updatedAt                      time.Time
	level, slope                   float64
	levelVar, covariance, slopeVar float64
}

func newHeadroomEstimate(level float64, now time.Time) *headroomEstimate {
	return &headroomEstimate{updatedAt: now, level: level, levelVar: priorLevelDeviation * priorLevelDeviation, slopeVar: priorSlopeDeviation * priorSlopeDeviation}
}

// advance extrapolates the estimate to now.
func (e *headroomEstimate) advance(now time.Time) {
	passed := now.Sub(e.updatedAt).Seconds()
	retained := math.Pow(slopeRetention, passed)
	e.level = e.forecast(now)
	e.updatedAt = now
	e.slope *= retained
	e.levelVar += 2*passed*e.covariance + passed*passed*e.slopeVar
	e.covariance = (e.covariance + passed*e.slopeVar) * retained
	e.slopeVar = e.slopeVar*retained*retained + slopeDrift*slopeDrift*passed
}

func (e *headroomEstimate) variance() float64 { return e.levelVar }

// correct updates level and slope by a sample that deviates from the forecast, given the variance
// of that deviation.
func (e *headroomEstimate) correct(deviation, variance float64) {
	gain, slopeGain := e.levelVar/variance, e.covariance/variance
	e.level = clampHeadroom(e.level + gain*deviation)
	e.slope += slopeGain * deviation
	e.slopeVar -= slopeGain * e.covariance
	e.covariance -= gain * e.covariance
	e.levelVar -= gain * e.levelVar
}

// forecast extrapolates the level along its slope, which decays.
func (e *headroomEstimate) forecast(at time.Time) float64 {
	passed := at.Sub(e.updatedAt).Seconds()
	return clampHeadroom(e.level + e.slope*(1-math.Pow(slopeRetention, passed))/-math.Log(slopeRetention))
}

// clampHeadroom limits a level to the range of headrooms. The lower limit is 1 because pausing
// backfill tasks can't help a step that exceeds its objective by its own load.
func clampHeadroom(level float64) float64 { return min(maxHeadroom, max(1, level)) }
