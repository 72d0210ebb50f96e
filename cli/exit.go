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
	// ExitFailure: the command failed for a reason without a code of its own.
	ExitFailure = 1
	// ExitUsage: the command line is wrong.
	ExitUsage = 2
	// ExitInvalid: the text or the request is refused; nothing was changed.
	ExitInvalid = 3
	// ExitConflict: another submission won; nothing was changed.
	ExitConflict = 4
	// ExitUnavailable: nothing was done; come back.
	ExitUnavailable = 5
	// ExitUnknown: it may or may not have been done; resending is safe.
	ExitUnknown = 6
)

type usageError struct{ message string }

// Error implements error.
func (e *usageError) Error() string { return e.message }

// invalidTextError holds the mistakes of a file.
type invalidTextError struct {
	file     string
	problems spec.Problems
}

// Error implements error with one line per mistake: file:line: field: message.
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

// exitCode tells scripts what became of a command. The outer types come first:
// an unknown outcome also holds the error of its last attempt.
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

// describeError adds to an error what the operator can do about it.
func describeError(err error) string {
	var api *admin.Error
	switch {
	case exitCode(err) == ExitUnknown:
		return err.Error() + "\nresend the same command, with the same --submission-id if it has one"
	case errors.As(err, &api) && api.Code == admin.CodeConflict && api.Winner != "":
		return fmt.Sprintf("%v; version %d is in force, submission %s came first\nget it, bring your change in and apply again", err, api.Version, api.Winner)
	}
	return err.Error()
}
