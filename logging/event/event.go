// Package event declares the lines that the processes on the users' platform write:
// the name of each, the part that writes it, how it competes for the budget of lines,
// and its fields. docs/OPERATIONS.md tells what each means.
//
// What goes wrong without it: the same id is a task in one part's lines and an attempt
// in another's, and whoever follows a request through four processes loses it between
// two of them. Here a field has one constructor, so it has one name and one type.
package event

import (
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Part is the part of a process that writes a line.
type Part string

// The parts. Process is the process as a whole.
const (
	Process   Part = ""
	Frontend  Part = "frontend"
	Platform  Part = "platform"
	Operator  Part = "operator"
	JobClient Part = "jobclient"
	Dispatch  Part = "dispatch"
	Group     Part = "group"
	Runs      Part = "runs"
	Control   Part = "control"
	Place     Part = "place"
	Quorum    Part = "quorum"
	Log       Part = "log"
)

// Named returns a part's own logger.
func (p Part) Named(l *zap.Logger) *zap.Logger {
	if p == Process {
		return l
	}
	return l.Named(string(p))
}

// Priority is how a line competes for the budget of lines.
type Priority int

const (
	// Debug lines are not written on the users' platform.
	Debug Priority = iota
	// Routine lines come with the traffic; they are left out first.
	Routine
	// Rare lines say what a process believes: leader, members, workers, versions.
	Rare
	// Warning lines tell of a refusal, a loss or a failure.
	Warning
	// Failure lines tell what stops the process or loses something for good.
	Failure
)

func (r Priority) level() zapcore.Level {
	switch r {
	case Debug:
		return zapcore.DebugLevel
	case Warning:
		return zapcore.WarnLevel
	case Failure:
		return zapcore.ErrorLevel
	}
	return zapcore.InfoLevel
}

// Event is a kind of line.
type Event struct {
	Part     Part
	Name     string
	Priority Priority
	// Fields are the names of the fields that its lines may have.
	Fields []string
}

// declared are the declared events; it is complete once the package is initialized.
var declared []*Event

func declare(p Part, r Priority, name string, fields ...string) *Event {
	e := &Event{Part: p, Name: name, Priority: r, Fields: fields}
	declared = append(declared, e)
	return e
}

// All returns the declared events.
func All() []*Event { return slices.Clone(declared) }

// Field is a field of a line. Only this package makes them.
type Field struct{ field zap.Field }

// Write writes a line by the logger of the event's part.
func (e *Event) Write(part *zap.Logger, fields ...Field) {
	checked := part.Check(e.Priority.level(), e.Name)
	if checked == nil {
		return
	}
	list := make([]zap.Field, 0, len(fields)+1)
	for _, f := range fields {
		list = append(list, f.field)
	}
	if e.Priority == Rare {
		list = append(list, rareMarker)
	}
	checked.Write(list...)
}

// rareMarker marks a line that is no routine; it is not written.
var rareMarker = zap.Field{Type: zapcore.SkipType, Key: "rare"}

// IsRare reports whether a line's fields mark it as no routine.
func IsRare(fields []zap.Field) bool {
	return slices.ContainsFunc(fields, func(f zap.Field) bool { return f.Type == zapcore.SkipType && f.Key == rareMarker.Key })
}
