package trace

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cairnlift/cairnlift/logging/event"
)

// howDone is how the runs of a gathered line ended.
const howDone = "done"

// appendLine adds a line to those read so far; a line that gathers what happened to
// many runs becomes a line for each.
func appendLine(lines []Line, l Line) []Line {
	var gathered []Line
	switch l.Event {
	case event.RunsRoutine.Name:
		gathered = append(gatheredOf(l, event.NameStarted, eventStart), gatheredOf(l, event.NameEnded, eventEnded)...)
	case event.TasksWait.Name:
		gathered = waitsOf(l)
	case event.RunsLost.Name:
		gathered = gatheredOf(l, event.NameLost, eventLost)
	default:
		return append(lines, l)
	}
	slices.SortStableFunc(gathered, func(a, b Line) int { return a.At.Compare(b.At) })
	for _, g := range gathered {
		lines = slices.Insert(lines, placeOf(lines, g), g)
	}
	return lines
}

// placeOf returns where a gathered line belongs. A process writes it up to a second
// after the moment that it tells of, so it goes before the lines of the same process
// that were written since; the order in the log would put a stop before its start.
func placeOf(lines []Line, l Line) int {
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

// gatheredOf returns a line for each run that a field of a gathered line lists, by
// worker, as "TASK RUN AGE" with the age in milliseconds.
func gatheredOf(l Line, field, name string) []Line {
	byWorker, _ := l.Fields[field].(map[string]any)
	var lines []Line
	for _, worker := range slices.Sorted(maps.Keys(byWorker)) {
		runs, _ := byWorker[worker].([]any)
		for _, r := range runs {
			var task string
			var run float64
			var age int64
			entry, _ := r.(string)
			if _, err := fmt.Sscan(entry, &task, &run, &age); err != nil {
				continue
			}
			g := Line{Process: l.Process, At: l.At.Add(-time.Duration(age) * time.Millisecond), Part: l.Part, Event: name, Level: l.Level}
			g.Fields = map[string]any{fieldTask: task, fieldRun: run, fieldWorker: worker, fieldTerm: l.Fields[fieldTerm]}
			switch name {
			case eventEnded:
				g.Fields[event.NameHow] = howDone
			case eventLost:
				g.Fields[event.NameReason] = l.Fields[event.NameReason]
			}
			lines = append(lines, g)
		}
	}
	return lines
}

// waitsOf returns a line for each step that a gathered line lists, by what rules the
// workers out, as "STEP TASKS WAITED AGE" with both times in milliseconds.
func waitsOf(l Line) []Line {
	byReasons, _ := l.Fields[event.NameWaits].(map[string]any)
	var lines []Line
	for _, reasons := range slices.Sorted(maps.Keys(byReasons)) {
		steps, _ := byReasons[reasons].([]any)
		for _, s := range steps {
			var step string
			var tasks, waited, age int64
			entry, _ := s.(string)
			if _, err := fmt.Sscan(entry, &step, &tasks, &waited, &age); err != nil {
				continue
			}
			w := Line{Process: l.Process, At: l.At.Add(-time.Duration(age) * time.Millisecond), Part: l.Part, Event: l.Event, Level: l.Level}
			w.Fields = map[string]any{
				fieldStep: step, event.NameTasks: tasks, event.NameWorkers: reasons,
				event.NameWaited: time.Duration(waited) * time.Millisecond,
			}
			lines = append(lines, w)
		}
	}
	return lines
}
