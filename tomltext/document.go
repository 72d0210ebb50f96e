// Package tomltext reads TOML texts that people write: it finds every mistake
// in one run and tells the line and the key of each.
package tomltext

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Document is a parsed text that collects problems.
type Document struct {
	text []byte
	// positions are looked up once there is a problem to place.
	positions *positions
	problems  Problems
	// droppedProblems counts problems beyond maxCollectedProblems.
	droppedProblems int
	root            map[string]any
}

// Parse reads the syntax of a text. A document whose syntax is broken has one
// problem and an empty root table.
func Parse(text []byte) *Document {
	d := &Document{text: text}
	if err := toml.Unmarshal(text, &d.root); err != nil {
		d.root = nil
		d.syntaxProblem(err)
	}
	return d
}

func (d *Document) syntaxProblem(err error) {
	problem := Problem{Message: strings.TrimPrefix(err.Error(), "toml: ")}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		problem.Line, _ = de.Position()
	}
	d.problems = append(d.problems, problem)
}

// AddProblem records a problem with the key at path.
func (d *Document) AddProblem(path, format string, args ...any) {
	if len(d.problems) == maxCollectedProblems {
		d.droppedProblems++
		return
	}
	d.problems = append(d.problems, Problem{Line: d.Line(path), Field: path, Message: fmt.Sprintf(format, args...)})
}

// HasProblem reports whether the key at path has a problem already, so that a later
// check need not complain about what the same mistake left unset.
func (d *Document) HasProblem(path string) bool {
	return slices.ContainsFunc(d.problems, func(p Problem) bool { return p.Field == path })
}

// Line returns the line of the key at path, or of the nearest table around it.
func (d *Document) Line(path string) int {
	if d.positions == nil {
		d.positions = locateKeys(d.text)
	}
	return d.positions.line(path)
}

// Problems returns what was found so far, by line.
func (d *Document) Problems() Problems { return d.problems.sorted(d.droppedProblems) }

// Root returns the table that holds all others.
func (d *Document) Root() *Table { return newTable(d, "", d.root) }
