package control

import (
	"sync"
	"time"
)

const (
	// maxTakeOverJump is how far a new leader may move the log's time at once.
	maxTakeOverJump = time.Minute
	// maxCatchUpRate is how much faster than its own monotonic clock a leader may move
	// the log's time.
	maxCatchUpRate = 2
)

// logClock stamps a leader's commands. What goes wrong without it: a host whose
// wall clock was set far ahead comes to lead, the log's time leaps with its first
// command and never returns, every claim is past its two windows at once, and a
// resend under a forgotten key runs again. The log's time therefore follows the
// wall clock no faster than maxCatchUpRate, counted on the monotonic clock. After a
// long stop of the whole group it lags behind for as long again, which only makes
// claims live longer.
//
// Nor does it stand still: within a term it advances at least with the monotonic
// clock, also while the wall clock is set back. The age of a claim is the
// difference of two stamps of one term, and an agent that is told too low an age
// could call an attempt "not run" whose record it has dropped.
type logClock struct {
	mu   sync.Mutex
	term uint64
	// baseMs is the log's time in Unix milliseconds at the monotonic reading began.
	baseMs      int64
	baseReading time.Duration
}

// stamp returns the time for a command of a term, in Unix milliseconds, from the
// wall clock, a monotonic reading and the log's time as far as it is applied here.
func (c *logClock) stamp(term uint64, wall int64, monotonic time.Duration, logTime int64) int64 {
	if logTime == 0 {
		return wall // A log's first command.
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
