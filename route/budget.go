package route

// budget is a token bucket filled by successes. It bounds extra attempts to a
// share of the work that succeeds: when everything fails nothing refills it, and
// a storm of retries can't feed itself.
type budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

func newBudget(ratio, burst float64) budget {
	return budget{ratio: ratio, burst: burst, tokens: burst}
}

func (b *budget) deposit() { b.tokens = min(b.burst, b.tokens+b.ratio) }

func (b *budget) available() bool { return b.tokens >= 1 }

func (b *budget) tryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
