package place

import (
	"math"
	"time"
)

// interferenceKey identifies an estimated slowdown. An empty kind identifies the service's own
// latency without neighbours.
type interferenceKey struct {
	service, kind string
	// share is the task's throttle share in thousandths.
	share  int32
	bucket int
}

// belief is a normal distribution over the natural logarithm of a factor.
type belief struct {
	mean, variance float64
	// prior is the mean to which the belief decays without reports.
	prior, priorVariance float64
	// growth is the increase of the variance per hour.
	growth  float64
	at      time.Time
	samples int
}

// interference estimates how much each kind of task slows each service down, per load bucket, from
// reports that cover several neighbours at once. The model is
//
//	log p99 = baseline(service, bucket) + sum of amount(kind) * slowdown(service, kind, bucket)
//
// and each report is one step of a Kalman filter with a diagonal covariance, as in TrueSkill
// (Herbrich et al., NIPS 2006): the innovation is distributed by the variance of each term, so a new
// neighbour's estimate changes more than a known one's. Between reports a slowdown's mean decays to
// its prior with the time constant decayTime, and its variance grows at a constant rate up to the
// prior's, because interference changes over time.
type interference struct {
	decayTime time.Duration
	beliefs   map[interferenceKey]*belief
}

// Priors and noise, on the log scale.
const (
	priorSlowdown         = 0.03
	priorSlowdownVariance = 0.30 * 0.30
	priorBaselineVariance = 1.0
	slowdownGrowth        = 0.12 * 0.12
	// baselineGrowth is small because a service's own latency changes slowly. A baseline that
	// follows reports fast would absorb the slowdown by neighbours that are always present.
	baselineGrowth = 0.03 * 0.03
	// bucketVariance is added per step to a belief copied from another bucket.
	bucketVariance = 0.08 * 0.08
	// throttleVariance is added to a throttled task's belief derived from the full share.
	throttleVariance = 0.10 * 0.10
	// uncertainDeviation is the standard deviation above which a pair needs probing.
	uncertainDeviation = 0.22
	// noiseVariance is the variance of a report's log p99 in addition to that from few requests.
	noiseVariance = 0.12 * 0.12
	// innovationLimit bounds the effect of one report, in standard deviations.
	innovationLimit = 3.0
	// maxBucketDistance is the greatest distance of a bucket whose belief stands in for a missing
	// one.
	maxBucketDistance = 6
)

func newInterference(decayTime time.Duration) *interference {
	return &interference{decayTime: decayTime, beliefs: make(map[interferenceKey]*belief)}
}

// loadBucket maps a request rate to a bucket. Each bucket spans a factor of sqrt(2). The rate is
// used and not the number of requests in flight, because a slowdown itself raises the latter and
// would be mistaken for load.
func loadBucket(perSecond float64) int {
	if perSecond < 1 {
		return 0
	}
	return 1 + int(2*math.Log2(perSecond))
}

// atTime returns the belief decayed to a time without changing it.
func (b *belief) atTime(now time.Time, decayTime time.Duration) (mean, variance float64) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return b.mean, b.variance
	}
	keep := math.Exp(-float64(elapsed) / float64(decayTime))
	mean = b.prior + (b.mean-b.prior)*keep
	grown := b.variance + b.growth*elapsed.Hours()
	return mean, max(b.variance, min(grown, b.priorVariance))
}

// lookup returns the belief about a pair: the pair's own, that of the nearest bucket, or the
// prior.
func (m *interference) lookup(now time.Time, p interferenceKey) (mean, variance float64) {
	if b := m.beliefs[p]; b != nil {
		return b.atTime(now, m.decayTime)
	}
	return m.nearestBelief(now, p)
}

func (m *interference) nearestBelief(now time.Time, p interferenceKey) (mean, variance float64) {
	for d := 1; d <= maxBucketDistance; d++ {
		for _, bucket := range [2]int{p.bucket - d, p.bucket + d} {
			q := p
			q.bucket = bucket
			if b := m.beliefs[q]; b != nil {
				mean, variance = b.atTime(now, m.decayTime)
				return mean, variance + float64(d)*bucketVariance
			}
		}
	}
	if p.kind == "" {
		return 0, priorBaselineVariance
	}
	return priorSlowdown, priorSlowdownVariance
}

// slowdown returns the belief about a task of a kind at a throttle share.
func (m *interference) slowdown(now time.Time, service, kind string, share int32, bucket int) (mean, variance float64) {
	p := interferenceKey{service: service, kind: kind, share: share, bucket: bucket}
	if share == fullShare {
		return m.lookup(now, p)
	}
	if b := m.beliefs[p]; b != nil {
		return b.atTime(now, m.decayTime)
	}
	p.share = fullShare
	mean, variance = m.lookup(now, p)
	part := float64(share) / fullShare
	return mean * part, variance*part*part + throttleVariance
}

// update applies one report about a service: its log latency, the tasks present during the
// measurement, and the variance of the measurement.
func (m *interference) update(at time.Time, service string, bucket int, present []presence, logLatency, noise float64) {
	parts := make([]*belief, 0, len(present)+1)
	amounts := make([]float64, 0, len(present)+1)
	parts = append(parts, m.baselineBelief(at, service, bucket, logLatency))
	amounts = append(amounts, 1)
	for _, n := range present {
		parts = append(parts, m.neighbourBelief(at, service, bucket, n))
		amounts = append(amounts, n.amount)
	}
	predicted, predictionVariance := 0.0, noise+noiseVariance
	for i, b := range parts {
		predicted += amounts[i] * b.mean
		predictionVariance += amounts[i] * amounts[i] * b.variance
	}
	limit := innovationLimit * math.Sqrt(predictionVariance)
	innovation := min(max(logLatency-predicted, -limit), limit)
	for i, b := range parts {
		gain := amounts[i] * b.variance / predictionVariance
		b.mean += gain * innovation
		b.variance -= gain * amounts[i] * b.variance
		b.samples++
		if i > 0 {
			// A neighbour never speeds a service up. Without this bound, noise that lowers one
			// kind's slowdown would raise that of the kind next to it.
			b.mean = max(b.mean, 0)
		}
	}
}

// baselineBelief returns the stored belief about a service without neighbours, decayed to a time.
// The first one takes its mean from the report itself.
func (m *interference) baselineBelief(at time.Time, service string, bucket int, logLatency float64) *belief {
	p := interferenceKey{service: service, bucket: bucket}
	b := m.beliefs[p]
	if b == nil {
		mean, variance := m.nearestBelief(at, p)
		if variance == priorBaselineVariance {
			mean = logLatency
		}
		b = &belief{mean: mean, variance: variance, prior: mean, priorVariance: variance, growth: baselineGrowth, at: at}
		m.beliefs[p] = b
	}
	// The baseline has no fixed prior: its mean stays and only its variance grows.
	b.prior = b.mean
	b.advance(at, m.decayTime)
	return b
}

func (m *interference) neighbourBelief(at time.Time, service string, bucket int, n presence) *belief {
	p := interferenceKey{service: service, kind: n.kind, share: n.share, bucket: bucket}
	b := m.beliefs[p]
	if b == nil {
		mean, variance := m.slowdown(at, service, n.kind, n.share, bucket)
		b = &belief{
			mean: mean, variance: variance,
			prior: priorSlowdown * float64(n.share) / fullShare, priorVariance: priorSlowdownVariance,
			growth: slowdownGrowth,
			at:     at,
		}
		m.beliefs[p] = b
	}
	b.advance(at, m.decayTime)
	return b
}

func (b *belief) advance(at time.Time, decayTime time.Duration) {
	if !at.After(b.at) {
		return
	}
	b.mean, b.variance = b.atTime(at, decayTime)
	b.at = at
}

// prune removes beliefs without a report for several decay times, which have decayed to their
// priors.
func (m *interference) prune(now time.Time) {
	const decayTimes = 4
	for p, b := range m.beliefs {
		if now.Sub(b.at) > decayTimes*m.decayTime {
			delete(m.beliefs, p)
		}
	}
}

// expectedLogTail returns the expected log tail latency of a service with its neighbours, and
// false if no report about the service was recorded.
func (m *interference) expectedLogTail(at time.Time, service string, bucket int, present []presence) (float64, bool) {
	sum, variance := m.lookup(at, interferenceKey{service: service, bucket: bucket})
	if variance >= priorBaselineVariance {
		return 0, false
	}
	for _, n := range present {
		mean, _ := m.slowdown(at, service, n.kind, n.share, bucket)
		sum += n.amount * mean
	}
	return sum, true
}

// upperBound returns the upper confidence bound of a belief, z standard deviations above the mean.
func upperBound(mean, variance, z float64) float64 { return mean + z*math.Sqrt(variance) }

// uncertain reports whether a pair's variance is too large to place its kind without probing.
func uncertain(variance float64) bool { return variance > uncertainDeviation*uncertainDeviation }
