package runs

import "time"

// backoff doubles the pauses between the tries of a call.
type backoff struct{ delay time.Duration }

func newBackoff() *backoff { return &backoff{delay: minRetryDelay} }

func (b *backoff) next() time.Duration {
	pause := b.delay
	b.delay = min(2*b.delay, maxRetryDelay)
	return pause
}
