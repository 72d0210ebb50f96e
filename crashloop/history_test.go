package crashloop

import (
	"testing"
	"time"
)

const second = time.Second

// crashOf returns the crash of a worker under a run that worked for some time, known to within half
// a second.
func crashOf(event uint64, worked time.Duration) Crash {
	return Crash{Event: event, Run: event, MinRuntime: max(0, worked-second/2), MaxRuntime: worked, Began: true}
}

// startAndCrash adds the crashes of one run after the other.
func startAndCrash(h *History, crashes ...Crash) {
	for _, c := range crashes {
		h.RecordStart()
		h.Add(c)
	}
}

// Guards against a task that is started again and again although each worker that starts it crashes.
func TestLimitAfterSimilarCrashes(t *testing.T) {
	var h History
	starts := 0
	for event := uint64(1); !h.LimitReached(); event++ {
		starts++
		startAndCrash(&h, crashOf(event, 2*second))
	}
	if starts != RepeatedCrashes+MaxStartsAfterRepeatedCrashes {
		t.Errorf("the task was started %d times", starts)
	}
}

// Guards against extra starts of such a task because some of its workers crashed for other reasons.
func TestCrashesWithOtherCausesCountTowardsLimit(t *testing.T) {
	var h History
	startAndCrash(&h, crashOf(1, second/4), crashOf(2, second/3))
	h.Excuse(1)
	h.Excuse(2)
	startAndCrash(&h, crashOf(3, 2*second))
	if h.LimitReached() || !h.Suspect() {
		t.Errorf("after one crash of its own: limit reached %v, suspect %v", h.LimitReached(), h.Suspect())
	}
	last := crashOf(4, 2*second)
	last.OnProbation = true
	startAndCrash(&h, last)
	if !h.LimitReached() {
		t.Error("the limit is not reached by the second start after three crashes")
	}
}

// Guards against a job that fails because its workers crash for other reasons, after different
// runtimes.
func TestDifferentRuntimesDoNotReachLimit(t *testing.T) {
	var h History
	for i, worked := range []time.Duration{3 * second, second, 9 * second, 5 * second, 2 * second, 4 * second} {
		startAndCrash(&h, crashOf(uint64(i+1), worked))
		if h.LimitReached() {
			t.Fatalf("the limit is reached by crash %d", i+1)
		}
	}
}

// Guards against a job that fails by crashes of which it is not known whether its run was there.
func TestUnknownRunsDoNotReachLimit(t *testing.T) {
	var h History
	for event := range uint64(6) {
		startAndCrash(&h, Crash{Event: event + 1, Run: event + 1, MaxRuntime: UnknownRuntime})
	}
	if h.LimitReached() || h.Suspect() {
		t.Errorf("limit reached %v, suspect %v", h.LimitReached(), h.Suspect())
	}
}

// Guards against a task that stays suspect after a run has worked for longer than those that crashed.
func TestPassedProbationClearsEarlierCrashes(t *testing.T) {
	var h History
	startAndCrash(&h, crashOf(1, second), crashOf(2, second))
	if !h.Suspect() || h.Probation() <= second {
		t.Fatalf("suspect %v, probation %v", h.Suspect(), h.Probation())
	}
	h.PassProbation(h.Probation())
	if h.Suspect() || h.Similar() != 0 {
		t.Errorf("suspect %v, %d similar crashes", h.Suspect(), h.Similar())
	}
}

// Guards against a task that counts as innocent permanently because a late report overstated how long one
// of its runs had worked.
func TestCrashesInSequenceOutweighLongRun(t *testing.T) {
	var h History
	startAndCrash(&h, crashOf(1, second))
	h.PassProbation(5 * second)
	startAndCrash(&h, crashOf(2, second), crashOf(3, second), crashOf(4, second), crashOf(5, second))
	if !h.LimitReached() {
		t.Errorf("the limit is not reached: %+v", h)
	}
	if !h.MayHaveCaused(5) {
		t.Errorf("the task may not have caused the last crash: %+v", h)
	}
}

// Guards against failing a job by a last crash of which it is not known whether the run was there.
func TestUnknownLastCrashDoesNotExhaustStarts(t *testing.T) {
	for name, began := range map[string]bool{"known": true, "unknown": false} {
		var h History
		for event := uint64(1); event <= RepeatedCrashes+MaxStartsAfterRepeatedCrashes; event++ {
			startAndCrash(&h, crashOf(event, 2*second))
			h.Excuse(event)
		}
		last := crashOf(9, 2*second)
		last.Began = began
		startAndCrash(&h, last)
		if h.StartsExhausted() != began {
			t.Errorf("%s: the starts are exhausted: %v", name, h.StartsExhausted())
		}
	}
}

// Guards against a lost run that counts as a crash after its worker was heard of again.
func TestLostRunIsDropped(t *testing.T) {
	var h History
	startAndCrash(&h, crashOf(1, second))
	h.AddLost(2, 0)
	if h.Count() != 2 {
		t.Errorf("%d crashes count", h.Count())
	}
	h.DropLost(2)
	h.DropLost(1)
	if h.Count() != 1 {
		t.Errorf("%d crashes count after the worker was heard of", h.Count())
	}
}

// Guards against a common cause that is assumed for a step that alone explains the crashes, and against
// one that is not assumed although some of the workers had no run of the step.
func TestHaveCommonCause(t *testing.T) {
	for _, c := range []struct {
		hosts, unrelated int
		suspect, want    bool
	}{
		{hosts: 1}, {hosts: 2, unrelated: 1},
		{hosts: 3, unrelated: 1, want: true}, {hosts: 3, unrelated: 1, suspect: true, want: true},
		{hosts: 6, suspect: true}, {hosts: 6, want: true},
	} {
		if got := HaveCommonCause(c.hosts, c.unrelated, c.suspect); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}
