// Package trace puts the log lines of many processes about one job or request into
// one order. Processes' clocks may be seconds apart, so lines are ordered by what
// must have come first: the lines of a process by their place in its log, an order
// before its answer, a term of leadership before the next. Clocks decide only what
// is left, and those that contradict are shifted.
package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/logging/event"
)

// Line is a line of a process's log.
type Line struct {
	// Process is the name that the process gives itself, else that of the file.
	Process string
	// At is the time by the process's own clock.
	At     time.Time
	Part   string
	Event  string
	Level  string
	Fields map[string]any
}

// maxLineBytes bounds a line in bytes; longer ones are no log lines.
const maxLineBytes = 1 << 20

// Read reads log lines; what is no log line is passed over. Text before the JSON
// object, as collectors of logs put there, is ignored. source names the process of
// lines that name none.
func Read(r io.Reader, source string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		if l, ok := parse(text[start:], source); ok {
			lines = appendLine(lines, l)
		}
	}
	return lines, errors.Wrap(scanner.Err(), "log")
}

// Names of the fields that every line has.
const (
	fieldTime    = "ts"
	fieldLevel   = "level"
	fieldPart    = "part"
	fieldEvent   = "msg"
	fieldProcess = "process"
)

func parse(text, source string) (Line, bool) {
	l := Line{Process: source}
	if json.Unmarshal([]byte(text), &l.Fields) != nil {
		return l, false
	}
	var err error
	if l.At, err = time.Parse(time.RFC3339, l.Text(fieldTime)); err != nil {
		return l, false
	}
	l.Part, l.Event, l.Level = l.Text(fieldPart), l.Text(fieldEvent), l.Text(fieldLevel)
	if p := l.Text(fieldProcess); p != "" {
		l.Process = p
	}
	for _, name := range []string{fieldTime, fieldPart, fieldEvent, fieldLevel, fieldProcess} {
		delete(l.Fields, name)
	}
	return l, true
}

// Text returns a field that is a string.
func (l *Line) Text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// number returns a field that is a number.
func (l *Line) number(name string) (float64, bool) {
	n, ok := l.Fields[name].(float64)
	return n, ok
}

// Names of the fields that tie lines together.
const (
	fieldJob     = event.NameJob
	fieldTask    = event.NameTask
	fieldStep    = event.NameStep
	fieldPath    = event.NamePath
	fieldRequest = "request"
	fieldRun     = event.NameRun
	fieldWorker  = event.NameWorker
	fieldTerm    = event.NameTerm
)

// About reports whether a line is about a job or request.
func (l *Line) About(id string) bool {
	path := l.Text(fieldPath)
	return l.Text(fieldJob) == id || l.Text(fieldRequest) == id ||
		strings.HasPrefix(l.Text(fieldTask), id+"/") || strings.HasPrefix(l.Text(fieldStep), id+"/") ||
		path[strings.LastIndexByte(path, '/')+1:] == id
}

// Select returns the lines about a job or request, and those about the fate of the
// workers that its tasks were given to and of the leaders meanwhile.
func Select(lines []Line, id string) []Line {
	workers := map[string]bool{}
	first, last := time.Time{}, time.Time{}
	for i := range lines {
		l := &lines[i]
		if !l.About(id) {
			continue
		}
		if w := l.Text(fieldWorker); w != "" {
			workers[w] = true
		}
		if first.IsZero() || l.At.Before(first) {
			first = l.At
		}
		if l.At.After(last) {
			last = l.At
		}
	}
	return slices.DeleteFunc(slices.Clone(lines), func(l Line) bool {
		meanwhile := !l.At.Before(first) && !l.At.After(last)
		context := meanwhile && (l.Event == eventLeaderReady || isWorkerEvent(&l) && workers[l.Text(fieldWorker)])
		return !l.About(id) && !context
	})
}

// Events that rules speak of; docs/OPERATIONS.md tells what each means.
var (
	eventStartAnswered      = event.StartAnswered.Name
	eventStop               = event.RunStop.Name
	eventStopAnswered       = event.StopAnswered.Name
	eventEnded              = event.RunEnded.Name
	eventLeaderReady        = event.LeaderReady.Name
	eventLeaseExpired       = event.LeaseExpired.Name
	eventWorkerUnresponsive = event.WorkerUnresponsive.Name
	eventWorkerFound        = event.WorkerFound.Name
	eventWorkerLeft         = event.WorkerLeft.Name
	eventWorkerLeaseExpired = event.WorkerLeaseExpired.Name
)

// Events of single runs, which are written only among the runs of a gathered line.
const (
	eventStart = "start"
	eventLost  = "run lost"
	// eventUnlogged is a run that its worker lists and the log does not hold there.
	eventUnlogged = "run is not in the log"
)

// isWorkerEvent reports whether a line is about what became of a worker.
func isWorkerEvent(l *Line) bool {
	switch l.Event {
	case eventLeaseExpired, eventWorkerUnresponsive, eventWorkerFound, eventWorkerLeft, eventWorkerLeaseExpired:
		return true
	}
	return false
}

// ClockShift is how far a process's clock was moved to agree with the others.
type ClockShift struct {
	Process string
	By      time.Duration
}

// Timeline is the lines in one order, with times by one clock.
type Timeline struct {
	Lines  []Line
	Shifts []ClockShift
}

// Order returns the lines in an order that no rule contradicts.
func Order(lines []Line) Timeline {
	lines = slices.Clone(lines)
	edges := causalEdges(lines)
	shifts := alignClocks(lines, edges)
	for i := range lines {
		lines[i].At = lines[i].At.Add(shifts[lines[i].Process])
	}
	t := Timeline{Lines: causalOrder(lines, edges)}
	for _, p := range slices.Sorted(maps.Keys(shifts)) {
		if shifts[p] != 0 {
			t.Shifts = append(t.Shifts, ClockShift{p, shifts[p]})
		}
	}
	return t
}
