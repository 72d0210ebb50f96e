package fakes

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// Records is what the stand-ins recorded.
type Records struct {
	Calls    []CallRecord
	Executed []ExecutedRequest
	Workers  []RunEvent
	// Freezes are the times for which entries were frozen.
	Freezes []Freeze
}

// Freeze is a time for which an entry was frozen.
type Freeze struct {
	// Entry is the address that callers use.
	Entry string        `json:"entry"`
	From  time.Duration `json:"from_ns"`
	To    time.Duration `json:"to_ns"`
}

// Rules says what a run may and must show beyond the standing promises.
type Rules struct {
	// MaxLost bounds the calls whose connection broke; kills of an entry break
	// those in progress there.
	MaxLost int
	// MaxUnknown bounds the calls that ended as unknown.
	MaxUnknown int
	// AllAnswered asks that each call was answered.
	AllAnswered bool
	// MinAnswered guards against a run that proves nothing.
	MinAnswered int
	// MinNotRun asks that refusals were seen.
	MinNotRun int
	// MinSucceeded asks for that many finished tasks.
	MinSucceeded int
	// MinResumed asks for that many starts from a checkpoint.
	MinResumed int
	// AllowRerun passes over tasks that ran again after they finished, which
	// can't be avoided where a worker was lost before it could report the end.
	AllowRerun bool
}

// leaveGrace is how long after its agent has taken note a leaving target may
// still get requests: those that the agent had let through before.
const leaveGrace = time.Second

// Check returns the broken promises, each as a sentence.
func Check(e Records, rules Rules) []string {
	faults := checkCalls(e, rules)
	faults = append(faults, checkLeaving(e.Executed)...)
	faults = append(faults, checkRuns(e.Workers, rules)...)
	sort.Strings(faults)
	return faults
}

// executionCounts counts runs by the caller's and by the system's name of a request.
type executionCounts struct {
	byCaller  map[string]int
	byRequest map[string]int
}

func countExecutions(ran []ExecutedRequest) executionCounts {
	idx := executionCounts{byCaller: map[string]int{}, byRequest: map[string]int{}}
	for _, r := range ran {
		if r.Left {
			continue
		}
		idx.byCaller[r.CallerID]++
		idx.byRequest[r.RequestID]++
	}
	return idx
}

func checkCalls(e Records, rules Rules) []string {
	var faults []string
	idx := countExecutions(e.Executed)
	counts := map[Outcome]int{}
	started, ended := 0, 0
	for _, rec := range e.Calls {
		if rec.Summary != nil {
			started += rec.Summary.Started
			continue
		}
		ended++
		counts[rec.Result.Outcome]++
		faults = append(faults, checkCall(*rec.Result, idx)...)
		faults = append(faults, checkDuration(*rec.Result, e.Freezes)...)
	}
	if started != ended {
		faults = append(faults, fmt.Sprintf("%d calls began and %d ended", started, ended))
	}
	faults = append(faults, checkOutcomeCounts(counts, ended, rules)...)
	return append(faults, checkAllAnswered(e.Calls, rules)...)
}

func checkCall(r CallResult, idx executionCounts) []string {
	var faults []string
	fault := func(format string, args ...any) {
		faults = append(faults, fmt.Sprintf("call %s (%s %s): ", r.CallerID, r.Method, r.Outcome)+fmt.Sprintf(format, args...))
	}
	ran := idx.byCaller[r.CallerID]
	if !r.Repeatable && ran > 1 {
		fault("a call that must run at most once ran %d times", ran)
	}
	switch r.Outcome {
	case Answered:
		if !r.Correct {
			fault("the answer is not its own whole answer (status %d)", r.Status)
		}
		if ran == 0 {
			fault("answered and in no target's record")
		}
	case NotRun:
		// An earlier send of the same call may have run; then only the refused
		// send, known by the system's request id, has to be absent.
		if r.Sends == 1 && ran > 0 {
			fault("said not to have run and ran %d times", ran)
		}
		if n := idx.byRequest[r.RequestID]; r.RequestID != "" && n > 0 {
			fault("request %s said not to have run and ran %d times", r.RequestID, n)
		}
		if r.Status == http.StatusServiceUnavailable && r.RetryAfter == "" {
			fault("refused without a time to come back")
		}
	case Unsent:
		if r.Sends == 1 && ran > 0 {
			fault("never sent and ran %d times", ran)
		}
	case NoAnswer:
		fault("left without a final answer")
	case Failed, Unknown, Lost:
	default:
		fault("no such final outcome (status %d)", r.Status)
	}
	return faults
}

// checkDuration bounds how long a call lasted, whatever its end was. A frozen entry can
// neither read nor answer, so the time for which the call's entry was frozen does not
// count; without that a call would be blamed whose deadline passed in the meantime.
func checkDuration(r CallResult, standstills []Freeze) []string {
	counted := r.Duration
	for _, s := range standstills {
		if s.Entry == r.Entry {
			counted -= max(0, min(s.To, r.At+r.Duration)-max(s.From, r.At))
		}
	}
	if counted <= r.MaxDuration {
		return nil
	}
	return []string{fmt.Sprintf("call %s (%s %s): ended after %v, of which its entry was frozen for %v; at most %v counted time is allowed",
		r.CallerID, r.Method, r.Outcome, r.Duration, r.Duration-counted, r.MaxDuration)}
}

func checkOutcomeCounts(counts map[Outcome]int, ended int, rules Rules) []string {
	var faults []string
	check := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	check(counts[Lost] > rules.MaxLost, "%d calls were cut off, at most %d allowed", counts[Lost], rules.MaxLost)
	check(counts[Unknown] > rules.MaxUnknown, "%d calls ended unknown, at most %d allowed", counts[Unknown], rules.MaxUnknown)
	check(counts[Answered] < rules.MinAnswered, "%d calls were answered, at least %d asked", counts[Answered], rules.MinAnswered)
	check(counts[NotRun] < rules.MinNotRun, "%d calls were refused, at least %d asked", counts[NotRun], rules.MinNotRun)
	return faults
}

// checkAllAnswered names the first calls of each kind that were not answered.
func checkAllAnswered(calls []CallRecord, rules Rules) []string {
	if !rules.AllAnswered {
		return nil
	}
	type kind struct {
		outcome       Outcome
		reason, entry string
	}
	first := map[kind]*CallResult{}
	counts := map[kind]int{}
	for _, c := range calls {
		if r := c.Result; r != nil && r.Outcome != Answered {
			k := kind{r.Outcome, r.Reason, r.Entry}
			counts[k]++
			if first[k] == nil {
				first[k] = r
			}
		}
	}
	var faults []string
	for k, r := range first {
		faults = append(faults, fmt.Sprintf("%d calls through %s ended %s %s %s, first %s (request %s)",
			counts[k], k.entry, k.outcome, k.reason, r.Error, r.CallerID, r.RequestID))
	}
	return faults
}

// checkLeaving looks at each start of a target; its record is in order.
func checkLeaving(ran []ExecutedRequest) []string {
	type start struct {
		target  string
		process int
	}
	var faults []string
	left := map[start]time.Duration{}
	for _, r := range ran {
		s := start{r.Target, r.Process}
		at, leaving := left[s]
		switch {
		case r.Left:
			left[s] = r.At
		case leaving && r.At > at+leaveGrace:
			faults = append(faults, fmt.Sprintf("target %s began %s %v after it had left", r.Target, r.CallerID, r.At-at))
		}
	}
	return faults
}
