package admin

import (
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const jsonContentType = "application/json"

// decodeBody decodes a JSON body of bounded length into a value.
func decodeBody(r *http.Request, limit int64, into any) error {
	if t, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || t != jsonContentType {
		return Errorf(CodeBadRequest, "the Content-Type must be %s", jsonContentType)
	}
	if r.ContentLength > limit {
		return Errorf(CodeTooLarge, "the body has %d bytes, more than the %d allowed", r.ContentLength, limit)
	}
	body := http.MaxBytesReader(nil, r.Body, limit)
	dec := json.NewDecoder(body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return decodeError(err, limit)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return Errorf(CodeBadRequest, "the body goes on after its JSON value")
	}
	return nil
}

func decodeError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return Errorf(CodeTooLarge, "the body has more than the %d bytes allowed", limit)
	}
	return Errorf(CodeBadRequest, "the body is not the expected JSON: %v", err)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", jsonContentType)
	w.WriteHeader(status)
	// A client that went away gets nothing; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, e *Error) {
	if e.RetryAfterMs > 0 {
		// The header counts in whole seconds, rounded up.
		seconds := (e.RetryAfterMs + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	writeJSON(w, httpStatuses[e.Code], errorResponse{Error: e})
}

// queryInt reads an integer between 0 and high from the query.
func queryInt(r *http.Request, key string, high, fallback uint64) (uint64, error) {
	s := r.URL.Query().Get(key)
	if s == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(s, 10, 64)
	if err != nil || n > high {
		return 0, Errorf(CodeBadRequest, "%s must be an integer between 0 and %d", key, high)
	}
	return n, nil
}

// queryDuration reads a duration of at most high from the query.
func queryDuration(r *http.Request, key string, high, fallback time.Duration) (time.Duration, error) {
	s := r.URL.Query().Get(key)
	if s == "" {
		return fallback, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > high {
		return 0, Errorf(CodeBadRequest, "%s must be a duration between 0s and %v", key, high)
	}
	return d, nil
}
