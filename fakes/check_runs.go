package fakes

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// runInterval is the interval during which one attempt ran on one worker.
type runInterval struct {
	start RunEvent
	// end is the end of the run. If no end was recorded it is the last deadline that the
	// worker received, or the worker's next start if that is earlier.
	end       time.Duration
	endReason string
	// deadline is the latest deadline that the worker received.
	deadline time.Duration
}

type attemptKey struct {
	worker, task         string
	incarnation, attempt uint64
}

func checkRuns(events []RunEvent, rules Rules) []string {
	spans, violations := pairRuns(events)
	violations = append(violations, checkTasks(spans, rules)...)
	violations = append(violations, checkCapacity(events, spans)...)
	succeeded, resumed := 0, 0
	for _, s := range spans {
		if s.endReason == EndReasonSucceeded {
			succeeded++
		}
		if s.start.Checkpoint != "" {
			resumed++
		}
	}
	if succeeded < rules.MinSucceeded {
		violations = append(violations, fmt.Sprintf("%d runs succeeded, at least %d required", succeeded, rules.MinSucceeded))
	}
	if resumed < rules.MinResumed {
		violations = append(violations, fmt.Sprintf("%d runs resumed from a checkpoint, at least %d required", resumed, rules.MinResumed))
	}
	return violations
}

// pairRuns combines the events of each run into an interval. The events of one worker
// are in chronological order.
func pairRuns(events []RunEvent) ([]*runInterval, []string) {
	var spans []*runInterval
	var violations []string
	open := map[attemptKey]*runInterval{}
	for _, e := range events {
		key := attemptKey{e.Worker, e.Task, e.Incarnation, e.Attempt}
		switch e.Kind {
		case EventWorkerStart:
			closePreviousIncarnations(open, e)
		case EventStart:
			s := &runInterval{start: e, end: e.Deadline, deadline: e.Deadline}
			spans = append(spans, s)
			open[key] = s
		case EventRenew:
			s := open[key]
			if s == nil || e.At >= s.deadline {
				violations = append(violations, fmt.Sprintf("worker %s renewed %s/%d after its deadline", e.Worker, e.Task, e.Attempt))
				continue
			}
			s.end, s.deadline = e.Deadline, e.Deadline
		case EventEnd:
			s := open[key]
			if s == nil {
				violations = append(violations, fmt.Sprintf("worker %s ended %s/%d, which it did not run", e.Worker, e.Task, e.Attempt))
				continue
			}
			s.end, s.endReason = e.At, e.EndReason
			if s.end > s.deadline {
				violations = append(violations, fmt.Sprintf("worker %s ran %s/%d past its deadline", e.Worker, e.Task, e.Attempt))
			}
			delete(open, key)
		}
	}
	return spans, violations
}

// closePreviousIncarnations ends the runs of previous incarnations of a worker, since a
// restart of a worker loses its tasks.
func closePreviousIncarnations(open map[attemptKey]*runInterval, e RunEvent) {
	for key, s := range open {
		if key.worker == e.Worker && key.incarnation != e.Incarnation {
			s.end = min(s.end, e.At)
			delete(open, key)
		}
	}
}

func checkTasks(spans []*runInterval, rules Rules) []string {
	var violations []string
	byTask := map[string][]*runInterval{}
	for _, s := range spans {
		byTask[s.start.Task] = append(byTask[s.start.Task], s)
	}
	for task, runs := range byTask {
		sort.SliceStable(runs, func(i, j int) bool { return runs[i].start.At < runs[j].start.At })
		succeeded := 0
		for i, s := range runs {
			if s.endReason == EndReasonSucceeded {
				succeeded++
			}
			if i > 0 {
				violations = append(violations, checkConsecutiveRuns(task, runs[i-1], s, rules)...)
			}
		}
		if succeeded > 1 && !rules.AllowRerun {
			violations = append(violations, fmt.Sprintf("task %s finished %d times", task, succeeded))
		}
	}
	return violations
}

// checkConsecutiveRuns checks two consecutive runs of a task, of which a is the earlier.
func checkConsecutiveRuns(task string, a, b *runInterval, rules Rules) []string {
	var violations []string
	if b.start.Attempt <= a.start.Attempt {
		violations = append(violations, fmt.Sprintf("task %s started attempt %d after attempt %d", task, b.start.Attempt, a.start.Attempt))
	}
	if b.start.At < a.end {
		violations = append(violations, fmt.Sprintf("task %s ran on %s and %s at once for %v", task, a.start.Worker, b.start.Worker, a.end-b.start.At))
	}
	if a.endReason == EndReasonSucceeded && !rules.AllowRerun {
		violations = append(violations, fmt.Sprintf("task %s ran again after it had finished", task))
	}
	return violations
}

// checkCapacity checks at each start that the grants of the runs on the worker are within
// its capacity.
func checkCapacity(events []RunEvent, spans []*runInterval) []string {
	var violations []string
	for _, e := range events {
		if e.Kind != EventStart {
			continue
		}
		var sum Amount
		for _, s := range spans {
			if s.start.Worker == e.Worker && s.start.Incarnation == e.Incarnation && s.start.At <= e.At && e.At < s.end {
				sum = sum.plus(s.start.Grant)
			}
		}
		if limit := capacityAt(events, e); !sum.within(limit) {
			violations = append(violations, fmt.Sprintf("worker %s held %+v of %+v when %s/%d started", e.Worker, sum, limit, e.Task, e.Attempt))
		}
	}
	return violations
}

func capacityAt(events []RunEvent, at RunEvent) Amount {
	unlimited := Amount{math.MaxInt64, math.MaxInt64, math.MaxInt64}
	for _, e := range events {
		if e.Kind == EventWorkerStart && e.Worker == at.Worker && e.Incarnation == at.Incarnation {
			return e.Capacity
		}
	}
	return unlimited
}
