package schedule

import "math"

const (
	// maxImages bounds the images that are told apart; the filter's cost grows with
	// the square of it.
	maxImages = 64
	// priorBase and priorPressure are what is believed of an image that nothing was
	// seen of: the tail of a serving task by itself, and what a backfilling task adds
	// to its neighbours' tails per part of the worker in use, both as shares of the
	// objective. It is believed to be light: about half of the images are, a wrong
	// guess is found out within seconds by the tails, and an image that is taken for
	// heavy would never be tried. priorSpread is how far off both may be.
	priorBase     = 0.25
	priorPressure = 0.02
	priorSpread   = 0.25
	// partsOfWorker is how many parts the processors of a worker are counted in: a
	// task disturbs by the share of its worker that it uses, whatever its size.
	partsOfWorker = 32
	// noise is how far a report of half a second is off, and drift how much an
	// image's pressure changes between two samples, as shares of the objective.
	noise = 0.25
	drift = 0.002
	// outlierShare of the objective is where a sample is cut: a queue that grows
	// without bound says that the pressure is too high, not how much.
	outlierShare = 3
	// cautionSigmas is added to a pressure that is not well known yet.
	cautionSigmas = 0.25
)

// interference learns how much each image of backfilling tasks lengthens the tail
// of serving tasks on the same worker: a Kalman filter over one base per serving
// image and one pressure per backfilling image. Which tasks disturb which is only
// seen in reports that are rough and late, and most images disturb little; without
// telling them apart all would have to be slowed down alike.
type interference struct {
	index map[feature]int
	mean  []float64
	cov   [][]float64
}

type feature struct {
	image    string
	backfill bool
}

func newInterference() *interference { return &interference{index: map[feature]int{}} }

// feature returns the place of a feature in the filter, -1 when it is full.
func (f *interference) feature(key feature) int {
	if i, known := f.index[key]; known {
		return i
	}
	n := len(f.mean)
	if n >= maxImages {
		return -1
	}
	prior := priorBase
	if key.backfill {
		prior = priorPressure
	}
	f.index[key] = n
	f.mean = append(f.mean, prior)
	for i := range f.cov {
		f.cov[i] = append(f.cov[i], 0)
	}
	f.cov = append(f.cov, make([]float64, n+1))
	f.cov[n][n] = priorSpread * priorSpread
	return n
}

// learn takes in one report of a serving task's tail, as a share of its objective, beside the parts of its worker
// that the backfilling images used.
func (f *interference) learn(image string, tailShare float64, parts map[string]float64) {
	row := map[int]float64{}
	if i := f.feature(feature{image: image}); i >= 0 {
		row[i] = 1
	}
	for name, used := range parts {
		if i := f.feature(feature{image: name, backfill: true}); i >= 0 {
			row[i] = used
		}
	}
	f.update(row, min(tailShare, outlierShare))
}

// update is the filter's step for the measurement y = row * state.
func (f *interference) update(row map[int]float64, y float64) {
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
}

// pressure is what a backfilling image adds to the tail of the serving tasks beside
// it, as a share of their objective per part of the worker in use, with some caution
// for what is not well known.
func (f *interference) pressure(image string) float64 {
	i, known := f.index[feature{image: image, backfill: true}]
	if !known {
		return priorPressure + cautionSigmas*priorSpread
	}
	return f.mean[i] + cautionSigmas*math.Sqrt(max(0, f.cov[i][i]))
}

// base is the tail of a serving image by itself, as a share of its objective.
func (f *interference) base(image string) float64 {
	if i, known := f.index[feature{image: image}]; known {
		return f.mean[i]
	}
	return priorBase
}
