package worker

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Code is the reason for a refusal by the worker.
type Code string

// Reasons for refusals.
const (
	// CodeFenced means that the attempt number is not above the newest attempt of the task.
	CodeFenced Code = "fenced"
	// CodeNotRunning means that the worker does not run this attempt.
	CodeNotRunning Code = "not_running"
	// CodeExpired means that the deadline has passed.
	CodeExpired Code = "expired"
	// CodeInvalid means that the request cannot be decoded.
	CodeInvalid Code = "invalid"
)

// Error is a refusal by the worker, which changed nothing.
type Error struct {
	Code    Code
	Message string
}

// Error implements error.
func (e *Error) Error() string { return "worker refused (" + string(e.Code) + "): " + e.Message }

// Status returns the HTTP status of the refusal.
func (e *Error) Status() int {
	switch e.Code {
	case CodeFenced, CodeExpired:
		return http.StatusConflict
	case CodeNotRunning:
		return http.StatusNotFound
	}
	return http.StatusBadRequest
}

// Refused reports whether err is a refusal with the given code.
func Refused(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
