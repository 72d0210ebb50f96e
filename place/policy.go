package place

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// TailLatencyPolicy weighs tail latency most, as Wrekinford does: the morning
// rush is short.
func TailLatencyPolicy() *apiv1.Policy {
	return &apiv1.Policy{TailLatency: 60, Evictions: 20, BatchThroughput: 20}
}

// EvictionsPolicy weighs evictions most, then batch throughput, as the auction
// house does.
func EvictionsPolicy() *apiv1.Policy {
	return &apiv1.Policy{TailLatency: 20, Evictions: 50, BatchThroughput: 30}
}

// weights are a policy's parts as shares of 1, and what follows from them.
type weights struct {
	tail, evictions, batch float64
}

func weightsOf(p *apiv1.Policy) weights {
	tail := float64(max(p.GetTailLatency(), 0))
	evictions := float64(max(p.GetEvictions(), 0))
	batch := float64(max(p.GetBatchThroughput(), 0))
	sum := tail + evictions + batch
	if sum == 0 {
		const third = 1.0 / 3
		return weights{third, third, third}
	}
	return weights{tail / sum, evictions / sum, batch / sum}
}

// boundDeviations is how many standard deviations an interference bound lies above the mean.
func (w weights) boundDeviations() float64 { return 0.4 + w.tail }

// Levels, as parts of an objective. The weights act through the caution of the
// bounds, the suspicion, the patience and the budgets, not through these.
const (
	// placementThreshold is what a predicted tail may reach before a worker is refused
	// to a new neighbour.
	placementThreshold = 0.85
	// protectionThreshold is where the guard acts. It lies above 1: a service that is at
	// its objective by the rush alone would have harmless neighbours held down.
	protectionThreshold = 1.12
)

// suspectSlowdown is the least believed slowdown (log) that makes a suspect of a neighbour.
func (w weights) suspectSlowdown() float64 { return 0.12 - 0.1*w.tail }

// maxThrottleTime is how long a task is held down before it is evicted instead.
func (w weights) maxThrottleTime() time.Duration {
	return time.Duration((0.4 + 3.2*w.evictions) * float64(time.Minute))
}

// maxWorkLoss is the longest time since its checkpoint that a task held down may
// lose when it is evicted.
func (w weights) maxWorkLoss() time.Duration {
	return time.Duration((1 - w.evictions) * float64(10*time.Minute))
}

// evictionsPerMinute is the rate at which the eviction budget refills. It counts
// workers too: when the rush finds a harmful task on each of them, few may run.
func (w weights) evictionsPerMinute(running, workers int) float64 {
	const perRunning, perWorker = 0.04, 0.4
	return max(2, float64(running)*perRunning, float64(workers)*perWorker) * (1 - w.evictions)
}

// preemptionsPerMinute is the rate for evictions that make room for urgent tasks.
// It is apart, so that a noisy hour cannot use up what urgent work needs.
func (w weights) preemptionsPerMinute(running int) float64 {
	const perRunning, least = 0.10, 30
	return max(least, float64(running)*perRunning) * (1 - w.evictions/2)
}

// budget is a token bucket of evictions: when everything looks wrong at once,
// evicting without a bound would throw away the fleet's work.
type budget struct {
	tokens float64
	at     time.Time
}

const budgetBurstMinutes = 2

// refill adds the tokens for the time since the last call.
func (b *budget) refill(now time.Time, perMinute float64) {
	if b.at.IsZero() {
		b.tokens = max(1, perMinute)
	} else if now.After(b.at) {
		b.tokens += perMinute * now.Sub(b.at).Minutes()
	}
	b.tokens = min(b.tokens, max(1, perMinute*budgetBurstMinutes))
	b.at = now
}

// take spends one eviction if there is one.
func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
