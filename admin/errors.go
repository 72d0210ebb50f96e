package admin

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/control"
	"github.com/cairnlift/cairnlift/spec"
)

// Code is the machine-readable kind of an error.
type Code string

// Error codes, each with its HTTP status.
const (
	// CodeBadRequest means that the request is malformed (400).
	CodeBadRequest Code = "bad_request"
	// CodeNotFound means that the path or the named object does not exist (404).
	CodeNotFound Code = "not_found"
	// CodeConflict means that another submission was committed first, or that the state
	// has changed since the version that the request is based on (409).
	CodeConflict Code = "conflict"
	// CodeTooLarge means that the body is too large (413).
	CodeTooLarge Code = "too_large"
	// CodeInvalid means that the text or the request is well-formed but not valid (422).
	CodeInvalid Code = "invalid"
	// CodeOverloaded means that too many requests are being processed; the request was not
	// executed (429).
	CodeOverloaded Code = "overloaded"
	// CodeUnavailable means that the request was not executed and may be retried (503).
	CodeUnavailable Code = "unavailable"
	// CodeUnknownOutcome means that the request may or may not have been executed (504).
	// Retrying the same request is safe.
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

// Error is the error in an API response. The client returns it as it is.
type Error struct {
	Code     Code          `json:"code"`
	Message  string        `json:"message"`
	Problems spec.Problems `json:"problems,omitempty"`
	// RetryAfterMs is the delay after which the same request may be retried.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// Version and Winner are set on a conflict: the version in force and the id of the
	// submission that created it.
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

// Errorf returns an error with the given code and a formatted message.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// errorResponse is the JSON body of every unsuccessful response.
type errorResponse struct {
	Error *Error `json:"error"`
}

// defaultRetryAfter is the retry delay that clients get if the cause gives no other.
const defaultRetryAfter = time.Second

// toAPIError converts an error of the Backend to an API error.
func toAPIError(err error) *Error {
	var apiError *Error
	var unavailable *control.UnavailableError
	var unknown *control.UnknownError
	switch {
	case errors.As(err, &apiError):
		return apiError
	case errors.As(err, &unavailable):
		return &Error{Code: CodeUnavailable, Message: unavailable.Cause, RetryAfterMs: unavailable.RetryAfter.Milliseconds()}
	case errors.As(err, &unknown):
		return &Error{Code: CodeUnknownOutcome, Message: unknown.Cause}
	}
	// Any other failure after the request was accepted leaves its outcome unknown. If it
	// were reported as not executed, an operator might submit the change a second time
	// as a new request.
	return &Error{Code: CodeUnknownOutcome, Message: err.Error()}
}
