package cli

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/admin"
	"github.com/cairnlift/cairnlift/spec"
)

// Exit codes of cairnlift.
const (
	ExitOK = 0
	// ExitFailure means that the command failed for a reason without a separate code.
	ExitFailure = 1
	// ExitUsage means that the command line is invalid.
	ExitUsage = 2
	// ExitInvalid means that the text or the request is invalid; nothing was changed.
	ExitInvalid = 3
	// ExitConflict means that another submission was committed first; nothing was changed.
	ExitConflict = 4
	// ExitUnavailable means that the request was not executed and may be retried.
	ExitUnavailable = 5
	// ExitUnknown means that the request may or may not have been executed; a retry is safe.
	ExitUnknown = 6
)

type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

// invalidTextError lists the errors in a configuration text.
type invalidTextError struct {
	file     string
	problems spec.Problems
}

// Error implements error with one line per problem, as file:line: field: message.
func (e *invalidTextError) Error() string {
	return fmt.Sprintf("%s is not valid; nothing was changed\n%s", e.file, e.problems.In(e.file))
}

var exitCodes = map[admin.Code]int{
	admin.CodeBadRequest:     ExitInvalid,
	admin.CodeTooLarge:       ExitInvalid,
	admin.CodeInvalid:        ExitInvalid,
	admin.CodeNotFound:       ExitFailure,
	admin.CodeConflict:       ExitConflict,
	admin.CodeOverloaded:     ExitUnavailable,
	admin.CodeUnavailable:    ExitUnavailable,
	admin.CodeUnknownOutcome: ExitUnknown,
}

// exitCode returns the exit code for the error of a command. The outer error types must be checked
// first: an UnknownOutcomeError also wraps the error of its last attempt.
func exitCode(err error) int {
	var usage *usageError
	var invalid *invalidTextError
	var unknown *admin.UnknownOutcomeError
	var unavailable *admin.UnavailableError
	var api *admin.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &invalid):
		return ExitInvalid
	case errors.As(err, &unknown):
		return ExitUnknown
	case errors.As(err, &unavailable):
		return ExitUnavailable
	case errors.As(err, &api):
		return exitCodes[api.Code]
	}
	return ExitFailure
}

// describeError returns the text of an error, with what the operator can do about it.
func describeError(err error) string {
	var api *admin.Error
	switch {
	case exitCode(err) == ExitUnknown:
		return err.Error() + "\nresend the same command, with the same --submission-id if it has one"
	case errors.As(err, &api) && api.Code == admin.CodeConflict && api.Winner != "":
		return fmt.Sprintf("%v; version %d is in force, submission %s came first\nget it, merge your change into it and apply again", err, api.Version, api.Winner)
	}
	return err.Error()
}
