// Package event declares the log lines that the processes on the users' platform write: the message
// of each, the part that writes it, its priority in the budget of lines, and its fields.
// docs/OPERATIONS.md explains each of them.
//
// Each field has one constructor, so it has one name and one type in the lines of all parts.
// Otherwise the same id could be a task in one part's lines and an attempt in another's, and a
// request could not be followed through the four processes that handle it.
package event

import (
	"slices"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Part is the part of a process that writes a line.
type Part string

// The parts. Process stands for the whole process and adds no name to its lines.
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

// Named derives the logger of a part from the logger of the process.
func (p Part) Named(logger *zap.Logger) *zap.Logger {
	if p == Process {
		return logger
	}
	return logger.Named(string(p))
}

// Priority determines the level of a line and the budget that it is counted against.
type Priority int

const (
	// Debug lines are not written on the users' platform.
	Debug Priority = iota
	// Routine lines grow in number with the traffic; they are dropped first.
	Routine
	// Rare lines report changes in what a process knows: leader, members, workers, versions.
	Rare
	// Warning lines report a refusal, a loss or a failure.
	Warning
	// Failure lines report an error that stops the process or a loss that can't be undone.
	Failure
)

func (p Priority) level() zapcore.Level {
	switch p {
	case Debug:
		return zapcore.DebugLevel
	case Warning:
		return zapcore.WarnLevel
	case Failure:
		return zapcore.ErrorLevel
	}
	return zapcore.InfoLevel
}

// Event is a kind of log line.
type Event struct {
	Part     Part
	Name     string
	Priority Priority
	// Fields are the names of the fields that lines of this kind may have.
	Fields []string
}

// declared contains all declared events; it is complete once the package is initialized.
var declared []*Event

func declare(part Part, priority Priority, name string, fields ...string) *Event {
	e := &Event{Part: part, Name: name, Priority: priority, Fields: fields}
	declared = append(declared, e)
	return e
}

// All returns all declared events.
func All() []*Event { return slices.Clone(declared) }

// Field is a field of a log line. Only this package creates fields.
type Field struct{ field zap.Field }

// Write writes a line with the given fields to logger, which is that of the event's part.
func (e *Event) Write(logger *zap.Logger, fields ...Field) {
	checked := logger.Check(e.Priority.level(), e.Name)
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

// rareMarker marks the lines of Rare events; the encoder skips it.
var rareMarker = zap.Field{Type: zapcore.SkipType, Key: "rare"}

// IsRare reports whether the fields of a line contain the marker of Rare events.
func IsRare(fields []zap.Field) bool {
	return slices.ContainsFunc(fields, func(f zap.Field) bool { return f.Type == zapcore.SkipType && f.Key == rareMarker.Key })
}
