package home

import (
	"math/rand"
	"testing"
	"time"
)

var testTimeouts = TimeoutBounds{Min: 250 * time.Millisecond, Max: 3 * time.Second}

// Symptom: an agent stays unknown to every entry for as long as their hosts are short of
// processors, and callers are refused although its targets are fine.
// Sequence: each entry answers a heartbeat in 600 ms, later each in 2 s, then quickly
// again. Cause: a timeout that neither grows while no entry answers within it, nor
// follows the answers once they come.
func TestTimeoutGrowsUntilEntryAnswers(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := New(3, time.Second, testTimeouts, rand.New(rand.NewSource(1)))
	// failures counts the heartbeats that time out before one is answered.
	failures := func(took time.Duration) (n int) {
		for ; s.Timeout() < took; n++ {
			if n > 100 {
				t.Fatalf("an answer after %v is never waited for", took)
			}
			s.RecordFailure(now, s.Pick(now))
		}
		s.RecordSuccess(now, s.Pick(now), took)
		return n
	}
	for i, want := range []struct {
		took     time.Duration
		failures int
	}{
		{600 * time.Millisecond, 6}, // Two rounds: 250 ms, 500 ms.
		{600 * time.Millisecond, 0},
		{2 * time.Second, 0}, // Four times the answer before.
		{10 * time.Millisecond, 0},
		{10 * time.Millisecond, 0},
		{3 * time.Second, 12}, // 250 ms, 500 ms, 1 s, 2 s.
	} {
		if got := failures(want.took); got != want.failures {
			t.Errorf("step %d: %d heartbeats timed out before an answer after %v, want %d", i, got, want.took, want.failures)
		}
	}
	for range 30 {
		s.RecordFailure(now, s.Pick(now))
	}
	if s.Timeout() != testTimeouts.Max {
		t.Errorf("the timeout grew to %v, want %v", s.Timeout(), testTimeouts.Max)
	}
}

// Symptom: all agents stay on one entry after the others are back, swing to and fro, or
// ask a dead entry in a tight loop.
// Sequence: entries fail alone and all together, and the preferred one comes back and
// fails again. Cause: no return, a return without a pause, or retries without backoff.
// Each step says which entry is asked, whether it answers, and how much later the next is asked.
func TestSelector(t *testing.T) {
	now := time.Unix(1e9, 0)
	s := New(3, time.Second, testTimeouts, rand.New(rand.NewSource(1)))
	steps := []struct {
		entry   int
		answers bool
		waits   bool // The next pick must be waited for.
		pause   time.Duration
	}{
		{0, true, false, time.Second},
		{0, false, false, 0},
		{1, false, false, 0},
		{2, true, false, time.Second},
		{2, true, false, returnDelay}, // The preferred entry is tried again after this,
		{0, false, false, 0},          // and its failure costs no wait:
		{2, true, false, time.Second}, // the present one is asked at once.
		{2, true, false, returnDelay},
		{0, true, false, time.Second},
		{0, false, false, 0},
		{1, false, false, 0},
		{2, false, true, 0}, // A whole round failed.
		{0, false, true, 0},
		{1, true, false, 0},
	}
	for i, step := range steps {
		entry := s.Pick(now)
		if entry != step.entry {
			t.Fatalf("step %d: asked %d, want %d", i, entry, step.entry)
		}
		if step.answers {
			s.RecordSuccess(now, entry, time.Millisecond)
		} else if wait := s.RecordFailure(now, entry); (wait > 0) != step.waits || wait > time.Second {
			t.Fatalf("step %d: wait of %v", i, wait)
		}
		now = now.Add(step.pause)
	}
}
