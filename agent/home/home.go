// Package home chooses the entry host that an agent sends its heartbeats to. It
// does no I/O: the driver reports how each heartbeat went.
package home

import (
	"math/rand"
	"time"
)

const (
	backoffBase = 50 * time.Millisecond
	// returnDelay is how long an agent stays with another entry before it tries the
	// preferred one again. A shorter time would make agents swing with an entry that flaps.
	returnDelay = 15 * time.Second
	// timeoutFactor is how many times as long as its last answer took an entry may take
	// for the next one.
	timeoutFactor = 4
)

// Selector is the choice. Entries are numbered in order of preference from 0.
type Selector struct {
	entryCount int
	maxBackoff time.Duration
	rng        *rand.Rand

	current  int
	next     int
	failures int
	timeouts TimeoutBounds
	timeout  time.Duration
	// returnAt is when entry 0 is tried again; zero while it is the current one.
	returnAt time.Time
}

// TimeoutBounds bound how long an agent waits for the answer to a heartbeat. An answer
// that takes longer than Max is of no use to it.
type TimeoutBounds struct {
	Min, Max time.Duration
}

func (b TimeoutBounds) clamp(d time.Duration) time.Duration { return max(b.Min, min(d, b.Max)) }

// New returns a selector over a number of entries. rng spreads the agents' retries.
func New(entries int, maxBackoff time.Duration, timeouts TimeoutBounds, rng *rand.Rand) *Selector {
	return &Selector{entryCount: entries, maxBackoff: maxBackoff, timeouts: timeouts, timeout: timeouts.Min, rng: rng}
}

// Timeout is how long to wait for the answer to the next heartbeat. It doubles with each
// whole round of failures and follows the time that the last answer took.
//
// With a fixed timeout, entries that all answer late, as on a host short of processors,
// would count as down for as long as they are late: an agent that no entry knows gets no
// configuration and no requests, although each of its heartbeats was handled.
func (s *Selector) Timeout() time.Duration { return s.timeout }

// Pick returns the entry for the next heartbeat.
func (s *Selector) Pick(now time.Time) int {
	if s.failures == 0 && s.current != 0 && !now.Before(s.returnAt) {
		s.next = 0
	}
	return s.next
}

// RecordSuccess notes that an entry answered, and how long it took: it is the home entry
// from now on.
func (s *Selector) RecordSuccess(now time.Time, entry int, took time.Duration) {
	s.failures = 0
	s.timeout = s.timeouts.clamp(timeoutFactor * took)
	s.next = entry
	if entry != s.current || s.returnAt.IsZero() {
		s.returnAt = now.Add(returnDelay)
	}
	s.current = entry
}

// RecordFailure notes that an entry did not answer and returns how long to wait before
// the next pick. The others are tried at once, one after the other; only after a whole
// round the waits grow, with jitter so that agents do not come back all together.
func (s *Selector) RecordFailure(now time.Time, entry int) time.Duration {
	if entry == 0 && s.current != 0 && s.failures == 0 {
		// Only the try to return failed; the current entry may well be fine.
		s.returnAt = now.Add(returnDelay)
		s.next = s.current
		return 0
	}
	s.failures++
	s.next = (entry + 1) % s.entryCount
	if s.failures%s.entryCount == 0 {
		s.timeout = s.timeouts.clamp(2 * s.timeout)
	}
	rounds := s.failures / s.entryCount
	if rounds == 0 {
		return 0
	}
	limit := min(backoffBase<<min(rounds, 16), s.maxBackoff)
	return time.Duration(s.rng.Int63n(int64(limit)) + 1)
}
