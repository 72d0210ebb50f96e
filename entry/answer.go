package entry

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// minRetryAfter is the least time a refused caller is told to stay away.
	minRetryAfter = 10 * time.Millisecond
	// defaultRetryAfter is the Retry-After where nothing better is known: about the
	// time an election takes.
	defaultRetryAfter = time.Second
)

// outcomeNames are the values of HeaderOutcome.
var outcomeNames = map[apiv1.Outcome]string{
	apiv1.Outcome_OUTCOME_ANSWERED: "answered",
	apiv1.Outcome_OUTCOME_FAILED:   "failed",
	apiv1.Outcome_OUTCOME_NOT_RUN:  "not-run",
	apiv1.Outcome_OUTCOME_UNKNOWN:  "unknown",
}

// errorBody is what a caller gets in place of a target's answer.
type errorBody struct {
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// writeAnswer sends the final outcome to the caller.
func (e *Entry) writeAnswer(_ context.Context, w http.ResponseWriter, r *request) {
	a := &r.answer
	h := w.Header()
	if a.response != nil && provesRun(a.outcome) {
		for _, header := range a.response.GetHeaders() {
			for _, v := range header.GetValues() {
				h.Add(header.GetName(), v)
			}
		}
	}
	h.Set(HeaderRequestID, r.ID)
	h.Set(HeaderOutcome, outcomeNames[a.outcome])
	if a.target != "" {
		h.Set(HeaderTarget, a.target)
	}
	if a.response != nil && provesRun(a.outcome) {
		body := a.response.GetBody()
		if r.raw.Method != http.MethodHead {
			h.Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(int(a.response.GetStatus()))
		_, _ = w.Write(body) // a caller that left gets nothing; the outcome stands
		return
	}
	writeError(w, r)
}

func writeError(w http.ResponseWriter, r *request) {
	a := &r.answer
	body := errorBody{
		Outcome:   outcomeNames[a.outcome],
		Reason:    reasonName(a.reason),
		Message:   a.message,
		RequestID: r.ID,
	}
	h := w.Header()
	h.Set(HeaderReason, body.Reason)
	h.Set("Content-Type", "application/json")
	if a.retryAfter > 0 {
		after := max(a.retryAfter, minRetryAfter)
		body.RetryAfterMs = after.Milliseconds()
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(body.RetryAfterMs, 10))
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	w.WriteHeader(a.statusCode())
	_ = json.NewEncoder(w).Encode(body)
}

// statusCode is the HTTP status of an answer that no target gave.
func (a *answer) statusCode() int {
	if a.status != 0 {
		return a.status
	}
	if a.outcome == apiv1.Outcome_OUTCOME_NOT_RUN {
		return http.StatusServiceUnavailable
	}
	return http.StatusGatewayTimeout
}
