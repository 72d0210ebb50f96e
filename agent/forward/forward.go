// Package forward carries attempts to targets over HTTP and says truthfully what
// became of each: a whole answer, certainly not run, or unknown.
package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/cairnlift/cairnlift/agent/gate"
	apiv1 "github.com/cairnlift/cairnlift/api/v1"
)

const (
	// idleTimeout closes unused connections early: the longer one is kept, the
	// likelier the target closes it just as a request is written, which leaves
	// that request's outcome unknown.
	idleTimeout = 5 * time.Second
	dialTimeout = time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 1 << 20
	// maxUnsentTries bounds how many dead connections one attempt may meet before a
	// byte of it is written.
	maxUnsentTries = 3
)

// Attempt is one request to forward.
type Attempt struct {
	Key         gate.Key
	Address     string
	Connections int
	Request     *apiv1.HttpRequest
}

// Forwarder holds the connections to the targets of one host.
type Forwarder struct {
	maxResponseBytes int64
	mu               sync.Mutex
	transports       map[string]*http.Transport
}

// New returns a Forwarder that takes answers of up to maxResponseBytes.
func New(maxAnswerBytes int64) *Forwarder {
	return &Forwarder{maxResponseBytes: maxAnswerBytes, transports: make(map[string]*http.Transport)}
}

// Retain closes the idle connections to every address that is not listed. Requests
// in progress finish.
func (f *Forwarder) Retain(addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for address, t := range f.transports {
		if !slices.Contains(addresses, address) {
			t.CloseIdleConnections()
			delete(f.transports, address)
		}
	}
}

// Close closes all idle connections.
func (f *Forwarder) Close() { f.Retain(nil) }

// transport returns the address's own connection pool. A changed bound on
// connections takes a new pool; the old one ends with its last request.
func (f *Forwarder) transport(address string, connections int) *http.Transport {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.transports[address]
	if t != nil && t.MaxConnsPerHost == connections {
		return t
	}
	if t != nil {
		t.CloseIdleConnections()
	}
	t = newTransport(connections)
	f.transports[address] = t
	return t
}

func newTransport(connections int) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		MaxConnsPerHost:        connections,
		MaxIdleConnsPerHost:    connections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Do forwards an attempt and reads the whole answer. It returns before ctx's
// deadline or soon after. Nothing is ever sent twice.
func (f *Forwarder) Do(ctx context.Context, a Attempt) gate.Verdict {
	if v, ok := checkRequest(a.Request); !ok {
		return v
	}
	t := f.transport(a.Address, a.Connections)
	var err error
	for range maxUnsentTries {
		var v gate.Verdict
		var written bool
		if v, written, err = f.tryOnce(ctx, t, a); err == nil {
			return v
		}
		if written {
			return brokenVerdict(ctx, err)
		}
		if ctx.Err() != nil || isDialError(err) {
			break
		}
	}
	return unsentVerdict(ctx, err)
}

// tryOnce makes one try. The error is nil when the verdict stands; otherwise written
// says whether any byte of the request left.
func (f *Forwarder) tryOnce(ctx context.Context, t *http.Transport, a Attempt) (v gate.Verdict, written bool, err error) {
	track := &writeTracker{}
	req, err := newRequest(track.trace(ctx), a)
	if err != nil {
		return notRunVerdict(apiv1.Reason_REASON_BAD_REQUEST, err.Error()), false, nil
	}
	resp, err := t.RoundTrip(req)
	if err != nil && track.noConnection() && ctx.Err() == nil && !isDialError(err) {
		return notRunVerdict(apiv1.Reason_REASON_BAD_REQUEST, err.Error()), false, nil
	}
	if err != nil {
		return v, track.anyWritten(), err
	}
	defer resp.Body.Close()
	if echo := resp.Header.Get(RequestIDHeader); echo != "" && echo != a.Key.RequestID {
		track.discard()
		return unknownVerdict(apiv1.Reason_REASON_WRONG_ANSWER, "target answered request "+echo), true, nil
	}
	body, err := f.readBody(resp)
	if err != nil {
		track.discard()
		return v, true, err
	}
	return responseVerdict(a.Request.Method, resp, body), true, nil
}

// newRequest builds a request that net/http can't send again by itself. When a
// reused connection breaks before the answer, it repeats a request with a safe method
// or an idempotency key that has no body, or one that can be rewound. So a body can't
// be rewound, safe methods get an empty one in place of none, and the key is hidden;
// TestReusedConnection shows what happens otherwise.
func newRequest(ctx context.Context, a Attempt) (*http.Request, error) {
	u, err := url.ParseRequestURI(a.Request.Uri)
	if err != nil {
		return nil, errors.Wrap(err, "bad URI")
	}
	u.Scheme, u.Host = "http", a.Address
	req := &http.Request{
		Method:        a.Request.Method,
		URL:           u,
		Header:        requestHeader(a.Key.RequestID, a.Key.Attempt, a.Request.Headers),
		Host:          hostHeader(a.Request.Headers),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(a.Request.Body)),
	}
	if len(a.Request.Body) > 0 || usuallyHasNoBody(a.Request.Method) {
		req.Body = nonRewindableBody{bytes.NewReader(a.Request.Body)}
	}
	return req.WithContext(ctx), nil
}

// nonRewindableBody hides the reader's type, by which net/http would know how to rewind it.
type nonRewindableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonRewindableBody) Close() error { return nil }

// usuallyHasNoBody names the methods that net/http repeats when they have no body.
// For the others an empty body stays nil, so that "Content-Length: 0" is sent.
func usuallyHasNoBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return false
}

// readBody reads the body to its stated end. An answer whose length is not stated
// ends with its connection, so a cut one looks whole: it is refused.
func (f *Forwarder) readBody(resp *http.Response) ([]byte, error) {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return nil, errors.New("target switched protocols")
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return nil, errors.New("answer does not state its length")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, f.maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "answer broke off")
	}
	if int64(len(body)) > f.maxResponseBytes {
		return nil, errors.Newf("answer is larger than %d bytes", f.maxResponseBytes)
	}
	return body, nil
}

func responseVerdict(method string, resp *http.Response, body []byte) gate.Verdict {
	v := gate.Verdict{Outcome: apiv1.Outcome_OUTCOME_ANSWERED}
	if resp.StatusCode >= http.StatusInternalServerError {
		v.Outcome = apiv1.Outcome_OUTCOME_FAILED
		v.Message = "target answered " + resp.Status
	}
	v.Response = &apiv1.HttpResponse{
		Status:       int32(resp.StatusCode),
		Headers:      responseHeaders(method, resp.Header),
		Body:         body,
		BodyChecksum: xxhash.Sum64(body),
	}
	return v
}

// checkRequest refuses what can't be forwarded by one answer per request.
func checkRequest(r *apiv1.HttpRequest) (gate.Verdict, bool) {
	switch {
	case r.GetMethod() == "" || !strings.HasPrefix(r.GetUri(), "/"):
		return notRunVerdict(apiv1.Reason_REASON_BAD_REQUEST, "request lacks a method or a path"), false
	case r.Method == http.MethodConnect || r.Method == http.MethodTrace:
		return notRunVerdict(apiv1.Reason_REASON_BAD_REQUEST, "method "+r.Method+" is not forwarded"), false
	}
	return gate.Verdict{}, true
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// unsentVerdict is the verdict when no byte of the request was written.
func unsentVerdict(ctx context.Context, err error) gate.Verdict {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return notRunVerdict(apiv1.Reason_REASON_DEADLINE, "deadline passed before anything was sent")
	case ctx.Err() != nil:
		return notRunVerdict(apiv1.Reason_REASON_CANCELED, "caller went away before anything was sent")
	}
	return notRunVerdict(apiv1.Reason_REASON_TARGET_UNREACHABLE, err.Error())
}

// brokenVerdict is the verdict when the request may have reached the target.
func brokenVerdict(ctx context.Context, err error) gate.Verdict {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return unknownVerdict(apiv1.Reason_REASON_DEADLINE, "deadline passed while the target worked")
	case ctx.Err() != nil:
		return unknownVerdict(apiv1.Reason_REASON_CANCELED, "caller went away while the target worked")
	}
	return unknownVerdict(apiv1.Reason_REASON_BROKEN_ANSWER, err.Error())
}

func notRunVerdict(reason apiv1.Reason, message string) gate.Verdict {
	return gate.Verdict{Outcome: apiv1.Outcome_OUTCOME_NOT_RUN, Reason: reason, Message: message}
}

func unknownVerdict(reason apiv1.Reason, message string) gate.Verdict {
	return gate.Verdict{Outcome: apiv1.Outcome_OUTCOME_UNKNOWN, Reason: reason, Message: message}
}
