package worker

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Code says why the worker refused.
type Code string

// The worker's refusals.
const (
	// CodeFenced: the attempt is at or below the task's newest.
	CodeFenced Code = "fenced"
	// CodeNotRunning: the worker does not run this attempt.
	CodeNotRunning Code = "not_running"
	// CodeExpired: the deadline has passed.
	CodeExpired Code = "expired"
	// CodeInvalid: the request can't be read.
	CodeInvalid Code = "invalid"
)

// Error is a refusal by the worker: nothing was changed.
type Error struct {
	Code    Code
	Message string
}

// Error implements error.
func (e *Error) Error() string { return "worker refused (" + string(e.Code) + "): " + e.Message }

// Status returns the refusal's HTTP status.
func (e *Error) Status() int {
	switch e.Code {
	case CodeFenced, CodeExpired:
		return http.StatusConflict
	case CodeNotRunning:
		return http.StatusNotFound
	}
	return http.StatusBadRequest
}

// Refused reports whether err is a refusal with the code.
func Refused(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
