package place

import (
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

// TailLatencyPolicy returns the policy that weighs tail latency most. Wrekinford uses it because
// its morning traffic peak is short.
func TailLatencyPolicy() *apiv1.Policy {
	return &apiv1.Policy{TailLatency: 60, Evictions: 20, BatchThroughput: 20}
}

// EvictionsPolicy returns the policy that weighs evictions most, then batch throughput. The
// auction house uses it.
func EvictionsPolicy() *apiv1.Policy {
	return &apiv1.Policy{TailLatency: 20, Evictions: 50, BatchThroughput: 30}
}

// weights holds the weights of a policy, normalized to a sum of 1. Its methods derive the
// planner's limits from them.
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

// boundDeviations returns the distance of the upper confidence bound of interference from the
// mean, in standard deviations.
func (w weights) boundDeviations() float64 { return 0.4 + w.tail }

// Latency thresholds as fractions of an objective. The policy's weights do not change them; they
// act through boundDeviations, suspectSlowdown, maxThrottleTime and the budgets.
const (
	// placementThreshold is the predicted tail latency above which a worker is refused for a
	// further task.
	placementThreshold = 0.85
	// protectionThreshold is the tail latency above which tasks are throttled or evicted. It
	// exceeds 1 because otherwise a service that reaches its objective through peak traffic alone
	// would cause harmless tasks to be throttled.
	protectionThreshold = 1.12
)

// suspectSlowdown returns the smallest estimated slowdown (log) that makes a neighbouring task a
// suspect.
func (w weights) suspectSlowdown() float64 { return 0.12 - 0.1*w.tail }

// maxThrottleTime returns how long a task stays throttled before it is evicted instead.
func (w weights) maxThrottleTime() time.Duration {
	return time.Duration((0.4 + 3.2*w.evictions) * float64(time.Minute))
}

// maxWorkLoss returns the largest age of its last checkpoint at which a throttled task may be
// evicted.
func (w weights) maxWorkLoss() time.Duration {
	return time.Duration((1 - w.evictions) * float64(10*time.Minute))
}

// evictionsPerMinute returns the refill rate of the eviction budget. It also depends on the number
// of workers, because at peak traffic each of them may run a harmful task while few tasks run in
// total.
func (w weights) evictionsPerMinute(running, workers int) float64 {
	const perRunning, perWorker = 0.04, 0.4
	return max(2, float64(running)*perRunning, float64(workers)*perWorker) * (1 - w.evictions)
}

// preemptionsPerMinute returns the refill rate of the budget for evictions that free capacity for
// urgent tasks. The budget is separate so that evictions due to interference cannot use up what
// urgent tasks need.
func (w weights) preemptionsPerMinute(running int) float64 {
	const perRunning, least = 0.10, 30
	return max(least, float64(running)*perRunning) * (1 - w.evictions/2)
}

// budget is a token bucket of evictions. Without this limit, wrong or bad measurements on many
// workers at once would evict most of the fleet's running work.
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

// take removes one token and reports whether there was one.
func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
