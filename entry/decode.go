package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	apiv1 "github.com/cairnlift/cairnlift/api/v1"
	"github.com/cairnlift/cairnlift/pipeline"
)

const (
	maxRequestIDLength = 128
	maxKeyLength       = 256
	// maxTimeout bounds how long a caller may have the system wait.
	maxTimeout = 10 * time.Minute
)

// hopByHop headers belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopByHop = map[string]bool{
	"Connection":          true,
	"Proxy-Connection":    true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// decode reads the whole request and finds its service.
func (e *Entry) decode(_ context.Context, r *request) pipeline.Status {
	r.ID = requestID(r.raw)
	svc := e.services.Load().match(r.raw.URL.Path)
	if svc == nil {
		r.answer = badRequest(http.StatusNotFound, apiv1.Reason_REASON_UNKNOWN_SERVICE,
			fmt.Sprintf("no service answers the path %q", r.raw.URL.Path))
		return pipeline.Rejected("unknown service")
	}
	r.service = svc
	r.Service = svc.GetName()
	r.Caller = callerName(r.raw)
	// Every service is latency-critical: batch work comes as jobs.
	r.Priority = apiv1.Priority_PRIORITY_URGENT
	if err := r.readTimes(e.now(), svc); err != nil {
		r.answer = badRequest(http.StatusBadRequest, apiv1.Reason_REASON_BAD_REQUEST, err.Error())
		return pipeline.Rejected("bad header")
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.raw.Body, e.settings.MaxBodyBytes))
	if err != nil {
		return r.bodyError(err)
	}
	r.http = &apiv1.HttpRequest{
		Method:  r.raw.Method,
		Uri:     r.raw.URL.RequestURI(),
		Headers: forwardedHeaders(r.raw),
		Body:    body,
	}
	r.Idempotent = idempotent(svc, r.raw)
	return r.readKey()
}

// bodyError words a body that could not be read whole.
func (r *request) bodyError(err error) pipeline.Status {
	if tooLarge, ok := err.(*http.MaxBytesError); ok {
		r.answer = badRequest(http.StatusRequestEntityTooLarge, apiv1.Reason_REASON_BAD_REQUEST,
			fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
		return pipeline.Rejected("body too large")
	}
	r.answer = badRequest(http.StatusBadRequest, apiv1.Reason_REASON_BAD_REQUEST, "the body ended early")
	return pipeline.Rejected("broken body")
}

// readTimes sets the deadline from the caller's header or the service.
func (r *request) readTimes(now time.Time, svc *apiv1.Service) error {
	timeout := time.Duration(svc.GetTimeoutMs()) * time.Millisecond
	if h := r.raw.Header.Get(HeaderTimeoutMs); h != "" {
		ms, err := strconv.ParseInt(h, 10, 64)
		if err != nil || ms <= 0 || ms > maxTimeout.Milliseconds() {
			return fmt.Errorf("%s must be a number of milliseconds from 1 to %d, not %q", HeaderTimeoutMs, maxTimeout.Milliseconds(), h)
		}
		timeout = time.Duration(ms) * time.Millisecond
	}
	r.Deadline = now.Add(timeout)
	h := r.raw.Header.Get(HeaderKeyTimeMs)
	if h == "" {
		return nil
	}
	ms, err := strconv.ParseInt(h, 10, 64)
	if err != nil || ms <= 0 {
		return fmt.Errorf("%s must be a Unix time in milliseconds, not %q", HeaderKeyTimeMs, h)
	}
	r.keyTime = ms
	return nil
}

// readKey takes the idempotency key of a request that needs one. An idempotent
// request needs no claim: running it again is harmless.
func (r *request) readKey() pipeline.Status {
	key := r.raw.Header.Get(HeaderIdempotencyKey)
	if key == "" || r.Idempotent {
		return pipeline.Status{}
	}
	if len(key) > maxKeyLength {
		r.answer = badRequest(http.StatusBadRequest, apiv1.Reason_REASON_BAD_REQUEST,
			fmt.Sprintf("%s is longer than %d bytes", HeaderIdempotencyKey, maxKeyLength))
		return pipeline.Rejected("bad header")
	}
	r.key = key
	r.digest = requestDigest(r.http)
	return pipeline.Status{}
}

// requestID takes the caller's id as a prefix of ours. Callers' ids are not
// unique: a resend carries the same one, and two callers may pick the same. The
// agents' duplicate detection and the settling of a claim depend on the id, so
// every request that reaches an entry gets one of its own.
func requestID(r *http.Request) string {
	var b [12]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never fails since Go 1.24
	own := hex.EncodeToString(b[:])
	theirs := r.Header.Get(HeaderRequestID)
	if theirs == "" || len(theirs) > maxRequestIDLength {
		return own
	}
	return theirs + "." + own
}

func callerName(r *http.Request) string {
	if c := r.Header.Get(HeaderCaller); c != "" {
		return c
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// idempotent says whether a request may run more than once. In doubt it may not:
// only safe methods (RFC 9110, 9.2.1), declared routes and the caller's word count.
func idempotent(svc *apiv1.Service, r *http.Request) bool {
	if r.Header.Get(HeaderIdempotent) == "true" {
		return true
	}
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	for _, route := range svc.GetIdempotentRoutes() {
		if route.GetMethod() != "" && route.GetMethod() != r.Method {
			continue
		}
		if hasPathPrefix(r.URL.Path, route.GetPathPrefix()) {
			return true
		}
	}
	return false
}

func forwardedHeaders(r *http.Request) []*apiv1.Header {
	out := make([]*apiv1.Header, 0, len(r.Header))
	for name, values := range r.Header {
		if hopByHop[name] || namedByConnection(r.Header, name) {
			continue
		}
		out = append(out, &apiv1.Header{Name: name, Values: values})
	}
	if r.Host != "" {
		out = append(out, &apiv1.Header{Name: "Host", Values: []string{r.Host}})
	}
	return out
}

// namedByConnection reports whether a Connection header names the header as one
// of its connection only.
func namedByConnection(h http.Header, name string) bool {
	for _, v := range h["Connection"] {
		for _, field := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(field), name) {
				return true
			}
		}
	}
	return false
}
