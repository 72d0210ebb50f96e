package control

import (
	"sync"
	"time"
)

const (
	// maxTakeOverJump is how far a new leader may advance the log's time at once.
	maxTakeOverJump = time.Minute
	// maxCatchUpRate is the maximum rate at which a leader may advance the log's time, as a
	// multiple of its own monotonic clock.
	maxCatchUpRate = 2
)

// logClock sets the timestamps of a leader's commands.
//
// The log's time follows the leader's wall clock no faster than maxCatchUpRate, measured on the
// monotonic clock. Without this limit, a new leader whose wall clock is set far ahead would advance
// the log's time with its first command, and the log's time cannot go back: every claim would
// exceed its two windows at once, and a resend under a forgotten key would run again. After a long
// outage of the whole group the log's time lags behind for as long again, which only makes claims
// live longer.
//
// Within a term the log's time also advances at least as fast as the monotonic clock, even while
// the wall clock is set back. The age of a claim is the difference of two timestamps of one term,
// and an agent that receives too low an age could report an attempt whose record it has dropped as
// "not run".
type logClock struct {
	mu   sync.Mutex
	term uint64
	// baseMs is the log's time in Unix milliseconds at the monotonic reading baseReading.
	baseMs      int64
	baseReading time.Duration
}

// stamp returns the timestamp of a command in Unix milliseconds. It is derived from the term, the
// wall clock, a monotonic reading and the log's time as applied on this host.
func (c *logClock) stamp(term uint64, wall int64, monotonic time.Duration, logTime int64) int64 {
	if logTime == 0 {
		return wall // The first command of the log.
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != term {
		c.term, c.baseMs, c.baseReading = term, logTime, monotonic
	}
	limit := c.baseMs + (maxTakeOverJump + maxCatchUpRate*(monotonic-c.baseReading)).Milliseconds()
	least := c.baseMs + (monotonic - c.baseReading).Milliseconds()
	return max(min(wall, limit), least)
}
