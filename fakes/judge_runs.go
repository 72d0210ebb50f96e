package fakes

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// runInterval is one run of one attempt on one worker.
type runInterval struct {
	start RunEvent
	// end is when the run was over; for a run whose end no one recorded it is the
	// last deadline the worker was given, or the worker's next start.
	end       time.Duration
	endReason string
	// deadline is the newest that the worker was given.
	deadline time.Duration
}

type attemptKey struct {
	worker, task         string
	incarnation, attempt uint64
}

func checkRuns(events []RunEvent, rules Rules) []string {
	spans, faults := pairRuns(events)
	faults = append(faults, checkTasks(spans, rules)...)
	faults = append(faults, checkCapacity(events, spans)...)
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
		faults = append(faults, fmt.Sprintf("%d tasks finished, at least %d asked", succeeded, rules.MinSucceeded))
	}
	if resumed < rules.MinResumed {
		faults = append(faults, fmt.Sprintf("%d runs resumed from a checkpoint, at least %d asked", resumed, rules.MinResumed))
	}
	return faults
}

// pairRuns pairs starts and ends. Events of one worker are in their order.
func pairRuns(events []RunEvent) ([]*runInterval, []string) {
	var spans []*runInterval
	var faults []string
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
				faults = append(faults, fmt.Sprintf("worker %s renewed %s/%d after its deadline", e.Worker, e.Task, e.Attempt))
				continue
			}
			s.end, s.deadline = e.Deadline, e.Deadline
		case EventEnd:
			s := open[key]
			if s == nil {
				faults = append(faults, fmt.Sprintf("worker %s ended %s/%d, which it did not run", e.Worker, e.Task, e.Attempt))
				continue
			}
			s.end, s.endReason = e.At, e.EndReason
			if s.end > s.deadline {
				faults = append(faults, fmt.Sprintf("worker %s ran %s/%d past its deadline", e.Worker, e.Task, e.Attempt))
			}
			delete(open, key)
		}
	}
	return spans, faults
}

// closePreviousIncarnations ends what earlier incarnations of a worker ran: a worker's restart
// loses its tasks.
func closePreviousIncarnations(open map[attemptKey]*runInterval, e RunEvent) {
	for key, s := range open {
		if key.worker == e.Worker && key.incarnation != e.Incarnation {
			s.end = min(s.end, e.At)
			delete(open, key)
		}
	}
}

func checkTasks(spans []*runInterval, rules Rules) []string {
	var faults []string
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
				faults = append(faults, checkConsecutiveRuns(task, runs[i-1], s, rules)...)
			}
		}
		if succeeded > 1 && !rules.AllowRerun {
			faults = append(faults, fmt.Sprintf("task %s finished %d times", task, succeeded))
		}
	}
	return faults
}

// checkConsecutiveRuns looks at two runs of a task, earlier first.
func checkConsecutiveRuns(task string, a, b *runInterval, rules Rules) []string {
	var faults []string
	if b.start.Attempt <= a.start.Attempt {
		faults = append(faults, fmt.Sprintf("task %s started attempt %d after attempt %d", task, b.start.Attempt, a.start.Attempt))
	}
	if b.start.At < a.end {
		faults = append(faults, fmt.Sprintf("task %s ran on %s and %s at once for %v", task, a.start.Worker, b.start.Worker, a.end-b.start.At))
	}
	if a.endReason == EndReasonSucceeded && !rules.AllowRerun {
		faults = append(faults, fmt.Sprintf("task %s ran again after it had finished", task))
	}
	return faults
}

// checkCapacity adds up what runs on a worker at each start.
func checkCapacity(events []RunEvent, spans []*runInterval) []string {
	var faults []string
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
			faults = append(faults, fmt.Sprintf("worker %s held %+v of %+v when %s/%d started", e.Worker, sum, limit, e.Task, e.Attempt))
		}
	}
	return faults
}

func capacityAt(events []RunEvent, at RunEvent) Amount {
	none := Amount{math.MaxInt64, math.MaxInt64, math.MaxInt64}
	for _, e := range events {
		if e.Kind == EventWorkerStart && e.Worker == at.Worker && e.Incarnation == at.Incarnation {
			return e.Capacity
		}
	}
	return none
}
