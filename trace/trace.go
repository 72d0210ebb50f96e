// Package trace merges the log lines of many processes about one job or request into one timeline.
// The clocks of processes may be seconds apart, so lines are ordered by causality: the lines of a
// process by their position in its log, an order before its answer, a leadership term before the
// next. Clocks decide only between lines that causality leaves unordered, and clocks that
// contradict it are shifted.
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

// Line is a line of the log of a process.
type Line struct {
	// Process is the name in the line, or the name of the file if the line has none.
	Process string
	// At is the time by the clock of the process.
	At     time.Time
	Part   string
	Event  string
	Level  string
	Fields map[string]any
	// Deposed is set by Order for lines that a leader wrote after the leader of a later term was ready.
	// What they state is what the deposed leader believed, and its decisions had no effect.
	Deposed bool
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Read reads log lines and skips everything else. Text before the JSON object of a line, as log
// collectors add it, is ignored. source is the process name for lines without one.
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
	return lines, errors.Wrap(scanner.Err(), "read log")
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

// Text returns the value of a string field, or "" if the line has none of that name.
func (l *Line) Text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// number returns the value of a numeric field; false if the line has none of that name.
func (l *Line) number(name string) (float64, bool) {
	n, ok := l.Fields[name].(float64)
	return n, ok
}

// Names of the fields that relate lines to each other.
const (
	fieldJob     = event.NameJob
	fieldTask    = event.NameTask
	fieldStep    = event.NameStep
	fieldPath    = event.NamePath
	fieldRequest = "request"
	fieldRun     = event.NameRun
	fieldWorker  = event.NameWorker
	fieldTerm    = event.NameTerm
	fieldLeads   = event.NameLeads
)

// About reports whether a line is about the job or request with the given id.
func (l *Line) About(id string) bool {
	path := l.Text(fieldPath)
	return l.Text(fieldJob) == id || l.Text(fieldRequest) == id ||
		strings.HasPrefix(l.Text(fieldTask), id+"/") || strings.HasPrefix(l.Text(fieldStep), id+"/") ||
		path[strings.LastIndexByte(path, '/')+1:] == id
}

// Select returns the lines about a job or request, and, from the time between the first and the
// last of them, the lines about new leaders, about changes of the holds of queues and about the state of
// the workers that ran its tasks. Holds of all queues are included, because few lines of a job name its
// queue.
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
		during := !l.At.Before(first) && !l.At.After(last)
		context := during && (l.Event == eventLeaderReady || l.Event == eventHoldChanged || isWorkerEvent(&l) && workers[l.Text(fieldWorker)])
		return !l.About(id) && !context
	})
}

// Events that the rules refer to; docs/OPERATIONS.md explains each of them.
var (
	eventStartAnswered      = event.StartAnswered.Name
	eventStop               = event.RunStop.Name
	eventStopAnswered       = event.StopAnswered.Name
	eventEnded              = event.RunEnded.Name
	eventLeaderReady        = event.LeaderReady.Name
	eventLeaseExpired       = event.LeaseExpired.Name
	eventHoldChanged        = event.HoldInEffect.Name
	eventWorkerUnresponsive = event.WorkerUnresponsive.Name
	eventWorkerFound        = event.WorkerFound.Name
	eventWorkerLeft         = event.WorkerLeft.Name
	eventWorkerLeaseExpired = event.WorkerLeaseExpired.Name
	eventGroupState         = event.GroupState.Name
)

const partDispatch = string(event.Dispatch)

// Events of single runs, which are expanded from aggregated lines and never written themselves.
const (
	eventStart = "start"
	// eventBegun is about a long-running run that its worker lists for the first time.
	eventBegun = "run begun"
	eventLost  = "run lost"
	// eventUnlogged is about a run that its worker reports but the replicated log does not contain.
	eventUnlogged = "run is not in the log"
)

// isWorkerEvent reports whether a line is about the state of a worker.
func isWorkerEvent(l *Line) bool {
	switch l.Event {
	case eventLeaseExpired, eventWorkerUnresponsive, eventWorkerFound, eventWorkerLeft, eventWorkerLeaseExpired:
		return true
	}
	return false
}

// ClockShift is the shift of a process's clock that makes it agree with the others.
type ClockShift struct {
	Process string
	By      time.Duration
}

// Timeline contains lines in causal order, with times by one clock.
type Timeline struct {
	Lines  []Line
	Shifts []ClockShift
}

// Order returns the lines in an order that satisfies the rules. If the rules contradict each other,
// all lines are returned nevertheless.
func Order(lines []Line) Timeline {
	lines = slices.Clone(lines)
	edges := causalEdges(lines)
	shifts := alignClocks(lines, edges)
	for i := range lines {
		lines[i].At = lines[i].At.Add(shifts[lines[i].Process])
	}
	markDeposed(lines)
	t := Timeline{Lines: causalOrder(lines, edges)}
	for _, p := range slices.Sorted(maps.Keys(shifts)) {
		if shifts[p] != 0 {
			t.Shifts = append(t.Shifts, ClockShift{p, shifts[p]})
		}
	}
	return t
}
