package tomltext

import (
	"fmt"
	"sort"
	"strings"
)

// MaxProblems bounds how many mistakes one run reports.
const MaxProblems = 200

// maxCollectedProblems bounds how many are kept until they are sorted by line: a text that
// is not what it should be, such as another program's, may hold a million.
const maxCollectedProblems = 10 * MaxProblems

// Problem is one mistake in a text.
type Problem struct {
	// Line counts from 1; 0 when the mistake belongs to no line.
	Line int `json:"line"`
	// Field is the path of the key, such as service[0].size.memory.
	Field string `json:"field"`
	// Message is a sentence for whoever wrote the text.
	Message string `json:"message"`
}

// String formats the problem without the name of the file.
func (p Problem) String() string {
	var parts []string
	if p.Line > 0 {
		parts = append(parts, fmt.Sprintf("line %d", p.Line))
	}
	if p.Field != "" {
		parts = append(parts, p.Field)
	}
	return strings.Join(append(parts, p.Message), ": ")
}

// In formats the problem as file:line: field: message.
func (p Problem) In(file string) string {
	if p.Line > 0 {
		file = fmt.Sprintf("%s:%d", file, p.Line)
	}
	return file + ": " + Problem{Field: p.Field, Message: p.Message}.String()
}

// Problems are all mistakes of one text, by line.
type Problems []Problem

// Error implements error with one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// In formats all problems as file:line: field: message.
func (ps Problems) In(file string) string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.In(file)
	}
	return strings.Join(lines, "\n")
}

// Err returns nil when there is no problem.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// sorted orders problems by line, cuts the list at MaxProblems and says how many
// are left out, the dropped ones included.
func (ps Problems) sorted(dropped int) Problems {
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].Line < ps[j].Line })
	left := len(ps) - MaxProblems + dropped
	if len(ps) <= MaxProblems {
		return ps
	}
	return append(ps[:MaxProblems:MaxProblems], Problem{Message: fmt.Sprintf("%d more mistakes are not listed", left)})
}
