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

// maxResponseBytes bounds what a client reads of an answer.
const maxResponseBytes = 64 << 20

// UnavailableError says that nothing was done: no entry could take the request.
type UnavailableError struct {
	// Last is what the last attempt met.
	Last error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return "no entry could take the request: " + e.Last.Error()
}

// Unwrap returns what the last attempt met.
func (e *UnavailableError) Unwrap() error { return e.Last }

// UnknownOutcomeError says that a change may or may not have been made.
type UnknownOutcomeError struct{ Last error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "it is not known whether the change was made: " + e.Last.Error()
}

// Unwrap returns what the last attempt met.
func (e *UnknownOutcomeError) Unwrap() error { return e.Last }

// operation is a request that may be sent several times: a read changes nothing
// and each change is idempotent, by its submission id or by what it names.
type operation struct {
	method, path string
	query        url.Values
	body         any
	// mutates is false for reads, whose outcome is never in doubt.
	mutates bool
	// serverWait is how long the server holds the request back on purpose.
	serverWait time.Duration
}

func readOperation(path string, query url.Values) operation {
	return operation{method: http.MethodGet, path: path, query: query}
}

func writeOperation(method, path string, body any) operation {
	return operation{method: method, path: path, body: body, mutates: true}
}

// call sends an operation until an entry gives a final answer or ctx ends.
func call[T any](ctx context.Context, c *Client, op operation) (*T, error) {
	var payload []byte
	if op.body != nil {
		var err error
		if payload, err = json.Marshal(op.body); err != nil {
			return nil, errors.Wrap(err, "request can't be encoded")
		}
	}
	answer, err := c.sendWithRetries(ctx, op, payload)
	if err != nil {
		return nil, err
	}
	value := new(T)
	if err := json.Unmarshal(answer, value); err != nil {
		return nil, outcomeError(op, true, errors.Wrap(err, "the answer can't be read"))
	}
	return value, nil
}

// attempt is what became of sending an operation once.
type attempt struct {
	response []byte
	err      error
	// final: another attempt would get the same answer.
	final bool
	// maybeApplied: the operation may have been carried out.
	maybeApplied bool
	retryAfter   time.Duration
}

func (c *Client) sendWithRetries(ctx context.Context, op operation, payload []byte) ([]byte, error) {
	open := false
	pause := c.options.MinBackoff
	for n := 1; ; n++ {
		a := c.sendOnce(ctx, op, payload)
		if a.final {
			return a.response, a.err
		}
		open = open || a.maybeApplied
		c.nextEntry = (c.nextEntry + 1) % len(c.options.Addresses)
		wait := a.retryAfter
		if n%len(c.options.Addresses) == 0 {
			// All entries failed in turn: pause, longer each time, with jitter
			// so that clients that lost the same entry don't return together.
			wait = max(wait, pause/2+rand.N(pause/2+1))
			pause = min(2*pause, c.options.MaxBackoff)
		}
		if !sleepContext(ctx, min(wait, c.options.MaxBackoff)) {
			return nil, outcomeError(op, open, a.err)
		}
	}
}

func outcomeError(op operation, open bool, last error) error {
	if op.mutates && open {
		return &UnknownOutcomeError{Last: last}
	}
	return &UnavailableError{Last: last}
}

// sleepContext returns false when the context ends first, at once if that is certain.
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

func (c *Client) sendOnce(ctx context.Context, op operation, payload []byte) attempt {
	ctx, cancel := context.WithTimeout(ctx, c.options.AttemptTimeout+op.serverWait)
	defer cancel()
	target := "http://" + c.options.Addresses[c.nextEntry] + op.path
	if len(op.query) > 0 {
		target += "?" + op.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, op.method, target, bytes.NewReader(payload))
	if err != nil {
		return attempt{err: errors.Wrap(err, "request can't be made"), final: true}
	}
	if op.body != nil {
		req.Header.Set("Content-Type", jsonContentType)
	}
	// Without a connection nothing was sent, whatever the error says.
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	resp, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return attempt{err: err, maybeApplied: connected}
	}
	defer resp.Body.Close() //nolint:errcheck // the body was read or given up
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return attempt{err: errors.Wrap(err, "the answer was cut off"), maybeApplied: true}
	}
	return classifyResponse(resp.StatusCode, answer)
}

// classifyResponse says what an entry's answer means for further attempts.
func classifyResponse(status int, answer []byte) attempt {
	if status == http.StatusOK {
		return attempt{response: answer, final: true}
	}
	var body errorResponse
	if json.Unmarshal(answer, &body) != nil || body.Error == nil {
		return attempt{err: fmt.Errorf("status %d without the API's error", status), maybeApplied: true}
	}
	a := attempt{err: body.Error, retryAfter: time.Duration(body.Error.RetryAfterMs) * time.Millisecond}
	switch body.Error.Code {
	case CodeUnavailable, CodeOverloaded:
	case CodeUnknownOutcome:
		a.maybeApplied = true
	default:
		a.final = true
	}
	return a
}
