package trace

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cairnlift/cairnlift/logging/event"
)

// outcomeDone is the outcome of the ended runs that an aggregated line lists.
const outcomeDone = "done"

// appendLine appends a line to those already read. An aggregated line, which lists events of many
// runs, steps or jobs, is expanded to a line for each of them.
func appendLine(lines []Line, l Line) []Line {
	var expanded []Line
	switch l.Event {
	case event.RunsSummary.Name:
		expanded = slices.Concat(runLines(l, event.NameStarted, eventStart), longRunningLines(l),
			runLines(l, event.NameBegun, eventBegun), runLines(l, event.NameEnded, eventEnded))
	case event.TasksWaiting.Name:
		expanded = waitLines(l)
	case event.RunsLost.Name:
		expanded = runLines(l, event.NameLost, eventLost)
	case event.UnloggedRuns.Name:
		expanded = runLines(l, event.NameUnlogged, eventUnlogged)
	case event.WorkerCrashed.Name:
		expanded = durationLines(l, event.NameWorked, event.NameWorked)
	case event.TailObjectivesExceeded.Name:
		expanded = tailLines(l)
	case event.JobsFinished.Name:
		expanded = jobLines(l)
	case event.LongRunningOutage.Name:
		expanded = outageLines(l, event.NameTasksNotRunning)
	case event.RunsOutlastStops.Name:
		expanded = outageLines(l, event.NameOutlasting)
	case event.LongRunningRecovered.Name:
		expanded = durationLines(l, event.NameTasksRunningAgain, event.NameWaited)
	default:
		return append(lines, l)
	}
	slices.SortStableFunc(expanded, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, e := range expanded {
		lines = slices.Insert(lines, insertIndex(lines, e), e)
	}
	return lines
}

// insertIndex returns the index at which to insert an expanded line. A process writes an aggregated
// line up to a second after the events in it, so the expanded lines go before the lines that the
// process wrote in between; the order of the log would put a stop before its start.
func insertIndex(lines []Line, l Line) int {
	index := len(lines)
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Process != l.Process {
			continue
		}
		if !lines[i].At.After(l.At) {
			break
		}
		index = i
	}
	return index
}

// runLines returns a line with the given event name for each run that a field of an aggregated line
// lists, by worker, as "TASK RUN AGE" with the age in milliseconds.
func runLines(l Line, field, name string) []Line {
	var lines []Line
	forEachEntry(l, field, func(worker, entry string) {
		var task string
		var run float64
		var age int64
		if _, err := fmt.Sscan(entry, &task, &run, &age); err != nil {
			return
		}
		g := entryLine(l, age, map[string]any{fieldTask: task, fieldRun: run, fieldWorker: worker})
		g.Event = name
		switch name {
		case eventEnded:
			g.Fields[event.NameOutcome] = outcomeDone
		case eventLost:
			g.Fields[event.NameReason] = l.Fields[event.NameReason]
			if silent, known := l.Fields[event.NameUnresponsiveFor]; known {
				g.Fields[event.NameUnresponsiveFor] = silent
			}
		}
		lines = append(lines, g)
	})
	return lines
}

// longRunningLines returns a line for each started run of a long-running step.
func longRunningLines(l Line) []Line {
	lines := runLines(l, event.NameLongRunning, eventStart)
	for i := range lines {
		lines[i].Fields[event.NameLongRunning] = true
	}
	return lines
}

// forEachEntry calls visit with each entry of a field of an aggregated line and the name under
// which the field lists it.
func forEachEntry(l Line, field string, visit func(name, entry string)) {
	byName, _ := l.Fields[field].(map[string]any)
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		entries, _ := byName[name].([]any)
		for _, e := range entries {
			entry, _ := e.(string)
			visit(name, entry)
		}
	}
}

// entryLine returns a line with the process, event and term of an aggregated one and the time ageMs
// milliseconds before it.
func entryLine(l Line, ageMs int64, fields map[string]any) Line {
	if term, known := l.Fields[fieldTerm]; known {
		fields[fieldTerm] = term
	}
	return Line{
		Process: l.Process, At: l.At.Add(-time.Duration(ageMs) * time.Millisecond),
		Part: l.Part, Event: l.Event, Level: l.Level, Fields: fields,
	}
}

// tailLines returns a line for each tail latency that an aggregated line lists, by worker, as
// "TASK RUN PERCENT AGE".
func tailLines(l Line) []Line {
	var lines []Line
	forEachEntry(l, event.NameTails, func(worker, entry string) {
		var task string
		var run, percent float64
		var age int64
		if _, err := fmt.Sscan(entry, &task, &run, &percent, &age); err != nil {
			return
		}
		lines = append(lines, entryLine(l, age, map[string]any{
			fieldTask: task, fieldRun: run, fieldWorker: worker, event.NamePercent: percent,
		}))
	})
	return lines
}

// jobLines returns a line for each job that an aggregated line lists, by the path of its queue,
// as "JOB HOW TOOK ALLOWED AGE" with times in milliseconds.
func jobLines(l Line) []Line {
	var lines []Line
	forEachEntry(l, event.NameJobs, func(path, entry string) {
		var job, outcome string
		var took, allowed, age int64
		if _, err := fmt.Sscan(entry, &job, &outcome, &took, &allowed, &age); err != nil {
			return
		}
		lines = append(lines, entryLine(l, age, map[string]any{
			fieldJob: job, event.NameOutcome: outcome, fieldPath: path,
			event.NameTook:    time.Duration(took) * time.Millisecond,
			event.NameAllowed: time.Duration(allowed) * time.Millisecond,
		}))
	})
	return lines
}

// waitLines returns a line for each waiting step that an aggregated line lists, by the reasons that
// rule out workers, as "STEP TASKS WAITED AGE" with both times in milliseconds.
func waitLines(l Line) []Line {
	var lines []Line
	forEachEntry(l, event.NameWaitingSteps, func(reasons, entry string) {
		var step string
		var tasks, waited, age int64
		if _, err := fmt.Sscan(entry, &step, &tasks, &waited, &age); err != nil {
			return
		}
		lines = append(lines, entryLine(l, age, map[string]any{
			fieldStep: step, event.NameTasks: tasks, event.NameWorkers: reasons,
			event.NameWaited: time.Duration(waited) * time.Millisecond,
		}))
	})
	return lines
}

// outageLines returns a line for each run that a field of an aggregated line lists, by reason, as
// "TASK RUN WORKER TIME HOW": a long-running task that does not run, or a run that does not end. TIME
// is in milliseconds, and HOW may be missing.
func outageLines(l Line, field string) []Line {
	var lines []Line
	forEachEntry(l, field, func(reason, entry string) {
		fields := strings.SplitN(entry, " ", 5)
		if len(fields) < 4 {
			return
		}
		outageMs, err := strconv.ParseInt(fields[3], 10, 64)
		if err != nil {
			return
		}
		g := entryLine(l, 0, map[string]any{
			fieldTask: fields[0], fieldRun: fields[1], fieldWorker: fields[2], event.NameReason: reason,
			event.NameWaited: time.Duration(outageMs) * time.Millisecond,
		})
		if len(fields) > 4 {
			g.Fields[event.NameOutcome] = fields[4]
		}
		lines = append(lines, g)
	})
	return lines
}

// durationLines returns a line for each run that a field of an aggregated line lists, by worker, as
// "TASK RUN TIME AGE" with both times in milliseconds; the first becomes the field name of the line. The
// age may be missing, as in logs of earlier releases.
func durationLines(l Line, field, name string) []Line {
	var lines []Line
	forEachEntry(l, field, func(worker, entry string) {
		var task string
		var run float64
		var ms, age int64
		if n, _ := fmt.Sscan(entry, &task, &run, &ms, &age); n < 3 {
			return
		}
		lines = append(lines, entryLine(l, age, map[string]any{
			fieldTask: task, fieldRun: run, fieldWorker: worker, name: time.Duration(ms) * time.Millisecond,
		}))
	})
	return lines
}
