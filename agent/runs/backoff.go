package runs

import "time"

// backoff doubles the pauses between the tries of a call.
type backoff struct{ pause time.Duration }

func newBackoff() *backoff { return &backoff{pause: firstRetryPause} }

func (b *backoff) next() time.Duration {
	pause := b.pause
	b.pause = min(2*b.pause, maxRetryPause)
	return pause
}
