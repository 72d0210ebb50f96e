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

// outcomeDone is how the runs of a gathered line ended.
const outcomeDone = "done"

// appendLine adds a line to those read so far; a line that gathers what happened to
// many runs becomes a line for each.
func appendLine(lines []Line, l Line) []Line {
	var gathered []Line
	switch l.Event {
	case event.RunsSummary.Name:
		gathered = slices.Concat(runLines(l, event.NameStarted, eventStart), longRunningLines(l), runLines(l, event.NameEnded, eventEnded))
	case event.TasksWaiting.Name:
		gathered = waitLines(l)
	case event.RunsLost.Name:
		gathered = runLines(l, event.NameLost, eventLost)
	case event.UnloggedRuns.Name:
		gathered = runLines(l, event.NameUnlogged, eventUnlogged)
	case event.WorkerCrashed.Name:
		gathered = durationLines(l, event.NameWorked, event.NameWorked)
	case event.TailObjectivesExceeded.Name:
		gathered = tailLines(l)
	case event.JobsFinished.Name:
		gathered = jobLines(l)
	case event.LongRunningOutage.Name:
		gathered = outageLines(l)
	case event.LongRunningRecovered.Name:
		gathered = durationLines(l, event.NameTasksRunningAgain, event.NameWaited)
	default:
		return append(lines, l)
	}
	slices.SortStableFunc(gathered, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, g := range gathered {
		lines = slices.Insert(lines, insertIndex(lines, g), g)
	}
	return lines
}

// insertIndex returns where a gathered line belongs. A process writes it up to a second
// after the moment that it tells of, so it goes before the lines of the same process
// that were written since; the order in the log would put a stop before its start.
func insertIndex(lines []Line, l Line) int {
	place := len(lines)
	for i := len(lines) - 1; i >= 0; i-- {
		if lines[i].Process != l.Process {
			continue
		}
		if !lines[i].At.After(l.At) {
			break
		}
		place = i
	}
	return place
}

// runLines returns a line for each run that a field of a gathered line lists, by
// worker, as "TASK RUN AGE" with the age in milliseconds.
func runLines(l Line, field, name string) []Line {
	var lines []Line
	forEachEntry(l, field, func(worker, entry string) {
		var task string
		var run float64
		var age int64
		if _, err := fmt.Sscan(entry, &task, &run, &age); err != nil {
			return
		}
		g := entryLine(l, age, map[string]any{fieldTask: task, fieldRun: run, fieldWorker: worker, fieldTerm: l.Fields[fieldTerm]})
		g.Event = name
		switch name {
		case eventEnded:
			g.Fields[event.NameOutcome] = outcomeDone
		case eventLost:
			g.Fields[event.NameReason] = l.Fields[event.NameReason]
		}
		lines = append(lines, g)
	})
	return lines
}

// longRunningLines returns a line for each run of a long-running step that was started.
func longRunningLines(l Line) []Line {
	lines := runLines(l, event.NameLongRunning, eventStart)
	for i := range lines {
		lines[i].Fields[event.NameLongRunning] = true
	}
	return lines
}

// forEachEntry calls take with each entry of a gathered line's field and its name there.
func forEachEntry(l Line, field string, take func(name, entry string)) {
	byName, _ := l.Fields[field].(map[string]any)
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		entries, _ := byName[name].([]any)
		for _, e := range entries {
			entry, _ := e.(string)
			take(name, entry)
		}
	}
}

// entryLine returns a line of the same process and event as a gathered one, some milliseconds
// before it.
func entryLine(l Line, ageMs int64, fields map[string]any) Line {
	return Line{
		Process: l.Process, At: l.At.Add(-time.Duration(ageMs) * time.Millisecond),
		Part: l.Part, Event: l.Event, Level: l.Level, Fields: fields,
	}
}

// tailLines returns a line for each tail that a gathered line lists, by worker, as
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

// jobLines returns a line for each job that a gathered line lists, by the path of its queue,
// as "JOB HOW TOOK ALLOWED AGE" with times in milliseconds.
func jobLines(l Line) []Line {
	var lines []Line
	forEachEntry(l, event.NameJobs, func(path, entry string) {
		var job, how string
		var took, allowed, age int64
		if _, err := fmt.Sscan(entry, &job, &how, &took, &allowed, &age); err != nil {
			return
		}
		lines = append(lines, entryLine(l, age, map[string]any{
			fieldJob: job, event.NameOutcome: how, fieldPath: path,
			event.NameTook:    time.Duration(took) * time.Millisecond,
			event.NameAllowed: time.Duration(allowed) * time.Millisecond,
		}))
	})
	return lines
}

// waitLines returns a line for each step that a gathered line lists, by what rules the
// workers out, as "STEP TASKS WAITED AGE" with both times in milliseconds.
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

// outageLines returns a line for each long-running task that a gathered line lists as away, by
// why, as "TASK RUN WORKER AWAY HOW" with the time in milliseconds.
func outageLines(l Line) []Line {
	var lines []Line
	forEachEntry(l, event.NameTasksNotRunning, func(why, entry string) {
		fields := strings.SplitN(entry, " ", 5)
		if len(fields) < 4 {
			return
		}
		away, err := strconv.ParseInt(fields[3], 10, 64)
		if err != nil {
			return
		}
		g := entryLine(l, 0, map[string]any{
			fieldTask: fields[0], fieldRun: fields[1], fieldWorker: fields[2], event.NameReason: why,
			event.NameWaited: time.Duration(away) * time.Millisecond,
		})
		if len(fields) > 4 {
			g.Fields[event.NameOutcome] = fields[4]
		}
		lines = append(lines, g)
	})
	return lines
}

// durationLines returns a line for each run that a field of a gathered line lists, by worker, as "TASK RUN
// TIME" with the time in milliseconds, under a name of its own.
func durationLines(l Line, field, name string) []Line {
	var lines []Line
	forEachEntry(l, field, func(worker, entry string) {
		var task string
		var run float64
		var ms int64
		if _, err := fmt.Sscan(entry, &task, &run, &ms); err != nil {
			return
		}
		lines = append(lines, entryLine(l, 0, map[string]any{
			fieldTask: task, fieldRun: run, fieldWorker: worker, name: time.Duration(ms) * time.Millisecond,
		}))
	})
	return lines
}
