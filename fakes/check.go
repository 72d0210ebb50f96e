package fakes

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// Records are the records of the stand-ins.
type Records struct {
	Calls    []CallRecord
	Executed []ExecutedRequest
	Workers  []RunEvent
	// Freezes are the intervals during which entries were frozen.
	Freezes []Freeze
}

// Freeze is an interval during which an entry was frozen.
type Freeze struct {
	// Entry is the address at which callers reach the entry.
	Entry string        `json:"entry"`
	From  time.Duration `json:"from_ns"`
	To    time.Duration `json:"to_ns"`
}

// Rules are limits and minimum counts that a test sets for its records, in addition to
// the guarantees that always apply.
type Rules struct {
	// MaxLost limits the calls whose connection broke. Killing an entry breaks the
	// connections of the calls in progress there.
	MaxLost int
	// MaxUnknown limits the calls with unknown outcome.
	MaxUnknown int
	// AllAnswered requires that every call was answered.
	AllAnswered bool
	// MinAnswered is the minimum number of answered calls, without which the records
	// would prove nothing.
	MinAnswered int
	// MinNotRun is the minimum number of refused calls.
	MinNotRun int
	// MinSucceeded is the minimum number of successful runs.
	MinSucceeded int
	// MinResumed is the minimum number of runs started from a checkpoint.
	MinResumed int
	// AllowRerun permits tasks to run again after they finished, which cannot be avoided
	// if a worker was lost before it reported the end.
	AllowRerun bool
}

// leaveGrace is how long a leaving target may still receive requests after its agent has
// acknowledged that it leaves: the requests that the agent had admitted before.
const leaveGrace = time.Second

// Check returns a description of each violated guarantee.
func Check(records Records, rules Rules) []string {
	violations := checkCalls(records, rules)
	violations = append(violations, checkLeaving(records.Executed)...)
	violations = append(violations, checkRuns(records.Workers, rules)...)
	sort.Strings(violations)
	return violations
}

// executionCounts counts executions by the caller's and by the system's request id.
type executionCounts struct {
	byCaller  map[string]int
	byRequest map[string]int
}

func countExecutions(ran []ExecutedRequest) executionCounts {
	executions := executionCounts{byCaller: map[string]int{}, byRequest: map[string]int{}}
	for _, r := range ran {
		if r.Left {
			continue
		}
		executions.byCaller[r.CallerID]++
		executions.byRequest[r.RequestID]++
	}
	return executions
}

func checkCalls(records Records, rules Rules) []string {
	var violations []string
	executions := countExecutions(records.Executed)
	counts := map[Outcome]int{}
	started, ended := 0, 0
	for _, rec := range records.Calls {
		if rec.Summary != nil {
			started += rec.Summary.Started
			continue
		}
		ended++
		counts[rec.Result.Outcome]++
		violations = append(violations, checkCall(*rec.Result, executions)...)
		violations = append(violations, checkDuration(*rec.Result, records.Freezes)...)
	}
	if started != ended {
		violations = append(violations, fmt.Sprintf("%d calls began and %d ended", started, ended))
	}
	violations = append(violations, checkOutcomeCounts(counts, ended, rules)...)
	return append(violations, checkAllAnswered(records.Calls, rules)...)
}

func checkCall(r CallResult, executions executionCounts) []string {
	var violations []string
	report := func(format string, args ...any) {
		violations = append(violations, fmt.Sprintf("call %s (%s %s): ", r.CallerID, r.Method, r.Outcome)+fmt.Sprintf(format, args...))
	}
	ran := executions.byCaller[r.CallerID]
	if !r.Repeatable && ran > 1 {
		report("a call that must run at most once ran %d times", ran)
	}
	switch r.Outcome {
	case Answered:
		if !r.Correct {
			report("the answer is incomplete or belongs to another request (status %d)", r.Status)
		}
		if ran == 0 {
			report("answered but in no target's record")
		}
	case NotRun:
		// An earlier attempt of the same call may have run. In that case only the
		// refused attempt, identified by the system's request id, must not have run.
		if r.Sends == 1 && ran > 0 {
			report("reported as not run but ran %d times", ran)
		}
		if n := executions.byRequest[r.RequestID]; r.RequestID != "" && n > 0 {
			report("request %s was reported as not run but ran %d times", r.RequestID, n)
		}
		if r.Status == http.StatusServiceUnavailable && r.RetryAfter == "" {
			report("refused without a Retry-After header")
		}
	case Unsent:
		if r.Sends == 1 && ran > 0 {
			report("never sent but ran %d times", ran)
		}
	case NoAnswer:
		report("ended without a final answer")
	case Failed, Unknown, Lost:
	default:
		report("not a valid final outcome (status %d)", r.Status)
	}
	return violations
}

// checkDuration checks that a call did not exceed its maximum duration, whatever its
// outcome. A frozen entry can neither read nor answer, so the time for which the call's
// entry was frozen is deducted. Otherwise, a call whose deadline passed in the meantime
// would be reported.
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
	var violations []string
	check := func(bad bool, format string, args ...any) {
		if bad {
			violations = append(violations, fmt.Sprintf(format, args...))
		}
	}
	check(counts[Lost] > rules.MaxLost, "%d calls were lost, at most %d allowed", counts[Lost], rules.MaxLost)
	check(counts[Unknown] > rules.MaxUnknown, "%d calls had an unknown outcome, at most %d allowed", counts[Unknown], rules.MaxUnknown)
	check(counts[Answered] < rules.MinAnswered, "%d calls were answered, at least %d required", counts[Answered], rules.MinAnswered)
	check(counts[NotRun] < rules.MinNotRun, "%d calls were refused, at least %d required", counts[NotRun], rules.MinNotRun)
	return violations
}

// checkAllAnswered reports the calls that were not answered, grouped by outcome, reason
// and entry, with the first call of each group.
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
	var violations []string
	for k, r := range first {
		violations = append(violations, fmt.Sprintf("%d calls through %s ended %s %s %s, first %s (request %s)",
			counts[k], k.entry, k.outcome, k.reason, r.Error, r.CallerID, r.RequestID))
	}
	return violations
}

// checkLeaving checks that a target begins no request after it has left and leaveGrace
// has passed. The record of each start of a target is in chronological order.
func checkLeaving(ran []ExecutedRequest) []string {
	type start struct {
		target  string
		process int
	}
	var violations []string
	left := map[start]time.Duration{}
	for _, r := range ran {
		s := start{r.Target, r.Process}
		at, leaving := left[s]
		switch {
		case r.Left:
			left[s] = r.At
		case leaving && r.At > at+leaveGrace:
			violations = append(violations, fmt.Sprintf("target %s began request %s %v after it had left", r.Target, r.CallerID, r.At-at))
		}
	}
	return violations
}
