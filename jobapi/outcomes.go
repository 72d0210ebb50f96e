package jobapi

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/control"
)

// writeMessage writes a message as a JSON response.
func writeMessage(w http.ResponseWriter, m proto.Message) {
	data, err := protojson.Marshal(m)
	if err != nil {
		writeError(w, http.StatusInternalServerError, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // a client that has disconnected needs no response
}

// HTTPStatus returns the HTTP status for an outcome and an error: 503 if the request was not
// executed and never will be, 429 if that is because of the load, and 504 if its outcome is unknown.
func HTTPStatus(o apiv1.JobOutcome, err error) int {
	var unavailable *control.UnavailableError
	var refused *control.RefusedError
	switch {
	case errors.As(err, &refused):
		return http.StatusTooManyRequests
	case errors.As(err, &unavailable):
		return http.StatusServiceUnavailable
	case err != nil:
		return http.StatusGatewayTimeout
	}
	switch o {
	case apiv1.JobOutcome_JOB_OUTCOME_OK:
		return http.StatusOK
	case apiv1.JobOutcome_JOB_OUTCOME_SUPERSEDED:
		// An earlier try of the same order may have been accepted.
		return http.StatusGatewayTimeout
	case apiv1.JobOutcome_JOB_OUTCOME_NO_ZONE, apiv1.JobOutcome_JOB_OUTCOME_NO_QUEUE, apiv1.JobOutcome_JOB_OUTCOME_NO_WAVE, apiv1.JobOutcome_JOB_OUTCOME_NO_POOL:
		return http.StatusNotFound
	case apiv1.JobOutcome_JOB_OUTCOME_OVER_LIMIT, apiv1.JobOutcome_JOB_OUTCOME_REFUSED:
		return http.StatusTooManyRequests
	case apiv1.JobOutcome_JOB_OUTCOME_CONFLICT:
		return http.StatusConflict
	case apiv1.JobOutcome_JOB_OUTCOME_NO_HOSTS:
		return http.StatusNotImplemented
	case apiv1.JobOutcome_JOB_OUTCOME_NO_JOB:
		return http.StatusGone
	case apiv1.JobOutcome_JOB_OUTCOME_INVALID:
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable
}

// SetRetryAfter sets the header Retry-After of a response with the status 429 or 503, in whole seconds,
// rounded up: the time of a refused caller to return has come by then.
func SetRetryAfter(h http.Header, status int, err error) {
	after := retryAfter
	var refused *control.RefusedError
	switch {
	case status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests:
		return
	case errors.As(err, &refused):
		after = max(after, refused.RetryAfter)
	}
	h.Set("Retry-After", strconv.Itoa(int((after+time.Second-1)/time.Second)))
}

// outcomeMessages explains the outcomes whose names are not self-explanatory.
var outcomeMessages = map[apiv1.JobOutcome]string{
	apiv1.JobOutcome_JOB_OUTCOME_INVALID:    "the request is not valid: its content, its path, or an ID that belongs to a job at another path",
	apiv1.JobOutcome_JOB_OUTCOME_NO_POOL:    "the configuration in effect has no such pool",
	apiv1.JobOutcome_JOB_OUTCOME_CONFLICT:   "the host is in a maintenance wave or another move, or was moved recently",
	apiv1.JobOutcome_JOB_OUTCOME_NO_ZONE:    "there is no such availability zone",
	apiv1.JobOutcome_JOB_OUTCOME_SUPERSEDED: "another order about the availability zone or queue was accepted meanwhile",
	apiv1.JobOutcome_JOB_OUTCOME_NO_HOSTS:   "this deployment does not support host operations",
	apiv1.JobOutcome_JOB_OUTCOME_HELD:       "the queue is held by an operator; the job, or the configuration without its name, was not accepted",
	apiv1.JobOutcome_JOB_OUTCOME_OVER_LIMIT: "the client account or the queue is at its limit of pending jobs; the job was not accepted",
}

func writeOutcome(w http.ResponseWriter, o apiv1.JobOutcome, err error) {
	status := HTTPStatus(o, err)
	SetRetryAfter(w.Header(), status, err)
	if status == http.StatusOK {
		writeJSON(w, status, struct{}{})
		return
	}
	writeError(w, status, Explanation(o, err))
}

// Explanation returns the text of a response with an outcome other than OK or with an error.
func Explanation(o apiv1.JobOutcome, err error) string {
	if err != nil {
		return err.Error()
	}
	if message, known := outcomeMessages[o]; known {
		return o.String() + ": " + message
	}
	return o.String()
}
