package tomltext

import (
	"fmt"
	"sort"
	"strings"
)

// MaxProblems bounds the number of problems that are listed for one text.
const MaxProblems = 200

// maxCollectedProblems bounds the number of problems that are collected before they are
// sorted by line, since a text of another kind, such as another program's file, may have a
// million of them.
const maxCollectedProblems = 10 * MaxProblems

// Problem is one mistake in a text.
type Problem struct {
	// Line is the line number, starting at 1; 0 if the mistake is not on a specific line.
	Line int `json:"line"`
	// Field is the path of the key, such as service[0].size.memory.
	Field string `json:"field"`
	// Message describes the mistake to the author of the text.
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

// Problems are all problems of one text, ordered by line.
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

// Err returns the problems as an error, nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// sorted sorts the problems by line and truncates the list to MaxProblems. A final problem
// reports how many are not listed, including the dropped ones.
func (ps Problems) sorted(dropped int) Problems {
	sort.SliceStable(ps, func(i, j int) bool { return ps[i].Line < ps[j].Line })
	left := len(ps) - MaxProblems + dropped
	if len(ps) <= MaxProblems {
		return ps
	}
	return append(ps[:MaxProblems:MaxProblems], Problem{Message: fmt.Sprintf("%d more mistakes are not listed", left)})
}
