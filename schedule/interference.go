package schedule

import "math"

const (
	// maxImages bounds the backfilling images that are told apart beside one serving
	// image; the filter's cost grows with the square of it.
	maxImages = 48
	// priorBase and priorPressure are what is believed of images that nothing was
	// seen of: the tail of a serving task by itself, and what a backfilling task adds
	// to it per part of the worker in use, both as shares of the objective. A pair is
	// believed to get along: most do, a wrong guess is found out within seconds by the
	// tails, and a pair that is taken for bad would never be tried. priorSpread is how
	// far off both may be.
	priorBase     = 0.25
	priorPressure = 0.005
	priorSpread   = 0.2
	// partsOfWorker is how many parts the processors of a worker are counted in: a
	// task disturbs by the share of its worker that it uses, whatever its size.
	partsOfWorker = 32
	// noise is how far a report of half a second is off, baseDrift and drift how much
	// a base and a pressure change between two samples, as shares of the objective:
	// the load of serving tasks swings within some ten seconds.
	noise     = 0.1
	baseDrift = 0.02
	drift     = 0.001
	// outlierShare of the objective is where a sample is cut: a queue that grows
	// without bound says that the pressure is too high, not how much.
	outlierShare = 3
	// cautionSigmas is added to a pressure that is not well known yet.
	cautionSigmas = 0.05
	// lightPressure is where pairs that get along end and those that don't begin: the
	// former add next to nothing at any load, the latter ten times this. An estimate
	// can't be negative, so that of a light pair is its noise, and a dozen of them would
	// use up a slack that nobody takes. lightShare of it is counted.
	lightPressure = 0.012
	lightShare    = 0.2
)

// interference learns how much each image of backfilling tasks lengthens the tails
// of each serving image beside it. How badly one disturbs another depends on the
// pair: over a day of the auction house's load a model by pairs explains three
// times as much of the tails' variance as one by backfilling images (R2 0.19 and
// 0.07, 5,736 reports), and two pairs of three hardly disturb at all.
type interference struct {
	byServing map[string]*filter
}

func newInterference() *interference { return &interference{byServing: map[string]*filter{}} }

// learn takes in one report of a serving task's tail, as a share of its objective,
// beside the parts of its worker that the backfilling images used.
func (f *interference) learn(serving string, tailShare float64, parts map[string]float64) {
	s := f.byServing[serving]
	if s == nil {
		s = newFilter()
		f.byServing[serving] = s
	}
	s.learn(min(tailShare, outlierShare), parts)
}

// pressure is what a backfilling image adds to the tail of a serving one, as a share
// of the objective per part of the worker in use, with some caution for what is not
// well known.
func (f *interference) pressure(serving, backfill string) float64 {
	if s := f.byServing[serving]; s != nil {
		return s.pressure(backfill)
	}
	return priorPressure + cautionSigmas*priorSpread
}

// base is the tail of a serving image by itself, as a share of its objective.
func (f *interference) base(serving string) float64 {
	if s := f.byServing[serving]; s != nil {
		return s.mean[baseFeature]
	}
	return priorBase
}

// filter is a Kalman filter for one serving image: the state is its base and one
// pressure per backfilling image, each of which drifts.
type filter struct {
	index map[string]int
	mean  []float64
	cov   [][]float64
}

// baseFeature is the place of the base in the state.
const baseFeature = 0

func newFilter() *filter {
	f := &filter{index: map[string]int{}}
	f.grow(priorBase)
	return f
}

func (f *filter) grow(prior float64) int {
	n := len(f.mean)
	f.mean = append(f.mean, prior)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	f.cov = append(f.cov, make([]float64, n+1))
	f.cov[n][n] = priorSpread * priorSpread
	return n
}

func (f *filter) learn(tailShare float64, parts map[string]float64) {
	row := map[int]float64{baseFeature: 1}
	for image, used := range parts {
		i, known := f.index[image]
		if !known && len(f.mean) <= maxImages {
			i = f.grow(priorPressure)
			f.index[image] = i
			known = true
		}
		if known {
			row[i] = used
		}
	}
	f.update(row, tailShare)
}

// update is the filter's step for the measurement y = row * state.
func (f *filter) update(row map[int]float64, y float64) {
	gain := make([]float64, len(f.mean))
	variance := noise * noise
	predicted := 0.0
	for i, x := range row {
		predicted += x * f.mean[i]
		for j := range gain {
			gain[j] += f.cov[j][i] * x
		}
	}
	for i, x := range row {
		variance += x * gain[i]
	}
	for i := range f.mean {
		f.mean[i] = max(0, f.mean[i]+gain[i]/variance*(y-predicted))
		for j := range f.mean {
			f.cov[i][j] -= gain[i] * gain[j] / variance
		}
		f.cov[i][i] = min(f.cov[i][i]+drift*drift, priorSpread*priorSpread)
	}
	f.cov[baseFeature][baseFeature] = min(f.cov[baseFeature][baseFeature]+baseDrift*baseDrift, priorSpread*priorSpread)
}

func (f *filter) pressure(image string) float64 {
	i, known := f.index[image]
	if !known {
		return priorPressure + cautionSigmas*priorSpread
	}
	pressure := f.mean[i] + cautionSigmas*math.Sqrt(max(0, f.cov[i][i]))
	if pressure < lightPressure {
		return lightShare * pressure
	}
	return pressure
}
