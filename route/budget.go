package route

// budget is a token bucket that successes refill. It limits extra attempts to a fraction of the
// successful ones: while everything fails, nothing refills it, and a storm of retries can't sustain
// itself.
type budget struct {
	ratio  float64
	burst  float64
	tokens float64
}

func newBudget(ratio, burst float64) budget {
	return budget{ratio: ratio, burst: burst, tokens: burst}
}

// deposit adds the tokens of one success.
func (b *budget) deposit() { b.tokens = min(b.burst, b.tokens+b.ratio) }

func (b *budget) available() bool { return b.tokens >= 1 }

// tryWithdraw takes a token and reports whether there was one.
func (b *budget) tryWithdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
