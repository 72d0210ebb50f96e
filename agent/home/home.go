// Package home selects the entry host that an agent sends its heartbeats to, its home entry. It
// does no I/O: the caller reports the result of each heartbeat.
package home

import (
	"math/rand"
	"time"
)

const (
	backoffBase = 50 * time.Millisecond
	// returnDelay is the time from the first success at another entry, or from a failed return,
	// to the next try of the preferred entry. With a shorter delay, agents would keep switching
	// entries when the preferred one flaps.
	returnDelay = 15 * time.Second
	// timeoutFactor is the ratio of the timeout for the next answer to the duration of the last
	// one.
	timeoutFactor = 4
)

// Selector selects an entry. Entries are numbered in order of preference from 0.
type Selector struct {
	entryCount int
	maxBackoff time.Duration
	rng        *rand.Rand

	current  int
	next     int
	failures int
	timeouts TimeoutBounds
	timeout  time.Duration
	// returnAt is when entry 0 is tried again; zero until an entry has answered.
	returnAt time.Time
}

// TimeoutBounds bound how long an agent waits for the answer to a heartbeat. An answer that takes
// longer than Max is useless to the agent.
type TimeoutBounds struct {
	Min, Max time.Duration
}

func (b TimeoutBounds) clamp(d time.Duration) time.Duration { return max(b.Min, min(d, b.Max)) }

// New returns a selector over a number of entries. It draws the retry jitter from rng.
func New(entries int, maxBackoff time.Duration, timeouts TimeoutBounds, rng *rand.Rand) *Selector {
	return &Selector{entryCount: entries, maxBackoff: maxBackoff, timeouts: timeouts, timeout: timeouts.Min, rng: rng}
}

// Timeout returns how long to wait for the answer to the next heartbeat. It doubles after each
// full round of failures and follows the duration of the last answer.
//
// With a fixed timeout, entries that all answer late, for example on hosts short of processors,
// would count as unavailable for as long as they are late: an agent that no entry knows receives
// no configuration and no requests, although each of its heartbeats was handled.
func (s *Selector) Timeout() time.Duration { return s.timeout }

// Pick returns the entry for the next heartbeat.
func (s *Selector) Pick(now time.Time) int {
	if s.failures == 0 && s.current != 0 && !now.Before(s.returnAt) {
		s.next = 0
	}
	return s.next
}

// RecordSuccess records that an entry answered, and how long it took. That entry becomes the home
// entry.
func (s *Selector) RecordSuccess(now time.Time, entry int, took time.Duration) {
	s.failures = 0
	s.timeout = s.timeouts.clamp(timeoutFactor * took)
	s.next = entry
	if entry != s.current || s.returnAt.IsZero() {
		s.returnAt = now.Add(returnDelay)
	}
	s.current = entry
}

// RecordFailure records that an entry did not answer and returns how long to wait before the next
// pick. The other entries are tried without delay, one after the other. Only after a full round
// the delays grow, with jitter so that agents do not all retry at the same time.
func (s *Selector) RecordFailure(now time.Time, entry int) time.Duration {
	if entry == 0 && s.current != 0 && s.failures == 0 {
		// Only the try to return failed; the current entry may be available.
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
