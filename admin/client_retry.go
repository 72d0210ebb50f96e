package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

// maxResponseBytes limits how much of a response body a client reads.
const maxResponseBytes = 64 << 20

// UnavailableError means that no entry accepted the request, so that it was not executed. For a
// read it means that no entry gave a valid response.
type UnavailableError struct {
	// Last is the error of the last attempt.
	Last error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "no entry accepted the request: " + e.Last.Error()
}

// Unwrap returns the error of the last attempt.
func (e *UnavailableError) Unwrap() error { return e.Last }

// UnknownOutcomeError means that a change may or may not have been made. Last is the error of
// the last attempt.
type UnknownOutcomeError struct{ Last error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "it is not known whether the change was made: " + e.Last.Error()
}

// Unwrap returns the error of the last attempt.
func (e *UnknownOutcomeError) Unwrap() error { return e.Last }

// operation is a request that can be retried: a read has no effect, and a change is idempotent,
// either by its submission id or because it names the resulting state.
type operation struct {
	method, path string
	query        url.Values
	body         any
	// mutates is false for reads, whose outcome is never unknown.
	mutates bool
	// serverWait is how long the server may wait before it responds, as the request asks for.
	serverWait time.Duration
}

func readOperation(path string, query url.Values) operation {
	return operation{method: http.MethodGet, path: path, query: query}
}

func writeOperation(method, path string, body any) operation {
	return operation{method: method, path: path, body: body, mutates: true}
}

// call sends an operation until an entry gives a final response or ctx ends, and decodes the
// response.
func call[T any](ctx context.Context, c *Client, op operation) (*T, error) {
	var payload []byte
	if op.body != nil {
		var err error
		if payload, err = json.Marshal(op.body); err != nil {
			return nil, errors.Wrap(err, "request can't be encoded")
		}
	}
	response, err := c.sendWithRetries(ctx, op, payload)
	if err != nil {
		return nil, err
	}
	value := new(T)
	if err := json.Unmarshal(response, value); err != nil {
		return nil, outcomeError(op, true, errors.Wrap(err, "the response can't be decoded"))
	}
	return value, nil
}

// attempt is the result of sending an operation once.
type attempt struct {
	response []byte
	err      error
	// final is true if another attempt would get the same response.
	final bool
	// maybeApplied is true if the operation may have been executed.
	maybeApplied bool
	retryAfter   time.Duration
}

// sendWithRetries sends an operation to the entries in rotation until a response is final or ctx
// ends.
func (c *Client) sendWithRetries(ctx context.Context, op operation, payload []byte) ([]byte, error) {
	maybeApplied := false
	backoff := c.options.MinBackoff
	for n := 1; ; n++ {
		a := c.sendOnce(ctx, op, payload)
		if a.final {
			return a.response, a.err
		}
		maybeApplied = maybeApplied || a.maybeApplied
		c.nextEntry = (c.nextEntry + 1) % len(c.options.Addresses)
		wait := a.retryAfter
		if n%len(c.options.Addresses) == 0 {
			// Every entry has failed in this round: back off exponentially, with jitter so
			// that clients that lost the same entry don't retry at the same time.
			wait = max(wait, backoff/2+rand.N(backoff/2+1))
			backoff = min(2*backoff, c.options.MaxBackoff)
		}
		if !sleepContext(ctx, min(wait, c.options.MaxBackoff)) {
			return nil, outcomeError(op, maybeApplied, a.err)
		}
	}
}

// outcomeError returns the error of an operation that got no final response.
func outcomeError(op operation, maybeApplied bool, last error) error {
	if op.mutates && maybeApplied {
		return &UnknownOutcomeError{Last: last}
	}
	return &UnavailableError{Last: last}
}

// sleepContext sleeps for d and returns true, or returns false if the context ends first. If the
// deadline of the context is earlier, it returns false without sleeping.
func sleepContext(ctx context.Context, d time.Duration) bool {
	if end, ok := ctx.Deadline(); ok && time.Until(end) < d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// sendOnce sends an operation to the next entry and returns the result of this attempt.
func (c *Client) sendOnce(ctx context.Context, op operation, payload []byte) attempt {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout+op.serverWait)
	defer cancel()
	requestURL := "http://" + c.options.Addresses[c.nextEntry] + op.path
	if len(op.query) > 0 {
		requestURL += "?" + op.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, op.method, requestURL, bytes.NewReader(payload))
	if err != nil {
		return attempt{err: errors.Wrap(err, "request can't be created"), final: true}
	}
	if op.body != nil {
		req.Header.Set("Content-Type", jsonContentType)
	}
	// Without a connection nothing was sent, whatever the error is.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return attempt{err: err, maybeApplied: connected}
	}
	defer resp.Body.Close() //nolint:errcheck // a read error is returned below
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return attempt{err: errors.Wrap(err, "the response was truncated"), maybeApplied: true}
	}
	return classifyResponse(resp.StatusCode, data)
}

// classifyResponse determines from an entry's response whether it is final and whether the
// operation may have been executed.
func classifyResponse(status int, data []byte) attempt {
	if status == http.StatusOK {
		return attempt{response: data, final: true}
	}
	var failure errorResponse
	if json.Unmarshal(data, &failure) != nil || failure.Error == nil {
		return attempt{err: fmt.Errorf("status %d without an error body of the API", status), maybeApplied: true}
	}
	a := attempt{err: failure.Error, retryAfter: time.Duration(failure.Error.RetryAfterMs) * time.Millisecond}
	switch failure.Error.Code {
	case CodeUnavailable, CodeOverloaded:
	case CodeUnknownOutcome:
		a.maybeApplied = true
	default:
		a.final = true
	}
	return a
}
