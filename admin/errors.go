package admin

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/spec"
)

// Code names the kind of an error.
type Code string

// The codes of errors, each with its HTTP status.
const (
	// CodeBadRequest: the request itself is malformed (400).
	CodeBadRequest Code = "bad_request"
	// CodeNotFound: there is no such path or thing (404).
	CodeNotFound Code = "not_found"
	// CodeConflict: another submission won, or the state has moved on (409).
	CodeConflict Code = "conflict"
	// CodeTooLarge: the body is too large (413).
	CodeTooLarge Code = "too_large"
	// CodeInvalid: the text or the request was understood and refused (422).
	CodeInvalid Code = "invalid"
	// CodeOverloaded: too many requests at a time; nothing was done (429).
	CodeOverloaded Code = "overloaded"
	// CodeUnavailable: nothing was done; come back (503).
	CodeUnavailable Code = "unavailable"
	// CodeUnknownOutcome: it may or may not have been done (504). Resending the
	// same request is safe.
	CodeUnknownOutcome Code = "unknown_outcome"
)

var httpStatuses = map[Code]int{
	CodeBadRequest:     http.StatusBadRequest,
	CodeNotFound:       http.StatusNotFound,
	CodeConflict:       http.StatusConflict,
	CodeTooLarge:       http.StatusRequestEntityTooLarge,
	CodeInvalid:        http.StatusUnprocessableEntity,
	CodeOverloaded:     http.StatusTooManyRequests,
	CodeUnavailable:    http.StatusServiceUnavailable,
	CodeUnknownOutcome: http.StatusGatewayTimeout,
}

// Error is the error that the API answers with and the client returns.
type Error struct {
	Code     Code          `json:"code"`
	Message  string        `json:"message"`
	Problems spec.Problems `json:"problems,omitempty"`
	// RetryAfterMs is when the same request may be sent again.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// Version and Winner tell a beaten submission what is in force.
	Version uint64 `json:"version,omitempty"`
	Winner  string `json:"winner_submission_id,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	if len(e.Problems) > 0 {
		return fmt.Sprintf("%s: %s\n%s", e.Code, e.Message, e.Problems.Error())
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Errorf makes an error with a code.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// errorResponse is the JSON of every answer that is not a success.
type errorResponse struct {
	Error *Error `json:"error"`
}

// defaultRetryAfter is when to come back if nothing better is known.
const defaultRetryAfter = time.Second

// toAPIError maps the errors that a Backend may return.
func toAPIError(err error) *Error {
	var own *Error
	var unavailable *control.UnavailableError
	var unknown *control.UnknownError
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &unavailable):
		return &Error{Code: CodeUnavailable, Message: unavailable.Cause, RetryAfterMs: unavailable.RetryAfter.Milliseconds()}
	case errors.As(err, &unknown):
		return &Error{Code: CodeUnknownOutcome, Message: unknown.Cause}
	}
	// Whatever else went wrong after the request was taken in leaves its fate
	// open; to call it "not done" would make an operator send it anew.
	return &Error{Code: CodeUnknownOutcome, Message: err.Error()}
}
