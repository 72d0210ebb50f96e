// Package pipeline composes named filters. A request and a placement each pass through a list of
// filters. Every filter examines a value, may change it, and returns a status. The first status
// whose code is not Pass ends the run.
package pipeline

import "context"

// Code is the result of a filter.
type Code int

const (
	// Pass hands the value to the next filter.
	Pass Code = iota
	// Done ends the run with a complete value.
	Done
	// Reject ends the run and rejects the value for the reason in the status.
	Reject
)

// String returns the code's name in logs.
func (c Code) String() string {
	switch c {
	case Pass:
		return "pass"
	case Done:
		return "done"
	case Reject:
		return "reject"
	}
	return "invalid"
}

// Status is a filter's outcome. The zero value is a pass.
type Status struct {
	Code Code
	// Filter is the name of the filter that ended the run; Run sets it.
	Filter string
	// Reason explains the status to an operator in a short sentence.
	Reason string
}

// Passed reports whether the value continues to the next filter.
func (s Status) Passed() bool { return s.Code == Pass }

// Rejected returns a status that ends the run and rejects the value.
func Rejected(reason string) Status { return Status{Code: Reject, Reason: reason} }

// Finished returns a status that ends the run with a complete value.
func Finished(reason string) Status { return Status{Code: Done, Reason: reason} }

// Filter is one stage of a pipeline.
type Filter[T any] struct {
	Name  string
	Apply func(ctx context.Context, v *T) Status
}

// Pipeline is an ordered list of filters.
type Pipeline[T any] []Filter[T]

// Run applies the filters to v in order until one returns a status other than a pass.
func (p Pipeline[T]) Run(ctx context.Context, v *T) Status {
	for _, f := range p {
		st := f.Apply(ctx, v)
		if !st.Passed() {
			st.Filter = f.Name
			return st
		}
	}
	return Status{}
}
