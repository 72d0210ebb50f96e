package schedule

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"

	"github.com/cairnlift/cairnlift/jobqueue"
)

// forecastErrors plays serving steps whose headroom by itself goes as f says, reported
// with noise twice a second. It returns the root mean square error of the forecasts for a
// second ahead after some time of learning, of the believed model and of the trend.
func forecastErrors(f func(step int, seconds float64) float64) (believed, trend float64) {
	const steps, learning, watched = 6, 80, 120
	random := rand.New(rand.NewSource(1))
	learnt := newInterference()
	start := time.Unix(1e9, 0)
	type forecast struct{ believed, trend float64 }
	var ahead [2 + learning + watched][]forecast
	n := 0.0
	for i := range learning + watched {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		then := now.Add(time.Second)
		for step := range steps {
			id := jobqueue.StepID{Job: fmt.Sprint(step)}
			actual := f(step, now.Sub(start).Seconds())
			noisy := actual + random.NormFloat64()*(noise+relativeNoise*actual)/2
			learnt.learn(tailSample{step: id, image: "serving", headroom: noisy}, now)
			ahead[i+2] = append(ahead[i+2], forecast{
				learnt.forecast(id, "serving", then), learnt.loads[id].models[0].forecast(then),
			})
			if i >= learning {
				was := ahead[i][step]
				believed += (was.believed - actual) * (was.believed - actual)
				trend += (was.trend - actual) * (was.trend - actual)
				n++
			}
		}
	}
	return math.Sqrt(believed / n), math.Sqrt(trend / n)
}

// Symptom: batch work stands still at the ebb of the users' load, and disturbs serving
// tasks at its flood. Sequence: headrooms swing about different means, each step at its
// own time, with one period. Cause: a load that is foretold by its last change only.
func TestSwingsAreForetold(t *testing.T) {
	for _, period := range []float64{7, 9, 14, 20, 30} {
		believed, trend := forecastErrors(func(step int, seconds float64) float64 {
			return 2.6 + 0.1*float64(step) + math.Sin(2*math.Pi*seconds/period+float64(step))
		})
		t.Logf("period of %v s: %.2f, by the trend %.2f", period, believed, trend)
		if believed > 0.7*trend {
			t.Errorf("period of %v s: forecasts are off by %.2f, by the trend %.2f", period, believed, trend)
		}
	}
}

// Symptom: loads that are steady, or grow, are foretold worse than by their trend.
// Sequence: headrooms stay, fall for good, or jump once. Cause: a swing that a few
// samples fit by chance is believed.
func TestLoadsWithoutASwingAreForetold(t *testing.T) {
	for name, f := range map[string]func(step int, seconds float64) float64{
		"steady":  func(int, float64) float64 { return 2.2 },
		"falling": func(_ int, seconds float64) float64 { return 4.5 - 0.03*seconds },
		"jump": func(_ int, seconds float64) float64 {
			if seconds > 60 {
				return 1.8
			}
			return 3
		},
	} {
		believed, trend := forecastErrors(f)
		t.Logf("%s: %.2f, by the trend %.2f", name, believed, trend)
		if believed > 1.05*trend {
			t.Errorf("%s: forecasts are off by %.2f, by the trend %.2f", name, believed, trend)
		}
	}
}
