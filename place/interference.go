package place

import (
	"math"
	"time"
)

// interferenceKey is what a slowdown is learnt for. An empty kind stands for the service's
// own latency without neighbours.
type interferenceKey struct {
	service, kind string
	// share is the task's throttle share in thousandths.
	share  int32
	bucket int
}

// belief is a normal distribution over the natural logarithm of a factor.
type belief struct {
	mean, variance float64
	// prior is what the belief drifts back to without reports.
	prior, priorVariance float64
	// growth of the variance per hour.
	growth  float64
	at      time.Time
	samples int
}

// interference learns how much each kind of task slows each service down, per
// load bucket, from reports about several neighbours at once. The model is
//
//	log p99 = own(service, bucket) + sum of amount(kind) * slowdown(service, kind, bucket)
//
// and each report is one step of a Kalman filter with a diagonal covariance, as
// in TrueSkill (Herbrich et al., NIPS 2006): the surprise is shared out by how
// unsure each part was, so a new neighbour takes the blame before a known one.
// Between reports a slowdown's mean relaxes to its prior with time constant
// drift, and its variance grows at a steady rate up to the prior's, since
// interference shifts over time.
type interference struct {
	decayTime time.Duration
	beliefs   map[interferenceKey]*belief
}

// Priors, on the log scale.
const (
	priorSlowdown         = 0.03
	priorSlowdownVariance = 0.30 * 0.30
	priorBaselineVariance = 1.0
	slowdownGrowth        = 0.12 * 0.12
	// baselineGrowth is small: a service alone changes slowly, and a baseline that
	// follows fast takes the blame for neighbours that are always there.
	baselineGrowth = 0.03 * 0.03
	// bucketVariance is added to what is taken over from a neighbouring bucket.
	bucketVariance = 0.08 * 0.08
	// throttleVariance is added to what is taken over for a throttled task.
	throttleVariance = 0.10 * 0.10
	// uncertainDeviation is the standard deviation above which a pair is unknown.
	uncertainDeviation = 0.22
	// noiseVariance of a report's log p99, besides what few requests add.
	noiseVariance = 0.12 * 0.12
	// innovationLimit bounds a report's pull, in standard deviations.
	innovationLimit = 3.0
	// maxBucketDistance is how far an unknown bucket looks for a known one.
	maxBucketDistance = 6
)

func newInterference(drift time.Duration) *interference {
	return &interference{decayTime: drift, beliefs: make(map[interferenceKey]*belief)}
}

// loadBucket maps a request rate to a bucket; each is a factor of sqrt(2) wide.
// The rate is used, not the requests in flight: a slowdown itself raises those,
// and would pass for load.
func loadBucket(perSecond float64) int {
	if perSecond < 1 {
		return 0
	}
	return 1 + int(2*math.Log2(perSecond))
}

// atTime returns the belief as it stands at a time, without changing the model.
func (b *belief) atTime(now time.Time, drift time.Duration) (mean, variance float64) {
	gap := now.Sub(b.at)
	if gap <= 0 {
		return b.mean, b.variance
	}
	keep := math.Exp(-float64(gap) / float64(drift))
	mean = b.prior + (b.mean-b.prior)*keep
	grown := b.variance + b.growth*gap.Hours()
	return mean, max(b.variance, min(grown, b.priorVariance))
}

// lookup returns what is believed about a pair: its own belief, or one taken
// over from the nearest bucket, or the prior.
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

// update takes in one report about a service: its log latency, who was there
// when it was measured, and the variance of the measurement.
func (m *interference) update(at time.Time, service string, bucket int, present []presence, logLatency, noise float64) {
	parts := make([]*belief, 0, len(present)+1)
	amounts := make([]float64, 0, len(present)+1)
	parts = append(parts, m.baselineBelief(at, service, bucket, logLatency))
	amounts = append(amounts, 1)
	for _, n := range present {
		parts = append(parts, m.neighbourBelief(at, service, bucket, n))
		amounts = append(amounts, n.amount)
	}
	predicted, spread := 0.0, noise+noiseVariance
	for i, b := range parts {
		predicted += amounts[i] * b.mean
		spread += amounts[i] * amounts[i] * b.variance
	}
	limit := innovationLimit * math.Sqrt(spread)
	surprise := min(max(logLatency-predicted, -limit), limit)
	for i, b := range parts {
		gain := amounts[i] * b.variance / spread
		b.mean += gain * surprise
		b.variance -= gain * amounts[i] * b.variance
		b.samples++
		if i > 0 {
			// A neighbour speeds nothing up; without this bound noise in one
			// kind's belief is paid for by the kind beside it.
			b.mean = max(b.mean, 0)
		}
	}
}

// baselineBelief returns the stored belief about a service alone, brought up to a time.
// The very first one starts from the report itself.
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
	// Its own latency drifts in place: there is no prior to fall back to.
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

func (b *belief) advance(at time.Time, drift time.Duration) {
	if !at.After(b.at) {
		return
	}
	b.mean, b.variance = b.atTime(at, drift)
	b.at = at
}

// prune forgets what was not reported on for long: it has drifted to its prior.
func (m *interference) prune(now time.Time) {
	const drifts = 4
	for p, b := range m.beliefs {
		if now.Sub(b.at) > drifts*m.decayTime {
			delete(m.beliefs, p)
		}
	}
}

// expectedLogTail returns the log tail of a service with its neighbours, by what is
// believed, and false when nothing is known about the service.
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

// upperBound is the upper confidence bound of a belief, z standard deviations up.
func upperBound(mean, variance, z float64) float64 { return mean + z*math.Sqrt(variance) }

// uncertain reports whether too little is known to place a kind freely.
func uncertain(variance float64) bool { return variance > uncertainDeviation*uncertainDeviation }
